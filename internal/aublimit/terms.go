package aublimit

import "time"

// Defaults of the terms.
const (
	// DefaultLease is the time for which leased tokens may be spent.
	DefaultLease = 3 * time.Second
	// DefaultLeaseMargin is what the table waits beyond the lease; it covers the
	// drift between the holder's clock and the replicated clock.
	DefaultLeaseMargin = time.Second
	// DefaultFloorLease is the time for which a floor is owned without contact.
	DefaultFloorLease = 12 * time.Hour
	// DefaultFloorMargin is what the table waits beyond the floor's lease.
	DefaultFloorMargin = 5 * time.Minute
	// DefaultFloorPerMille is the part of rate and burst given to floors.
	DefaultFloorPerMille = 200
	// shortTime is how long a workspace counts as short after its bucket was low.
	shortTime = 2 * time.Second
	// forgetCentral is how long the bucket of a removed workspace is kept.
	forgetCentral = 24 * time.Hour
)

// Terms are the conditions on which tokens are lent. They are part of the
// replicated state's rules: every replica must have the same.
type Terms struct {
	Lease       time.Duration
	LeaseMargin time.Duration
	FloorLease  time.Duration
	FloorMargin time.Duration
	// FloorPerMille is the part of rate and burst, in thousandths, that the floors
	// of all zones have together; below 0 means none.
	FloorPerMille int64
}

func (t Terms) withDefaults() Terms {
	if t.Lease <= 0 {
		t.Lease = DefaultLease
	}
	if t.LeaseMargin <= 0 {
		t.LeaseMargin = DefaultLeaseMargin
	}
	if t.FloorLease <= 0 {
		t.FloorLease = DefaultFloorLease
	}
	if t.FloorMargin <= 0 {
		t.FloorMargin = DefaultFloorMargin
	}
	if t.FloorPerMille == 0 {
		t.FloorPerMille = DefaultFloorPerMille
	}
	t.FloorPerMille = min(max(t.FloorPerMille, 0), perMille)
	return t
}
