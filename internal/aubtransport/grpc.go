package aubtransport

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

const (
	// keepaliveTime is the idle time after which a connection is probed.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is how long the response to a probe may take.
	keepaliveTimeout = 3 * time.Second
	// maxMessageBytes limits the size of a gRPC message; snapshots are sent in chunks.
	maxMessageBytes = 24 << 20
	// maxStreams limits the concurrent calls of one connection, maxHeaderListBytes their headers.
	maxStreams         = 1000
	maxHeaderListBytes = 16 << 10
	// handshakeTimeout limits the time until a new connection can be used.
	handshakeTimeout = 10 * time.Second
	// maxBackoff limits the delay between two connection attempts.
	maxBackoff = 2 * time.Second
	// minConnectTimeout is the minimum time that one connection attempt gets.
	minConnectTimeout = 2 * time.Second
)

// Transport creates the gRPC clients and servers for calls between the site's processes.
type Transport struct {
	certs *Certificates
}

// NewTransport returns a transport; certs is nil if TLS is off.
func NewTransport(certs *Certificates) *Transport { return &Transport{certs: certs} }

// Dial returns a client connection to the address. It connects at the first call.
func (t *Transport) Dial(address string) (*grpc.ClientConn, error) {
	retry := backoff.DefaultConfig
	retry.BaseDelay = 100 * time.Millisecond
	retry.MaxDelay = maxBackoff
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(t.clientCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: minConnectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
}

// NewServer returns a gRPC server for calls from the site's processes. A panic of a handler
// fails its call only.
func (t *Transport) NewServer(common aubcommon.Common) *grpc.Server {
	guard := panicGuard{common: common.WithPart("transport")}
	return grpc.NewServer(
		grpc.UnaryInterceptor(guard.unary),
		grpc.StreamInterceptor(guard.stream),
		grpc.Creds(t.serverCredentials()),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	)
}

func (t *Transport) clientCredentials() credentials.TransportCredentials {
	if t.certs == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(t.certs.ClientConfig())
}

func (t *Transport) serverCredentials() credentials.TransportCredentials {
	if t.certs == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(t.certs.ServerConfig())
}
