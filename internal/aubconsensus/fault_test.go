package aubconsensus_test

import (
	"fmt"
	"testing"
)

// faultScenario is a sequence of failures under client load.
type faultScenario struct {
	name string
	run  func(c *cluster, r *recorder)
}

var faultScenarios = []faultScenario{
	{"kill_between_write_and_sync", func(c *cluster, r *recorder) {
		for i, f := range []diskFault{crashBeforeSync, crashAfterSync, crashBeforeSync, crashAfterSync} {
			name := c.randomReplica()
			if i%2 == 0 {
				name = c.waitLeader()
			}
			c.failWrite(name, f)
			c.restart(name)
			r.waitProgress(5)
		}
	}},
	{"failed_write_stops_replica_until_restart", func(c *cluster, r *recorder) {
		name := c.waitLeader()
		c.failWrite(name, diskFull)
		r.waitProgress(20)
		c.restart(name)
		r.waitProgress(5)
	}},
	{"damaged_store_counts_as_lost_disk", func(c *cluster, r *recorder) {
		name := c.waitLeader()
		c.failWrite(name, crashAfterSync)
		c.loseDisk(name, true)
		c.start(name)
		c.waitVoter(name)
	}},
	{"second_disk_lost_after_first_is_rebuilt", func(c *cluster, r *recorder) {
		first := c.randomReplica()
		c.loseDisk(first, false)
		r.waitProgress(20)
		c.start(first)
		c.waitVoter(first)
		second := c.randomReplica(first)
		c.loseDisk(second, false)
		r.waitProgress(20)
		c.start(second)
		c.waitVoter(second)
	}},
	{"leader_partitioned", func(c *cluster, r *recorder) {
		for range 2 {
			c.network.isolate(c.waitLeader(), c.names(), true, true)
			c.sleepTimeouts(3)
			r.waitProgress(10)
			c.network.heal()
		}
	}},
	{"asymmetric_partitions", func(c *cluster, r *recorder) {
		c.network.isolate(c.waitLeader(), c.names(), true, false)
		c.sleepTimeouts(3)
		r.waitProgress(10)
		c.network.heal()
		c.network.isolate(c.waitLeader(), c.names(), false, true)
		c.sleepTimeouts(3)
		r.waitProgress(10)
		c.network.heal()
		name := c.randomReplica(c.waitLeader())
		c.network.isolate(name, c.names(), true, false)
		c.sleepTimeouts(3)
		r.waitProgress(10)
	}},
	{"leader_frozen_across_lease", func(c *cluster, r *recorder) {
		for range 3 {
			name := c.waitLeader()
			c.network.freeze(name)
			c.sleepTimeouts(4)
			r.waitProgress(4)
			c.network.thaw(name)
		}
	}},
	{"delayed_duplicated_and_lost_messages", func(c *cluster, r *recorder) {
		c.network.setFaultRate(0.1)
		c.sleepTimeouts(8)
		c.restart(c.randomReplica())
		c.sleepTimeouts(4)
	}},
	{"restart_after_hundreds_of_commits", func(c *cluster, r *recorder) {
		name := c.randomReplica(c.waitLeader())
		c.kill(name)
		r.waitProgress(200)
		c.start(name)
		r.waitProgress(20)
	}},
	{"rolling_restart", func(c *cluster, r *recorder) {
		for _, name := range c.names() {
			c.restart(name)
			c.waitVoter(name)
			r.waitProgress(5)
		}
	}},
	{"leadership_transfers", func(c *cluster, r *recorder) {
		for range 4 {
			replica, ok := c.replica(c.waitLeader())
			if ok {
				ctx, cancel := newContext()
				_ = replica.node.TransferLeadership(ctx)
				cancel()
			}
			r.waitProgress(5)
		}
	}},
	{"combined_faults", func(c *cluster, r *recorder) {
		c.network.setFaultRate(0.05)
		for range 4 {
			name := c.randomReplica()
			c.network.isolate(c.randomReplica(name), c.names(), c.rand.IntN(2) == 0, true)
			c.restart(name)
			c.sleepTimeouts(2)
			c.network.heal()
			c.network.setFaultRate(0.05)
			frozen := c.waitLeader()
			c.network.freeze(frozen)
			c.sleepTimeouts(2)
			c.network.thaw(frozen)
		}
	}},
}

func TestHistoriesUnderFaults(t *testing.T) {
	for _, size := range []int{3, 5} {
		for i, f := range faultScenarios {
			t.Run(fmt.Sprintf("%s/%d_replicas", f.name, size), func(t *testing.T) {
				t.Parallel()
				seed := uint64(100*size + i)
				c := newCluster(t, size, seed)
				r := startClients(c, seed)
				r.waitProgress(20)
				f.run(c, r)
				c.network.heal()
				r.waitProgress(20)
				r.finish()
			})
		}
	}
}
