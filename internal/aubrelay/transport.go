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
	// idleConnTimeout is shorter than that of backend servers, so that they don't close a
	// connection that is about to be reused.
	idleConnTimeout = 8 * time.Second
	// maxIdlePerBackend limits the idle connections to one backend server.
	maxIdlePerBackend = 32
	// connBufferBytes is the size of a connection's read buffer and of its write buffer.
	connBuffer = 2 << 10
)

// newTransport returns the transport to backend servers. It requests no compression and
// follows no redirects.
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

// singleUseBody hides the type of its reader, so that the transport can't rewind the
// body and retry a request by itself.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// newAttemptBody returns the body of one attempt. For an empty body it returns
// http.NoBody, with which the transport may retry a GET or HEAD request by itself, unless
// the route forbids that.
func bodyOf(x *exchange) io.ReadCloser {
	lacksBody := x.r.Method == http.MethodGet || x.r.Method == http.MethodHead
	if len(x.body) == 0 && (x.route.Repeatable() || !lacksBody) {
		return http.NoBody
	}
	return onceBody{bytes.NewReader(x.body)}
}

// newAttemptRequest returns the request of one attempt to the address. It sets gotConn
// once the transport has a connection, so that a part of the request may be sent.
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
		// An empty value prevents the transport from adding its default.
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
