package aubcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// attemptTimeout limits one attempt, so that an unresponsive replica is not
	// waited for until the command's deadline.
	attemptTimeout = 2 * time.Second
	retryInterval  = 25 * time.Millisecond
	// retryAfterHint is the RetryAfter of a command that is not committed.
	retryAfterHint = time.Second
)

var (
	// errPermanent marks a rejection that a retry would not change.
	errPermanent = errors.New("trying again does not help")
	// errExpired marks a command that the state machine rejected: it reached the log
	// too long after its issue, or may be a retry whose outcome was dropped.
	errExpired = errors.New("command expired")
)

// sender submits a command until its outcome is known. All attempts of one
// command have the same id, so that it is applied once.
type sender struct {
	timer   aubtimer.Service
	timeout time.Duration
	// attempt submits the command once; its errors are *NotCommittedError and
	// *UncertainError.
	attempt func(ctx context.Context, req *aubwire.ApplyRequest) (*aubwire.ApplyResponse, error)
}

func (s sender) apply(ctx context.Context, table string, body []byte) (Result, error) {
	ctx, cancel := withDefaultTimeout(ctx, s.timeout)
	defer cancel()
	req := &aubwire.ApplyRequest{Table: table, Body: body, CommandId: uuid.NewString()}
	isUncertain := false
	for {
		resp, err := s.attemptWithTimeout(ctx, req)
		if err == nil {
			return Result{Index: resp.GetIndex(), Body: resp.GetResult()}, nil
		}
		isUncertain = isUncertain || !isNotCommitted(err)
		isExpired := errors.Is(err, errExpired)
		if isExpired && !isUncertain {
			req.CommandId = uuid.NewString()
			req.IssuedMs = 0
		}
		if errors.Is(err, errPermanent) || (isExpired && isUncertain) || s.wait(ctx) != nil {
			return Result{}, outcomeError(err, isUncertain)
		}
	}
}

func (s sender) attemptWithTimeout(ctx context.Context, req *aubwire.ApplyRequest) (*aubwire.ApplyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return s.attempt(ctx, req)
}

func (s sender) wait(ctx context.Context) error {
	return aubtimer.Wait(ctx, s.timer, retryInterval)
}

// outcomeError converts the error of the last attempt to the error of all
// attempts.
func outcomeError(err error, isUncertain bool) error {
	if isUncertain {
		var uncertain *UncertainError
		if errors.As(err, &uncertain) {
			return uncertain
		}
		// A *NotCommittedError of the last attempt says nothing about the
		// earlier ones, so it is not wrapped.
		return &UncertainError{Reason: "an earlier send had no answer; the last one: " + err.Error()}
	}
	var notCommitted *NotCommittedError
	if errors.As(err, &notCommitted) {
		rejection := *notCommitted
		if !errors.Is(err, errPermanent) {
			rejection.RetryAfter = retryAfterHint
		}
		return &rejection
	}
	return &UncertainError{Reason: "outcome is unknown", Err: err}
}

// retryRead repeats a read, which has no effect, until it succeeds, fails
// permanently or ctx ends.
func retryRead(ctx context.Context, timer aubtimer.Service, read func(ctx context.Context) (uint64, error)) (uint64, error) {
	for {
		index, err := read(ctx)
		if err == nil {
			return index, nil
		}
		if errors.Is(err, errPermanent) || aubtimer.Wait(ctx, timer, retryInterval) != nil {
			return 0, &NotConfirmedError{Reason: "no leader confirmed the read", Err: err}
		}
	}
}

func withDefaultTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	if timeout == 0 {
		timeout = defaultApplyTimeout
	}
	return context.WithTimeout(ctx, timeout)
}
