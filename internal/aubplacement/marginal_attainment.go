package aubplacement

// MarginalAttainment first loads items without a copy, then adds redundant copies in
// other availability zones, and then adds copies that raise attainment by more than
// they cost.
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
