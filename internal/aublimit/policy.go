package aublimit

import "context"

// Settler is a reservation that is settled once with what was used.
type Settler interface {
	Settle(used int64)
}

// Policy decides whether a workspace may take tokens here and now.
type Policy[R Settler] interface {
	// Reserve takes the tokens or returns *RefusedError or *CanceledError.
	Reserve(ctx context.Context, workspace string, tokens int64) (R, error)
}

// Reservation is an amount that was taken before a request runs.
type Reservation struct {
	settlement *settlement
}

var _ Settler = Reservation{}

// settler takes back what a reservation did not use.
type settler interface {
	settle(s *settlement, used int64)
}

// settlement is where the tokens of a reservation came from.
type settlement struct {
	settler   settler
	workspace string
	tokens    int64
	parts     parts
	done      bool
}

// Settle returns the unused part, or charges what was used beyond the
// reservation as a debt that is paid before anything new is spent. Calls after
// the first do nothing.
func (r Reservation) Settle(used int64) {
	if r.settlement != nil {
		r.settlement.settler.settle(r.settlement, used)
	}
}
