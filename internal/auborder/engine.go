// Package auborder places models and adapters on model engines by direct orders.
// Only the control leader gives orders, under a fencing number of its term. The
// planner is a pure function over a snapshot.
package auborder

import (
	"context"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Action is what an order does.
type Action int

// Actions.
const (
	ActionLoad Action = iota + 1
	ActionUnload
)

// String returns the action's name in logs.
func (a Action) String() string {
	if a == ActionUnload {
		return "unload"
	}
	return "load"
}

// Order changes what one engine holds.
type Order struct {
	Action Action
	Model  string
	// Adapter is empty for an order that concerns the model itself.
	Adapter string
	// Sequence is the number of orders that the engine must have accepted before.
	Sequence int64
	// Holder names the process that gives the order, Fence orders the holders.
	Holder string
	Fence  uint64
}

// Outcome is what an engine made of an order.
type Outcome int

// Outcomes.
const (
	// OutcomeUnknown orders may be carried out now, later or never.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted orders are being carried out.
	OutcomeAccepted
	// OutcomeHolds means that the engine is in the wanted state already.
	OutcomeHolds
	// OutcomeConflict means that another order is in progress or the sequence differs.
	OutcomeConflict
	// OutcomeRefused orders are never carried out.
	OutcomeRefused
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "refused"}[o]
}

// Report is the state of an engine, some hundred milliseconds old.
type Report struct {
	Sequence int64
	// Busy is set while a model is loaded or unloaded.
	Busy   bool
	Models []*aubwire.ModelCopy
}

// Engine gives orders to backend servers and reads their state.
type Engine interface {
	// Order sends one order; an error leaves its outcome unknown.
	Order(ctx context.Context, backend *aubwire.BackendRecord, order Order) (Outcome, error)
	// Report reads the state of a backend server.
	Report(ctx context.Context, backend *aubwire.BackendRecord) (Report, error)
}
