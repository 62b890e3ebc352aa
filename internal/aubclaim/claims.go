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
	// DefaultRetryEvery is the time between tries to commit a pending update.
	DefaultRetryEvery = 200 * time.Millisecond
	// DefaultApplyTimeout bounds one try.
	DefaultApplyTimeout = time.Second
	// DefaultBeginTimeout bounds all tries of one Begin.
	DefaultBeginTimeout = 5 * time.Second
	// maxPending is the number of updates that wait to be committed. Claims whose
	// update is dropped count as may have run once their hold ends.
	maxPending = 65536
)

// ClaimsOpts configures the claims of one process.
type ClaimsOpts struct {
	// Instance and Incarnation name this process. The incarnation grows with
	// every start.
	Instance    string
	Incarnation uint64
	Proposer    aubcontrol.Proposer
	// RetryEvery is the time between tries to commit.
	RetryEvery time.Duration
	// ApplyTimeout bounds one try to commit.
	ApplyTimeout time.Duration
	// BeginTimeout bounds all tries of one Begin.
	BeginTimeout time.Duration
}

// Claims begins and ends the claims of one process. It is safe for concurrent use.
type Claims struct {
	common aubcommon.Common
	opts   ClaimsOpts
	owner  Owner
	wake   chan struct{}

	// mu guards pending.
	mu      sync.Mutex
	pending []*aubwire.ClaimCommand
}

// NewClaims returns the claims of this process and, in the background, marks
// what earlier incarnations left unfinished. Background work ends with ctx.
func NewClaims(ctx context.Context, common aubcommon.Common, opts ClaimsOpts) *Claims {
	opts = opts.withDefaults()
	c := &Claims{
		common: common.WithPart("claims"),
		opts:   opts,
		owner:  Owner{Instance: opts.Instance, Incarnation: opts.Incarnation},
		wake:   make(chan struct{}, 1),
	}
	c.enqueue(retireCommand(c.owner))
	ticks := common.Timer.Subscribe(ctx, opts.RetryEvery)
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

// Begin commits the claim before the call is sent. Only Begun allows the send,
// once. An error is always *NotClaimedError: the call must not be sent.
func (c *Claims) Begin(ctx context.Context, claim Claim) (Result, error) {
	if claim.Hold <= 0 {
		claim.Hold = DefaultHold
	}
	ticket := Ticket{ID: claim.ID, Owner: c.owner, Attempt: uuid.NewString()}
	startedAt := c.common.Timer.Now()
	r, committed, err := c.commitBegin(ctx, beginCommand(ticket, claim))
	if err == nil {
		var result Result
		if result, err = newResult(ticket, startedAt.Add(claim.Hold), r); err == nil {
			return result, nil
		}
	}
	if committed != neverCommitted {
		// The claim may be ours and will never be used.
		c.enqueue(releaseCommand(ticket))
	}
	return nil, &NotClaimedError{RetryAfter: c.retryAfter(err), Err: err}
}

// commitment says what is known of a command that was proposed.
type commitment int

const (
	neverCommitted commitment = iota
	possiblyCommitted
)

// commitBegin proposes the same command until its result is known: repeating it
// is how an uncertain claim is confirmed.
func (c *Claims) commitBegin(ctx context.Context, cmd *aubwire.ClaimCommand) (*aubwire.ClaimReply, commitment, error) {
	committed := neverCommitted
	deadline := c.common.Timer.Now().Add(c.opts.BeginTimeout)
	for {
		r, err := c.apply(ctx, cmd)
		if err == nil {
			return r, possiblyCommitted, nil
		}
		var notCommitted *aubcontrol.NotCommittedError
		if errors.As(err, &notCommitted) {
			return nil, committed, err
		}
		committed = possiblyCommitted
		if !c.common.Timer.Now().Before(deadline) {
			return nil, committed, err
		}
		if aubtimer.Wait(ctx, c.common.Timer, c.opts.RetryEvery) != nil {
			return nil, committed, err
		}
	}
}

func (c *Claims) retryAfter(err error) time.Duration {
	var notCommitted *aubcontrol.NotCommittedError
	if errors.As(err, &notCommitted) {
		return max(notCommitted.RetryAfter, c.opts.RetryEvery)
	}
	return c.opts.RetryEvery
}

// Finish records the outcome of a call that ran. On *NotRecordedError the
// outcome is tried again in the background.
func (c *Claims) Finish(ctx context.Context, t Ticket, o Outcome) error {
	return c.update(ctx, t, finishCommand(t, o))
}

// Release gives the claim up; only a call that was certainly not run may be
// released. On *NotRecordedError it is tried again in the background.
func (c *Claims) Release(ctx context.Context, t Ticket) error {
	return c.update(ctx, t, releaseCommand(t))
}

// Abandon says that the call was sent and that its outcome will not be known.
// On *NotRecordedError it is tried again in the background.
func (c *Claims) Abandon(ctx context.Context, t Ticket) error {
	return c.update(ctx, t, abandonCommand(t))
}

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
	if o.RetryEvery <= 0 {
		o.RetryEvery = DefaultRetryEvery
	}
	if o.ApplyTimeout <= 0 {
		o.ApplyTimeout = DefaultApplyTimeout
	}
	if o.BeginTimeout <= 0 {
		o.BeginTimeout = DefaultBeginTimeout
	}
	return o
}
