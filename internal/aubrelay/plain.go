package aubrelay

import (
	"io"
	"net/http"
	"time"

	"github.com/auburndale/auburndale/internal/aubheader"
	"github.com/auburndale/auburndale/internal/aubroute"
)

// relayPlain buffers a response and writes it to the caller. A server error is returned
// instead, to be written only if no other attempt succeeds. A response of
// maxBufferedBytes or more is not buffered completely but written on as it is received.
func (h *Handler) passPlain(x *exchange, choice aubroute.Choice, resp *http.Response, started time.Time) sendResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswer))
	if err != nil {
		return sendResult{verdict: verdictFailed, failure: aubroute.FailureConnection, err: err}
	}
	x.firstEvent = h.common.Timer.Now().Sub(started)
	choice.FirstToken()
	answer := &plainAnswer{status: resp.StatusCode, header: resp.Header, body: body, rest: resp.Body, isWhole: len(body) < maxPlainAnswer}
	if resp.StatusCode >= http.StatusInternalServerError && answer.isWhole && !x.written {
		return sendResult{verdict: verdictFailed, failure: aubroute.FailureBackend, answer: answer, err: &statusError{status: resp.StatusCode}}
	}
	if x.written {
		// The caller has received the header and a part of a stream.
		return sendResult{verdict: verdictFailed, failure: aubroute.FailureBackend, err: &statusError{status: resp.StatusCode}}
	}
	return sendResult{verdict: verdictDone, err: h.passOn(x, answer)}
}

// plainResponse is a backend server's response, buffered up to maxBufferedBytes.
type plainAnswer struct {
	status  int
	header  http.Header
	body    []byte
	isWhole bool
	// remainder is the part of the body that is not buffered.
	rest io.Reader
}

// writeResponse writes a backend server's response to the caller.
func (h *Handler) passOn(x *exchange, answer *plainAnswer) error {
	copyHeader(x.w.Header(), answer.header)
	x.status = answer.status
	x.written = true
	x.w.WriteHeader(answer.status)
	if _, err := x.w.Write(answer.body); err != nil {
		return &goneError{err: err}
	}
	if answer.isWhole {
		return nil
	}
	if _, err := io.Copy(x.w, answer.rest); err != nil {
		return &brokenError{err: err}
	}
	return nil
}

// copyHeader copies all but the hop-by-hop headers.
func copyHeader(to, from http.Header) {
	header := from.Clone()
	aubheader.RemoveHop(header)
	for name, values := range header {
		to[name] = values
	}
}
