package aubregistry_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestUnreadableTextCostsNoStream guards against one record, or one model that a caller names, in
// another encoding that ends the streams of all relays.
func TestUnreadableTextCostsNoStream(t *testing.T) {
	const latin1 = "caf\xe9"
	common := aubcommon.NewCommon(aubtimer.NewReal())
	control := newControlProcess(t, common)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	registry := aubregistry.NewRegistry(common, time.Minute)
	var announced atomic.Uint64
	streams := aubresume.NewRecorder(common.Timer)
	aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
		Process: "r1", Relay: true, Seeds: func() []string { return []string{"c1"} }, Dial: control.dial, Registry: registry, Streams: streams,
		Report: func() *aubwire.LoadReport {
			return &aubwire.LoadReport{Instance: "r1", Incarnation: 1, Models: []*aubwire.ModelUse{
				{Model: "s/" + latin1, Adapter: latin1, Requests: 1}, {Model: "s/m", Requests: 1},
			}}
		},
		OnAnnounce: announced.Store,
	})
	odd := record(latin1, "a:9", 1, 1, ready)
	odd.Software, odd.Models = latin1, []*aubwire.ModelCopy{{Name: latin1, Adapters: []string{latin1}}}
	control.registry.Register(odd)
	control.registry.Deregister(latin1+"2", 1)
	streams.Record(latin1, aubresume.Origin{Service: "s", Software: "v1"})
	await(t, "the relay receives the odd record", func() bool { return len(registry.Records()) == 1 })
	control.registry.Register(record("i1", "a:1", 1, 1, ready))
	control.revisions.current.Store(&aubwire.SiteRevision{Number: 7})
	await(t, "the relay receives another record", func() bool { return len(registry.Records()) == 2 })
	await(t, "the relay hears of a configuration", func() bool { return announced.Load() == 7 })
	await(t, "the control process receives the report", func() bool { return control.loads.PeerCount("") == 1 })
	await(t, "the control process finds the stream", func() bool {
		resp, err := control.server.FindStream(ctx, &aubwire.FindStreamRequest{Id: latin1})
		return err == nil && resp.GetOrigin().GetSoftware() == "v1"
	})
}
