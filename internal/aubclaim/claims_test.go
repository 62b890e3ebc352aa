package aubclaim_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/auburndale/auburndale/internal/aubclaim"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	retention    = time.Hour
	claimTimeout = time.Minute
)

func tableOpts() aubclaim.TableOpts {
	return aubclaim.TableOpts{Retention: retention, MaxClaims: 4, MaxWorkspaceClaims: 2, MaxBodyBytes: 16}
}

func newClaims(t *testing.T, log *fakeLog, instance string, incarnation uint64) *aubclaim.Claims {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return aubclaim.NewClaims(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubclaim.ClaimsOpts{
		Instance:      instance,
		Incarnation:   incarnation,
		Proposer:      log,
		RetryInterval: time.Millisecond,
	})
}

func claim(workspace, key, digest string) aubclaim.Claim {
	return aubclaim.Claim{
		ID:      aubclaim.ID{Workspace: workspace, Key: key},
		Digest:  []byte(digest),
		Timeout: claimTimeout,
	}
}

// begin returns the result of a Begin that must not fail.
func begin(t *testing.T, c *aubclaim.Claims, cl aubclaim.Claim) aubclaim.Result {
	t.Helper()
	r, err := c.Begin(context.Background(), cl)
	qt.Assert(t, err, qt.IsNil)
	return r
}

// mustBegin returns the ticket of a Begin that must get Begun.
func mustBegin(t *testing.T, c *aubclaim.Claims, cl aubclaim.Claim) aubclaim.Ticket {
	t.Helper()
	b, ok := begin(t, c, cl).(aubclaim.Begun)
	qt.Assert(t, ok, qt.IsTrue)
	return b.Ticket
}

func TestRepeatGetsStateOfClaim(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name string
		// event runs between the first Begin, at instance a, and the repeat at b.
		event func(t *testing.T, log *fakeLog, a *aubclaim.Claims, ticket aubclaim.Ticket)
		want  aubclaim.Result
	}{
		{
			name:  "running",
			event: func(*testing.T, *fakeLog, *aubclaim.Claims, aubclaim.Ticket) {},
			want: aubclaim.InProgress{
				Owner:      aubclaim.Owner{Instance: "a", Incarnation: 1},
				RetryAfter: aubclaim.DefaultInProgressRetryAfter,
			},
		},
		{
			name: "done",
			event: func(t *testing.T, _ *fakeLog, a *aubclaim.Claims, ticket aubclaim.Ticket) {
				o := aubclaim.Outcome{Status: 201, Body: []byte("swapped")}
				qt.Assert(t, a.Finish(ctx, ticket, o), qt.IsNil)
			},
			want: aubclaim.Recorded{Outcome: aubclaim.Outcome{Status: 201, Body: []byte("swapped")}},
		},
		{
			name: "done with a response too large to keep",
			event: func(t *testing.T, _ *fakeLog, a *aubclaim.Claims, ticket aubclaim.Ticket) {
				o := aubclaim.Outcome{Status: 200, Body: make([]byte, 17)}
				qt.Assert(t, a.Finish(ctx, ticket, o), qt.IsNil)
			},
			want: aubclaim.Recorded{Outcome: aubclaim.Outcome{Status: 200, Omitted: true}},
		},
		{
			name: "abandoned",
			event: func(t *testing.T, _ *fakeLog, a *aubclaim.Claims, ticket aubclaim.Ticket) {
				qt.Assert(t, a.Abandon(ctx, ticket), qt.IsNil)
			},
			want: aubclaim.MayHaveRun{Owner: aubclaim.Owner{Instance: "a", Incarnation: 1}},
		},
		{
			name: "timed out",
			event: func(t *testing.T, log *fakeLog, _ *aubclaim.Claims, _ aubclaim.Ticket) {
				qt.Assert(t, log.advance(claimTimeout), qt.IsNil)
			},
			want: aubclaim.MayHaveRun{Owner: aubclaim.Owner{Instance: "a", Incarnation: 1}},
		},
		{
			name: "owner restarted",
			event: func(t *testing.T, log *fakeLog, _ *aubclaim.Claims, _ aubclaim.Ticket) {
				restarted := newClaims(t, log, "a", 2)
				for {
					r := begin(t, restarted, claim("w", "k", "body"))
					if _, ok := r.(aubclaim.MayHaveRun); ok {
						return
					}
					time.Sleep(time.Millisecond)
				}
			},
			want: aubclaim.MayHaveRun{Owner: aubclaim.Owner{Instance: "a", Incarnation: 1}},
		},
		{
			name: "outcome after the timeout",
			event: func(t *testing.T, log *fakeLog, a *aubclaim.Claims, ticket aubclaim.Ticket) {
				qt.Assert(t, log.advance(2*claimTimeout), qt.IsNil)
				qt.Assert(t, a.Finish(ctx, ticket, aubclaim.Outcome{Status: 200}), qt.IsNil)
			},
			want: aubclaim.Recorded{Outcome: aubclaim.Outcome{Status: 200}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := newFakeLog(tableOpts())
			a := newClaims(t, log, "a", 1)
			b := newClaims(t, log, "b", 1)
			c.event(t, log, a, mustBegin(t, a, claim("w", "k", "body")))
			qt.Assert(t, begin(t, b, claim("w", "k", "body")), qt.DeepEquals, c.want)
			qt.Assert(t, begin(t, b, claim("w", "k", "other")), qt.Equals, aubclaim.Conflict{})
			mustBegin(t, b, claim("v", "k", "body"))
		})
	}
}

