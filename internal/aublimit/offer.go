package aublimit

// topology holds the numbers by which the floors are divided.
type topology struct {
	zones int
	// instances is the number of instances in one zone.
	instances int
}

// topology counts the zones with a holder, and the instances of the given zone.
// Several incarnations of an instance count once.
func (t *Table) topology(zone string) topology {
	zones := make(map[string]struct{})
	instances := make(map[string]struct{})
	for id, s := range t.sessions {
		if s.drained {
			continue
		}
		zones[s.zone] = struct{}{}
		if s.zone == zone {
			instances[id.instance] = struct{}{}
		}
	}
	return topology{zones: len(zones), instances: len(instances)}
}

// offerFloor moves the holder's floor towards its share and reports whether the
// offered floor changed. A decrease releases nothing until the holder acknowledges
// it. An increase takes only free capacity and counts as held immediately.
func (t *Table) offerFloor(c *centralState, h *holding, index uint64, counts topology) bool {
	target := totalFloor(c.limits, t.opts.LeaseParams.FloorPerMille).instanceShare(counts.zones, counts.instances)
	free := c.freeFloor(t.opts.LeaseParams.FloorPerMille)
	offered := floor{
		version:   index,
		rateMilli: min(target.rateMilli, h.heldFloor.rateMilli+free.rateMilli),
		burst:     min(target.burst, h.heldFloor.burst+free.burst),
	}
	if offered.equalLimits(h.offeredFloor) {
		return false
	}
	h.offeredFloor = offered
	combined := maxFloor(h.heldFloor, offered)
	c.addFloor(t.clock, combined.minus(h.heldFloor))
	h.heldFloor = combined
	return true
}
