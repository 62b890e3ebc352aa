package aubresponse

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"go.uber.org/zap"
)

// RoundTripper is an HTTP transport that returns no broken responses.
type RoundTripper struct {
	transport *http.Transport
	log       *Log
	// requestIDHeader is the header that names the request in log lines.
	requestIDHeader string
}

var _ http.RoundTripper = (*RoundTripper)(nil)

// NewRoundTripper returns a round tripper that uses the transport, whose DialContext it replaces. The requestIDHeader may be
// empty.
func NewRoundTripper(transport *http.Transport, log *Log, requestIDHeader string) *RoundTripper {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		checked := NewConn(conn)
		checked.readsOn = true
		return checked, nil
	}
	return &RoundTripper{transport: transport, log: log, requestIDHeader: requestIDHeader}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *RoundTripper) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. Errors of the response and of its body are *BrokenError if it is broken.
func (t *RoundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*Conn)
		if !ok {
			return
		}
		used.Store(conn)
		if info.Reused {
			conn.beginRequest()
			// Read returns the same error.
			_ = conn.ExpectResponse(nil)
		}
	}}
	resp, err := t.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	conn := used.Load()
	if err != nil {
		if conn != nil && req.Context().Err() == nil {
			err = conn.HeadError(err)
		}
		t.record(req, 0, err)
		return nil, err
	}
	if err := CheckSingleHead(resp); err != nil {
		t.record(req, resp.StatusCode, err)
		return nil, errors.Join(err, resp.Body.Close())
	}
	resp.Body = &body{ReadCloser: resp.Body, tripper: t, resp: resp, conn: conn}
	return resp, nil
}

func (t *RoundTripper) record(req *http.Request, status int, err error) {
	t.log.Record(err,
		zap.String("request_id", req.Header.Get(t.requestIDHeader)),
		zap.String("address", req.URL.Host),
		zap.String("method", req.Method),
		zap.String("path", req.URL.Path),
		zap.Int("status", status))
}

// body is the body of a response. It is used by a single goroutine.
type body struct {
	io.ReadCloser

	tripper *RoundTripper
	resp    *http.Response
	conn    *Conn
	// err is the end of the body once it was read.
	err error
}

// Read implements io.Reader. Errors are io.EOF once the whole response was received, *BrokenError, or those of a connection that
// this side ended.
func (b *body) Read(data []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(data)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		if trailerErr := CheckTrailer(b.resp.Trailer); trailerErr != nil {
			err = trailerErr
		}
	case b.resp.Request.Context().Err() == nil:
		err = BodyError(err)
	}
	b.end(err)
	return n, err
}

// end records the end of the body. After a broken response the connection carries no other.
func (b *body) end(err error) {
	b.err = err
	var broken *BrokenError
	if !errors.As(err, &broken) {
		return
	}
	if b.conn != nil {
		_ = b.conn.Close()
	}
	b.tripper.record(b.resp.Request, b.resp.StatusCode, err)
}
