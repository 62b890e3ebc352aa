package aublimit

import (
	"slices"
	"time"
)

// maxHeadrooms is the maximum number of recorded minima. Beyond it, the two oldest
// are merged.
const maxHeadrooms = 64

// headroom is the minimum free capacity of a bucket from a time on.
type headroom struct {
	at      time.Duration
	minFree microTokens
}

// headrooms records the minimum free capacity of a bucket since given times.
// Unused tokens are credited only up to the minimum free capacity since they were
// taken. Otherwise the spending in a window that begins in between could exceed
// burst plus rate times the window's length.
//
// Times and minima are both in ascending order.
type headrooms []headroom

// record adds the free capacity at a time, which must not be before the last one.
func (h *headrooms) record(at time.Duration, free microTokens) {
	free = max(free, 0)
	for len(*h) > 0 && (*h)[len(*h)-1].minFree >= free {
		*h = (*h)[:len(*h)-1]
	}
	if len(*h) > 0 && (*h)[len(*h)-1].at >= at {
		return
	}
	*h = append(*h, headroom{at: at, minFree: free})
	if len(*h) > maxHeadrooms {
		// The older minimum is the lower one, so using it for both spans is safe.
		(*h)[1].minFree = (*h)[0].minFree
		*h = slices.Delete(*h, 0, 1)
	}
}

// minSince returns the minimum headroom recorded at the given time or later, 0 if
// none is recorded.
func (h headrooms) minSince(at time.Duration) microTokens {
	i := h.search(at)
	if i == len(h) {
		return 0
	}
	return h[i].minFree
}

// reduce subtracts an amount credited to the bucket from the minima since the
// given time.
func (h *headrooms) reduce(since time.Duration, amount microTokens) {
	i := h.search(since)
	for j := i; j < len(*h); j++ {
		(*h)[j].minFree = max((*h)[j].minFree-amount, 0)
	}
	for i > 0 && i < len(*h) && (*h)[i-1].minFree >= (*h)[i].minFree {
		*h = slices.Delete(*h, i-1, i)
		i--
	}
}

// search returns the index of the first headroom at the given time or later.
func (h headrooms) search(at time.Duration) int {
	i, _ := slices.BinarySearchFunc(h, at, func(r headroom, at time.Duration) int {
		if r.at < at {
			return -1
		}
		return 1
	})
	return i
}
