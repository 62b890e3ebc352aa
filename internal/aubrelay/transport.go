package aubrelay

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/auburndale/auburndale/internal/aubheader"
)

// maxSkippedResponses limits the responses to earlier requests that are read in the place of one response.
const maxSkippedResponses = 4

// newAttemptBody returns the body of one attempt.
func newAttemptBody(ex *exchange) io.ReadCloser {
	if len(ex.body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(ex.body))
}

// newAttemptRequest returns the request of one attempt to the address.
func (h *Handler) newAttemptRequest(ctx context.Context, ex *exchange, address string, attempt Attempt) *http.Request {
	u := *ex.request.URL
	u.Scheme, u.Host = "http", address
	header := ex.request.Header.Clone()
	aubheader.RemoveHopByHop(header)
	h.opts.Protocol.EncodeAttempt(header, attempt)
	if header.Get("User-Agent") == "" {
		// An empty value prevents net/http from adding its default.
		header.Set("User-Agent", "")
	}
	req := &http.Request{
		Method:        ex.request.Method,
		URL:           &u,
		Host:          ex.request.Host,
		Header:        header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          newAttemptBody(ex),
		ContentLength: int64(len(ex.body)),
	}
	return req.WithContext(ctx)
}

// roundTrip sends the request of one attempt on a connection that has not carried the exchange before,
// and returns that connection with the response. The error is *unsentError if nothing was sent.
func (h *Handler) roundTrip(ctx context.Context, ex *exchange, address string, attempt Attempt) (*http.Response, *backendConn, error) {
	for {
		conn, err := h.conns.take(ctx, address, ex.usedConns)
		if err != nil {
			return nil, nil, &unsentError{err: err}
		}
		ex.usedConns = append(ex.usedConns, conn)
		req := h.newAttemptRequest(ctx, ex, address, attempt)
		resp, err := conn.roundTrip(req, attempt.Backend, ex.call.ID)
		if err == nil {
			resp, err = h.awaitOwnResponse(ex, conn, req, resp)
		}
		if err == nil {
			return resp, conn, nil
		}
		conn.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		if !conn.conn.endUnsent() {
			return nil, nil, err
		}
		if !conn.isReused || ctx.Err() != nil {
			return nil, nil, &unsentError{err: err}
		}
		// The backend server had closed the idle connection.
	}
}

// awaitOwnResponse skips responses to earlier requests of the connection, which a backend server may send once more,
// if the request can't be sent again.
func (h *Handler) awaitOwnResponse(ex *exchange, conn *backendConn, req *http.Request, resp *http.Response) (*http.Response, error) {
	for range maxSkippedResponses {
		callID := h.opts.Protocol.DecodeResponse(resp.StatusCode, resp.Header).CallID
		if ex.route.Repeatable() || callID == ex.call.ID || req.Method == http.MethodHead || !conn.hasCarried(callID) || !conn.skipBody() {
			return resp, nil
		}
		conn.hasSkipped = true
		h.unsolicited.record(conn, unsolicitedResponse{outcome: unsolicitedSkipped, status: resp.StatusCode, header: resp.Header, awaited: ex.call.ID})
		var err error
		if resp, err = conn.readResponse(req); err != nil {
			return nil, err
		}
	}
	return resp, nil
}
