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
		if c.usedAt+forgetCentral <= t.clock {
			t.forget(name, c)
		}
	}
}

// endLease writes off the outstanding tokens of the session. Amounts reported
// later for this lease are ignored.
func (t *Table) endLease(s *session) {
	for name, h := range s.accounts {
		if h.outstanding == 0 {
			continue
		}
		c := t.centrals[name]
		t.advance(name, c)
		c.bucket.spend(t.clock, h.outstanding)
		h.outstanding = 0
	}
	s.epoch = 0
}

// endFloors releases all floors of the holder.
func (t *Table) endFloors(s *session) {
	for name, h := range s.accounts {
		if h.held != (floor{}) {
			c := t.centrals[name]
			t.advance(name, c)
			c.hold(t.clock, floor{}.minus(h.held))
		}
		delete(s.accounts, name)
	}
}

// deleteUnused deletes the state of a workspace that is not configured, unless it
// still has outstanding tokens or floors.
func (t *Table) forget(name string, c *central) {
	if _, ok := t.opts.Workspaces(name); ok || c.bucket.lent > 0 || c.held != (floor{}) {
		return
	}
	delete(t.centrals, name)
}
