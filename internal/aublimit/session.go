package aublimit

import (
	"cmp"
	"strings"
	"time"
)

// holderID identifies one incarnation of an instance.
type holderID struct {
	instance    string
	incarnation uint64
}

// compare orders by instance, then incarnation.
func (h holderID) compare(other holderID) int {
	if c := strings.Compare(h.instance, other.instance); c != 0 {
		return c
	}
	return cmp.Compare(h.incarnation, other.incarnation)
}

// tableSession is the table's record of one holder.
type tableSession struct {
	id   holderID
	zone string
	// sequence is the number of the last applied sync.
	sequence uint64
	// epoch identifies the lease that amounts belong to; 0 after the lease has ended.
	epoch uint64
	// leaseEnd and floorEnd are expiry times on the replicated clock, margin included.
	leaseEnd time.Duration
	floorEnd time.Duration
	// drained is set once the holder has returned everything.
	drained bool
	// reply is the encoded reply to the last sequence.
	reply []byte
	// holdings has the workspace as key.
	holdings map[string]*holding
}

// holding is the tokens and floor that one holder has of one workspace.
type holding struct {
	// outstanding is the number of leased tokens not reported as spent or returned.
	outstanding int64
	// heldFloor is the largest floor that the holder may use, offeredFloor the newest
	// one.
	heldFloor    floor
	offeredFloor floor
}

// holding returns the holding of a workspace, a new one if there is none.
func (s *tableSession) holding(workspace string) *holding {
	h, ok := s.holdings[workspace]
	if !ok {
		h = &holding{}
		s.holdings[workspace] = h
	}
	return h
}
