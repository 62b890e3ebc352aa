package aubprocess

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubstore"
)

// spaceProbeInterval is the time between two probes of a full disk.
const spaceProbeInterval = 500 * time.Millisecond

// diskSpaceLoop runs a role again and again while it fails because its disk is full.
type diskSpaceLoop struct {
	common aubcommon.Common
	// run runs the role until it is stopped or fails.
	run func(ctx context.Context) error
	// runWithoutDisk stands in for the role until its context ends.
	runWithoutDisk func(ctx context.Context) error
	// probe returns an error while the disk has no space, see aubstore.IsDiskFull.
	probe func() error
}

// loop returns the result of the role, unless that failed because of a full disk. The role
// then starts anew once there is space, as in a new process: what the failed store holds in
// memory is dropped, and what it wrote is verified.
func (l diskSpaceLoop) loop(ctx context.Context) error {
	for {
		err := l.run(ctx)
		var storage *aubcontrol.StorageError
		var io *aubstore.IOError
		isStorage := errors.As(err, &storage) || errors.As(err, &io)
		if !isStorage || ctx.Err() != nil || !aubstore.IsDiskFull(l.probe()) {
			return err
		}
		l.common.Log.Error("Disk is full; no replica runs until it has space.", zap.Error(err))
		if err := l.awaitSpace(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		l.common.Log.Info("Disk has space again.")
	}
}

// awaitSpace runs the stand-in until the disk has space. The error is that of the stand-in, or
// of a disk that fails otherwise.
func (l diskSpaceLoop) awaitSpace(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := l.common.Timer.Subscribe(ctx, spaceProbeInterval)
	ended := make(chan error, 1)
	go func() { ended <- l.runWithoutDisk(ctx) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-ticks:
			err := l.probe()
			if aubstore.IsDiskFull(err) {
				continue
			}
			cancel()
			return errors.Join(err, <-ended)
		}
	}
}
