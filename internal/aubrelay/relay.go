package aubrelay

import (
	"context"
	"errors"
	"hash/maphash"
	"net/http"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubthrottle"
)

const (
	// PrefixBlockTokens is the number of prompt tokens covered by one prefix hash of the
	// router.
	PrefixBlockTokens = 512
	// maxPrefixBlocks limits the prefix hashes of one request. No engine keeps a prompt of as many
	// tokens.
	maxPrefixBlocks = 4096
	// maxUnrunAttempts limits the attempts at one request in which it did not run.
	maxUnrunAttempts = 5
	// defaultPriority is the priority that backend servers assume if none is set.
	defaultPriority = 5
	// maxPriority is the least urgent priority.
	maxPriority = 9
	// maxBufferedBytes limits the plain responses that are buffered before they are
	// written to the caller. Only a buffered response can be retried if it is truncated.
	maxBufferedBytes = 1 << 20
	// maxPrefillRunTokens is the number of prompt tokens that an engine may prefill
	// without a break: three chunks of 4096, so that running responses pause only briefly.
	maxPrefillRunTokens = 12288
	// waitDivisor limits the wait for a break in prefill or for an adapter slot to the
	// objective divided by it; the platform charges for longer waits.
	waitDivisor = 8
	// prefillPollInterval is the time between two checks for a break in prefill.
	prefillPollInterval = 10 * time.Millisecond
	// maxSlotRetryAfter is the longest advised retry time for which a request waits for
	// an adapter slot.
	maxSlotRetryAfter = 250 * time.Millisecond
	// slotPollInterval is the time between two requests for an adapter slot.
	slotPollInterval = 50 * time.Millisecond
)

// prefixSeed is random, so prefix hashes are valid only within this process.
var prefixSeed = maphash.MakeSeed()

// attemptOutcome is how an attempt ended.
type attemptOutcome int

const (
	// outcomeFinal means that no further attempt is made: the response was written, or
	// it can't be because the caller disconnected or a long response was truncated.
	outcomeFinal attemptOutcome = iota
	// outcomeNotRun means that the request certainly did not run.
	outcomeNotRun
	// outcomeFailed means that the request may have run but no usable response was
	// received.
	outcomeFailed
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome attemptOutcome
	failure aubroute.Failure
	// mayHaveArrived is set once the backend server may have received the request.
	mayHaveArrived bool
	// isUnframed is set if the response has neither a length nor chunks.
	isUnframed bool
	// response is a backend server's error response, written to the caller unless a
	// later attempt succeeds.
	response *plainResponse
	err      error
}

// relay sends the request to one backend server after another until an attempt
// is final or no retry is allowed.
func (h *Handler) relay(ctx context.Context, ex *exchange) error {
	if err := h.bindRegions(ex); err != nil {
		return err
	}
	if err := h.bindService(ctx, ex); err != nil {
		return err
	}
	defer h.endTrial(ex)
	var lastResult attemptResult
	for {
		if err := h.admitSuspect(ctx, ex); err != nil {
			return h.giveUp(ctx, ex, lastResult, err)
		}
		if ex.attempts == 0 {
			h.recordDemand(ex)
		} else if err := h.refuseIfLate(ex); err != nil {
			return h.giveUp(ctx, ex, lastResult, err)
		}
		choice, err := h.selectBackend(ctx, ex)
		if err != nil {
			return h.giveUp(ctx, ex, lastResult, err)
		}
		lastResult = h.sendAttempt(ctx, ex, choice)
		if lastResult.outcome == outcomeFinal {
			return lastResult.err
		}
		if ctx.Err() != nil || !h.mayRetry(ex, lastResult) {
			if ex.headerWritten && !h.isCurrent() {
				lastResult.err = errors.Join(lastResult.err, &outdatedError{})
			}
			return h.giveUp(ctx, ex, lastResult, nil)
		}
		ex.excludedBackends = append(ex.excludedBackends, ex.backendID)
		h.metrics.retries.Inc(1)
	}
}

// bindService sets the service of the request. A stream that the caller takes up goes on at
// the service and the software version that began it.
func (h *Handler) bindService(ctx context.Context, ex *exchange) error {
	if ex.route.Kind != aubsite.KindStream || ex.call.LastEventID == NoEventID {
		ex.service = drawService(ex.route)
		return nil
	}
	if !h.isCurrent() {
		return &refusalError{refusal: Refusal{Status: http.StatusServiceUnavailable, Code: CodeUnknownStream, RetryAfter: defaultRetryAfter}, err: &outdatedError{}}
	}
	services := make([]string, 0, len(ex.route.Targets))
	for _, target := range ex.route.Targets {
		services = append(services, target.Service)
	}
	origin, err := h.opts.Streams.Resolve(ctx, ex.call.ID, ex.call.Resumes, services)
	var unknown *aubresume.UnknownError
	if errors.As(err, &unknown) {
		return &refusalError{refusal: Refusal{Status: http.StatusServiceUnavailable, Code: CodeUnknownStream, RetryAfter: unknown.RetryAfter}, err: err}
	}
	if origin.Software == aubresume.UnknownSoftware || !slices.Contains(services, origin.Service) {
		return newRefusal(http.StatusServiceUnavailable, CodeUnknownStream, 0)
	}
	ex.service, ex.requiredSoftware = origin.Service, auboption.Some(origin.Software)
	return nil
}