func TestReleaseAllowsAnotherAttempt(t *testing.T) {
	log := newFakeLog(tableOpts())
	a := newClaims(t, log, "a", 1)
	b := newClaims(t, log, "b", 1)
	first := mustBegin(t, a, claim("w", "k", "body"))
	qt.Assert(t, a.Release(context.Background(), first), qt.IsNil)
	second := mustBegin(t, b, claim("w", "k", "body"))

	var notOwner *aubclaim.NotOwnerError
	err := a.Finish(context.Background(), first, aubclaim.Outcome{Status: 200})
	qt.Assert(t, errors.As(err, &notOwner), qt.IsTrue)
	qt.Assert(t, b.Finish(context.Background(), second, aubclaim.Outcome{Status: 201}), qt.IsNil)
	qt.Assert(t, b.Release(context.Background(), second), qt.ErrorAs, &notOwner)
}

func TestFullTableRefusesWithoutEvicting(t *testing.T) {
	log := newFakeLog(tableOpts())
	a := newClaims(t, log, "a", 1)
	first := mustBegin(t, a, claim("w", "1", ""))
	mustBegin(t, a, claim("w", "2", ""))
	_, full := begin(t, a, claim("w", "3", "")).(aubclaim.Full)
	qt.Assert(t, full, qt.IsTrue)
	mustBegin(t, a, claim("v", "1", ""))
	mustBegin(t, a, claim("v", "2", ""))
	_, full = begin(t, a, claim("u", "1", "")).(aubclaim.Full)
	qt.Assert(t, full, qt.IsTrue)

	qt.Assert(t, a.Finish(context.Background(), first, aubclaim.Outcome{Status: 200}), qt.IsNil)
	qt.Assert(t, log.advance(retention-time.Nanosecond), qt.IsNil)
	_, recorded := begin(t, a, claim("w", "1", "")).(aubclaim.Recorded)
	qt.Assert(t, recorded, qt.IsTrue)
	qt.Assert(t, log.advance(time.Nanosecond), qt.IsNil)
	mustBegin(t, a, claim("w", "3", ""))
}

func TestUncertainBegin(t *testing.T) {
	cases := []struct {
		name string
		// deliveries starts with the delivery of the retire command of NewClaims.
		deliveries []delivery
		claimed    bool
	}{
		{name: "reply lost, then confirmed", deliveries: []delivery{deliveryCommitted, deliveryReplyLost}, claimed: true},
		{name: "request lost, then committed", deliveries: []delivery{deliveryCommitted, deliveryLost}, claimed: true},
		{name: "duplicated", deliveries: []delivery{deliveryCommitted, deliveryDuplicated}, claimed: true},
		{name: "delayed and repeated", deliveries: []delivery{deliveryCommitted, deliveryDelayed}, claimed: true},
		{name: "refused", deliveries: []delivery{deliveryCommitted, deliveryNotCommitted}},
		{name: "uncertain, then refused", deliveries: []delivery{deliveryCommitted, deliveryReplyLost, deliveryNotCommitted}},
		{name: "delayed, then refused", deliveries: []delivery{deliveryCommitted, deliveryDelayed, deliveryNotCommitted}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := newFakeLog(tableOpts(), c.deliveries...)
			a := newClaims(t, log, "a", 1)
			waitForIndex(log, 1)
			r, err := a.Begin(context.Background(), claim("w", "k", "body"))
			_, claimed := r.(aubclaim.Begun)
			qt.Assert(t, claimed, qt.Equals, c.claimed)
			if c.claimed {
				log.commitDelayed()
				_, running := begin(t, a, claim("w", "k", "body")).(aubclaim.InProgress)
				qt.Assert(t, running, qt.IsTrue)
				return
			}
			var notClaimed *aubclaim.NotClaimedError
			qt.Assert(t, errors.As(err, &notClaimed), qt.IsTrue)
			// The claim of a failed Begin is released, even when it is committed afterwards.
			if len(c.deliveries) > 2 {
				waitForIndex(log, 2)
			}
			log.commitDelayed()
			for !beginSucceeds(t, a) {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// beginSucceeds begins the claim and reports whether that got Begun. It does not
// release the claim.
func beginSucceeds(t *testing.T, c *aubclaim.Claims) bool {
	t.Helper()
	_, ok := begin(t, c, claim("w", "k", "body")).(aubclaim.Begun)
	return ok
}

// waitForIndex waits until the log holds n commands.
func waitForIndex(log *fakeLog, n uint64) {
	for {
		log.mu.Lock()
		index := log.index
		log.mu.Unlock()
		if index >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestLateTryOfARefusedBeginHoldsNoClaim guards against a key that stays in progress although nobody runs its call.
func TestLateTryOfARefusedBeginHoldsNoClaim(t *testing.T) {
	ctx := context.Background()
	log := newFakeLog(tableOpts())
	holder, repeater := newClaims(t, log, "a", 1), newClaims(t, log, "b", 1)
	call := claim("w", "k", "swap")
	ticket := mustBegin(t, holder, call)
	for log.committed() < 3 {
		// Each process first retires its earlier incarnations.
		time.Sleep(time.Millisecond)
	}
	log.setDeliveries(deliveryDelayed)
	result, _ := repeater.Begin(ctx, call)
	_, isBegun := result.(aubclaim.Begun)
	qt.Assert(t, isBegun, qt.IsFalse)
	qt.Assert(t, holder.Release(ctx, ticket), qt.IsNil)
	log.commitDelayed()
	for range 100 {
		if _, ok := begin(t, holder, call).(aubclaim.Begun); ok {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the late try holds the claim")
}
