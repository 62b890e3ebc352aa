package aublimit

import "time"

// Defaults of the lease parameters.
const (
	// DefaultLease is the time for which leased tokens can be spent.
	DefaultLease = 3 * time.Second
	// DefaultLeaseMargin is the additional time until the table ends a lease. It
	// covers the drift between the holder's clock and the replicated clock.
	DefaultLeaseMargin = time.Second
	// DefaultFloorLease is the time for which a floor can be used without a sync.
	DefaultFloorLease = 12 * time.Hour
	// DefaultFloorMargin is the additional time until the table ends a floor.
	DefaultFloorMargin = 5 * time.Minute
	// DefaultFloorPerMille is the part of rate and burst, in thousandths, assigned
	// to floors.
	DefaultFloorPerMille = 200
	// shortagePeriod is the time for which a workspace counts as short of tokens after
	// a sync that found its bucket low.
	shortagePeriod = 2 * time.Second
	// centralRetention is the time for which the central state of a removed workspace
	// is retained.
	centralRetention = 24 * time.Hour
)

// LeaseParams configures the leases and floors that the table grants. The replicated
// state depends on it, so every replica must have the same values. A value of 0 means
// the default above, whose comment describes the field.
type LeaseParams struct {
	Lease       time.Duration
	LeaseMargin time.Duration
	FloorLease  time.Duration
	FloorMargin time.Duration
	// FloorPerMille is the part of rate and burst, in thousandths, assigned to the
	// floors of all zones together; a negative value means no floors.
	FloorPerMille int64
}

func (p LeaseParams) withDefaults() LeaseParams {
	if p.Lease <= 0 {
		p.Lease = DefaultLease
	}
	if p.LeaseMargin <= 0 {
		p.LeaseMargin = DefaultLeaseMargin
	}
	if p.FloorLease <= 0 {
		p.FloorLease = DefaultFloorLease
	}
	if p.FloorMargin <= 0 {
		p.FloorMargin = DefaultFloorMargin
	}
	if p.FloorPerMille == 0 {
		p.FloorPerMille = DefaultFloorPerMille
	}
	p.FloorPerMille = min(max(p.FloorPerMille, 0), perMille)
	return p
}
