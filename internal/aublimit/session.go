package aublimit

import (
	"cmp"
	"strings"
	"time"
)

// holderID names one incarnation of an instance.
type holderID struct {
	instance    string
	incarnation uint64
}

func (h holderID) compare(other holderID) int {
	if c := strings.Compare(h.instance, other.instance); c != 0 {
		return c
	}
	return cmp.Compare(h.incarnation, other.incarnation)
}

// session is what the table knows of one holder.
type session struct {
	id       holderID
	zone     string
	sequence uint64
	// epoch names the lease that amounts refer to; 0 once the lease has ended.
	epoch    uint64
	leaseEnd time.Duration
	floorEnd time.Duration
	// left is set once the holder gave everything up.
	left bool
	// reply is the encoded answer to the last sequence.
	reply    []byte
	accounts map[string]*holding
}

// holding is what one holder has of one workspace.
type holding struct {
	outstanding int64
	// held is the largest floor the holder may act by; offered the newest one.
	held    floor
	offered floor
}

func (s *session) holding(workspace string) *holding {
	h, ok := s.accounts[workspace]
	if !ok {
		h = &holding{}
		s.accounts[workspace] = h
	}
	return h
}
