package aubtimer

import (
	"context"
	"math"
	"time"
)

// Real is the Service that uses the system clock.
type Real struct{}

var _ Service = Real{}

// NewReal returns the service that uses the system clock.
func NewReal() Real { return Real{} }

// Now implements Service.
func (Real) Now() time.Time { return time.Now() }

// Subscribe implements Service.
func (Real) Subscribe(ctx context.Context, interval time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	go func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-t.C:
				trySend(c, now)
			}
		}
	}()
	return c
}

// After implements Service.
func (Real) After(ctx context.Context, d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	var release func() bool
	t := time.AfterFunc(math.MaxInt64, func() {
		// A context that outlives the timer must not keep it.
		release()
		trySend(c, time.Now())
	})
	release = context.AfterFunc(ctx, func() { t.Stop() })
	t.Reset(d)
	return c
}

// trySend sends the time unless the channel is full.
func trySend(c chan<- time.Time, now time.Time) {
	select {
	case c <- now:
	default:
	}
}
