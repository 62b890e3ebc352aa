package aubtransport_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubtransport"
)

// panickingHealth panics for calls that name a service.
type panickingHealth struct {
	grpc_health_v1.UnimplementedHealthServer
}

func (panickingHealth) Check(_ context.Context, req *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	if req.GetService() != "" {
		panic("no such message was expected")
	}
	return &grpc_health_v1.HealthCheckResponse{}, nil
}

func (panickingHealth) Watch(*grpc_health_v1.HealthCheckRequest, grpc_health_v1.Health_WatchServer) error {
	panic("no such stream was expected")
}

// TestPanicOfAHandlerFailsItsCallOnly calls handlers that panic, and then a sound one.
func TestPanicOfAHandlerFailsItsCallOnly(t *testing.T) {
	transport := aubtransport.NewTransport(nil)
	server := transport.NewServer(aubcommon.NewCommon(aubtimer.NewReal()))
	grpc_health_v1.RegisterHealthServer(server, panickingHealth{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	conn, err := transport.Dial(l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := grpc_health_v1.NewHealthClient(conn)
	_, err = client.Check(ctx, &grpc_health_v1.HealthCheckRequest{Service: "x"})
	qt.Assert(t, status.Code(err), qt.Equals, codes.Internal)
	stream, err := client.Watch(ctx, &grpc_health_v1.HealthCheckRequest{})
	qt.Assert(t, err, qt.IsNil)
	_, err = stream.Recv()
	qt.Assert(t, status.Code(err), qt.Equals, codes.Internal)
	_, err = client.Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	qt.Assert(t, err, qt.IsNil)
}
