package aubrelay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/auburndale/auburndale/internal/aubheader"
)

const (
	// idleConnTimeout closes an idle connection before backend servers do.
	idleConnTimeout = 8 * time.Second
	// maxIdlePerBackend bounds the idle connections kept to one backend server.
	maxIdlePerBackend = 32
	// connBuffer is the size of a connection's read and write buffers in bytes.
	connBuffer = 2 << 10
)

// newTransport returns the transport to backend servers. It neither adds an
// encoding nor follows anything.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) http.RoundTripper {
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdlePerBackend,
		IdleConnTimeout:     idleConnTimeout,
		ReadBufferSize:      connBuffer,
		WriteBufferSize:     connBuffer,
	}
}

// onceBody is a body that the transport can't rewind: it must not send a request
// again by itself.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// bodyOf returns the body of one send. Without one, the transport repeats only
// what the route lets it.
func bodyOf(x *exchange) io.ReadCloser {
	lacksBody := x.r.Method == http.MethodGet || x.r.Method == http.MethodHead
	if len(x.body) == 0 && (x.route.Repeatable() || !lacksBody) {
		return http.NoBody
	}
	return onceBody{bytes.NewReader(x.body)}
}

// newRequest builds one send of the exchange to the address. sent is set once a
// byte of it may have left.
func (h *Handler) newRequest(ctx context.Context, x *exchange, address string, a Attempt, sent *atomic.Bool) *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	u := *x.r.URL
	u.Scheme, u.Host = "http", address
	header := x.r.Header.Clone()
	aubheader.RemoveHop(header)
	h.parts.Protocol.EncodeAttempt(header, a)
	if header.Get("User-Agent") == "" {
		// An empty value keeps the transport from adding its own.
		header.Set("User-Agent", "")
	}
	req := &http.Request{
		Method:        x.r.Method,
		URL:           &u,
		Host:          x.r.Host,
		Header:        header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          bodyOf(x),
		ContentLength: int64(len(x.body)),
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, trace))
}
