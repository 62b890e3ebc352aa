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
	// confirmInterval is how often a replica has its state confirmed, once it has been.
	confirmInterval = time.Second
	// startInterval is how often a starting replica tries.
	startInterval = 200 * time.Millisecond
	// confirmTimeout bounds one confirmation.
	confirmTimeout = 3 * time.Second
)

// LocalSourceOpts lists what a local source stands on.
type LocalSourceOpts struct {
	Table  Table
	Reader aubcontrol.Reader
	// DataDir keeps the configuration shown last; empty keeps none.
	DataDir string
}

// LocalSource is the configuration of a process that carries a replica. It
// shows the replica's table once that holds what the leader had committed at
// the start, and never goes back with it while the log is read again.
type LocalSource struct {
	*shown

	common aubcommon.Common
	opts   LocalSourceOpts
}

var _ aubquery.Source = (*LocalSource)(nil)

// NewLocalSource follows the local table until ctx ends.
func NewLocalSource(ctx context.Context, common aubcommon.Common, opts LocalSourceOpts) *LocalSource {
	common = common.WithPart("distribution")
	l := &LocalSource{shown: newShown(common, opts.DataDir), common: common, opts: opts}
	expired := common.Timer.After(ctx, startWait)
	go func() {
		select {
		case <-expired:
			l.openCutOff()
		case <-ctx.Done():
		}
	}()
	go l.follow(ctx)
	go l.confirmOften(ctx)
	return l
}

// follow takes over every version of the table.
func (l *LocalSource) follow(ctx context.Context) {
	for {
		l.hold(l.opts.Table.Config())
		select {
		case <-l.opts.Table.Changed(l.heldConfig().Version()):
		case <-ctx.Done():
			return
		}
	}
}

func (l *LocalSource) confirmOften(ctx context.Context) {
	for ctx.Err() == nil {
		interval := startInterval
		if l.confirmOnce(ctx) {
			interval = confirmInterval
		}
		if aubtimer.Wait(ctx, l.common.Timer, interval) != nil {
			return
		}
	}
}

// confirmOnce reports whether the state was confirmed. It counts a confirmation from the time it was asked for.
func (l *LocalSource) confirmOnce(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := l.common.Timer.Now()
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
	l.hold(l.opts.Table.Config())
	l.confirm(asked)
	return true
}
