package aublimit

import (
	"maps"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// applyUses applies the spent, returned and credited amounts of a sync. Amounts of
// another epoch belong to a lease that has ended. They are ignored, so that a
// delayed or duplicate sync doesn't release tokens of a newer lease.
func (t *Table) applyUses(session *tableSession, sync *aubwire.LimitSync) {
	isCurrentEpoch := session.epoch != 0 && sync.GetEpoch() == session.epoch
	for _, use := range sync.GetUses() {
		c, ok := t.centralState(use.GetWorkspace())
		if !ok {
			continue
		}
		h := session.holding(use.GetWorkspace())
		if isCurrentEpoch {
			t.applyUse(c, h, use)
		}
		t.acknowledgeFloor(c, h, use.GetFloorVersion())
	}
}

// applyUse applies the amounts of one workspace, limited to the outstanding tokens.
func (t *Table) applyUse(c *centralState, h *holding, use *aubwire.LimitUse) {
	spent := min(max(use.GetSpent(), 0), h.outstanding)
	h.outstanding -= spent
	c.bucket.removeOutstanding(t.clock, spent)
	returned := min(max(use.GetReturned(), 0), h.outstanding)
	h.outstanding -= returned
	c.bucket.returnOutstanding(t.clock, returned)
	for _, credit := range use.GetCredits() {
		c.bucket.credit(time.Duration(credit.GetSinceNs()), credit.GetTokens())
	}
}

// acknowledgeFloor releases the difference between the held floor and the offered
// one once the holder has confirmed the offered version.
func (t *Table) acknowledgeFloor(c *centralState, h *holding, version uint64) {
	if version == 0 || version != h.offeredFloor.version || h.heldFloor.equalLimits(h.offeredFloor) {
		return
	}
	c.addFloor(t.clock, h.offeredFloor.minus(h.heldFloor))
	h.heldFloor = h.offeredFloor
}

// grant offers floors, then leases the requested tokens as far as available. It
// returns the grants in order of workspace.
func (t *Table) grant(session *tableSession, index uint64, sync *aubwire.LimitSync) []*aubwire.LimitGrant {
	grants := make(map[string]*aubwire.LimitGrant, len(sync.GetUses()))
	reportedVersions := make(map[string]uint64, len(sync.GetUses()))
	for _, use := range sync.GetUses() {
		name := use.GetWorkspace()
		reportedVersions[name] = use.GetFloorVersion()
		grants[name] = &aubwire.LimitGrant{Workspace: name, Unknown: true}
	}
	topology := t.topology(session.zone)
	for name, h := range session.holdings {
		c, ok := t.centralState(name)
		if !ok {
			continue
		}
		changed := t.offerFloor(c, h, index, topology)
		_, reported := grants[name]
		if reported || changed || t.clock < c.shortUntil {
			grants[name] = &aubwire.LimitGrant{Workspace: name}
		}
		if g, ok := grants[name]; ok && (!reported || reportedVersions[name] != h.offeredFloor.version) {
			g.Floor = h.offeredFloor.wire()
		}
	}
	for _, use := range sync.GetUses() {
		t.lease(session, use, grants[use.GetWorkspace()])
	}
	return t.addCentralStates(grants)
}

// lease leases the requested tokens of one workspace, as far as available.
func (t *Table) lease(session *tableSession, use *aubwire.LimitUse, g *aubwire.LimitGrant) {
	if g.GetUnknown() {
		return
	}
	c, h := t.centrals[use.GetWorkspace()], session.holding(use.GetWorkspace())
	g.Granted = c.bucket.lease(use.GetWant())
	h.outstanding += g.GetGranted()
	if g.GetGranted() < use.GetWant() || c.bucket.level < c.bucket.capacity/2 {
		// Holders return unneeded floor tokens while the workspace is short. These
		// have to arrive before the bucket is empty.
		c.shortUntil = t.clock + shortagePeriod
	}
}

// addCentralStates adds the level, rate and capacity of the central buckets to the
// grants and returns them in order of workspace.
func (t *Table) addCentralStates(grants map[string]*aubwire.LimitGrant) []*aubwire.LimitGrant {
	sorted := make([]*aubwire.LimitGrant, 0, len(grants))
	for _, name := range slices.Sorted(maps.Keys(grants)) {
		g := grants[name]
		if !g.GetUnknown() {
			c := t.centrals[name]
			g.Level = c.bucket.level.wholeTokens()
			g.RateMilli = c.bucket.rateMilli
			g.Capacity = c.bucket.capacity.wholeTokens()
			g.Short = t.clock < c.shortUntil
		}
		sorted = append(sorted, g)
	}
	return sorted
}

// centralState returns the workspace's state, refilled until now. A workspace that
// is not configured has one only until it is deleted by expire.
func (t *Table) centralState(name string) (*centralState, bool) {
	if c, ok := t.centrals[name]; ok {
		t.advance(name, c)
		return c, true
	}
	w, ok := t.opts.Workspaces(name)
	if !ok {
		return nil, false
	}
	c := newCentralState(t.clock, limits{rate: w.Rate, burst: w.Burst})
	t.centrals[name] = c
	return c, true
}

// advance refills the state's bucket until now with the configured limits.
func (t *Table) advance(name string, c *centralState) {
	w, ok := t.opts.Workspaces(name)
	if !ok {
		c.advance(t.clock, limits{})
		return
	}
	c.advance(t.clock, limits{rate: w.Rate, burst: w.Burst})
}
