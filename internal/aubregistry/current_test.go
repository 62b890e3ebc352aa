package aubregistry_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// commitSoftware applies a software version of the service s to the table.
func commitSoftware(t *testing.T, table *aubresume.SoftwareTable, software string) {
	body, err := proto.Marshal(&aubwire.SoftwareCommand{Registered: []*aubwire.SoftwareVersion{{Service: "s", Software: software}}})
	qt.Assert(t, err, qt.IsNil)
	table.Apply(aubcontrol.Command{Body: body})
}

// TestStreamVersionsAreThoseCommittedBefore guards against a control process that was suspended or cut off
// and states the only software version that it knows, although another one was committed.
func TestStreamVersionsAreThoseCommittedBefore(t *testing.T) {
	control := newControlProcess(t, aubcommon.NewCommon(aubtimer.NewReal()))
	commitSoftware(t, control.software, "v1")
	find := func() *aubwire.FindStreamResponse {
		resp, err := control.server.FindStream(t.Context(), &aubwire.FindStreamRequest{Services: []string{"s"}})
		qt.Assert(t, err, qt.IsNil)
		return resp
	}
	control.barrier = func(context.Context) error {
		commitSoftware(t, control.software, "v2")
		return nil
	}
	resp := find()
	qt.Assert(t, resp.GetConfirmed(), qt.IsTrue)
	qt.Assert(t, resp.GetSoftware(), qt.HasLen, 2)
	control.barrier = func(context.Context) error { return errors.New("no leader") }
	qt.Assert(t, find().GetConfirmed(), qt.IsFalse)
	control.barrier = func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	startedAt := time.Now()
	qt.Assert(t, find().GetConfirmed(), qt.IsFalse)
	// Relays wait for 200 ms.
	qt.Assert(t, time.Since(startedAt) < 190*time.Millisecond, qt.IsTrue)
}

// TestSuspendedProcessIsNotCurrent guards against a process that takes what arrived before it stood still
// for the newest registrations, also where its steady clock stood still too.
func TestSuspendedProcessIsNotCurrent(t *testing.T) {
	var suspended atomic.Int64
	control := newControlProcess(t, aubcommon.NewCommon(aubtimer.NewReal()))
	timer := aubtimer.NewManual(time.Unix(100, 0))
	common := aubcommon.NewCommon(timer)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var client *aubregistry.Client
	checkNotCurrent := func(standStill func()) {
		t.Helper()
		// What the control process states afterwards would count.
		control.sending.Lock()
		standStill()
		isCurrent := client.IsCurrent()
		control.sending.Unlock()
		qt.Assert(t, isCurrent, qt.IsFalse)
	}
	checkNotCurrent(func() {
		client = aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
			Process: "r1", Relay: true, Seeds: func() []string { return []string{"c1"} }, Dial: control.dial,
			Registry: aubregistry.NewRegistry(common, time.Minute), OnZoneDrains: func(*aubwire.ZoneDrains, time.Time) {},
			SinceBoot: func() (time.Duration, bool) {
				return timer.Now().Sub(time.Unix(0, 0)) + time.Duration(suspended.Load()), true
			},
		})
	})
	step := func() bool {
		timer.Advance(50 * time.Millisecond)
		return client.IsCurrent()
	}
	await(t, "the process is current", step)
	checkNotCurrent(func() { timer.Advance(5 * time.Second) })
	await(t, "the process is current again", step)
	checkNotCurrent(func() {
		suspended.Add(int64(5 * time.Second))
		// No request is sent at the very time at which the process notices.
		timer.Advance(time.Millisecond)
	})
	await(t, "the process is current after a suspension that its clock doesn't show", step)
	control.grpc.Stop()
	await(t, "the process is cut off", func() bool { return !step() })
	time.Sleep(pollInterval)
	qt.Assert(t, step(), qt.IsFalse)
}
