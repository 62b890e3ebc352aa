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

// TestMetricsAreCatalogued runs a site and checks that docs/METRICS.md lists its metrics
// with their types.
func TestMetricsAreCatalogued(t *testing.T) {
	s := newSite(t)
	post(s.callerAddresses["entry-a"], "/roster/swaps/confirm", "swap", "metrics")
	post(s.callerAddresses["entry-a"], "/v1/chat/completions", "{", "")
	exposed := map[string]string{}
	for _, name := range []string{"entry-a", "entry-b", "entry-c", "agent-a", "agent-roster"} {
		maps.Copy(exposed, scrape(t, s.platformAddresses[name]))
	}
	qt.Assert(t, len(exposed) > 0, qt.IsTrue)
	catalogued := readMetricsPage(t)
	if *addMetrics {
		maps.Copy(catalogued, exposed)
		writeFile(t, metricsPage, formatMetrics(catalogued))
	}
	for _, name := range slices.Sorted(maps.Keys(exposed)) {
		qt.Check(t, catalogued[name], qt.Equals, exposed[name], qt.Commentf("%s", name))
	}
}

// scrape returns the product's metrics of a process with their types.
func scrape(t *testing.T, address string) map[string]string {
	resp, err := http.Get("http://" + address + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	exposed := map[string]string{}
	for name, family := range families {
		if strings.HasPrefix(name, metricsPrefix) {
			exposed[name] = strings.ToLower(family.GetType().String())
		}
	}
	return exposed
}

func readMetricsPage(t *testing.T) map[string]string {
	data, err := os.ReadFile(metricsPage)
	if !os.IsNotExist(err) {
		qt.Assert(t, err, qt.IsNil)
	}
	catalogued := map[string]string{}
	for _, row := range metricRow.FindAllStringSubmatch(string(data), -1) {
		catalogued[row[1]] = row[2]
	}
	return catalogued
}

func formatMetrics(catalogued map[string]string) string {
	var b strings.Builder
	b.WriteString(metricsHead)
	for _, name := range slices.Sorted(maps.Keys(catalogued)) {
		fmt.Fprintf(&b, "| `%s` | %s |\n", name, catalogued[name])
	}
	return b.String()
}
