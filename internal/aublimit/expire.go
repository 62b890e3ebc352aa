package aublimit

// expire ends leases and floors whose time, margin included, has passed on the
// replicated clock. The holder's own clock ended them before. Unreported tokens
// may have been spent, so nothing of them comes back.
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

// endLease forgets what is outstanding; amounts that still refer to the lease
// are ignored from now on.
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

// endFloors frees every floor of the holder.
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

// forget drops the bucket of a workspace that was removed long ago, unless
// something of it is still held.
func (t *Table) forget(name string, c *central) {
	if _, ok := t.opts.Workspaces(name); ok || c.bucket.lent > 0 || c.held != (floor{}) {
		return
	}
	delete(t.centrals, name)
}
