// Package aubtimer provides the clock and the timers of all packages; tests use a
// clock that they advance by hand. Times carry a monotonic reading, and decisions
// depend only on the durations between them.
package aubtimer

import (
	"context"
	"time"
)

// Service provides the current time and timers.
type Service interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Subscribe returns a channel that receives the time once every interval until
	// ctx ends. Ticks are dropped while the channel is full.
	Subscribe(ctx context.Context, interval time.Duration) <-chan time.Time
	// After returns a channel that receives the time once, d from now, unless ctx
	// ends first.
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
