// Package aubtimer is the timer service that every part subscribes to. Times
// carry a monotonic reading; only durations between them decide anything.
package aubtimer

import (
	"context"
	"time"
)

// Service gives the time and wakes subscribers.
type Service interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Subscribe returns a channel that receives a time every interval until ctx
	// ends. Ticks are dropped while the subscriber is behind.
	Subscribe(ctx context.Context, interval time.Duration) <-chan time.Time
	// After returns a channel that receives once, d from now, unless ctx ends first.
	After(ctx context.Context, d time.Duration) <-chan time.Time
}

// Wait blocks for d on the service's clock. It returns the context's error when ctx ends first.
func Wait(ctx context.Context, s Service, d time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-s.After(ctx, d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