// recordStream notes the software version of a stream's first event, at which it must go on, once it
// is known.
func (h *Handler) recordStream(ex *exchange) {
	if _, isBound := ex.requiredSoftware.Get(); isBound {
		return
	}
	origin := aubresume.Origin{Service: ex.service, Software: ex.software}
	isKnown := h.isSoftwareKnown(ex)
	if isKnown {
		ex.requiredSoftware = auboption.Some(ex.software)
	} else {
		// The caller may take the stream up before the version is known. Without this record
		// the only version that is known by then would be taken for it.
		origin.Software = aubresume.UnknownSoftware
	}
	if ex.route.Resumable {
		h.opts.Streams.Record(ex.call.ID, origin)
	}
}

// isSoftwareKnown reports whether the software version of the backend server that runs the request is
// certainly that of its record. An unconfirmed one may have started again with another version, and so
// may any other one under its id while this process hears of no registrations.
func (h *Handler) isSoftwareKnown(ex *exchange) bool {
	return h.isCurrent() && h.opts.Registry.IsConfirmed(ex.backendID, ex.backendStartedMs)
}

func (h *Handler) isCurrent() bool { return h.opts.IsCurrent == nil || h.opts.IsCurrent() }

// admitSuspect returns an *aubpoison.BlockedError if the request may crash its backend
// server. It is called before each attempt, because the attempt before may have done so.
func (h *Handler) admitSuspect(ctx context.Context, ex *exchange) error {
	if ex.isTrial {
		return nil
	}
	admission, err := h.opts.Guard.Admit(ctx, ex.call.ID, ex.suspectFingerprints...)
	ex.isTrial = admission == aubpoison.AdmissionTrial
	return err
}

// endTrial returns the trial of a request that neither was answered nor lost its
// connection.
func (h *Handler) endTrial(ex *exchange) {
	if ex.isTrial {
		h.opts.Guard.EndTrial(ex.suspectFingerprints...)
	}
}

// mayRetry reports whether another attempt is allowed.
func (h *Handler) mayRetry(ex *exchange, lastResult attemptResult) bool {
	switch {
	case lastResult.outcome == outcomeFailed && !ex.route.Repeatable():
		return false
	case ex.headerWritten && ex.lastEventID == NoEventID:
		// The caller has events without ids, after which no other backend server can go on.
		return false
	case h.isVersionUnknown(ex):
		return false
	case lastResult.outcome == outcomeFailed && ex.possibleRuns >= max(ex.route.MaxAttempts, 1):
		return false
	case ex.attempts-ex.possibleRuns >= maxUnrunAttempts:
		return false
	}
	// An attempt without a connection put no load on a backend server, so it does not
	// take from the retry budget.
	return !lastResult.mayHaveArrived || h.opts.Router.AllowRetry(ex.service)
}

// isVersionUnknown reports whether a stream has begun at a software version that is not known, so
// that no other backend server may go on with it, or those of the others are not known now.
func (h *Handler) isVersionUnknown(ex *exchange) bool {
	if ex.route.Kind != aubsite.KindStream || !ex.headerWritten {
		return false
	}
	h.recordStream(ex)
	_, isBound := ex.requiredSoftware.Get()
	return !isBound || !h.isCurrent()
}

// giveUp ends a request after its last attempt. pickErr is set if no backend server was
// found for another attempt.
func (h *Handler) giveUp(ctx context.Context, ex *exchange, lastResult attemptResult, pickErr error) error {
	cause := errors.Join(lastResult.err, pickErr)
	isEnded := h.endedByShutdown(ctx, ex)
	switch {
	case ex.request.Context().Err() != nil && !isEnded:
		return &disconnectedError{err: ex.request.Context().Err()}
	case ex.headerWritten:
		return &incompleteResponseError{err: cause}
	case lastResult.response != nil:
		return h.writeResponse(ex, lastResult.response)
	case ex.mayHaveRun && isEnded:
		return &refusalError{refusal: Refusal{Status: http.StatusGatewayTimeout, Code: CodeEndedAtShutdown}, err: cause}
	case isEnded:
		return &refusalError{refusal: Refusal{Status: http.StatusServiceUnavailable, Code: CodeShuttingDown, RetryAfter: drainRetryAfter}, err: cause}
	case ex.mayHaveRun && ctx.Err() != nil:
		return &refusalError{refusal: Refusal{Status: http.StatusGatewayTimeout, Code: CodeTimeout}, err: cause}
	case ex.mayHaveRun:
		return &refusalError{refusal: Refusal{Status: http.StatusBadGateway, Code: CodeBackendFailed}, err: cause}
	}
	var blocked *aubpoison.BlockedError
	if errors.As(pickErr, &blocked) {
		return &refusalError{refusal: Refusal{Status: http.StatusServiceUnavailable, Code: CodeBlocked, RetryAfter: blocked.RetryAfter}, err: cause}
	}
	var refused *refusalError
	if errors.As(pickErr, &refused) {
		return refused
	}
	retryAfter := defaultRetryAfter
	var noBackend *aubroute.NoBackendError
	if pickErr == nil {
		// The only backend servers left may want no request for a time.
		ex.excludedBackends = nil
		_, pickErr = h.opts.Router.Pick(h.newRouteRequest(ex))
	}
	if errors.As(pickErr, &noBackend) && noBackend.RetryAfter > 0 {
		retryAfter = noBackend.RetryAfter
	}
	if noBackend != nil && noBackend.Limited != "" {
		retryAfter = h.opts.Throttle.AdviseRetry(aubthrottle.Backend{Name: noBackend.Limited, Incarnation: noBackend.LimitedIncarnation})
		return &refusalError{refusal: Refusal{Status: http.StatusServiceUnavailable, Code: CodeBackendLimited, RetryAfter: retryAfter}, err: cause}
	}
	return &refusalError{refusal: Refusal{Status: http.StatusServiceUnavailable, Code: CodeNoBackend, RetryAfter: retryAfter}, err: cause}
}
