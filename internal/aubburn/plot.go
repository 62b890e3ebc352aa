package aubburn

import (
	"cmp"
	"io"
	"slices"

	"github.com/wcharczuk/go-chart/v2"
)

// Size of the plot in pixels.
const (
	plotWidth    = 1000
	plotBarWidth = 24
	plotHeight   = 480
	maxPlotRows  = 24
)

// WritePlot writes the burn rates of the last hour as an SVG picture, the
// fastest first.
func (r Report) WritePlot(w io.Writer) error {
	bars := make([]chart.Value, 0, len(r.Rows))
	for _, row := range fastest(r.Rows, maxPlotRows) {
		bars = append(bars, chart.Value{
			Label: row.Workspace + " " + row.Route + " " + string(row.Objective),
			Value: row.rateOf("1h"),
		})
	}
	if len(bars) == 0 {
		bars = append(bars, chart.Value{Label: "no events", Value: 0})
	}
	top := 1.0
	for _, bar := range bars {
		top = max(top, bar.Value)
	}
	plot := chart.BarChart{
		Title:    "Burn rate of the last hour",
		Width:    plotWidth,
		Height:   plotHeight,
		BarWidth: plotBarWidth,
		Bars:     bars,
		YAxis:    chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: top}},
		XAxis:    chart.Style{TextRotationDegrees: 90, FontSize: 7},
	}
	return plot.Render(chart.SVG, w)
}

func (r Row) rateOf(window string) float64 {
	for _, w := range r.Windows {
		if w.Window == window {
			return w.BurnRate
		}
	}
	return 0
}

// fastest returns at most n rows, those that burn fastest first.
func fastest(rows []Row, n int) []Row {
	sorted := slices.Clone(rows)
	slices.SortStableFunc(sorted, func(a, b Row) int { return cmp.Compare(b.rateOf("1h"), a.rateOf("1h")) })
	return sorted[:min(n, len(sorted))]
}
