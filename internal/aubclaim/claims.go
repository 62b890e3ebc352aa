package aubclaim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// DefaultRetryInterval is the time between two tries to commit a command.
	DefaultRetryInterval = 200 * time.Millisecond
	// DefaultApplyTimeout bounds one try to commit a command.
	DefaultApplyTimeout = time.Second
	// DefaultBeginTimeout is the time after which a Begin makes no further try.
	DefaultBeginTimeout = 5 * time.Second
	// maxPending bounds the updates that wait to be committed; beyond it the oldest
	// is dropped. A claim whose update was dropped counts as may have run after its
	// timeout.
	maxPending = 65536
)

// ClaimsOpts configures Claims.
type ClaimsOpts struct {
	// Instance and Incarnation identify this process. The incarnation increases
	// with every start.
	Instance    string
	Incarnation uint64
	Proposer    aubcontrol.Proposer
	// RetryInterval is the time between two tries to commit; 0 means DefaultRetryInterval.
	RetryInterval time.Duration
	// ApplyTimeout bounds one try to commit; 0 means DefaultApplyTimeout.
	ApplyTimeout time.Duration
	// BeginTimeout is the time after which a Begin makes no further try; 0 means
	// DefaultBeginTimeout.
	BeginTimeout time.Duration
}

// Claims begins, finishes, releases and abandons the claims of one process in the
// replicated table. It is safe for concurrent use.
type Claims struct {
	common aubcommon.Common
	opts   ClaimsOpts
	owner  Owner
	// wake starts a flush of the pending updates before the next retry.
	wake chan struct{}

	// mu guards pending.
	mu sync.Mutex
	// pending holds the updates that are not committed, oldest first.
	pending []*aubwire.ClaimCommand
}

// NewClaims returns the claims of this process. Until ctx ends, it commits pending
// updates in the background; the first one retires the earlier incarnations, whose
// unfinished claims then count as may have run.
func NewClaims(ctx context.Context, common aubcommon.Common, opts ClaimsOpts) *Claims {
	opts = opts.withDefaults()
	c := &Claims{
		common: common.WithPart("claims"),
		opts:   opts,
		owner:  Owner{Instance: opts.Instance, Incarnation: opts.Incarnation},
		wake:   make(chan struct{}, 1),
	}
	c.enqueue(retireCommand(c.owner))
	ticks := common.Timer.Subscribe(ctx, opts.RetryInterval)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
			case <-c.wake:
			}
			c.flush(ctx)
		}
	}()
	return c
}

// Begin commits a claim, which must happen before the call is sent. Only the
// result Begun allows the call to be sent, once. An error is always
// *NotClaimedError: the call must not be sent.
func (c *Claims) Begin(ctx context.Context, claim Claim) (Result, error) {
	if claim.Timeout <= 0 {
		claim.Timeout = DefaultTimeout
	}
	ticket := Ticket{ID: claim.ID, Owner: c.owner, Attempt: uuid.NewString()}
	startedAt := c.common.Timer.Now()
	r, uncertainTries, err := c.commitBegin(ctx, beginCommand(ticket, claim))
	if err == nil && uncertainTries > 0 && isTemporary(r.GetResult()) {
		err = &UncertainTryError{Result: r.GetResult().String()}
	}
	if err == nil {
		var result Result
		if result, err = newResult(ticket, startedAt.Add(claim.Timeout), r); err == nil {
			return result, nil
		}
	}
	if r != nil || uncertainTries > 0 {
		// The claim may be committed, now or later, for this attempt, which will not use it.
		c.enqueue(releaseCommand(ticket))
	}
	return nil, &NotClaimedError{RetryAfter: c.retryAfter(err), Err: err}
}

// isTemporary reports whether a Begin that is committed later than one with this result
// may get the claim.
func isTemporary(r aubwire.ClaimResult) bool {
	switch r {
	case aubwire.ClaimResult_CLAIM_RESULT_IN_PROGRESS, aubwire.ClaimResult_CLAIM_RESULT_CONFLICT, aubwire.ClaimResult_CLAIM_RESULT_FULL:
		return true
	default:
		return false
	}
}

// commitBegin proposes the command until its result is known, a try is certainly
// not committed or the begin timeout has passed. Repeating the command is safe: the
// table replies Begun again to the attempt that holds the claim. It also returns the
// number of tries of which it is not known whether they are committed.
func (c *Claims) commitBegin(ctx context.Context, cmd *aubwire.ClaimCommand) (*aubwire.ClaimReply, int, error) {
	uncertainTries := 0
	deadline := c.common.Timer.Now().Add(c.opts.BeginTimeout)
	for {
		r, err := c.apply(ctx, cmd)
		if err == nil {
			return r, uncertainTries, nil
		}
		var notCommitted *aubcontrol.NotCommittedError
		if errors.As(err, &notCommitted) {
			return nil, uncertainTries, err
		}
		uncertainTries++
		if !c.common.Timer.Now().Before(deadline) {
			return nil, uncertainTries, err
		}
		if aubtimer.Wait(ctx, c.common.Timer, c.opts.RetryInterval) != nil {
			return nil, uncertainTries, err
		}
	}
}

func (c *Claims) retryAfter(err error) time.Duration {
	var notCommitted *aubcontrol.NotCommittedError
	if errors.As(err, &notCommitted) {
		return max(notCommitted.RetryAfter, c.opts.RetryInterval)
	}
	return c.opts.RetryInterval
}

// Finish records the outcome of a call that ran. After a *NotRecordedError the
// update is retried in the background.
func (c *Claims) Finish(ctx context.Context, t Ticket, o Outcome) error {
	return c.update(ctx, t, finishCommand(t, o))
}

// Release removes the claim, so that another attempt may run the call. The call
// must certainly not have run. After a *NotRecordedError the update is retried in
// the background.
func (c *Claims) Release(ctx context.Context, t Ticket) error {
	return c.update(ctx, t, releaseCommand(t))
}

// Abandon records that the call was sent and that its outcome will not be known.
// After a *NotRecordedError the update is retried in the background.
func (c *Claims) Abandon(ctx context.Context, t Ticket) error {
	return c.update(ctx, t, abandonCommand(t))
}

// update commits the command and, if that fails, retries it in the background.
func (c *Claims) update(ctx context.Context, t Ticket, cmd *aubwire.ClaimCommand) error {
	r, err := c.apply(ctx, cmd)
	if err != nil {
		c.enqueue(cmd)
		return &NotRecordedError{Err: err}
	}
	switch r.GetResult() {
	case aubwire.ClaimResult_CLAIM_RESULT_APPLIED:
		return nil
	case aubwire.ClaimResult_CLAIM_RESULT_NOT_OWNER:
		return &NotOwnerError{Attempt: t.Attempt}
	default:
		return &ReplyError{Detail: r.GetResult().String()}
	}
}

func (o ClaimsOpts) withDefaults() ClaimsOpts {
	if o.RetryInterval <= 0 {
		o.RetryInterval = DefaultRetryInterval
	}
	if o.ApplyTimeout <= 0 {
		o.ApplyTimeout = DefaultApplyTimeout
	}
	if o.BeginTimeout <= 0 {
		o.BeginTimeout = DefaultBeginTimeout
	}
	return o
}
