package aubplacement

import (
	"cmp"
	"context"
	"time"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Defaults of PlacerOpts.
const (
	DefaultInterval        = 500 * time.Millisecond
	DefaultSettleTime      = 2 * time.Second
	DefaultOrderTimeout    = 5 * time.Second
	DefaultLostGracePeriod = 30 * time.Second
	DefaultLoadRate        = 1.5
	DefaultLoadConcurrency = 4
	DefaultAdapterLimit    = 30
	DefaultCapacity        = 8.0
)

// OrderClient sends orders to agents.
type OrderClient interface {
	// Order sends one order and returns the agent's response. After an error the
	// outcome is unknown: the order may be executed now, later or never.
	Order(ctx context.Context, m aubmembership.Member, r *aubwire.OrderRequest) (*aubwire.OrderResponse, error)
}

// PlacerOpts are the options of NewPlacer.
type PlacerOpts struct {
	// Policy names the planner; empty means PolicyMarginalAttainment.
	Policy string
	// Objective decides the weights of workspaces; empty means ObjectiveWorstServed.
	Objective  Objective
	Leadership aubcontrol.Leadership
	Proposer   aubcontrol.Proposer
	Config     aubquery.ConfigSource
	Members    aubmembership.Source
	Orders     OrderClient
	// Demand replaces the demand that the entries announce; nil means their
	// announcements.
	Demand func() Demand
	// Interval is the time between plans; 0 means DefaultInterval.
	Interval time.Duration
	// SettleTime is the time after the start in which members are collected before the
	// first plan; 0 means DefaultSettleTime.
	SettleTime time.Duration
	// OrderTimeout bounds the call that sends one order; 0 means DefaultOrderTimeout.
	OrderTimeout time.Duration
	// LostGracePeriod is how long an unresponsive backend server may return before its
	// redundant copies are replaced; 0 means DefaultLostGracePeriod. Items left without
	// a copy are loaded immediately.
	LostGracePeriod time.Duration
	// LoadRate, in loads per second, and LoadConcurrency are the limits of the weight
	// store; 0 means the defaults.
	LoadRate        float64
	LoadConcurrency int
	// AdapterLimit is the number of concurrent adapter loads at full speed; 0 means
	// DefaultAdapterLimit.
	AdapterLimit int
	// Capacity is the number of requests in flight at which half of the responses of a
	// backend server miss the target; 0 means DefaultCapacity.
	Capacity float64
}

func (o PlacerOpts) withDefaults() PlacerOpts {
	o.Policy = cmp.Or(o.Policy, PolicyMarginalAttainment)
	o.Objective = cmp.Or(o.Objective, ObjectiveWorstServed)
	o.Interval = cmp.Or(o.Interval, DefaultInterval)
	o.SettleTime = cmp.Or(o.SettleTime, DefaultSettleTime)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, DefaultOrderTimeout)
	o.LostGracePeriod = cmp.Or(o.LostGracePeriod, DefaultLostGracePeriod)
	o.LoadRate = cmp.Or(o.LoadRate, DefaultLoadRate)
	o.LoadConcurrency = cmp.Or(o.LoadConcurrency, DefaultLoadConcurrency)
	o.AdapterLimit = cmp.Or(o.AdapterLimit, DefaultAdapterLimit)
	o.Capacity = cmp.Or(o.Capacity, DefaultCapacity)
	return o
}

func (o PlacerOpts) check() error {
	if o.Objective != ObjectiveWorstServed && o.Objective != ObjectiveRefusals {
		return &OptsError{Field: "objective", Value: string(o.Objective)}
	}
	return nil
}
