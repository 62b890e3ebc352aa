package aubcontrol_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

func (s *testSite) eventually(what string, holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *testSite) hasVoters(n int) func() bool {
	return func() bool {
		for _, i := range s.instances {
			status := i.replica.Status()
			if status.Leader == "" || len(status.Voters) != n || len(status.Learners) != 0 {
				return false
			}
		}
		return true
	}
}

func (s *testSite) wipe(name string) {
	if i, ok := s.instances[name]; ok {
		i.stop()
	}
	qt.Assert(s.t, os.RemoveAll(filepath.Join(s.dir, name)), qt.IsNil)
}

// TestOperatorRecoveryProcedures walks through the operators' pages on real folders: a
// disk is lost, an instance is replaced by another, the leadership is handed
// over, and a majority of the disks is lost.
func TestOperatorRecoveryProcedures(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	ctx := newContext(t)
	apply := func(name, body, want string) {
		result, err := s.instances[name].replica.Apply(ctx, "journal", []byte(body))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(result.Body), qt.Equals, want)
	}
	apply("a", "1", "1")

	// A lost disk under the old name comes back without an operator.
	s.wipe("b")
	apply("a", "2", "12")
	qt.Assert(t, s.start("b").replica.WaitReady(ctx), qt.IsNil)
	apply("b", "3", "123")

	// Another instance takes the place of c.
	s.eventually("three voters", s.hasVoters(3))
	leader := s.instances["a"].replica.Status().Leader
	if leader == "c" {
		qt.Assert(t, s.instances["c"].replica.TransferLeadership(ctx), qt.IsNil)
	}
	s.instances["c"].stop()
	s.peers[2] = aubcontrol.Peer{Name: "d", Address: freeAddress(t)}
	s.start("d")
	s.eventually("member is replaced", func() bool {
		return s.instances["a"].replica.ReplaceMember(ctx, "c", s.peers[2]) == nil
	})
	s.eventually("d votes", s.hasVoters(3))
	apply("d", "4", "1234")

	// The majority a, b is lost; only d is left, and holds everything.
	_, err := s.instances["d"].replica.Confirm(ctx)
	qt.Assert(t, err, qt.IsNil)
	s.wipe("a")
	s.wipe("b")
	s.instances["d"].stop()
	common := aubcommon.NewCommon(aubtimer.NewReal())
	opts := aubcontrol.RestoreOpts{Member: "d", Address: s.peers[2].Address, DataDir: filepath.Join(s.dir, "d")}
	_, err = aubcontrol.Restore(common, opts)
	var refused *aubcontrol.RestoreError
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	opts.AcceptLoss = true
	report, err := aubcontrol.Restore(common, opts)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Index > 4, qt.IsTrue)
	s.start("d")
	s.start("a")
	s.start("b")
	s.eventually("three voters again", s.hasVoters(3))
	apply("a", "5", "12345")
	leader = s.instances["a"].replica.Status().Leader
	qt.Assert(t, s.instances[leader].replica.TransferLeadership(ctx), qt.IsNil)
	apply(leader, "6", "123456")

	// Exported, and restored on an empty folder after all others are gone.
	_, err = s.instances["a"].replica.Confirm(ctx)
	qt.Assert(t, err, qt.IsNil)
	opts.Snapshot, err = s.instances["a"].replica.ExportSnapshot(ctx)
	qt.Assert(t, err, qt.IsNil)
	s.instances["a"].stop()
	offline, err := aubcontrol.ExportSnapshot(common, filepath.Join(s.dir, "a"), "a")
	qt.Assert(t, err, qt.IsNil)
	for i, export := range [][]byte{opts.Snapshot, offline} {
		for _, name := range []string{"a", "b", "d"} {
			s.wipe(name)
		}
		opts.Snapshot = export
		_, err = aubcontrol.Restore(common, opts)
		qt.Assert(t, err, qt.IsNil)
		s.start("d")
		apply("d", fmt.Sprint(i), "123456"+fmt.Sprint(i))
	}
}
