package aubplacement

// MarginalAttainment keeps every item reachable first, then spreads second
// copies over zones, and then adds copies where they raise attainment by more
// than the move costs.
type MarginalAttainment struct{}

// Plan implements Planner.
func (MarginalAttainment) Plan(s Snapshot) Plan {
	b := newPlanBuilder(s)
	b.unloadRemovedItems()
	b.distributeLoad()
	b.loadMissingItems()
	b.addRedundantCopies()
	b.addCopiesForAttainment()
	return b.plan
}
