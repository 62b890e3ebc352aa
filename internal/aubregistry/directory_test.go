package aubregistry_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// serveRegistry serves a registry on an in-memory listener and returns a function that
// dials it.
func serveRegistry(t *testing.T, registry aubwire.RegistryServer) func() (*grpc.ClientConn, error) {
	listener, server := bufconn.Listen(1<<20), grpc.NewServer()
	aubwire.RegisterRegistryServer(server, registry)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return func() (*grpc.ClientConn, error) {
		return grpc.NewClient("passthrough:///registry", grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }))
	}
}

// TestRelayStartsWithSeedsWithoutDisk starts a relay whose only seeds are two control
// processes without a disk, which know the one with a disk by its calls. It guards against a
// relay that finds no control process, and one that takes a process without a disk for one
// that holds state.
func TestRelayStartsWithSeedsWithoutDisk(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	control := newControlProcess(t, common)
	directories := make(map[string]*aubregistry.Directory)
	dials := make(map[string]func() (*grpc.ClientConn, error))
	for _, name := range []string{"n1", "n2"} {
		directories[name] = aubregistry.NewDirectory(common, func() []string { return nil })
		dials[name] = serveRegistry(t, directories[name])
	}
	dial := func(address string) (*grpc.ClientConn, error) {
		if dialDirectory := dials[address]; dialDirectory != nil {
			return dialDirectory()
		}
		return control.dial(address)
	}
	seeds := func() []string { return []string{"n1", "n2"} }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	registry := aubregistry.NewRegistry(common, time.Minute)
	relay := aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
		Process: "r1", Relay: true, Seeds: seeds, Dial: dial, Registry: registry,
		Report: func() *aubwire.LoadReport { return &aubwire.LoadReport{Instance: "r1", Incarnation: 1} },
	})
	_, err := relay.Place(ctx, &aubwire.PlaceRequest{})
	qt.Assert(t, err, qt.ErrorMatches, "no control process answers")
	aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
		Process: "c1", SelfAddress: "c1", HasReplica: true, Seeds: seeds, Dial: dial, Registry: control.registry,
	})
	control.registry.Register(record("i1", "a:1", 1, 1, ready))
	await(t, "the relay receives a registration", func() bool { return len(registry.Records()) == 1 })
	for name, directory := range directories {
		// The relay may have heard of the control process from the other one, which it called first.
		await(t, name+" knows the control process", func() bool { return slices.Equal(directory.Addresses(), []string{"c1"}) })
	}
	qt.Assert(t, relay.ConnectedCount(), qt.Equals, 1)
	qt.Assert(t, relay.RespondingAddresses(time.Second), qt.DeepEquals, []string{"c1"})
	resp, err := relay.Place(ctx, &aubwire.PlaceRequest{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.GetBackend(), qt.Equals, "i1")
	answer := relay.FindStream(ctx, "unknown", nil)
	qt.Assert(t, answer.Coverage, qt.Equals, aubresume.CoverageAll)
}

// TestDirectoryForgetsSilentCallers guards against addresses that are listed for good.
func TestDirectoryForgetsSilentCallers(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	directory := aubregistry.NewDirectory(aubcommon.NewCommon(timer), func() []string { return []string{"c2"} })
	directory.AddCaller("c1")
	directory.AddCaller("c2")
	directory.AddCaller("")
	timer.Advance(2 * time.Second)
	qt.Assert(t, directory.Addresses(), qt.DeepEquals, []string{"c1", "c2"})
	timer.Advance(2 * time.Second)
	qt.Assert(t, directory.Addresses(), qt.DeepEquals, []string{"c2"})
}

// silentRegistry sends one response on each stream and then nothing, like a process that is
// frozen.
type silentRegistry struct {
	aubwire.UnimplementedRegistryServer
}

// Watch implements aubwire.RegistryServer.
func (silentRegistry) Watch(stream grpc.BidiStreamingServer[aubwire.RegistryRequest, aubwire.RegistryResponse]) error {
	if err := stream.Send(&aubwire.RegistryResponse{}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

// TestSilentControlProcessIsNoTarget guards against calls that are redirected to a control
// process which is connected but frozen.
func TestSilentControlProcessIsNoTarget(t *testing.T) {
	const silence = 300 * time.Millisecond
	common := aubcommon.NewCommon(aubtimer.NewReal())
	dial := serveRegistry(t, silentRegistry{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
		Process: "n1", Seeds: func() []string { return []string{"c1"} }, Registry: aubregistry.NewRegistry(common, time.Minute),
		Dial: func(string) (*grpc.ClientConn, error) { return dial() },
	})
	await(t, "the control process responds", func() bool { return len(client.RespondingAddresses(silence)) == 1 })
	await(t, "it is silent but connected", func() bool {
		return len(client.RespondingAddresses(silence)) == 0 && client.ConnectedCount() == 1
	})
}
