package aublimit

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
)

// Defaults of the limiter's options.
const (
	// DefaultSyncInterval is the time between syncs while there are amounts to report.
	DefaultSyncInterval = 100 * time.Millisecond
	// DefaultFullSyncInterval is the time between full syncs, which renew the leases even
	// when there is nothing to report.
	DefaultFullSyncInterval = time.Second
	// DefaultApplyTimeout is the timeout of one attempt to commit a sync.
	DefaultApplyTimeout = time.Second
	// DefaultPrefetchPeriod is the period of average demand for which tokens are
	// prefetched.
	DefaultPrefetchPeriod = 100 * time.Millisecond
	// DefaultMaxWait is the maximum time for which a reservation waits for tokens.
	DefaultMaxWait = 500 * time.Millisecond
	// replyTimeout is the time without a reply after which the table counts as
	// unreachable.
	replyTimeout = 2500 * time.Millisecond
)

// LimiterOpts configures the limiter of one instance.
type LimiterOpts struct {
	Instance string
	Zone     string
	// Incarnation increases with every start of the instance.
	Incarnation uint64
	// PredecessorTerminated reports that every earlier incarnation of the instance has
	// certainly terminated, for example because this one holds its listen address or
	// the lock of its data folder. The instance then gets its floor immediately, with
	// an empty bucket. Otherwise it gets it when the predecessor's floor lease expires.
	PredecessorTerminated bool
	Proposer              aubcontrol.Proposer
	Source                aubquery.ConfigSource
	// Values of 0 or less in the fields below are replaced by the defaults above,
	// which describe the fields.
	SyncInterval     time.Duration
	FullSyncInterval time.Duration
	ApplyTimeout     time.Duration
	PrefetchPeriod   time.Duration
	MaxWait          time.Duration
}

func (o LimiterOpts) withDefaults() LimiterOpts {
	if o.SyncInterval <= 0 {
		o.SyncInterval = DefaultSyncInterval
	}
	if o.FullSyncInterval <= 0 {
		o.FullSyncInterval = DefaultFullSyncInterval
	}
	if o.ApplyTimeout <= 0 {
		o.ApplyTimeout = DefaultApplyTimeout
	}
	if o.PrefetchPeriod <= 0 {
		o.PrefetchPeriod = DefaultPrefetchPeriod
	}
	if o.MaxWait <= 0 {
		o.MaxWait = DefaultMaxWait
	}
	return o
}
