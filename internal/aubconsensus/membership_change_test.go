package aubconsensus_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// append commits one value, whoever leads.
func (c *cluster) append(key, value string) {
	ctx, cancel := newContext()
	defer cancel()
	c.eventually("append is committed", func() bool {
		for _, name := range c.names() {
			p, ok := c.process(name)
			if !ok {
				continue
			}
			if _, _, err := p.node.Propose(ctx, []byte(key+" "+value)); err == nil {
				return true
			}
		}
		return false
	})
}

func (c *cluster) hasEverywhere(key, want string) {
	for _, name := range c.names() {
		c.eventually("replica "+name+" holds "+want, func() bool {
			p, ok := c.process(name)
			return ok && p.machine.get(key) == want
		})
	}
}

func TestLostMajorityIsRefusedUntilRestored(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size, uint64(size))
			c.append("k", "kept")
			c.hasEverywhere("k", "kept,")
			survivor := c.peers[size-1].Name
			for _, name := range c.names()[:size/2+1] {
				c.loseDisk(name, false)
			}
			for _, name := range c.names()[:size/2+1] {
				c.start(name)
			}
			c.refusesCommands()

			for _, name := range c.names() {
				c.kill(name)
			}
			self := aubconsensus.Peer{Name: survivor, Address: survivor}
			_, err := aubconsensus.RestoreSurvivor(c.platters[survivor].open(), self)
			qt.Assert(t, err, qt.IsNil)
			c.start(survivor)
			for _, name := range c.names()[:size-1] {
				c.loseDisk(name, false)
				c.start(name)
			}
			for _, name := range c.names() {
				c.waitVoter(name)
			}
			c.append("k", "new")
			c.hasEverywhere("k", "kept,new,")
		})
	}
}

// refusesCommands checks for a while that no replica leads or takes a command.
func (c *cluster) refusesCommands() {
	ctx, cancel := newContext()
	defer cancel()
	c.eventually("an earlier leader steps down", func() bool {
		for _, name := range c.names() {
			if p, ok := c.process(name); ok && p.node.Status().LeaderHere {
				return false
			}
		}
		return true
	})
	for range 10 {
		c.run(1)
		for _, name := range c.names() {
			p, ok := c.process(name)
			qt.Assert(c.t, ok, qt.IsTrue)
			_, _, err := p.node.Propose(ctx, []byte("k lost"))
			var refused *aubconsensus.NotLeaderError
			qt.Assert(c.t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%s: %v", name, err))
			_, leads := p.node.Leading()
			qt.Assert(c.t, leads, qt.IsFalse)
		}
	}
}

func TestRestoreRefusesWrongFolders(t *testing.T) {
	self := aubconsensus.Peer{Name: "a", Address: "a"}
	empty := newPlatter(false)
	var refused *aubconsensus.RestoreError
	_, err := aubconsensus.RestoreSurvivor(empty.open(), self)
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)

	c := newCluster(t, 1, 1)
	c.append("k", "v")
	c.kill("a")
	held, err := aubconsensus.ExportDisk(c.platters["a"].open())
	qt.Assert(t, err, qt.IsNil)
	_, err = aubconsensus.RestoreExport(c.platters["a"].open(), self, held)
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
}

// TestDamagedStoresNeverFormACluster starts replicas whose stores were damaged:
// they can't know what was lost with them.
func TestDamagedStoresNeverFormACluster(t *testing.T) {
	c := newCluster(t, 3, 1)
	for _, name := range c.names() {
		c.loseDisk(name, name == "b")
	}
	for _, name := range c.names() {
		c.start(name)
	}
	c.refusesCommands()
}

func TestReplaceMemberByAnother(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size, uint64(size))
			c.append("k", "1")
			dead := c.any(c.leader())
			c.kill(dead)
			old := c.platters[dead]
			c.platters["x"] = newPlatter(false)
			joining := aubconsensus.Peer{Name: "x", Address: "x"}
			c.start("x")
			for i, p := range c.peers {
				if p.Name == dead {
					c.peers[i] = joining
				}
			}
			c.replace(dead, joining)
			c.replace(dead, joining)

			// The old disk wakes up with its old belief: it must not count.
			c.platters[dead] = old
			c.start(dead)
			lost := c.any("x", c.leader())
			c.kill(lost)
			c.append("k", "2")
			c.run(4)
			_, leads := c.running[dead].node.Leading()
			qt.Assert(t, leads, qt.IsFalse)
			c.kill(dead)
			c.start(lost)
			c.hasEverywhere("k", "1,2,")
		})
	}
}

