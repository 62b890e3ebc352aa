package aubprocess

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// TestRoleSurvivesFullDisk fails a role once and probes its disk.
func TestRoleSurvivesFullDisk(t *testing.T) {
	errFull := &aubstore.IOError{Op: "probe", Err: syscall.ENOSPC}
	errBroken := &aubstore.IOError{Op: "probe", Err: syscall.EIO}
	errStorage := &aubcontrol.StorageError{Err: &aubstore.IOError{Op: "save", Err: errors.New("file resize error")}}
	errOther := errors.New("port is in use")
	for _, test := range []struct {
		name   string
		runErr error
		probes []error
		// wantRuns counts the starts of the role, wantRedirects those of its stand-in.
		wantRuns, wantRedirects int
		wantErr                 error
	}{
		{name: "full for a time", runErr: errStorage, probes: []error{errFull, errFull, errFull, nil}, wantRuns: 2, wantRedirects: 1},
		{name: "failed for another cause", runErr: errOther, wantRuns: 1, wantErr: errOther},
		{name: "storage failed with space", runErr: errStorage, probes: []error{nil}, wantRuns: 1, wantErr: errStorage},
		{name: "full, then broken", runErr: errStorage, probes: []error{errFull, errFull, errBroken}, wantRuns: 1, wantRedirects: 1, wantErr: errBroken},
	} {
		t.Run(test.name, func(t *testing.T) {
			timer := aubtimer.NewManual(time.Unix(0, 0))
			runs, redirects, probes := 0, 0, test.probes
			loop := diskSpaceLoop{
				common: aubcommon.NewCommon(timer),
				run: func(context.Context) error {
					runs++
					if runs > 1 {
						return nil
					}
					return test.runErr
				},
				runWithoutDisk: func(ctx context.Context) error {
					redirects++
					<-ctx.Done()
					return nil
				},
				probe: func() error {
					err := probes[0]
					probes = probes[1:]
					return err
				},
			}
			done := make(chan error, 1)
			go func() { done <- loop.loop(t.Context()) }()
			for {
				select {
				case err := <-done:
					qt.Assert(t, errors.Is(err, test.wantErr), qt.IsTrue, qt.Commentf("%v", err))
					qt.Assert(t, runs, qt.Equals, test.wantRuns)
					qt.Assert(t, redirects, qt.Equals, test.wantRedirects)
					return
				case <-time.After(time.Millisecond):
					timer.Advance(spaceProbeInterval)
				}
			}
		})
	}
}

// TestRoleStopsWhileDiskIsFull ends the context while the stand-in runs.
func TestRoleStopsWhileDiskIsFull(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	loop := diskSpaceLoop{
		common: aubcommon.NewCommon(aubtimer.NewReal()),
		run:    func(context.Context) error { return &aubstore.IOError{Op: "rewrite", Err: syscall.ENOSPC} },
		runWithoutDisk: func(ctx context.Context) error {
			cancel()
			<-ctx.Done()
			return nil
		},
		probe: func() error { return syscall.ENOSPC },
	}
	qt.Assert(t, loop.loop(ctx), qt.IsNil)
}
