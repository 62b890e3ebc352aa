package aubstate_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubstate"
	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
)

// FuzzTableCommand applies arbitrary bytes as commands. Each must return a decodable
// outcome, and the table must survive a snapshot and restore.
func FuzzTableCommand(f *testing.F) {
	for _, n := range []uint64{1, 2} {
		body, err := aubcodec.EncodeTicket(workspaceTicket(n, 1, "a", "b"))
		qt.Assert(f, err, qt.IsNil)
		f.Add(body, body)
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		table := newTable()
		for _, body := range [][]byte{a, b, a} {
			_, err := aubcodec.DecodeOutcome(table.Apply(aubcontrol.Command{Body: body}))
			qt.Assert(t, err, qt.IsNil)
		}
		data, err := table.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		restored := newTable()
		qt.Assert(t, restored.Restore(data), qt.IsNil)
		qt.Assert(t, restored.Config().Digest(), qt.Equals, table.Config().Digest())
	})
}

// FuzzTableSnapshot restores arbitrary bytes as a snapshot. They must be refused or
// give a working table.
func FuzzTableSnapshot(f *testing.F) {
	table := newTable()
	apply(f, table, workspaceTicket(1, 1, "a"))
	data, err := table.Snapshot()
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		table := newTable()
		if err := table.Restore(data); err != nil {
			var refused *aubstate.SnapshotError
			qt.Assert(t, err, qt.ErrorAs, &refused)
			return
		}
		apply(t, table, workspaceTicket(1, 1, "a"))
	})
}
