package aubburn

import (
	"cmp"
	"io"
	"slices"

	"github.com/wcharczuk/go-chart/v2"
)

const (
	// plotWidth, plotBarWidth and plotHeight are in pixels.
	plotWidth    = 1000
	plotBarWidth = 24
	plotHeight   = 480
	// maxPlotRows is the maximum number of bars.
	maxPlotRows = 24
)

// WritePlot writes the burn rates of the last hour as an SVG bar chart, highest
// rate first.
func (r Report) WritePlot(w io.Writer) error {
	bars := make([]chart.Value, 0, len(r.Rows))
	for _, row := range fastestBurning(r.Rows, maxPlotRows) {
		bars = append(bars, chart.Value{
			Label: row.Workspace + " " + row.Route + " " + string(row.Objective),
			Value: row.burnRateOf("1h"),
		})
	}
	if len(bars) == 0 {
		bars = append(bars, chart.Value{Label: "no events", Value: 0})
	}
	maxRate := 1.0
	for _, bar := range bars {
		maxRate = max(maxRate, bar.Value)
	}
	plot := chart.BarChart{
		Title:    "Burn rate of the last hour",
		Width:    plotWidth,
		Height:   plotHeight,
		BarWidth: plotBarWidth,
		Bars:     bars,
		YAxis:    chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: maxRate}},
		XAxis:    chart.Style{TextRotationDegrees: 90, FontSize: 7},
	}
	return plot.Render(chart.SVG, w)
}

// burnRateOf returns the burn rate of a window by its label, or 0 without that window.
func (r Row) burnRateOf(window string) float64 {
	for _, w := range r.Windows {
		if w.Window == window {
			return w.BurnRate
		}
	}
	return 0
}

// fastestBurning returns up to n rows in descending order of the burn rate of the last hour.
func fastestBurning(rows []Row, n int) []Row {
	sorted := slices.Clone(rows)
	slices.SortStableFunc(sorted, func(a, b Row) int { return cmp.Compare(b.burnRateOf("1h"), a.burnRateOf("1h")) })
	return sorted[:min(n, len(sorted))]
}
