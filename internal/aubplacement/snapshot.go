// Package aubplacement decides which backend servers hold which models and adapters,
// and sends the orders for it. Planners are pure functions over a snapshot; the placer
// collects the snapshot and sends the orders while its process leads.
package aubplacement

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Key identifies a model or an adapter by its name.
type Key struct {
	Name    string
	Adapter bool
}

// Item is a model or adapter that must stay reachable.
type Item struct {
	Key Key
	// Base is the model that an adapter depends on; empty for models.
	Base string
	// MemoryBytes is the memory that one copy takes.
	MemoryBytes int64
	// Copies is the target number of copies where memory allows.
	Copies int
}

// base returns the key of the adapter's model.
func (i Item) base() Key { return Key{Name: i.Base} }

// Backend is one backend server as reported, with pending orders applied.
type Backend struct {
	Name        string
	Zone        string
	Incarnation uint64
	MemoryBytes int64
	// UsedBytes is the memory that is taken or that a pending order may take.
	UsedBytes int64
	Residents map[Key]aubwire.Residency
	// Draining is set if the backend server is shutting down: it gets no orders, and its
	// copies don't count.
	Draining bool
	// OrdersBlocked is set if the backend server gets no orders in this plan.
	OrdersBlocked bool
	// Fenced is set once the agent accepted an order of the current leadership, so that
	// it refuses late ones of an earlier leadership.
	Fenced bool
	// InFlight counts the running and queued requests.
	InFlight int
}

// Demand is the total demand of all callers.
type Demand struct {
	Items map[Key]ItemDemand
	// LateShare is the share of responses, by workspace, that missed the target.
	LateShare map[string]float64
}

// ItemDemand is the demand for one item.
type ItemDemand struct {
	// Rate is in requests per second, by workspace.
	Rate map[string]float64
	// Forecast is the ratio of the rate expected soon to the current rate.
	Forecast float64
	// Waiting counts the callers that wait for a load.
	Waiting int
	// ServiceSeconds is how long one request occupies a backend server.
	ServiceSeconds float64
	// LastArrival is when the last request arrived on the snapshot's clock, 0 if none
	// did.
	LastArrival time.Duration
}

// totalRate returns the rate over all workspaces.
func (d ItemDemand) totalRate() float64 {
	var sum float64
	for _, rate := range d.Rate {
		sum += rate
	}
	return sum
}

// Snapshot is the input of a planner. Planners don't change it.
type Snapshot struct {
	// Now is the time on a monotonic clock.
	Now      time.Duration
	Items    []Item
	Backends []Backend
	Demand   Demand
	// LostCopies counts the copies on backend servers that became unresponsive recently
	// and may return with them. They count towards an item's copy target, but do not
	// make it reachable.
	LostCopies map[Key]int
	// ModelLoadBudget and AdapterLoadBudget are the numbers of loads that may start now.
	ModelLoadBudget   int
	AdapterLoadBudget int
	Objective         Objective
	// Capacity is the number of requests in flight at which half of the responses of a
	// backend server miss the target.
	Capacity float64
	// Moves holds the last load or unload of each copy, so that a planner doesn't undo
	// it too soon.
	Moves map[CopyKey]Move
	// Reservations hold memory for loads that wait for an unload.
	Reservations []Reservation
}

// CopyKey identifies the copy of an item on a backend server.
type CopyKey struct {
	Backend string
	Item    Key
}

// Move is the last load or unload ordered for a copy.
type Move struct {
	Action Action
	At     time.Duration
}

// Reservation holds memory on a backend server for an item until a time on the snapshot's
// clock.
type Reservation struct {
	Backend string
	Item    Key
	Bytes   int64
	Until   time.Duration
}

// Action is the operation that an order requests.
type Action int

// Actions of orders.
const (
	ActionLoad Action = iota + 1
	ActionUnload
	// ActionConfirm orders a load of an item that is ready already, so that the agent
	// confirms it under the current fencing number.
	ActionConfirm
)

// String returns the action's name in logs and metrics.
func (a Action) String() string {
	switch a {
	case ActionLoad:
		return "load"
	case ActionUnload:
		return "unload"
	case ActionConfirm:
		return "confirm"
	}
	return "unknown"
}

// Reason is why an order is sent.
type Reason string

// Reasons of orders.
const (
	// ReasonUnreachable means that the item has no copy.
	ReasonUnreachable Reason = "unreachable"
	// ReasonRedundancy means that the item is below its copy target.
	ReasonRedundancy Reason = "second_copy"
	// ReasonAttainment means that a further copy raises attainment.
	ReasonAttainment Reason = "attainment"
	// ReasonMemory means that memory is freed for another item: by an unload, or by a
	// load elsewhere that has to precede one.
	ReasonMemory Reason = "room"
	// ReasonDemand means that callers wait for the item; only LeastRecentlyUsed uses it.
	ReasonDemand Reason = "on_demand"
	// ReasonConfirm means that the agent must confirm the copy under the current fencing
	// number.
	ReasonConfirm Reason = "confirm"
	// ReasonRemoved means that the configuration no longer names the item.
	ReasonRemoved Reason = "removed"
)

// Order is one operation on a backend server.
type Order struct {
	Action      Action
	Item        Item
	Backend     string
	Incarnation uint64
	Reason      Reason
}

// Plan is the output of a planner.
type Plan struct {
	// Orders are sent in this order.
	Orders       []Order
	Reservations []Reservation
	// Unplaced items have no copy, and no memory was found for one.
	Unplaced []Key
}

// Objective decides the weights of the workspaces' requests.
type Objective string

// Objectives.
const (
	// ObjectiveWorstServed gives more weight to workspaces that miss their target more
	// often.
	ObjectiveWorstServed Objective = "worst_served_workspace"
	// ObjectiveRefusals gives all requests the same weight.
	ObjectiveRefusals Objective = "refusals_within_rate"
)

// Planner computes a plan. It is a pure function of the snapshot.
type Planner[S, P any] interface {
	Plan(snapshot S) P
}

// Names of the placement policies.
const (
	PolicyMarginalAttainment = "marginal_attainment"
	PolicyLeastRecentlyUsed  = "least_recently_used"
)

// NewPlanner returns the planner of the policy. Errors are *OptsError.
func NewPlanner(policy string) (Planner[Snapshot, Plan], error) {
	switch policy {
	case PolicyMarginalAttainment, "":
		return MarginalAttainment{}, nil
	case PolicyLeastRecentlyUsed:
		return LeastRecentlyUsed{}, nil
	}
	return nil, &OptsError{Field: "policy", Value: policy}
}
