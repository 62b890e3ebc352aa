package aubentry

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubclaim"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// executeClaimed runs a non-idempotent call at most once for its idempotency key. The
// claim is committed before the call is sent; a repeat gets the recorded outcome.
func (h *Handler) executeClaimed(ctx context.Context, ex *exchange, c call) error {
	claim := aubclaim.Claim{
		ID:      aubclaim.ID{Workspace: c.workspace.Name, Key: ex.request.Header.Get(headerIdempotencyKey)},
		Digest:  c.digest,
		Timeout: c.deadline.Sub(ex.arrivedAt) + claimHoldMargin,
	}
	result, err := h.deps.Claims.Begin(ctx, claim)
	if err != nil {
		return mapClaimError(err)
	}
	switch r := result.(type) {
	case aubclaim.Begun:
		return h.executeWithClaim(ctx, ex, c, r)
	case aubclaim.Recorded:
		return replayOutcome(ex, r.Outcome)
	case aubclaim.InProgress:
		return refuse(problemClaimInProgress).WithRetryAfter(r.RetryAfter)
	case aubclaim.MayHaveRun:
		return refuse(problemOutcomeUnknown)
	case aubclaim.Conflict:
		return refuse(problemIdempotencyKeyReused)
	case aubclaim.Full:
		return refuse(problemClaimsFull).WithRetryAfter(r.RetryAfter)
	default:
		return refuse(problemInternal)
	}
}

// executeWithClaim runs a call whose claim this instance holds and records its outcome.
func (h *Handler) executeWithClaim(ctx context.Context, ex *exchange, c call, claim aubclaim.Begun) error {
	c.deadline = earlier(c.deadline, claim.SendBy)
	ex.recordOutcome = func(status int, header http.Header, body []byte) {
		h.finishClaim(ctx, claim.Ticket, aubclaim.Outcome{Status: status, Headers: claimHeaders(header), Body: body})
	}
	err := h.execute(ctx, ex, c)
	if err == nil || ex.outcomeRecorded {
		return err
	}
	// The claim is settled even if the caller has disconnected.
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimSettleTimeout)
	defer cancel()
	if asRefusal(err).execution == aubapi.ExecutionNotRun {
		h.logClaimError(h.deps.Claims.Release(settleCtx, claim.Ticket))
		return err
	}
	h.logClaimError(h.deps.Claims.Abandon(settleCtx, claim.Ticket))
	return err
}

// finishClaim commits the outcome of a claimed call, which ends its claim.
func (h *Handler) finishClaim(ctx context.Context, ticket aubclaim.Ticket, o aubclaim.Outcome) {
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimSettleTimeout)
	defer cancel()
	h.logClaimError(h.deps.Claims.Finish(settleCtx, ticket, o))
}

// logClaimError logs that a claim was not updated. Updates that could not be
// committed are retried by Claims in the background.
func (h *Handler) logClaimError(err error) {
	if err != nil {
		h.common.Log.Warn("Claim not updated.", zap.Error(err))
	}
}

// replayOutcome writes a recorded outcome to the caller.
func replayOutcome(ex *exchange, o aubclaim.Outcome) error {
	if o.Omitted {
		return refuse(problemOutcomeUnknown).WithExecution(aubapi.ExecutionRan).WithDetail("The answer was too large to keep.")
	}
	header := make(http.Header, len(o.Headers))
	for _, e := range o.Headers {
		header[e.Name] = e.Values
	}
	return writeReplay(ex, o.Status, header, o.Body)
}

func claimHeaders(header http.Header) []aubclaim.Header {
	list := make([]aubclaim.Header, 0, len(header))
	for _, name := range slices.Sorted(maps.Keys(header)) {
		list = append(list, aubclaim.Header{Name: name, Values: header[name]})
	}
	return list
}

func mapClaimError(err error) error {
	var notClaimed *aubclaim.NotClaimedError
	if errors.As(err, &notClaimed) {
		return refuse(problemNoQuorum).WithRetryAfter(notClaimed.RetryAfter)
	}
	return err
}
