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
		if s.left {
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
func (t *Table) offer(c *central, h *holding, index uint64, top topology) bool {
	target := wholeFloor(c.limits, t.opts.Terms.FloorPerMille).share(top.zones, top.instances)
	room := c.room(t.opts.Terms.FloorPerMille)
	next := floor{
		version:   index,
		rateMilli: min(target.rateMilli, h.held.rateMilli+room.rateMilli),
		burst:     min(target.burst, h.held.burst+room.burst),
	}
	if next.same(h.offered) {
		return false
	}
	h.offered = next
	held := larger(h.held, next)
	c.hold(t.clock, held.minus(h.held))
	h.held = held
	return true
}
