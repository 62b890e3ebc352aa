package aubmetric

import "github.com/uber-go/tally/v4"

// Direction is whether bytes were sent or received.
type Direction int

// Directions of bytes.
const (
	Sent Direction = iota
	Received
)

// PeerZone is the availability zone of the other end, relative to the own one.
type PeerZone int

// Zones of the other end.
const (
	PeerZoneUnknown PeerZone = iota
	PeerZoneOwn
	PeerZoneOther
)

// PeerZoneOf compares the zones of both ends; an empty one is not known.
func PeerZoneOf(own, other string) PeerZone {
	switch {
	case own == "" || other == "":
		return PeerZoneUnknown
	case own == other:
		return PeerZoneOwn
	}
	return PeerZoneOther
}

// ByteCounters counts the bytes of messages by kind, direction and zone of the other end.
type ByteCounters struct {
	counters map[string][2][3]tally.Counter
}

// NewByteCounters returns the counters of the series message_bytes for the kinds.
func NewByteCounters(scope tally.Scope, kinds ...string) *ByteCounters {
	directions := [2]string{Sent: "sent", Received: "received"}
	zones := [3]string{PeerZoneUnknown: "unknown", PeerZoneOwn: "own", PeerZoneOther: "other"}
	c := &ByteCounters{counters: make(map[string][2][3]tally.Counter)}
	for _, kind := range kinds {
		var counters [2][3]tally.Counter
		for d, direction := range directions {
			for z, zone := range zones {
				tags := map[string]string{"kind": kind, "direction": direction, "peer_zone": zone}
				counters[d][z] = scope.Tagged(tags).Counter("message_bytes")
			}
		}
		c.counters[kind] = counters
	}
	return c
}

// Add counts n bytes of one of the kinds.
func (c *ByteCounters) Add(kind string, direction Direction, zone PeerZone, n int) {
	c.counters[kind][direction][zone].Inc(int64(n))
}
