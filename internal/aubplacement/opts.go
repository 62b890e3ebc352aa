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

// Defaults of the options.
const (
	DefaultInterval        = 500 * time.Millisecond
	DefaultSettle          = 2 * time.Second
	DefaultOrderTimeout    = 5 * time.Second
	DefaultLostPatience    = 30 * time.Second
	DefaultLoadRate        = 1.5
	DefaultLoadConcurrency = 4
	DefaultAdapterLimit    = 30
	DefaultCapacity        = 8.0
)

// OrderClient sends orders to agents.
type OrderClient interface {
	// Order sends one order and returns the agent's answer. An error means that
	// the order may or may not be executed, now or later.
	Order(ctx context.Context, m aubmembership.Member, r *aubwire.OrderRequest) (*aubwire.OrderResponse, error)
}

// PlacerOpts are the options of NewPlacer.
type PlacerOpts struct {
	// Policy names the planner; empty means PolicyMarginalAttainment.
	Policy string
	// Objective of the site; empty means ObjectiveWorstServed.
	Objective  Objective
	Leadership aubcontrol.Leadership
	Proposer   aubcontrol.Proposer
	Config     aubquery.Source
	Members    aubmembership.Source
	Orders     OrderClient
	// Demand replaces what the entries announce; nil means their announcements.
	Demand func() Demand
	// Interval between plans; 0 means DefaultInterval.
	Interval time.Duration
	// Settle is how long after the start the members are gathered before the
	// first plan; 0 means DefaultSettle.
	Settle time.Duration
	// OrderTimeout bounds one order; 0 means DefaultOrderTimeout.
	OrderTimeout time.Duration
	// LostPatience is how long a silent backend server may come back before its
	// second copies are replaced; 0 means DefaultLostPatience. Items that are left
	// without a copy don't wait.
	LostPatience time.Duration
	// LoadRate, in loads a second, and LoadConcurrency are the weight store's
	// limits; 0 means the defaults.
	LoadRate        float64
	LoadConcurrency int
	// AdapterLimit is the number of adapter loads in flight at full speed; 0
	// means DefaultAdapterLimit.
	AdapterLimit int
	// Capacity is the number of requests in flight at which half of the answers
	// of a backend server miss the target; 0 means DefaultCapacity.
	Capacity float64
}

func (o PlacerOpts) withDefaults() PlacerOpts {
	o.Policy = cmp.Or(o.Policy, PolicyMarginalAttainment)
	o.Objective = cmp.Or(o.Objective, ObjectiveWorstServed)
	o.Interval = cmp.Or(o.Interval, DefaultInterval)
	o.Settle = cmp.Or(o.Settle, DefaultSettle)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, DefaultOrderTimeout)
	o.LostPatience = cmp.Or(o.LostPatience, DefaultLostPatience)
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
