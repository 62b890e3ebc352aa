package aubsettings_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/auburndale/auburndale/internal/aubsettings"
)

func TestParseReportsEveryFault(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		name := filepath.Base(file)
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			_, err = aubsettings.Parse(name, data)
			var faults *aubsettings.FaultsError
			qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
			goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

func TestExampleSitesHaveNoFaults(t *testing.T) {
	files, err := filepath.Glob("../../examples/site/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		_, err := aubsettings.Load(file)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", file))
	}
}

func TestReferencePageIsUpToDate(t *testing.T) {
	var page bytes.Buffer
	qt.Assert(t, aubsettings.WriteReference(&page), qt.IsNil)
	committed, err := os.ReadFile("../../docs/SETTINGS.md")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, page.String(), qt.Equals, string(committed), qt.Commentf("run make generate"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("name: a\nzone: b\n"))
	f.Add([]byte("name: [a]\nlog: {level: x}\nmembership: 3\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = aubsettings.Parse("fuzz", data)
	})
}
