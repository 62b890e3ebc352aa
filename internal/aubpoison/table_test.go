package aubpoison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// crashStep is one crash report applied to the table.
type crashStep struct {
	clock        time.Duration
	crashID      string
	fingerprints []string
}

// TestVerdicts applies crash reports, checks the verdicts and that a restored
// snapshot equals the original.
func TestVerdicts(t *testing.T) {
	tests := []struct {
		name  string
		steps []crashStep
		want  map[string]aubpoison.Verdict
	}{
		{
			name:  "one crash makes all fingerprints in flight suspects",
			steps: []crashStep{{crashID: "d1", fingerprints: []string{"bad", "good"}}},
			want:  map[string]aubpoison.Verdict{"bad": aubpoison.VerdictSuspect, "good": aubpoison.VerdictSuspect, "other": aubpoison.VerdictClear},
		},
		{
			name:  "second crash blocks only the fingerprint in flight at both",
			steps: []crashStep{{crashID: "d1", fingerprints: []string{"bad", "good"}}, {crashID: "d2", fingerprints: []string{"bad", "second"}}},
			want:  map[string]aubpoison.Verdict{"bad": aubpoison.VerdictBlocked, "good": aubpoison.VerdictSuspect, "second": aubpoison.VerdictSuspect},
		},
		{
			name:  "crash reported twice counts once",
			steps: []crashStep{{crashID: "d1", fingerprints: []string{"bad"}}, {crashID: "d1", fingerprints: []string{"bad"}}},
			want:  map[string]aubpoison.Verdict{"bad": aubpoison.VerdictSuspect},
		},
		{
			name:  "suspect expires",
			steps: []crashStep{{crashID: "d1", fingerprints: []string{"bad"}}, {clock: time.Hour, crashID: "d2", fingerprints: []string{"new"}}},
			want:  map[string]aubpoison.Verdict{"bad": aubpoison.VerdictClear, "new": aubpoison.VerdictSuspect},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := aubpoison.NewTable()
			for i, crash := range tt.steps {
				table.Apply(aubcontrol.Command{Index: uint64(i + 1), Clock: crash.clock, Body: encode(t, crash)})
			}
			checkVerdicts(t, table, tt.want)

			data, err := table.Snapshot()
			qt.Assert(t, err, qt.IsNil)
			restored := aubpoison.NewTable()
			qt.Assert(t, restored.Restore(data), qt.IsNil)
			again, err := restored.Snapshot()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again, qt.DeepEquals, data)
		})
	}
}

func checkVerdicts(t *testing.T, table *aubpoison.Table, want map[string]aubpoison.Verdict) {
	t.Helper()
	for fp, verdict := range want {
		got, _ := table.Verdict(fp)
		qt.Check(t, got, qt.Equals, verdict, qt.Commentf("fingerprint %s", fp))
	}
}

func encode(t *testing.T, crash crashStep) []byte {
	t.Helper()
	data, err := proto.Marshal(&aubwire.PoisonDeath{Backend: "b", DeathId: crash.crashID, Fingerprints: crash.fingerprints})
	qt.Assert(t, err, qt.IsNil)
	return data
}
