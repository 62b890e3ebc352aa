package aubregistry_test

import (
	"context"
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

// TestOnlyConfirmedAnswersCount guards against the only version of a control process that has just started and may
// not yet know the versions that were committed before.
func TestOnlyConfirmedAnswersCount(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	control := newControlProcess(t, common)
	control.confirmed.Store(false)
	body, err := proto.Marshal(&aubwire.SoftwareCommand{Registered: []*aubwire.SoftwareVersion{
		{Service: "s", Software: "v1"}, {Service: "other", Software: "v9"},
	}})
	qt.Assert(t, err, qt.IsNil)
	control.software.Apply(aubcontrol.Command{Body: body})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	streams := aubresume.NewRecorder(common.Timer)
	client := aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
		Process: "r1", Relay: true, Seeds: func() []string { return []string{"c1"} }, Dial: control.dial,
		Registry: aubregistry.NewRegistry(common, time.Minute), Streams: streams,
	})
	await(t, "the client connects", func() bool { return client.ConnectedCount() == 1 })
	answer := client.FindStream(ctx, "", []string{"s"})
	qt.Assert(t, answer.Coverage, qt.Equals, aubresume.CoverageMinority)
	qt.Assert(t, answer.Software, qt.HasLen, 1)
	qt.Assert(t, answer.Software[0].GetSoftware(), qt.Equals, "v1")
	control.confirmed.Store(true)
	qt.Assert(t, client.FindStream(ctx, "", []string{"s"}).Coverage, qt.Equals, aubresume.CoverageAll)
	streams.Record("began", aubresume.Origin{Service: "s", Software: "v1"})
	await(t, "the control process knows the origin", func() bool { return client.FindStream(ctx, "began", nil).Origin != nil })
}
