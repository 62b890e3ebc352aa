package aubregistry_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// fetchBehavior is how a scripted control process answers FetchRevision.
type fetchBehavior int

const (
	fetchSucceeds fetchBehavior = iota
	fetchStalls
	fetchEndsEarly
)

// scriptedControl is a control process that announces a revision once it is committed and
// answers fetches as scripted.
type scriptedControl struct {
	aubwire.UnimplementedRegistryServer

	committed *atomic.Uint64
	zone      string
	behavior  fetchBehavior
	fetches   atomic.Int32
}

const (
	scriptedRevision = 7
	scriptedDocument = "document"
)

func (c *scriptedControl) Watch(stream grpc.BidiStreamingServer[aubwire.RegistryRequest, aubwire.RegistryResponse]) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
		if err := stream.Send(&aubwire.RegistryResponse{NewestRevision: c.committed.Load(), Zone: c.zone}); err != nil {
			return err
		}
	}
}

func (c *scriptedControl) FetchRevision(_ *aubwire.FetchRevisionRequest, stream grpc.ServerStreamingServer[aubwire.RevisionChunk]) error {
	c.fetches.Add(1)
	half := len(scriptedDocument) / 2
	chunk := &aubwire.RevisionChunk{Number: scriptedRevision, Total: int64(len(scriptedDocument)), Data: []byte(scriptedDocument[:half])}
	if err := stream.Send(chunk); err != nil {
		return err
	}
	switch c.behavior {
	case fetchStalls:
		<-stream.Context().Done()
		return stream.Context().Err()
	case fetchEndsEarly:
		return nil
	default:
		chunk.Data = []byte(scriptedDocument[half:])
		return stream.Send(chunk)
	}
}

// serve serves the control process on an in-memory listener.
func (c *scriptedControl) serve(t *testing.T) *controlProcess {
	process := &controlProcess{listener: bufconn.Listen(1 << 16), grpc: grpc.NewServer()}
	aubwire.RegisterRegistryServer(process.grpc, c)
	go func() { _ = process.grpc.Serve(process.listener) }()
	t.Cleanup(process.grpc.Stop)
	return process
}

func TestRevisionIsFetchedOnce(t *testing.T) {
	for _, test := range []struct {
		name     string
		controls map[string]*scriptedControl
		// wantFetches holds the control processes that must be asked, and how often.
		wantFetches map[string]int32
	}{
		{
			"from the control process of the own zone",
			map[string]*scriptedControl{"c1": {zone: "z1"}, "c2": {zone: "z2"}, "c3": {zone: "z3"}},
			map[string]int32{"c2": 1},
		},
		{
			"from another one after a transfer that stalls",
			map[string]*scriptedControl{"c1": {zone: "z1"}, "c2": {zone: "z2", behavior: fetchStalls}},
			map[string]int32{"c1": 1, "c2": 1},
		},
		{
			"from another one after a transfer that ends early",
			map[string]*scriptedControl{"c1": {zone: "z1"}, "c2": {zone: "z2", behavior: fetchEndsEarly}},
			map[string]int32{"c1": 1, "c2": 1},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			processes := map[string]*controlProcess{}
			addresses := make([]string, 0, len(test.controls))
			var committed atomic.Uint64
			for address, control := range test.controls {
				control.committed = &committed
				processes[address] = control.serve(t)
				addresses = append(addresses, address)
			}
			var document atomic.Pointer[string]
			var activations atomic.Int32
			client := aubregistry.NewClient(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubregistry.ClientOpts{
				Process: "r1", Relay: true, Zone: "z2", Seeds: func() []string { return addresses },
				Dial: dialOver(aubstandin.NewLink(slowLinkBytesPerSecond), processes), Registry: aubregistry.NewRegistry(aubcommon.NewCommon(aubtimer.NewReal()), time.Minute),
				OnRevision: func(revision *aubwire.SiteRevision) {
					text := string(revision.GetDocument())
					document.Store(&text)
					activations.Add(1)
				},
			})
			await(t, "the relay connects", func() bool { return client.ConnectedCount() == len(addresses) })
			committed.Store(scriptedRevision)
			await(t, "the relay receives the configuration", func() bool { return document.Load() != nil })
			time.Sleep(10 * pollInterval)
			qt.Assert(t, *document.Load(), qt.Equals, scriptedDocument)
			qt.Assert(t, activations.Load(), qt.Equals, int32(1))
			for address, control := range test.controls {
				qt.Check(t, control.fetches.Load(), qt.Equals, test.wantFetches[address], qt.Commentf("%s", address))
			}
		})
	}
}
