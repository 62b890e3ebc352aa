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

// executeClaimed runs a non-idempotent call under its idempotency key: the claim
// is committed before the call is sent, and a repeat gets the recorded outcome.
func (h *Handler) executeClaimed(ctx context.Context, x *exchange, c call) error {
	claim := aubclaim.Claim{
		ID:     aubclaim.ID{Workspace: c.workspace.Name, Key: x.r.Header.Get(headerIdempotencyKey)},
		Digest: c.digest,
		Hold:   c.deadline.Sub(x.started) + claimMargin,
	}
	result, err := h.parts.Claims.Begin(ctx, claim)
	if err != nil {
		return turnClaimError(err)
	}
	switch r := result.(type) {
	case aubclaim.Begun:
		return h.executeBegun(ctx, x, c, r)
	case aubclaim.Recorded:
		return replayOutcome(x, r.Outcome)
	case aubclaim.InProgress:
		return refuse(problemClaimRunning).WithRetryAfter(r.RetryAfter)
	case aubclaim.MayHaveRun:
		return refuse(problemClaimUnknown)
	case aubclaim.Conflict:
		return refuse(problemClaimBody)
	case aubclaim.Full:
		return refuse(problemClaimsFull).WithRetryAfter(r.RetryAfter)
	default:
		return refuse(problemInternal)
	}
}

// executeBegun runs a call whose claim is ours and records how it ended.
func (h *Handler) executeBegun(ctx context.Context, x *exchange, c call, begun aubclaim.Begun) error {
	c.deadline = earlier(c.deadline, begun.SendBy)
	x.record = func(status int, header http.Header, body []byte) {
		h.recordOutcome(ctx, begun.Ticket, aubclaim.Outcome{Status: status, Headers: headerList(header), Body: body})
	}
	err := h.execute(ctx, x, c)
	if err == nil || x.recorded {
		return err
	}
	// The caller may be gone; the claim is settled all the same.
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimSettleTimeout)
	defer cancel()
	if asRefusal(err).execution == aubapi.ExecutionNotRun {
		h.logClaim(h.parts.Claims.Release(settle, begun.Ticket))
		return err
	}
	h.logClaim(h.parts.Claims.Abandon(settle, begun.Ticket))
	return err
}

func (h *Handler) recordOutcome(ctx context.Context, ticket aubclaim.Ticket, o aubclaim.Outcome) {
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimSettleTimeout)
	defer cancel()
	h.logClaim(h.parts.Claims.Finish(settle, ticket, o))
}

// logClaim notes that a claim is updated later; the claims retry by themselves.
func (h *Handler) logClaim(err error) {
	if err != nil {
		h.common.Log.Warn("A claim is not updated yet.", zap.Error(err))
	}
}

func replayOutcome(x *exchange, o aubclaim.Outcome) error {
	if o.Omitted {
		return refuse(problemClaimUnknown).WithExecution(aubapi.ExecutionRan).WithDetail("The answer was too large to keep.")
	}
	header := make(http.Header, len(o.Headers))
	for _, e := range o.Headers {
		header[e.Name] = e.Values
	}
	return replay(x, o.Status, header, o.Body)
}

func headerList(header http.Header) []aubclaim.Header {
	list := make([]aubclaim.Header, 0, len(header))
	for _, name := range slices.Sorted(maps.Keys(header)) {
		list = append(list, aubclaim.Header{Name: name, Values: header[name]})
	}
	return list
}

func turnClaimError(err error) error {
	var notClaimed *aubclaim.NotClaimedError
	if errors.As(err, &notClaimed) {
		return refuse(problemNoQuorum).WithRetryAfter(notClaimed.RetryAfter)
	}
	return err
}
