package aublimit

import (
	"slices"
	"time"
)

// maxHeadrooms bounds the remembered minima; older ones become coarser.
const maxHeadrooms = 64

// headroom is the least distance to the capacity from a moment on.
type headroom struct {
	at    time.Duration
	least micro
}

// headrooms answers how far a bucket stayed below its capacity since a moment.
// Tokens that were taken and not used may come back only as far as the bucket
// would have had room for them all the time they were away: otherwise a window
// that begins in between could see more than burst plus rate times its length.
//
// The moments ascend and so do the minima.
type headrooms []headroom

// record notes the headroom at a moment, which must not be before the last one.
func (h *headrooms) record(at time.Duration, room micro) {
	room = max(room, 0)
	for len(*h) > 0 && (*h)[len(*h)-1].least >= room {
		*h = (*h)[:len(*h)-1]
	}
	if len(*h) > 0 && (*h)[len(*h)-1].at >= at {
		return
	}
	*h = append(*h, headroom{at: at, least: room})
	if len(*h) > maxHeadrooms {
		// The older minimum for the whole of both spans errs on the low side.
		(*h)[1].least = (*h)[0].least
		*h = slices.Delete(*h, 0, 1)
	}
}

// leastSince returns the least headroom recorded at the moment or later.
func (h headrooms) leastSince(at time.Duration) micro {
	i := h.search(at)
	if i == len(h) {
		return 0
	}
	return h[i].least
}

// fill notes that the bucket holds m more, and would have since the moment.
func (h *headrooms) fill(since time.Duration, m micro) {
	i := h.search(since)
	for j := i; j < len(*h); j++ {
		(*h)[j].least = max((*h)[j].least-m, 0)
	}
	for i > 0 && i < len(*h) && (*h)[i-1].least >= (*h)[i].least {
		*h = slices.Delete(*h, i-1, i)
		i--
	}
}

func (h headrooms) search(at time.Duration) int {
	i, _ := slices.BinarySearchFunc(h, at, func(r headroom, at time.Duration) int {
		if r.at < at {
			return -1
		}
		return 1
	})
	return i
}
