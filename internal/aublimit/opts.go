package aublimit

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
)

// Defaults of the limiter's options.
const (
	// DefaultSyncEvery is the time between syncs while tokens move.
	DefaultSyncEvery = 100 * time.Millisecond
	// DefaultIdleEvery is the time between syncs while nothing moves.
	DefaultIdleEvery = time.Second
	// DefaultApplyTimeout bounds one try to commit a sync.
	DefaultApplyTimeout = time.Second
	// DefaultHorizon is the recent use that is fetched ahead.
	DefaultHorizon = 100 * time.Millisecond
	// DefaultMaxWait bounds how long a reservation waits for tokens.
	DefaultMaxWait = 500 * time.Millisecond
	// contactTimeout is the silence of the table after which it counts as cut off.
	contactTimeout = 2500 * time.Millisecond
)

// LimiterOpts configures the limiter of one instance.
type LimiterOpts struct {
	Instance string
	Zone     string
	// Incarnation grows with every start of the instance.
	Incarnation uint64
	// PredecessorEnded says that every earlier incarnation of the instance is
	// certainly gone, for example because this one holds its listen address or
	// the lock of its data folder. The instance then gets its floor, empty, at
	// once; else only when the predecessor's floor lease has ended.
	PredecessorEnded bool
	Proposer         aubcontrol.Proposer
	Source           aubquery.Source
	SyncEvery        time.Duration
	IdleEvery        time.Duration
	ApplyTimeout     time.Duration
	Horizon          time.Duration
	MaxWait          time.Duration
}

func (o LimiterOpts) withDefaults() LimiterOpts {
	if o.SyncEvery <= 0 {
		o.SyncEvery = DefaultSyncEvery
	}
	if o.IdleEvery <= 0 {
		o.IdleEvery = DefaultIdleEvery
	}
	if o.ApplyTimeout <= 0 {
		o.ApplyTimeout = DefaultApplyTimeout
	}
	if o.Horizon <= 0 {
		o.Horizon = DefaultHorizon
	}
	if o.MaxWait <= 0 {
		o.MaxWait = DefaultMaxWait
	}
	return o
}
