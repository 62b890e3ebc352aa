package aubtimer

import (
	"context"
	"time"
)

// WithTimeout returns a context that is canceled d from now on the service's clock
// with the cause context.DeadlineExceeded.
func WithTimeout(ctx context.Context, s Service, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	due := s.After(ctx, d)
	go func() {
		select {
		case <-due:
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
