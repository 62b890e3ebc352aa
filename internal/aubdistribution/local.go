package aubdistribution

import (
	"context"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	// confirmInterval is the time until the next confirmation after one has succeeded.
	confirmInterval = time.Second
	// confirmRetryInterval is the time until the next confirmation after one has
	// failed, as during the start.
	confirmRetryInterval = 200 * time.Millisecond
	// confirmTimeout is the maximum duration of one confirmation.
	confirmTimeout = 3 * time.Second
)

// LocalSourceOpts are the options of NewLocalSource.
type LocalSourceOpts struct {
	// Table is the configuration table of the local replica.
	Table Table
	// Reader confirms that the local replica has everything that the leader had
	// committed.
	Reader aubcontrol.Reader
	// DataDir is the directory of the configuration cache; empty disables the cache.
	DataDir string
}

// LocalSource is the configuration source of a process that runs a replica. It
// publishes the replica's table once the table contains everything that the leader
// had committed at the start. While the log is replayed after a restart, older
// versions of the table are not published.
type LocalSource struct {
	*publisher

	common aubcommon.Common
	opts   LocalSourceOpts
}

var _ aubquery.ConfigSource = (*LocalSource)(nil)

// NewLocalSource follows the local table until ctx is done.
func NewLocalSource(ctx context.Context, common aubcommon.Common, opts LocalSourceOpts) *LocalSource {
	common = common.WithPart("distribution")
	l := &LocalSource{publisher: newPublisher(common, opts.DataDir), common: common, opts: opts}
	expired := common.Timer.After(ctx, startupTimeout)
	go func() {
		select {
		case <-expired:
			l.publishUnconfirmed()
		case <-ctx.Done():
		}
	}()
	go l.follow(ctx)
	go l.confirmPeriodically(ctx)
	return l
}

// follow updates the publisher with every version of the table.
func (l *LocalSource) follow(ctx context.Context) {
	for {
		l.update(l.opts.Table.Config())
		select {
		case <-l.opts.Table.Changed(l.newestConfig().Version()):
		case <-ctx.Done():
			return
		}
	}
}

// confirmPeriodically requests confirmations until ctx is done.
func (l *LocalSource) confirmPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		interval := confirmRetryInterval
		if l.confirmOnce(ctx) {
			interval = confirmInterval
		}
		if aubtimer.Wait(ctx, l.common.Timer, interval) != nil {
			return
		}
	}
}

// confirmOnce requests a confirmation and reports whether it succeeded. The
// confirmation is dated to the time of the request.
func (l *LocalSource) confirmOnce(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	requestedAt := l.common.Timer.Now()
	expired := l.common.Timer.After(ctx, confirmTimeout)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-ctx.Done():
		}
	}()
	if _, err := l.opts.Reader.Confirm(ctx); err != nil {
		l.common.Metrics.Counter("unconfirmed").Inc(1)
		return false
	}
	l.update(l.opts.Table.Config())
	l.confirm(requestedAt)
	return true
}
