package aubconsensus_test

import (
	"fmt"
	"testing"
)

// fault is one scenario of failures under client load.
type fault struct {
	name string
	run  func(c *cluster, r *recorder)
}

var faults = []fault{
	{"kill_between_write_and_sync", func(c *cluster, r *recorder) {
		for i, f := range []diskFault{crashBeforeSync, crashAfterSync, crashBeforeSync, crashAfterSync} {
			name := c.any()
			if i%2 == 0 {
				name = c.leader()
			}
			c.fail(name, f)
			c.restart(name)
			r.progress(5)
		}
	}},
	{"failed_sync_or_full_disk_stops_for_good", func(c *cluster, r *recorder) {
		name := c.leader()
		c.fail(name, diskFull)
		r.progress(20)
		c.restart(name)
		r.progress(5)
	}},
	{"damaged_write_counts_as_lost_disk", func(c *cluster, r *recorder) {
		name := c.leader()
		c.fail(name, crashAfterSync)
		c.loseDisk(name, true)
		c.start(name)
		c.waitVoter(name)
	}},
	{"lost_disk_then_second_loss_after_repair", func(c *cluster, r *recorder) {
		first := c.any()
		c.loseDisk(first, false)
		r.progress(20)
		c.start(first)
		c.waitVoter(first)
		second := c.any(first)
		c.loseDisk(second, false)
		r.progress(20)
		c.start(second)
		c.waitVoter(second)
	}},
	{"total_cut_of_leader", func(c *cluster, r *recorder) {
		for range 2 {
			c.network.isolate(c.leader(), c.names(), true, true)
			c.run(3)
			r.progress(10)
			c.network.heal()
		}
	}},
	{"asymmetric_cuts", func(c *cluster, r *recorder) {
		c.network.isolate(c.leader(), c.names(), true, false)
		c.run(3)
		r.progress(10)
		c.network.heal()
		c.network.isolate(c.leader(), c.names(), false, true)
		c.run(3)
		r.progress(10)
		c.network.heal()
		name := c.any(c.leader())
		c.network.isolate(name, c.names(), true, false)
		c.run(3)
		r.progress(10)
	}},
	{"leader_frozen_across_lease", func(c *cluster, r *recorder) {
		for range 3 {
			name := c.leader()
			c.network.freeze(name)
			c.run(4)
			r.progress(4)
			c.network.thaw(name)
		}
	}},
	{"late_doubled_and_lost_messages", func(c *cluster, r *recorder) {
		c.network.setNoise(0.1)
		c.run(8)
		c.restart(c.any())
		c.run(4)
	}},
	{"restart_after_hundreds_of_changes", func(c *cluster, r *recorder) {
		name := c.any(c.leader())
		c.kill(name)
		r.progress(200)
		c.start(name)
		r.progress(20)
	}},
	{"rolling_restart", func(c *cluster, r *recorder) {
		for _, name := range c.names() {
			c.restart(name)
			c.waitVoter(name)
			r.progress(5)
		}
	}},
	{"leadership_transfers", func(c *cluster, r *recorder) {
		for range 4 {
			p, ok := c.process(c.leader())
			if ok {
				ctx, cancel := newContext()
				_ = p.node.TransferLeadership(ctx)
				cancel()
			}
			r.progress(5)
		}
	}},
	{"everything_at_once", func(c *cluster, r *recorder) {
		c.network.setNoise(0.05)
		for range 4 {
			name := c.any()
			c.network.isolate(c.any(name), c.names(), c.rand.IntN(2) == 0, true)
			c.restart(name)
			c.run(2)
			c.network.heal()
			c.network.setNoise(0.05)
			frozen := c.leader()
			c.network.freeze(frozen)
			c.run(2)
			c.network.thaw(frozen)
		}
	}},
}

func TestHistoriesUnderFaults(t *testing.T) {
	for _, size := range []int{3, 5} {
		for i, f := range faults {
			t.Run(fmt.Sprintf("%s/%d_replicas", f.name, size), func(t *testing.T) {
				t.Parallel()
				seed := uint64(100*size + i)
				c := newCluster(t, size, seed)
				r := startClients(c, seed)
				r.progress(20)
				f.run(c, r)
				c.network.heal()
				r.progress(20)
				r.finish()
			})
		}
	}
}
