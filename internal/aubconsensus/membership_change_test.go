package aubconsensus_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// commitValue commits one value at any replica that accepts it.
func (c *cluster) commitValue(key, value string) {
	ctx, cancel := newContext()
	defer cancel()
	c.eventually("append is committed", func() bool {
		for _, name := range c.names() {
			replica, ok := c.replica(name)
			if !ok {
				continue
			}
			if _, _, err := replica.node.Propose(ctx, []byte(key+" "+value)); err == nil {
				return true
			}
		}
		return false
	})
}

func (c *cluster) waitValueOnAll(key, want string) {
	for _, name := range c.names() {
		c.eventually("replica "+name+" holds "+want, func() bool {
			replica, ok := c.replica(name)
			return ok && replica.machine.get(key) == want
		})
	}
}

func TestLostMajorityRefusesCommandsUntilRestored(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size, uint64(size))
			c.commitValue("k", "kept")
			c.waitValueOnAll("k", "kept,")
			survivor := c.peers[size-1].Name
			for _, name := range c.names()[:size/2+1] {
				c.loseDisk(name, false)
			}
			for _, name := range c.names()[:size/2+1] {
				c.start(name)
			}
			c.assertRefusesCommands()

			for _, name := range c.names() {
				c.kill(name)
			}
			self := aubconsensus.Peer{Name: survivor, Address: survivor}
			_, err := aubconsensus.RestoreFromDisk(c.disks[survivor].open(), self)
			qt.Assert(t, err, qt.IsNil)
			c.start(survivor)
			for _, name := range c.names()[:size-1] {
				c.loseDisk(name, false)
				c.start(name)
			}
			for _, name := range c.names() {
				c.waitVoter(name)
			}
			c.commitValue("k", "new")
			c.waitValueOnAll("k", "kept,new,")
		})
	}
}

// assertRefusesCommands checks for ten election timeouts that no replica leads
// or accepts a command.
func (c *cluster) assertRefusesCommands() {
	ctx, cancel := newContext()
	defer cancel()
	c.eventually("an earlier leader steps down", func() bool {
		for _, name := range c.names() {
			if replica, ok := c.replica(name); ok && replica.node.Status().IsLeader {
				return false
			}
		}
		return true
	})
	for range 10 {
		c.sleepTimeouts(1)
		for _, name := range c.names() {
			replica, ok := c.replica(name)
			qt.Assert(c.t, ok, qt.IsTrue)
			_, _, err := replica.node.Propose(ctx, []byte("k lost"))
			var refused *aubconsensus.NotLeaderError
			qt.Assert(c.t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%s: %v", name, err))
			_, isLeading := replica.node.Leading()
			qt.Assert(c.t, isLeading, qt.IsFalse)
		}
	}
}

func TestRestoreRefusesUnsuitableDisks(t *testing.T) {
	self := aubconsensus.Peer{Name: "a", Address: "a"}
	empty := newStoredDisk(false)
	var refused *aubconsensus.RestoreError
	_, err := aubconsensus.RestoreFromDisk(empty.open(), self)
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)

	c := newCluster(t, 1, 1)
	c.commitValue("k", "v")
	c.kill("a")
	export, err := aubconsensus.ExportDisk(c.disks["a"].open())
	qt.Assert(t, err, qt.IsNil)
	_, err = aubconsensus.RestoreFromExport(c.disks["a"].open(), self, export)
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
}

// TestDamagedStoresNeverFormACluster starts replicas on empty disks, one of
// which replaces a damaged store. They can't know what was lost with it, so they
// must not form a cluster.
func TestDamagedStoresNeverFormACluster(t *testing.T) {
	c := newCluster(t, 3, 1)
	for _, name := range c.names() {
		c.loseDisk(name, name == "b")
	}
	for _, name := range c.names() {
		c.start(name)
	}
	c.assertRefusesCommands()
}

func TestReplaceMember(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size, uint64(size))
			c.commitValue("k", "1")
			replaced := c.randomReplica(c.waitLeader())
			c.kill(replaced)
			oldDisk := c.disks[replaced]
			c.disks["x"] = newStoredDisk(false)
			joining := aubconsensus.Peer{Name: "x", Address: "x"}
			c.start("x")
			for i, p := range c.peers {
				if p.Name == replaced {
					c.peers[i] = joining
				}
			}
			c.replaceMember(replaced, joining)
			c.replaceMember(replaced, joining)

			// The replaced replica restarts on its old disk, where it is still a
			// voter. Its vote must not count.
			c.disks[replaced] = oldDisk
			c.start(replaced)
			killed := c.randomReplica("x", c.waitLeader())
			c.kill(killed)
			c.commitValue("k", "2")
			c.sleepTimeouts(4)
			_, isLeading := c.running[replaced].node.Leading()
			qt.Assert(t, isLeading, qt.IsFalse)
			c.kill(replaced)
			c.start(killed)
			c.waitValueOnAll("k", "1,2,")
		})
	}
}

