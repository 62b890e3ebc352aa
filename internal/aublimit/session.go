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

// session is the table's record of one holder.
type session struct {
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
	left bool
	// reply is the encoded reply to the last sequence.
	reply []byte
	// holdings has the workspace as key.
	accounts map[string]*holding
}

// holding is the tokens and floor that one holder has of one workspace.
type holding struct {
	// outstanding is the number of leased tokens not reported as spent or returned.
	outstanding int64
	// heldFloor is the largest floor that the holder may use, offeredFloor the newest
	// one.
	held    floor
	offered floor
}

// holding returns the holding of a workspace, a new one if there is none.
func (s *session) holding(workspace string) *holding {
	h, ok := s.accounts[workspace]
	if !ok {
		h = &holding{}
		s.accounts[workspace] = h
	}
	return h
}
