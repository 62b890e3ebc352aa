package aublimit

import "context"

// Leave gives everything back in one last sync: leases, floors and their
// levels. Reservations are refused from now on. Call it when running requests
// have settled; what settles later is not returned. It returns *SyncError when
// ctx ends before the table has confirmed; leases and floors then end by time.
func (l *Limiter) Leave(ctx context.Context) error {
	l.mu.Lock()
	l.session.leaving = true
	l.mu.Unlock()
	l.kick()
	select {
	case <-l.left:
		return nil
	case <-l.ended:
		return &SyncError{Detail: "limiter ended before it left"}
	case <-ctx.Done():
		return &SyncError{Detail: "leaving not confirmed", Err: ctx.Err()}
	}
}
