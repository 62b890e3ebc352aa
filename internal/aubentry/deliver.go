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

// maxWholeAnswer bounds, in bytes, an answer that is gathered before it is passed on.
const maxWholeAnswer = 64 << 20

// streamErrorEvent ends a stream that can't be completed, before its connection
// is aborted.
const streamErrorEvent = `data: {"error":{"message":"The answer was cut before its end.","type":"server_error","code":"answer_incomplete"}}` + "\n\n"

// deliver passes an answer to the caller. It ends the answer as whole only if
// the backend server did.
func (h *Handler) deliver(ctx context.Context, x *exchange, c call, choice aubroute.Choice, answer *aubexecution.Answer, began time.Time) outcome {
	result := aubroute.Outcome{}
	var err error
	if x.record != nil || c.service == "" && !c.stream {
		err = h.deliverWhole(ctx, x, answer)
		h.noteFirstToken(x, choice, began, &result)
	} else {
		err = h.deliverPieces(ctx, x, choice, answer, began, &result)
	}
	usage := answer.Usage()
	tokens := usage.PromptTokens + usage.OutputTokens
	result.Tokens = usage.OutputTokens
	result.Duration = h.common.Timer.Now().Sub(began)
	if err == nil {
		h.metrics.tokens.Inc(tokens)
		h.parts.Demand.End(c.flow(), x.timing.firstToken, result.Duration)
		choice.Finished(result)
		return outcome{tokens: tokens}
	}
	result.Failure = failureOf(err)
	choice.Finished(result)
	if x.written && c.stream {
		_ = h.writePiece(x, []byte(streamErrorEvent))
	}
	o := h.failedOutcome(ctx, choice, err)
	o.tokens = tokens
	return o
}

// deliverWhole gathers the whole answer first, so that a failure on the way can
// still be answered or sent again.
func (h *Handler) deliverWhole(ctx context.Context, x *exchange, answer *aubexecution.Answer) error {
	body, err := readWhole(ctx, answer)
	if err != nil {
		return err
	}
	if x.record != nil {
		x.recorded = true
		x.record(answer.Status, answer.Header, body)
	}
	copyHeader(x.w.Header(), answer.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.written = true
	x.w.WriteHeader(answer.Status)
	return h.writePiece(x, body)
}

// readWhole gathers an answer up to its bound.
func readWhole(ctx context.Context, answer *aubexecution.Answer) ([]byte, error) {
	var body []byte
	for {
		piece, err := answer.Next(ctx)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body)+len(piece) > maxWholeAnswer {
			return nil, refuse(problemIncomplete).WithDetail("The answer is larger than %d bytes.", maxWholeAnswer)
		}
		body = append(body, piece...)
	}
}

// deliverPieces passes pieces on as they come. The head waits for the first
// piece, so that a backend server that fails before it can be replaced.
func (h *Handler) deliverPieces(ctx context.Context, x *exchange, choice aubroute.Choice, answer *aubexecution.Answer, began time.Time, result *aubroute.Outcome) error {
	last, checked := began, began
	for {
		piece, err := answer.Next(ctx)
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return err
		}
		now := h.common.Timer.Now()
		if !x.written {
			h.noteFirstToken(x, choice, began, result)
			copyHeader(x.w.Header(), answer.Header)
			x.written = true
			x.w.WriteHeader(answer.Status)
		} else {
			h.metrics.interToken.RecordDuration(now.Sub(last))
			x.timing.countGap(now.Sub(last), h.objectives.InterToken)
		}
		last = now
		if ended {
			copyTrailers(x.w.Header(), answer.Trailer())
			return nil
		}
		if err := h.writePiece(x, piece); err != nil {
			return err
		}
		if now.Sub(checked) > recheckInterval {
			checked = now
			if err := h.recheckKey(x); err != nil {
				return err
			}
		}
	}
}

// noteFirstToken records the first piece of an answer: the backend server's time
// for the router, the caller's for the service levels.
func (h *Handler) noteFirstToken(x *exchange, choice aubroute.Choice, began time.Time, result *aubroute.Outcome) {
	now := h.common.Timer.Now()
	choice.FirstToken()
	result.FirstToken = now.Sub(began)
	x.timing.firstToken = now.Sub(x.started)
	h.metrics.firstToken.RecordDuration(x.timing.firstToken)
}

// recheckKey ends a running stream whose key was withdrawn.
func (h *Handler) recheckKey(x *exchange) error {
	if x.identity.KeyName == "" {
		return nil
	}
	if err := h.parts.Auth.Recheck(x.identity); err != nil {
		return turnAuthError(err)
	}
	return nil
}

// writePiece writes and flushes within the write timeout, so that a caller that
// stops reading doesn't hold a backend server.
func (h *Handler) writePiece(x *exchange, piece []byte) error {
	control := http.NewResponseController(x.w)
	// Only the machine's clock can bound a socket write.
	_ = control.SetWriteDeadline(time.Now().Add(h.bounds.WriteTimeout))
	if _, err := x.w.Write(piece); err != nil {
		return &callerGoneError{err: err}
	}
	if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return &callerGoneError{err: err}
	}
	return nil
}

// callerGoneError says that the caller does not take the answer any more.
type callerGoneError struct{ err error }

// Error implements error.
func (e *callerGoneError) Error() string { return "caller gone: " + e.err.Error() }

// Unwrap returns the cause.
func (e *callerGoneError) Unwrap() error { return e.err }

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if to.Get(name) != "" && name == headerRequestID {
			continue
		}
		to[name] = values
	}
	aubheader.RemoveHop(to)
}

func copyTrailers(to, from http.Header) {
	for name, values := range from {
		to[http.TrailerPrefix+name] = values
	}
}

// replay answers with a recorded outcome.
func replay(x *exchange, status int, header http.Header, body []byte) error {
	copyHeader(x.w.Header(), header)
	x.w.Header().Set(headerReplayed, "true")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.written = true
	x.w.WriteHeader(status)
	_, err := x.w.Write(body)
	return err
}
