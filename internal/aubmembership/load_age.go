package aubmembership

import "time"

// LoadAge returns the age of the oldest report among those that PeerLoad counts; false if it
// counts none.
func (x *LoadExchange) LoadAge() (time.Duration, bool) {
	now := x.common.Timer.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	oldest, ok := time.Duration(0), false
	for _, peer := range x.peers {
		if age := now.Sub(peer.receivedAt); age <= maxLoadAge {
			oldest, ok = max(oldest, age), true
		}
	}
	return oldest, ok
}
