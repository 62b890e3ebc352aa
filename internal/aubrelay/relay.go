package aubrelay

import (
	"context"
	"errors"
	"hash/maphash"
	"net/http"
	"time"

	"github.com/auburndale/auburndale/internal/aubroute"
)

const (
	// PrefixBlockTokens is the number of prompt tokens for which routing remembers
	// one hash.
	PrefixBlockTokens = 512
	// maxUnrunSends bounds the sends of one request that did not run.
	maxUnrunSends = 5
	// defaultPriority is the rank that backend servers assume.
	defaultPriority = 5
	// maxPriority is the least urgent rank.
	maxPriority = 9
	// maxPlainAnswer bounds the plain answers that are read whole before they are
	// passed on, so that one that breaks off can be repeated.
	maxPlainAnswer = 1 << 20
	// prefillRun is the prompt tokens that an engine may read without a break: three
	// pieces of 4096, so that the running answers' pauses stay short.
	prefillRun = 12288
	// waitShare of the objective, as a divisor, bounds the wait for a break in prefill
	// or for a place; the platform charges for longer ones.
	waitShare = 8
	// pacingInterval is the time between two looks for a break.
	pacingInterval = 10 * time.Millisecond
	// soonFree is the time to come back up to which a place is waited for, and
	// askInterval the time between two questions for it.
	soonFree    = 250 * time.Millisecond
	askInterval = 50 * time.Millisecond
)

var prefixSeed = maphash.MakeSeed()

// verdict says how one send ended.
type verdict int

const (
	// verdictDone means that the caller has its final answer.
	verdictDone verdict = iota
	// verdictNotRun means that the request certainly did not run.
	verdictNotRun
	// verdictFailed means that the request may have run and brought no answer.
	verdictFailed
)

// sendResult is how one send ended.
type sendResult struct {
	verdict verdict
	failure aubroute.Failure
	// arrived is set once the backend server may have received the request.
	arrived bool
	// answer is a backend server's own failure, to be passed on unless a repeat
	// does better.
	answer *plainAnswer
	err    error
}

// relay sends the request until it has an answer or may not be sent again.
func (h *Handler) relay(ctx context.Context, x *exchange) error {
	x.service = serviceOf(x.route)
	h.noteDemand(x)
	var last sendResult
	for {
		choice, err := h.pick(ctx, x)
		if err != nil {
			return h.giveUp(ctx, x, last, err)
		}
		last = h.send(ctx, x, choice)
		if last.verdict == verdictDone {
			return last.err
		}
		if ctx.Err() != nil || !h.mayRepeat(x, last) {
			return h.giveUp(ctx, x, last, nil)
		}
		x.excluded = append(x.excluded, x.backend)
		h.metrics.retries.Inc(1)
	}
}

// mayRepeat decides whether the request may be sent once more.
func (h *Handler) mayRepeat(x *exchange, last sendResult) bool {
	switch {
	case last.verdict == verdictFailed && !x.route.Repeatable():
		return false
	case last.verdict == verdictFailed && x.runs >= max(x.route.MaxAttempts, 1):
		return false
	case x.sends-x.runs >= maxUnrunSends:
		return false
	}
	// A connection that was never made reached no backend server.
	return !last.arrived || h.parts.Router.AllowRetry(x.service)
}

// giveUp ends a request that is not sent any more. pickErr is set when no
// backend server was found for another send.
func (h *Handler) giveUp(ctx context.Context, x *exchange, last sendResult, pickErr error) error {
	cause := errors.Join(last.err, pickErr)
	switch {
	case x.r.Context().Err() != nil:
		return &goneError{err: x.r.Context().Err()}
	case x.written:
		return &brokenError{err: cause}
	case last.answer != nil:
		return h.passOn(x, last.answer)
	case x.mayHaveRun && ctx.Err() != nil:
		return &refusedError{refusal: Refusal{Status: http.StatusGatewayTimeout, Code: CodeTimeout}, err: cause}
	case x.mayHaveRun:
		return &refusedError{refusal: Refusal{Status: http.StatusBadGateway, Code: CodeFailed}, err: cause}
	}
	retryAfter := retrySoon
	var none *aubroute.NoBackendError
	if errors.As(pickErr, &none) && none.RetryAfter > 0 {
		retryAfter = none.RetryAfter
	}
	return &refusedError{refusal: Refusal{Status: http.StatusServiceUnavailable, Code: CodeNoBackend, RetryAfter: retryAfter}, err: cause}
}
