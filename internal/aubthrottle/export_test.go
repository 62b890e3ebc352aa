package aubthrottle

import "time"

// SetColdShare replaces the rule for the senders to cold backend servers.
func (t *Throttle) SetColdShare(share func(perSecond float64, instances int) (senders int, interval time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldSenders = share
}
