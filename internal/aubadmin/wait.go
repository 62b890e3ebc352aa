package aubadmin

import (
	"context"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// versionPollInterval is how often the announced versions are looked at.
const versionPollInterval = 50 * time.Millisecond

// versionWaiter waits until every known process has confirmed a version.
type versionWaiter struct {
	common  aubcommon.Common
	members aubmembership.Source
}

// waitForVersion returns as soon as every known process announced the version or a
// later one, at the latest after the wait, with the names of those that did not.
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

// unconfirmed returns the names of the members below the version, in order.
// Lost members count: a process that is frozen or cut off may still serve, or
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

// withTimeout returns a context that ends after d on the timer service.
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
