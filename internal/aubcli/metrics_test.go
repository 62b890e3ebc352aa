package aubcli

import (
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const (
	metricsPage   = "../../docs/METRICS.md"
	metricsPrefix = "auburndale_"
	metricsHead   = "# Metrics\n\nWritten by `go test ./internal/aubcli -run TestMetricsAreCatalogued -add_metrics`; do not edit.\n" +
		"Every series carries `instance` and `zone`. Go's and the process's own metrics are left out.\n\n" +
		"| metric | type |\n|---|---|\n"
)

var (
	addMetrics = flag.Bool("add_metrics", false, "add the metrics seen to docs/METRICS.md")
	metricRow  = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([a-z]+) \\|$")
)

// TestMetricsAreCatalogued runs a site and checks that its metrics stand on the page.
func TestMetricsAreCatalogued(t *testing.T) {
	s := newSite(t)
	post(s.callers["entry-a"], "/roster/swaps/confirm", "swap", "metrics")
	post(s.callers["entry-a"], "/v1/chat/completions", "{", "")
	seen := map[string]string{}
	for _, name := range []string{"entry-a", "entry-b", "entry-c", "agent-a", "agent-roster"} {
		maps.Copy(seen, scrape(t, s.platform[name]))
	}
	qt.Assert(t, len(seen) > 0, qt.IsTrue)
	known := readMetricsPage(t)
	if *addMetrics {
		maps.Copy(known, seen)
		writeFile(t, metricsPage, formatMetrics(known))
	}
	for _, name := range slices.Sorted(maps.Keys(seen)) {
		qt.Check(t, known[name], qt.Equals, seen[name], qt.Commentf("%s", name))
	}
}

func scrape(t *testing.T, address string) map[string]string {
	resp, err := http.Get("http://" + address + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	seen := map[string]string{}
	for name, family := range families {
		if strings.HasPrefix(name, metricsPrefix) {
			seen[name] = strings.ToLower(family.GetType().String())
		}
	}
	return seen
}

func readMetricsPage(t *testing.T) map[string]string {
	data, err := os.ReadFile(metricsPage)
	if !os.IsNotExist(err) {
		qt.Assert(t, err, qt.IsNil)
	}
	known := map[string]string{}
	for _, row := range metricRow.FindAllStringSubmatch(string(data), -1) {
		known[row[1]] = row[2]
	}
	return known
}

func formatMetrics(known map[string]string) string {
	var b strings.Builder
	b.WriteString(metricsHead)
	for _, name := range slices.Sorted(maps.Keys(known)) {
		fmt.Fprintf(&b, "| `%s` | %s |\n", name, known[name])
	}
	return b.String()
}
