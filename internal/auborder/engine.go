// Package auborder places models and adapters on model engines by direct orders. Only
// the control leader sends orders, with its term as the fencing number. The planner is
// a pure function over a snapshot.
package auborder

import (
	"context"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Action is the operation that an order requests.
type Action int

// Actions of orders.
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

// Order requests one load or unload on one engine.
type Order struct {
	Action Action
	Model  string
	// Adapter is empty for an order about the model itself.
	Adapter string
	// Sequence is the number of orders that the engine must have accepted before this
	// one.
	Sequence int64
	// Holder identifies the process that sends the order, Fence is the term in which it
	// leads.
	Holder string
	Fence  uint64
}

// Outcome is the result of an order.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeUnknown orders may be executed now, later or never.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted orders are being executed.
	OutcomeAccepted
	// OutcomeAlreadyDone means that the engine already is in the requested state.
	OutcomeAlreadyDone
	// OutcomeConflict means that another order is in progress or the sequence differs.
	OutcomeConflict
	// OutcomeRefused orders are never executed.
	OutcomeRefused
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "refused"}[o]
}

// Report is the state of an engine, a few hundred milliseconds old.
type Report struct {
	// Sequence is the number of orders that the engine has accepted.
	Sequence int64
	// Busy is set while a model is being loaded or unloaded.
	Busy   bool
	Models []*aubwire.ModelCopy
}

// Engine sends orders to backend servers and reads their state.
type Engine interface {
	// Order sends one order; an error leaves its outcome unknown.
	Order(ctx context.Context, backend *aubwire.BackendRecord, order Order) (Outcome, error)
	// Report reads the state of a backend server.
	Report(ctx context.Context, backend *aubwire.BackendRecord) (Report, error)
}
