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

func (s *testSite) eventually(description string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out: %s", description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *testSite) hasVoters(count int) func() bool {
	return func() bool {
		for _, i := range s.instances {
			status := i.replica.Status()
			if status.Leader == "" || len(status.Voters) != count || len(status.Learners) != 0 {
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

// TestOperatorRecoveryProcedures runs the operators' procedures on real data
// folders: a disk is lost, an instance is replaced by another, the leadership is
// transferred, and a majority of the disks is lost.
func TestOperatorRecoveryProcedures(t *testing.T) {
	site := newSite(t, "a", "b", "c")
	ctx := newContext(t)
	apply := func(name, body, want string) {
		result, err := site.instances[name].replica.Apply(ctx, "journal", []byte(body))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(result.Body), qt.Equals, want)
	}
	apply("a", "1", "1")

	// A replica that lost its disk rejoins under its old name without an
	// operator.
	site.wipe("b")
	apply("a", "2", "12")
	qt.Assert(t, site.start("b").replica.WaitReady(ctx), qt.IsNil)
	apply("b", "3", "123")

	// Another instance replaces c.
	site.eventually("three voters", site.hasVoters(3))
	leader := site.instances["a"].replica.Status().Leader
	if leader == "c" {
		qt.Assert(t, site.instances["c"].replica.TransferLeadership(ctx), qt.IsNil)
	}
	site.instances["c"].stop()
	site.peers[2] = aubcontrol.Peer{Name: "d", Address: freeAddress(t)}
	site.start("d")
	site.eventually("member is replaced", func() bool {
		return site.instances["a"].replica.ReplaceMember(ctx, "c", site.peers[2]) == nil
	})
	site.eventually("d is a voter", site.hasVoters(3))
	apply("d", "4", "1234")

	// The majority, a and b, is lost; only d remains, and holds everything.
	_, err := site.instances["d"].replica.Confirm(ctx)
	qt.Assert(t, err, qt.IsNil)
	site.wipe("a")
	site.wipe("b")
	site.instances["d"].stop()
	common := aubcommon.NewCommon(aubtimer.NewReal())
	opts := aubcontrol.RestoreOpts{Member: "d", Address: site.peers[2].Address, DataDir: filepath.Join(site.dir, "d")}
	_, err = aubcontrol.Restore(common, opts)
	var refused *aubcontrol.RestoreError
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	opts.AcceptLoss = true
	report, err := aubcontrol.Restore(common, opts)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Index > 4, qt.IsTrue)
	site.start("d")
	site.start("a")
	site.start("b")
	site.eventually("three voters again", site.hasVoters(3))
	apply("a", "5", "12345")
	leader = site.instances["a"].replica.Status().Leader
	qt.Assert(t, site.instances[leader].replica.TransferLeadership(ctx), qt.IsNil)
	apply(leader, "6", "123456")

	// The state is exported, and restored on an empty folder without the other
	// replicas.
	_, err = site.instances["a"].replica.Confirm(ctx)
	qt.Assert(t, err, qt.IsNil)
	opts.Snapshot, err = site.instances["a"].replica.ExportSnapshot(ctx)
	qt.Assert(t, err, qt.IsNil)
	site.instances["a"].stop()
	offline, err := aubcontrol.ExportSnapshot(common, filepath.Join(site.dir, "a"), "a")
	qt.Assert(t, err, qt.IsNil)
	for i, export := range [][]byte{opts.Snapshot, offline} {
		for _, name := range []string{"a", "b", "d"} {
			site.wipe(name)
		}
		opts.Snapshot = export
		_, err = aubcontrol.Restore(common, opts)
		qt.Assert(t, err, qt.IsNil)
		site.start("d")
		apply("d", fmt.Sprint(i), "123456"+fmt.Sprint(i))
	}
}
