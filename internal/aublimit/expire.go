package aublimit

// expire ends leases and floors whose expiry time, margin included, has passed on
// the replicated clock, and deletes unused central states. The holder has ended
// them earlier by its own clock. Unreported tokens may have been spent, so they are
// not returned to the bucket.
func (t *Table) expire() {
	for id, s := range t.sessions {
		if s.epoch != 0 && s.leaseEnd <= t.clock {
			t.endLease(s)
		}
		if s.floorEnd <= t.clock {
			t.endLease(s)
			t.endFloors(s)
			delete(t.sessions, id)
		}
	}
	for name, c := range t.centrals {
		if c.configuredAt+centralRetention <= t.clock {
			t.deleteUnused(name, c)
		}
	}
}

// endLease writes off the outstanding tokens of the session. Amounts reported
// later for this lease are ignored.
func (t *Table) endLease(s *tableSession) {
	for name, h := range s.holdings {
		if h.outstanding == 0 {
			continue
		}
		c := t.centrals[name]
		t.advance(name, c)
		c.bucket.removeOutstanding(t.clock, h.outstanding)
		h.outstanding = 0
	}
	s.epoch = 0
}

// endFloors releases all floors of the holder.
func (t *Table) endFloors(s *tableSession) {
	for name, h := range s.holdings {
		if h.heldFloor != (floor{}) {
			c := t.centrals[name]
			t.advance(name, c)
			c.addFloor(t.clock, floor{}.minus(h.heldFloor))
		}
		delete(s.holdings, name)
	}
}

// deleteUnused deletes the state of a workspace that is not configured, unless it
// still has outstanding tokens or floors.
func (t *Table) deleteUnused(name string, c *centralState) {
	if _, ok := t.opts.Workspaces(name); ok || c.bucket.outstanding > 0 || c.heldFloors != (floor{}) {
		return
	}
	delete(t.centrals, name)
}
