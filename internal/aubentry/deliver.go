package aubentry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubheader"
	"github.com/auburndale/auburndale/internal/aubroute"
)

// maxBufferedBytes bounds the body of a response that is buffered before it is
// forwarded.
const maxBufferedBytes = 64 << 20

// streamErrorEvent is the last event of a stream that can't be completed; after it
// the connection to the caller is aborted.
const streamErrorEvent = `data: {"error":{"message":"The answer was cut before its end.","type":"server_error","code":"answer_incomplete"}}` + "\n\n"

// deliver forwards a response to the caller. The caller's response is ended properly
// only if the backend server's is complete.
func (h *Handler) deliver(ctx context.Context, ex *exchange, c call, choice aubroute.Choice, response *aubexecution.Response, startedAt time.Time) outcome {
	routeOutcome := aubroute.Outcome{}
	var err error
	if ex.recordOutcome != nil || c.service == "" && !c.stream {
		err = h.deliverBuffered(ctx, ex, response)
		h.recordFirstToken(ex, choice, startedAt, &routeOutcome)
	} else {
		err = h.deliverStreamed(ctx, ex, choice, response, startedAt, &routeOutcome)
	}
	usage := response.Usage()
	tokens := usage.PromptTokens + usage.OutputTokens
	routeOutcome.Tokens = usage.OutputTokens
	routeOutcome.Duration = h.common.Timer.Now().Sub(startedAt)
	if err == nil {
		h.metrics.tokens.Inc(tokens)
		h.deps.Demand.RecordResponse(c.flow(), ex.timing.firstToken, routeOutcome.Duration)
		choice.Finished(routeOutcome)
		return outcome{tokens: tokens}
	}
	routeOutcome.Failure = routeFailure(err)
	choice.Finished(routeOutcome)
	if ex.responseStarted && c.stream {
		_ = h.writeChunk(ex, []byte(streamErrorEvent))
	}
	o := h.failedOutcome(ctx, choice, err)
	o.failure, o.tokens = err, tokens
	return o
}

// deliverBuffered forwards the response once it is complete, so that after a failure
// the call can still be retried or refused.
func (h *Handler) deliverBuffered(ctx context.Context, ex *exchange, response *aubexecution.Response) error {
	body, err := readFullBody(ctx, response)
	if err != nil {
		return err
	}
	if ex.recordOutcome != nil {
		ex.outcomeRecorded = true
		ex.recordOutcome(response.Status, response.Header, body)
	}
	copyHeader(ex.writer.Header(), response.Header)
	ex.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	ex.responseStarted = true
	ex.writer.WriteHeader(response.Status)
	return h.writeChunk(ex, body)
}

// readFullBody reads the complete body of a response of at most maxBufferedBytes.
func readFullBody(ctx context.Context, response *aubexecution.Response) ([]byte, error) {
	var body []byte
	for {
		chunk, err := response.Next(ctx)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body)+len(chunk) > maxBufferedBytes {
			return nil, refuse(problemIncomplete).WithDetail("The answer is larger than %d bytes.", maxBufferedBytes)
		}
		body = append(body, chunk...)
	}
}

// deliverStreamed forwards chunks as they arrive. The head is sent with the first
// chunk, so that a call that fails before it can be retried on another backend server.
func (h *Handler) deliverStreamed(ctx context.Context, ex *exchange, choice aubroute.Choice, response *aubexecution.Response, startedAt time.Time, routeOutcome *aubroute.Outcome) error {
	lastChunkAt, keyCheckedAt := startedAt, startedAt
	for {
		chunk, err := response.Next(ctx)
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return err
		}
		now := h.common.Timer.Now()
		if !ex.responseStarted {
			h.recordFirstToken(ex, choice, startedAt, routeOutcome)
			copyHeader(ex.writer.Header(), response.Header)
			ex.responseStarted = true
			ex.writer.WriteHeader(response.Status)
		} else {
			h.metrics.interToken.RecordDuration(now.Sub(lastChunkAt))
			ex.timing.countGap(now.Sub(lastChunkAt), h.objectives.InterToken)
		}
		lastChunkAt = now
		if ended {
			copyTrailers(ex.writer.Header(), response.Trailer())
			return nil
		}
		if err := h.writeChunk(ex, chunk); err != nil {
			return err
		}
		if now.Sub(keyCheckedAt) > keyRecheckInterval {
			keyCheckedAt = now
			if err := h.recheckKey(ex); err != nil {
				return err
			}
		}
	}
}

// recordFirstToken records the time to the first token: from the start of the attempt
// for the router, and from the arrival of the request for the objectives.
func (h *Handler) recordFirstToken(ex *exchange, choice aubroute.Choice, startedAt time.Time, routeOutcome *aubroute.Outcome) {
	now := h.common.Timer.Now()
	choice.FirstToken()
	routeOutcome.FirstToken = now.Sub(startedAt)
	ex.timing.firstToken = now.Sub(ex.arrivedAt)
	h.metrics.firstToken.RecordDuration(ex.timing.firstToken)
}

// recheckKey returns an error if the key of a running stream is no longer valid.
func (h *Handler) recheckKey(ex *exchange) error {
	if ex.identity.KeyName == "" {
		return nil
	}
	if err := h.deps.Auth.Recheck(ex.identity); err != nil {
		return streamEndError(err)
	}
	return nil
}

// writeChunk writes and flushes within the write timeout, so that a caller that
// stops reading doesn't occupy a backend server.
func (h *Handler) writeChunk(ex *exchange, chunk []byte) error {
	controller := http.NewResponseController(ex.writer)
	// Deadlines of sockets refer to the system clock, not to common.Timer.
	_ = controller.SetWriteDeadline(time.Now().Add(h.bounds.WriteTimeout))
	if _, err := ex.writer.Write(chunk); err != nil {
		return &callerDisconnectedError{err: err}
	}
	if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return &callerDisconnectedError{err: err}
	}
	return nil
}

// callerDisconnectedError is returned when the response can't be written to the caller.
type callerDisconnectedError struct{ err error }

// Error implements error.
func (e *callerDisconnectedError) Error() string { return "caller disconnected: " + e.err.Error() }

// Unwrap returns the cause.
func (e *callerDisconnectedError) Unwrap() error { return e.err }

// copyHeader copies the headers of a response, except hop-by-hop ones and a request id
// that is already set.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if to.Get(name) != "" && name == headerRequestID {
			continue
		}
		to[name] = values
	}
	aubheader.RemoveHopByHop(to)
}

// copyTrailers adds trailers to a response whose head is already written.
func copyTrailers(to, from http.Header) {
	for name, values := range from {
		to[http.TrailerPrefix+name] = values
	}
}

// writeReplay writes a recorded response and marks it as replayed.
func writeReplay(ex *exchange, status int, header http.Header, body []byte) error {
	copyHeader(ex.writer.Header(), header)
	ex.writer.Header().Set(headerIdempotencyReplayed, "true")
	ex.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	ex.responseStarted = true
	ex.writer.WriteHeader(status)
	_, err := ex.writer.Write(body)
	return err
}
