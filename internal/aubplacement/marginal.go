package aubplacement

// MarginalAttainment keeps every item reachable first, then spreads second
// copies over zones, and then adds copies where they raise attainment by more
// than the move costs.
type MarginalAttainment struct{}

// Plan implements Planner.
func (MarginalAttainment) Plan(s Snapshot) Plan {
	b := newBoard(s)
	b.discard()
	b.spreadLoad()
	b.reach()
	b.spread()
	b.gain()
	return b.plan
}
