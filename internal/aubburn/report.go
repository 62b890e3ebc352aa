package aubburn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Severity is the urgency of an alert.
type Severity string

// Severities of alerts.
const (
	// SeverityPage requires immediate action.
	SeverityPage Severity = "page"
	// SeverityTicket requires action within days.
	SeverityTicket Severity = "ticket"
	// SeverityNone requires no action.
	SeverityNone Severity = "none"
)

// rule is an alert rule that fires if the burn rates of both windows are at
// least rate.
type rule struct {
	severity Severity
	long     time.Duration
	short    time.Duration
	rate     float64
}

// rules are the usual multi-window burn rate rules, most urgent first. The error
// budget of 30 days lasts two days at a rate of 14.4, five days at 6, ten days at
// 3 and thirty days at 1.
var rules = []rule{
	{SeverityPage, time.Hour, 5 * time.Minute, 14.4},
	{SeverityPage, 6 * time.Hour, 30 * time.Minute, 6},
	{SeverityTicket, 24 * time.Hour, 2 * time.Hour, 3},
	{SeverityTicket, 72 * time.Hour, 6 * time.Hour, 1},
}

// Row holds the burn rates of one objective of one flow, over all instances.
type Row struct {
	Workspace string           `yaml:"workspace"`
	Route     string           `yaml:"route"`
	Objective aubapi.Objective `yaml:"objective"`
	Target    float64          `yaml:"target"`
	Severity  Severity         `yaml:"severity"`
	Windows   []RowWindow      `yaml:"windows"`
}

// RowWindow holds the event counts and the burn rate of one window.
type RowWindow struct {
	Window string `yaml:"window"`
	Good   int64  `yaml:"good"`
	Bad    int64  `yaml:"bad"`
	// BurnRate is the share of bad events divided by the share that the target allows.
	BurnRate float64 `yaml:"burn_rate"`
}

// Report holds the burn rates of all flows over all instances.
type Report struct {
	Instances []string `yaml:"instances"`
	Rows      []Row    `yaml:"rows"`
}

// NewReport sums the counts of the instances and computes the burn rates.
func NewReport(counts []aubapi.BurnCounts) Report {
	var r Report
	sums := map[counterID]aubapi.BurnFlow{}
	for _, c := range counts {
		r.Instances = append(r.Instances, c.Instance)
		for _, f := range c.Flows {
			id := counterID{flow: Flow{Workspace: f.Workspace, Route: f.Route}, objective: f.Objective}
			sums[id] = addFlows(sums[id], f)
		}
	}
	flows := make([]aubapi.BurnFlow, 0, len(sums))
	for _, f := range sums {
		flows = append(flows, f)
	}
	sortFlows(flows)
	for _, f := range flows {
		r.Rows = append(r.Rows, newRow(f))
	}
	return r
}

// addFlows adds the counts window by window; all instances list the windows in
// the same order. It returns b if a has another number of windows.
func addFlows(a, b aubapi.BurnFlow) aubapi.BurnFlow {
	if len(a.Windows) != len(b.Windows) {
		return b
	}
	sum := b
	sum.Windows = make([]aubapi.BurnWindow, len(b.Windows))
	for i, w := range b.Windows {
		w.Good += a.Windows[i].Good
		w.Bad += a.Windows[i].Bad
		sum.Windows[i] = w
	}
	return sum
}

// newRow computes the burn rates of a flow and the severity of the first rule that fires.
func newRow(f aubapi.BurnFlow) Row {
	row := Row{Workspace: f.Workspace, Route: f.Route, Objective: f.Objective, Target: f.Target, Severity: SeverityNone}
	rates := map[time.Duration]float64{}
	for _, w := range f.Windows {
		window := time.Duration(w.Seconds) * time.Second
		rates[window] = burnRate(w, f.Target)
		row.Windows = append(row.Windows, RowWindow{Window: windowLabel(window), Good: w.Good, Bad: w.Bad, BurnRate: rates[window]})
	}
	for _, r := range rules {
		if rates[r.long] >= r.rate && rates[r.short] >= r.rate {
			row.Severity = r.severity
			break
		}
	}
	return row
}

func burnRate(w aubapi.BurnWindow, target float64) float64 {
	total := w.Good + w.Bad
	if total == 0 || target >= 1 {
		return 0
	}
	return float64(w.Bad) / float64(total) / (1 - target)
}

// WriteTable writes the report as a text table.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "WORKSPACE\tROUTE\tOBJECTIVE\tTARGET\tALERT")
	for _, window := range Windows {
		fmt.Fprintf(table, "\t%s", strings.ToUpper(windowLabel(window)))
	}
	fmt.Fprintln(table)
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%g\t%s", row.Workspace, row.Route, row.Objective, row.Target, row.Severity)
		for _, window := range row.Windows {
			fmt.Fprintf(table, "\t%.2f", window.BurnRate)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// WriteYAML writes the report as YAML.
func (r Report) WriteYAML(w io.Writer) error {
	encoder := yaml.NewEncoder(w)
	defer encoder.Close()
	return encoder.Encode(r)
}

// windowLabel formats the length of a window, such as 5m or 1h.
func windowLabel(d time.Duration) string {
	if d < time.Hour {
		return fmt.Sprintf("%dm", d/time.Minute)
	}
	return fmt.Sprintf("%dh", d/time.Hour)
}