func (c *cluster) replaceMember(replaced string, joining aubconsensus.Peer) {
	ctx, cancel := newContext()
	defer cancel()
	c.eventually("member is replaced", func() bool {
		replica, ok := c.replica(c.waitLeader())
		return ok && replica.node.ReplaceMember(ctx, replaced, joining) == nil
	})
}

// TestResumedLeaderConfirmsNoStaleReads queues reads at a frozen leader while
// another leader commits. Once resumed, the old leader may reject or delay the
// reads, but must not confirm its old commit index.
func TestResumedLeaderConfirmsNoStaleReads(t *testing.T) {
	const readers = 64
	c := newCluster(t, 3, 9)
	c.commitValue("k", "0")
	for round := range 4 {
		frozen := c.waitLeader()
		replica, ok := c.replica(frozen)
		qt.Assert(t, ok, qt.IsTrue)
		c.network.isolate(frozen, c.names(), true, true)
		c.network.freeze(frozen)
		var committed uint64
		c.eventually("another leader commits", func() bool {
			index, ok := c.commitValueExcept(frozen, fmt.Sprint(round))
			committed = index
			return ok
		})
		ctx, cancel := newContext()
		var wg sync.WaitGroup
		for range readers {
			wg.Go(func() {
				index, err := replica.node.ReadIndex(ctx)
				qt.Check(t, err != nil || index >= committed, qt.IsTrue, qt.Commentf("confirmed %d, committed %d", index, committed))
			})
		}
		c.sleepTimeouts(1)
		_, isLeading := replica.node.Leading()
		qt.Check(t, isLeading, qt.IsFalse)
		c.network.thaw(frozen)
		wg.Wait()
		cancel()
		c.network.heal()
	}
}

// commitValueExcept commits a value at any replica except the named one.
func (c *cluster) commitValueExcept(name, value string) (uint64, bool) {
	for _, other := range c.names() {
		replica, ok := c.replica(other)
		if !ok || other == name {
			continue
		}
		ctx, cancel := newContext()
		index, _, err := replica.node.Propose(ctx, []byte("k "+value))
		cancel()
		if err == nil {
			return index, true
		}
	}
	return 0, false
}

// TestLearnerWithoutLogIsNotPromoted lets a learner receive heartbeats but not
// the snapshot that it needs. It must not become a voter before it has the log.
func TestLearnerWithoutLogIsNotPromoted(t *testing.T) {
	c := newCluster(t, 3, 6)
	for i := range 60 {
		c.commitValue("k", fmt.Sprint(i))
	}
	// A voter that joined late may need a snapshot as well.
	for _, name := range c.names() {
		c.eventually("replica "+name+" holds the log", func() bool {
			replica, ok := c.replica(name)
			return ok && strings.HasSuffix(replica.machine.get("k"), "59,")
		})
	}
	wiped := c.randomReplica(c.waitLeader())
	c.loseDisk(wiped, false)
	c.network.setDropFilter(func(m *aubwire.ConsensusMessage) bool { return m.GetSnapshot() != nil })
	c.start(wiped)
	c.eventually("the replica is a learner", func() bool {
		replica, _ := c.replica(c.waitLeader())
		return len(replica.node.Status().Learners) == 1
	})
	c.sleepTimeouts(5)
	replica, _ := c.replica(c.waitLeader())
	qt.Assert(t, replica.node.Status().Learners, qt.HasLen, 1)
	c.network.setDropFilter(nil)
	c.waitVoter(wiped)
	rebuilt, _ := c.replica(wiped)
	qt.Assert(t, rebuilt.machine.get("k"), qt.Contains, "59,")
}

// TestNextLeaderFinishesMembershipChange kills the leader after the joint
// membership is committed and before another replica has the entry that ends it.
// The next leader must end the change.
func TestNextLeaderFinishesMembershipChange(t *testing.T) {
	c := newCluster(t, 5, 8)
	c.commitValue("k", "1")
	wiped := c.randomReplica(c.waitLeader())
	c.loseDisk(wiped, false)
	c.network.setDropFilter(endsMembershipChange)
	c.start(wiped)
	leader := c.waitLeader()
	c.eventually("the joint membership is applied by a follower", func() bool {
		replica, _ := c.replica(c.randomReplica(leader, wiped))
		s := replica.node.Status()
		return s.IsJoint && s.Applied == s.Commit && s.Applied > 2
	})
	c.sleepTimeouts(2)
	c.kill(leader)
	c.network.setDropFilter(nil)
	c.waitVoter(wiped)
	c.start(leader)
	c.commitValue("k", "2")
	c.waitValueOnAll("k", "1,2,")
}

// endsMembershipChange reports whether a message contains the membership that
// ends a change.
func endsMembershipChange(m *aubwire.ConsensusMessage) bool {
	for _, e := range m.GetAppend().GetEntries() {
		if e.GetKind() != aubwire.EntryKind_ENTRY_KIND_MEMBERSHIP {
			continue
		}
		set := &aubwire.Membership{}
		if proto.Unmarshal(e.GetData(), set) == nil && len(set.GetOutgoingVoters()) == 0 && len(set.GetLearners()) == 0 {
			return true
		}
	}
	return false
}
