package aubsettings_test

import (
	"bytes"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/auburndale/auburndale/internal/aubsettings"
)

func TestExpandGivesTheSettingsOfEveryProcess(t *testing.T) {
	data, err := os.ReadFile("testdata/siteplan/small.yaml")
	qt.Assert(t, err, qt.IsNil)
	plan, err := aubsettings.ParseSitePlan("small.yaml", data)
	qt.Assert(t, err, qt.IsNil)
	files, err := aubsettings.Expand(plan)
	qt.Assert(t, err, qt.IsNil)

	var combined bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(files)) {
		combined.WriteString("# " + name + "\n")
		combined.Write(files[name])
	}
	goldie.New(t, goldie.WithFixtureDir("testdata/siteplan")).Assert(t, "small", combined.Bytes())
}

func TestSitePlanReportsEveryFault(t *testing.T) {
	_, err := aubsettings.ParseSitePlan("faults.yaml", []byte(`
name: faults
prefix: 127.300
zones: [a, b]
engines_per_zone: 0
policies: {queue: lifo}
engine: {max_batch: 0, memory: 48}
colour: red
`))
	var faults *aubsettings.FaultsError
	qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
	goldie.New(t, goldie.WithFixtureDir("testdata/siteplan")).Assert(t, "faults", []byte(err.Error()+"\n"))
}

// TestExampleSitePlansExpandWithoutFaults checks that the settings of each process of
// the example plans parse and that no two processes share an address.
func TestExampleSitePlansExpandWithoutFaults(t *testing.T) {
	for name, processes := range map[string]int{"zilina": 34, "pampa": 46} {
		t.Run(name, func(t *testing.T) {
			plan, err := aubsettings.LoadSitePlan(filepath.Join("../../examples", name, "site.yaml"))
			qt.Assert(t, err, qt.IsNil)
			files, err := aubsettings.Expand(plan)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, files, qt.HasLen, processes)
			usedBy := map[aubsettings.Address]string{}
			for process, text := range files {
				s, err := aubsettings.Parse(process, text)
				qt.Assert(t, err, qt.IsNil)
				for _, a := range []aubsettings.Address{s.Internal.Listen, s.Platform.Listen, s.Caller.Listen, s.Admin.Listen, s.Standin.Listen} {
					qt.Check(t, usedBy[a], qt.Equals, "", qt.Commentf("%s of %s", a, process))
					if a != "" {
						usedBy[a] = process
					}
				}
			}
		})
	}
}
