package aubprocess

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/auburndale/auburndale/internal/aubbudget"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubtransport"
)

const (
	// headerTimeout bounds the time that a client takes to send the headers of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the idle time of a client's connection.
	idleTimeout = 120 * time.Second
	// maxHeaderBytes bounds the headers of one request.
	maxHeaderBytes = 64 << 10
)

// defaultLimits apply where no configuration limits what clients send.
func (p *process) defaultLimits() aubbudget.Limits {
	return aubbudget.Limits{
		MaxHeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		BodyTimeout: p.cfg.Caller.BodyTimeout.Value(),
	}
}

// health serves the health checks of the process.
type health struct {
	ready atomic.Bool
}

func newHealth() *health { return &health{} }

// handler returns the handler of the health checks, the metrics and, if profile is set,
// the profiles.
func (h *health) handler(metrics http.Handler, profile bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle("GET /metrics", metrics)
	if profile {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return mux
}

// httpOpts configures one HTTP listener. setting is the path of the setting with its
// address, for errors.
type httpOpts struct {
	setting string
	listen  aubsettings.Address
	tls     aubsettings.TLS
	handler http.Handler
	// maxConnections limits the connections; 0 means the number for listeners that serve few clients.
	maxConnections int
	// limits returns the limits of clients; nil means defaultLimits.
	limits func() aubbudget.Limits
}

// serveHTTP listens and serves until the process ends. It returns nil without an address.
func (p *process) serveHTTP(opts httpOpts) (*httpServer, error) {
	if opts.listen == "" {
		return nil, nil
	}
	certs, err := newCertificates(p.common, opts.tls)
	if err != nil {
		return nil, err
	}
	l, err := listen(p.ctx, opts.setting, opts.listen)
	if err != nil {
		return nil, err
	}
	server := newHTTPServer(aubbudget.NewHandler(opts.handler), certs)
	if opts.limits == nil {
		opts.limits = p.defaultLimits
	}
	gate := aubbudget.NewGate(p.budget, aubbudget.ListenerOpts{
		MaxConnections: cmp.Or(opts.maxConnections, p.budget.Machine().MinorConnections()),
		Limits:         opts.limits,
		IsEncrypted:    certs != nil,
	})
	listening := newListeningServer(p.common.Timer, server, newClosingListener(l, gate))
	p.group.Go(func() error {
		if certs != nil {
			return ignoreServerClosed(server.ServeTLS(listening.listener, "", ""))
		}
		return ignoreServerClosed(server.Serve(listening.listener))
	})
	context.AfterFunc(p.ctx, func() { _ = server.Close() })
	return listening, nil
}

func newHTTPServer(handler http.Handler, certs *aubtransport.Certificates) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          aubbudget.MaxHTTP2Streams,
			MaxReceiveBufferPerConnection: aubbudget.HTTP2BufferBytes,
			MaxReceiveBufferPerStream:     aubbudget.HTTP2BufferBytes,
		},
		ConnContext: aubbudget.ConnContext,
	}
	if certs != nil {
		server.TLSConfig = certs.ServerConfig()
	}
	return server
}

// servePlatform serves health checks and metrics.
func (p *process) servePlatform() error {
	_, err := p.serveHTTP(httpOpts{
		setting: "platform.listen",
		listen:  p.cfg.Platform.Listen,
		handler: p.health.handler(p.metrics.Handler, p.cfg.Platform.Profile),
	})
	return err
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
