package aublimit

import (
	"context"
	"slices"
)

// await waits until the waiter is paid or refused, at most opts.MaxWait. It returns
// nil if the waiter was paid.
func (l *Limiter) await(ctx context.Context, workspace string, w *waiter) error {
	timerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := l.common.Timer.After(timerCtx, l.opts.MaxWait)
	var cause error
	select {
	case <-w.ready:
	case <-ctx.Done():
		cause = &CanceledError{Err: ctx.Err()}
	case <-l.stopped:
		cause = refuse(ReasonStopped, 0)
	case <-timeout:
	}
	return l.endWait(workspace, w, cause)
}

// endWait removes the waiter from the queue and returns nil if it was paid. A
// payment that coincides with a cancellation is refunded.
func (l *Limiter) endWait(workspace string, w *waiter, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(workspace)
	if w.paid {
		if cause != nil {
			a.settle(l.now(), &settlement{tokens: w.tokens, payment: w.payment}, 0)
		}
		return cause
	}
	if i := slices.Index(a.waiters, w); i >= 0 {
		a.waiters = slices.Delete(a.waiters, i, i+1)
	}
	if cause == nil {
		cause = w.err
	}
	if cause == nil {
		cause = l.shortageError(a, l.expireLeases(), w.tokens)
	}
	l.countRefusal(cause)
	return cause
}
