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
	// PrefixBlockTokens is the number of prompt tokens covered by one prefix hash of the
	// router.
	PrefixBlockTokens = 512
	// maxUnrunAttempts limits the attempts of one request that did not run.
	maxUnrunSends = 5
	// defaultPriority is the priority that backend servers assume if none is set.
	defaultPriority = 5
	// maxPriority is the least urgent priority.
	maxPriority = 9
	// maxBufferedBytes limits the plain responses that are buffered before they are
	// written to the caller. Only a buffered response can be retried if it is truncated.
	maxPlainAnswer = 1 << 20
	// maxPrefillRunTokens is the number of prompt tokens that an engine may prefill
	// without a break: three chunks of 4096, so that running responses pause only briefly.
	prefillRun = 12288
	// waitDivisor limits the wait for a break in prefill or for an adapter slot to the
	// objective divided by it; the platform charges for longer waits.
	waitShare = 8
	// prefillPollInterval is the time between two checks for a break in prefill.
	pacingInterval = 10 * time.Millisecond
	// maxSlotRetryAfter is the longest advised retry time for which a request waits for
	// an adapter slot.
	soonFree = 250 * time.Millisecond
	// slotPollInterval is the time between two requests for an adapter slot.
	askInterval = 50 * time.Millisecond
)

// prefixSeed is random, so prefix hashes are valid only within this process.
var prefixSeed = maphash.MakeSeed()

// attemptOutcome is how an attempt ended.
type verdict int

const (
	// outcomeFinal means that no further attempt is made: the response was written, or
	// it can't be because the caller disconnected or a long response was truncated.
	verdictDone verdict = iota
	// outcomeNotRun means that the request certainly did not run.
	verdictNotRun
	// outcomeFailed means that the request may have run but no usable response was
	// received.
	verdictFailed
)

// attemptResult is the result of one attempt.
type sendResult struct {
	verdict verdict
	failure aubroute.Failure
	// mayHaveArrived is set once the backend server may have received the request.
	arrived bool
	// response is a backend server's error response, written to the caller unless a
	// later attempt succeeds.
	answer *plainAnswer
	err    error
}

// relay sends the request to one backend server after another until an attempt
// is final or no retry is allowed.
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

// mayRetry reports whether another attempt is allowed.
func (h *Handler) mayRepeat(x *exchange, last sendResult) bool {
	switch {
	case last.verdict == verdictFailed && !x.route.Repeatable():
		return false
	case last.verdict == verdictFailed && x.runs >= max(x.route.MaxAttempts, 1):
		return false
	case x.sends-x.runs >= maxUnrunSends:
		return false
	}
	// An attempt without a connection put no load on a backend server, so it does not
	// take from the retry budget.
	return !last.arrived || h.parts.Router.AllowRetry(x.service)
}

// giveUp ends a request after its last attempt. pickErr is set if no backend server was
// found for another attempt.
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