func (c *cluster) replace(dead string, joining aubconsensus.Peer) {
	ctx, cancel := newContext()
	defer cancel()
	c.eventually("member is replaced", func() bool {
		p, ok := c.process(c.leader())
		return ok && p.node.ReplaceMember(ctx, dead, joining) == nil
	})
}

// TestWakingLeaderConfirmsNothingOld queues reads at a frozen leader while
// another one commits: on waking it may refuse them or wait, not answer from what
// it knew.
func TestWakingLeaderConfirmsNothingOld(t *testing.T) {
	const readers = 64
	c := newCluster(t, 3, 9)
	c.append("k", "0")
	for round := range 4 {
		frozen := c.leader()
		p, ok := c.process(frozen)
		qt.Assert(t, ok, qt.IsTrue)
		c.network.isolate(frozen, c.names(), true, true)
		c.network.freeze(frozen)
		var committed uint64
		c.eventually("another leader commits", func() bool {
			index, ok := c.appendBeside(frozen, fmt.Sprint(round))
			committed = index
			return ok
		})
		ctx, cancel := newContext()
		var wg sync.WaitGroup
		for range readers {
			wg.Go(func() {
				index, err := p.node.ReadIndex(ctx)
				qt.Check(t, err != nil || index >= committed, qt.IsTrue, qt.Commentf("confirmed %d, committed %d", index, committed))
			})
		}
		c.run(1)
		_, leads := p.node.Leading()
		qt.Check(t, leads, qt.IsFalse)
		c.network.thaw(frozen)
		wg.Wait()
		cancel()
		c.network.heal()
	}
}

// appendBeside commits a value at any replica but the named one.
func (c *cluster) appendBeside(name, value string) (uint64, bool) {
	for _, other := range c.names() {
		p, ok := c.process(other)
		if !ok || other == name {
			continue
		}
		ctx, cancel := newContext()
		index, _, err := p.node.Propose(ctx, []byte("k "+value))
		cancel()
		if err == nil {
			return index, true
		}
	}
	return 0, false
}

// TestLearnerWithoutTheLogGetsNoVote lets a learner hear the leader but not
// receive the snapshot that it needs.
func TestLearnerWithoutTheLogGetsNoVote(t *testing.T) {
	c := newCluster(t, 3, 6)
	for i := range 60 {
		c.append("k", fmt.Sprint(i))
	}
	lost := c.any(c.leader())
	c.loseDisk(lost, false)
	c.network.drop(func(m *aubwire.ConsensusMessage) bool { return m.GetSnapshot() != nil })
	c.start(lost)
	c.eventually("the replica is a learner", func() bool {
		p, _ := c.process(c.leader())
		return len(p.node.Status().Learners) == 1
	})
	c.run(5)
	p, _ := c.process(c.leader())
	qt.Assert(t, p.node.Status().Learners, qt.HasLen, 1)
	c.network.drop(nil)
	c.waitVoter(lost)
	other, _ := c.process(lost)
	qt.Assert(t, other.machine.get("k"), qt.Contains, "59,")
}

// TestNextLeaderFinishesAChange kills the leader after the joint set is committed
// and before anyone else has the entry that ends it.
func TestNextLeaderFinishesAChange(t *testing.T) {
	c := newCluster(t, 5, 8)
	c.append("k", "1")
	lost := c.any(c.leader())
	c.loseDisk(lost, false)
	c.network.drop(endsChange)
	c.start(lost)
	leader := c.leader()
	c.eventually("the joint set is applied by a follower", func() bool {
		p, _ := c.process(c.any(leader, lost))
		s := p.node.Status()
		return s.IsJoint && s.Applied == s.Commit && s.Applied > 2
	})
	c.run(2)
	c.kill(leader)
	c.network.drop(nil)
	c.waitVoter(lost)
	c.start(leader)
	c.append("k", "2")
	c.hasEverywhere("k", "1,2,")
}

// endsChange reports whether a message carries the set that ends a change.
func endsChange(m *aubwire.ConsensusMessage) bool {
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
