package aublimit

import "context"

// Drain returns all leased tokens and floors, including the floors' tokens, in a
// last sync, and refuses new reservations. Call it after all running requests have
// settled; tokens settled later are not returned. It returns *SyncError if ctx ends
// before the table has confirmed; leases and floors then expire by time.
func (l *Limiter) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.session.draining = true
	l.mu.Unlock()
	l.triggerSync()
	select {
	case <-l.drained:
		return nil
	case <-l.stopped:
		return &SyncError{Detail: "limiter stopped before its last sync was confirmed"}
	case <-ctx.Done():
		return &SyncError{Detail: "last sync not confirmed", Err: ctx.Err()}
	}
}
