package aubrelay

import (
	"io"
	"net/http"
	"time"

	"github.com/auburndale/auburndale/internal/aubheader"
	"github.com/auburndale/auburndale/internal/aubroute"
)

// relayPlain buffers a response and writes it to the caller. A server error is returned
// instead, to be written only if no other attempt succeeds. Of a response of
// maxBufferedBytes or more, or while all buffers are full, the part beyond the buffer is
// forwarded as it is received.
func (h *Handler) relayPlain(ex *exchange, choice aubroute.Choice, resp *http.Response, started time.Time) attemptResult {
	ex.buffered.release()
	body, isComplete, err := ex.buffered.readBuffered(resp.Body, maxBufferedBytes)
	if err != nil {
		return attemptResult{outcome: outcomeFailed, failure: aubroute.FailureConnection, err: err}
	}
	ex.firstEventTime = h.common.Timer.Now().Sub(started)
	choice.FirstToken()
	h.observeAnswer(ex, choice, resp.StatusCode)
	plain := &plainResponse{status: resp.StatusCode, header: resp.Header, body: body, remainder: resp.Body, isComplete: isComplete}
	if resp.StatusCode >= http.StatusInternalServerError && plain.isComplete {
		return attemptResult{outcome: outcomeFailed, failure: aubroute.FailureBackend, response: plain, err: &statusError{status: resp.StatusCode}}
	}
	return attemptResult{outcome: outcomeFinal, err: h.writeResponse(ex, plain)}
}

// plainResponse is a backend server's response, buffered up to maxBufferedBytes.
type plainResponse struct {
	status     int
	header     http.Header
	body       []byte
	isComplete bool
	// remainder is the part of the body that is not buffered.
	remainder io.Reader
}

// writeResponse writes a backend server's response to the caller.
func (h *Handler) writeResponse(ex *exchange, resp *plainResponse) error {
	copyHeader(ex.writer.Header(), resp.header)
	h.closeConnection(ex)
	ex.status = resp.status
	ex.headerWritten = true
	ex.writer.WriteHeader(resp.status)
	if writer := h.newCallerWriter(ex); writer.isBounded() {
		return writer.writePlain(resp)
	}
	if _, err := ex.writer.Write(resp.body); err != nil {
		return &disconnectedError{err: err}
	}
	if resp.isComplete {
		return nil
	}
	if _, err := io.Copy(ex.writer, resp.remainder); err != nil {
		return &incompleteResponseError{err: err}
	}
	return nil
}

// writePlain writes the buffered part of a response and the remainder.
func (w *callerWriter) writePlain(resp *plainResponse) error {
	if err := w.write(resp.body, false); err != nil {
		return &disconnectedError{err: err}
	}
	if resp.isComplete {
		return nil
	}
	if err := w.copyFrom(resp.remainder); err != nil {
		return &incompleteResponseError{err: err}
	}
	return nil
}

// copyHeader copies all but the hop-by-hop headers.
func copyHeader(to, from http.Header) {
	header := from.Clone()
	aubheader.RemoveHopByHop(header)
	for name, values := range header {
		to[name] = values
	}
}
