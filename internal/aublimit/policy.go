package aublimit

import "context"

// Settler is a reservation that is settled once, with the number of used tokens.
type Settler interface {
	// Settle returns the unused tokens or charges those used beyond the reservation.
	Settle(used int64)
}

// Policy reserves tokens for requests of a workspace on this instance.
type Policy[R Settler] interface {
	// Reserve reserves the tokens or returns *RefusedError or *CanceledError.
	Reserve(ctx context.Context, workspace string, tokens int64) (R, error)
}

// Reservation is a number of tokens reserved before a request runs. The zero value
// reserves nothing.
type Reservation struct {
	settlement *settlement
}

var _ Settler = Reservation{}

// settler settles the reservations of one policy.
type settler interface {
	settle(s *settlement, used int64)
}

// settlement is the state needed to settle a reservation.
type settlement struct {
	settler   settler
	workspace string
	tokens    int64
	payment   payment
	done      bool
}

// Settle returns the unused tokens, or charges those used beyond the reservation
// as a debt, which is paid before new reservations. Only the first call has an
// effect.
func (r Reservation) Settle(used int64) {
	if r.settlement != nil {
		r.settlement.settler.settle(r.settlement, used)
	}
}
