// Package aubplacement decides which backend server holds which models and
// adapters, and gives the orders for it. Planners are pure functions over a
// snapshot; the placer gathers the snapshot and sends the orders while its
// process leads.
package aubplacement

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Key names a model or an adapter.
type Key struct {
	Name    string
	Adapter bool
}

// Item is a model or adapter that must stay reachable.
type Item struct {
	Key Key
	// Base is the model below an adapter; empty for models.
	Base string
	// MemoryBytes is what one copy takes.
	MemoryBytes int64
	// Copies wished where memory allows.
	Copies int
}

// base returns the key of the adapter's model.
func (i Item) base() Key { return Key{Name: i.Base} }

// Backend is one backend server as reported, corrected by orders on their way.
type Backend struct {
	Name        string
	Zone        string
	Incarnation uint64
	MemoryBytes int64
	// UsedBytes counts everything that takes memory or may do so.
	UsedBytes int64
	Residents map[Key]aubwire.Residency
	// Leaving backend servers get nothing new, and what they hold counts as gone.
	Leaving bool
	// Busy backend servers get no orders now.
	Busy bool
	// Fenced is true once the agent accepted an order of the present leadership,
	// so that it refuses late ones of an earlier.
	Fenced bool
	// InFlight counts the requests running and queued there.
	InFlight int
}

// Demand is what callers ask for.
type Demand struct {
	Items map[Key]ItemDemand
	// Late is the share of answers, by workspace, that missed the target.
	Late map[string]float64
}

// ItemDemand is the demand for one item.
type ItemDemand struct {
	// Rate by workspace, requests a second.
	Rate map[string]float64
	// Forecast is the ratio of the rate expected soon to the present one.
	Forecast float64
	// Waiting counts the callers that wait for a load.
	Waiting int
	// ServiceSeconds is how long one request occupies a backend server.
	ServiceSeconds float64
	// LastArrival is the time of the last request on the snapshot's clock, 0 if none.
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

// Snapshot is all that a planner sees. Planners don't change it.
type Snapshot struct {
	// Now is the time on a clock that only grows.
	Now      time.Duration
	Items    []Item
	Backends []Backend
	Demand   Demand
	// Lost counts the copies on backend servers that went silent a short while ago
	// and may come back with them. They stand for second copies only.
	Lost map[Key]int
	// ModelLoads and AdapterLoads are the loads that may start now.
	ModelLoads   int
	AdapterLoads int
	Objective    Objective
	// Capacity is the number of requests in flight at which half of the answers
	// of a backend server miss the target.
	Capacity float64
	// Moves are the last loads and unloads, for hysteresis.
	Moves map[MoveKey]Move
	// Intents keep room for loads that wait for an unload.
	Intents []Intent
}

// MoveKey names an item on a backend server.
type MoveKey struct {
	Backend string
	Item    Key
}

// Move is the last order given for an item on a backend server.
type Move struct {
	Action Action
	At     time.Duration
}

// Intent keeps room on a backend server for an item until a time.
type Intent struct {
	Backend string
	Item    Key
	Bytes   int64
	Until   time.Duration
}

// Action is what an order does.
type Action int

// Actions.
const (
	ActionLoad Action = iota + 1
	ActionUnload
	// ActionConfirm loads what is ready already, so that the agent confirms it
	// under the present fencing number.
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

// Reason says why an order is given.
type Reason string

// Reasons of orders.
const (
	ReasonUnreachable Reason = "unreachable"
	ReasonZone        Reason = "second_copy"
	ReasonAttainment  Reason = "attainment"
	ReasonRoom        Reason = "room"
	ReasonDemand      Reason = "on_demand"
	ReasonConfirm     Reason = "confirm"
	ReasonRemoved     Reason = "removed"
)

// Order is one change of what a backend server holds.
type Order struct {
	Action      Action
	Item        Item
	Backend     string
	Incarnation uint64
	Reason      Reason
}

// Plan is what a planner decides.
type Plan struct {
	// Orders in the order in which they are to be sent.
	Orders  []Order
	Intents []Intent
	// Unplaced items hold no copy and found no room.
	Unplaced []Key
}

// Objective says whose requests weigh most.
type Objective string

// Objectives.
const (
	// ObjectiveWorstServed weighs the workspaces that miss their target most.
	ObjectiveWorstServed Objective = "worst_served_workspace"
	// ObjectiveRefusals weighs all requests alike.
	ObjectiveRefusals Objective = "refusals_within_rate"
)

// Planner decides on orders. A planner is a pure function of the snapshot.
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
