package aubadmin

import (
	"context"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// versionPollInterval is the time between two checks of the announced versions.
const versionPollInterval = 50 * time.Millisecond

// versionWaiter waits until every known process announces a configuration version.
type versionWaiter struct {
	common  aubcommon.Common
	members aubmembership.Source
}

// waitForVersion waits until every known process announces the version or a later
// one, but no longer than wait. It returns the names of the processes that do not.
func (w versionWaiter) waitForVersion(ctx context.Context, version uint64, wait time.Duration) []string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := w.common.Timer.Subscribe(ctx, versionPollInterval)
	deadline := w.common.Timer.After(ctx, wait)
	for {
		missing := unconfirmed(w.members.View(), version)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-ticks:
		case <-deadline:
			return unconfirmed(w.members.View(), version)
		case <-ctx.Done():
			return missing
		}
	}
}

// unconfirmed returns the sorted names of the members that announce an older version.
// Lost members count: a process that is frozen or partitioned may still serve, or
// serve again, with an older configuration.
func unconfirmed(view aubmembership.View, version uint64) []string {
	var names []string
	for _, m := range slices.Concat(view.Members(), view.Lost()) {
		if m.Announcement.GetConfigVersion() < version {
			names = append(names, m.Announcement.GetName())
		}
	}
	slices.Sort(names)
	return names
}

// withTimeout returns a context that is canceled after d by the timer service.
func withTimeout(ctx context.Context, timer aubtimer.Service, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	expired := timer.After(ctx, d)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
