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
	keep = time.Hour
	hold = time.Minute
)

func tableOpts() aubclaim.TableOpts {
	return aubclaim.TableOpts{Keep: keep, MaxClaims: 4, MaxWorkspaceClaims: 2, MaxBody: 16}
}

func newClaims(t *testing.T, log *fakeLog, instance string, incarnation uint64) *aubclaim.Claims {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return aubclaim.NewClaims(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubclaim.ClaimsOpts{
		Instance:    instance,
		Incarnation: incarnation,
		Proposer:    log,
		RetryEvery:  time.Millisecond,
	})
}

func claim(workspace, key, digest string) aubclaim.Claim {
	return aubclaim.Claim{
		ID:     aubclaim.ID{Workspace: workspace, Key: key},
		Digest: []byte(digest),
		Hold:   hold,
	}
}

func begin(t *testing.T, c *aubclaim.Claims, cl aubclaim.Claim) aubclaim.Result {
	t.Helper()
	r, err := c.Begin(context.Background(), cl)
	qt.Assert(t, err, qt.IsNil)
	return r
}

func begun(t *testing.T, c *aubclaim.Claims, cl aubclaim.Claim) aubclaim.Ticket {
	t.Helper()
	b, ok := begin(t, c, cl).(aubclaim.Begun)
	qt.Assert(t, ok, qt.IsTrue)
	return b.Ticket
}

func TestRepeatGetsWhatIsKnown(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name string
		// after happens between the first Begin, at instance a, and the repeat at b.
		after func(t *testing.T, log *fakeLog, a *aubclaim.Claims, ticket aubclaim.Ticket)
		want  aubclaim.Result
	}{
		{
			name:  "running",
			after: func(*testing.T, *fakeLog, *aubclaim.Claims, aubclaim.Ticket) {},
			want: aubclaim.InProgress{
				Owner:      aubclaim.Owner{Instance: "a", Incarnation: 1},
				RetryAfter: aubclaim.DefaultInProgressRetry,
			},
		},
		{
			name: "done",
			after: func(t *testing.T, _ *fakeLog, a *aubclaim.Claims, ticket aubclaim.Ticket) {
				o := aubclaim.Outcome{Status: 201, Body: []byte("swapped")}
				qt.Assert(t, a.Finish(ctx, ticket, o), qt.IsNil)
			},
			want: aubclaim.Recorded{Outcome: aubclaim.Outcome{Status: 201, Body: []byte("swapped")}},
		},
		{
			name: "done with an answer too large",
			after: func(t *testing.T, _ *fakeLog, a *aubclaim.Claims, ticket aubclaim.Ticket) {
				o := aubclaim.Outcome{Status: 200, Body: make([]byte, 17)}
				qt.Assert(t, a.Finish(ctx, ticket, o), qt.IsNil)
			},
			want: aubclaim.Recorded{Outcome: aubclaim.Outcome{Status: 200, Omitted: true}},
		},
		{
			name: "outcome unknown to its owner",
			after: func(t *testing.T, _ *fakeLog, a *aubclaim.Claims, ticket aubclaim.Ticket) {
				qt.Assert(t, a.Abandon(ctx, ticket), qt.IsNil)
			},
			want: aubclaim.MayHaveRun{Owner: aubclaim.Owner{Instance: "a", Incarnation: 1}},
		},
		{
			name: "hold over",
			after: func(t *testing.T, log *fakeLog, _ *aubclaim.Claims, _ aubclaim.Ticket) {
				qt.Assert(t, log.advance(hold), qt.IsNil)
			},
			want: aubclaim.MayHaveRun{Owner: aubclaim.Owner{Instance: "a", Incarnation: 1}},
		},
		{
			name: "owner restarted",
			after: func(t *testing.T, log *fakeLog, _ *aubclaim.Claims, _ aubclaim.Ticket) {
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
			name: "outcome after the hold",
			after: func(t *testing.T, log *fakeLog, a *aubclaim.Claims, ticket aubclaim.Ticket) {
				qt.Assert(t, log.advance(2*hold), qt.IsNil)
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
			c.after(t, log, a, begun(t, a, claim("w", "k", "body")))
			qt.Assert(t, begin(t, b, claim("w", "k", "body")), qt.DeepEquals, c.want)
			qt.Assert(t, begin(t, b, claim("w", "k", "other")), qt.Equals, aubclaim.Conflict{})
			begun(t, b, claim("v", "k", "body"))
		})
	}
}

func TestReleaseLetsTheCallBeTriedAgain(t *testing.T) {
	log := newFakeLog(tableOpts())
	a := newClaims(t, log, "a", 1)
	b := newClaims(t, log, "b", 1)
	first := begun(t, a, claim("w", "k", "body"))
	qt.Assert(t, a.Release(context.Background(), first), qt.IsNil)
	second := begun(t, b, claim("w", "k", "body"))

	var notOwner *aubclaim.NotOwnerError
	err := a.Finish(context.Background(), first, aubclaim.Outcome{Status: 200})
	qt.Assert(t, errors.As(err, &notOwner), qt.IsTrue)
	qt.Assert(t, b.Finish(context.Background(), second, aubclaim.Outcome{Status: 201}), qt.IsNil)
	qt.Assert(t, b.Release(context.Background(), second), qt.ErrorAs, &notOwner)
}

func TestFullTableRefusesAndEvictsNoKeptClaim(t *testing.T) {
	log := newFakeLog(tableOpts())
	a := newClaims(t, log, "a", 1)
	first := begun(t, a, claim("w", "1", ""))
	begun(t, a, claim("w", "2", ""))
	_, full := begin(t, a, claim("w", "3", "")).(aubclaim.Full)
	qt.Assert(t, full, qt.IsTrue)
	begun(t, a, claim("v", "1", ""))
	begun(t, a, claim("v", "2", ""))
	_, full = begin(t, a, claim("u", "1", "")).(aubclaim.Full)
	qt.Assert(t, full, qt.IsTrue)

	qt.Assert(t, a.Finish(context.Background(), first, aubclaim.Outcome{Status: 200}), qt.IsNil)
	qt.Assert(t, log.advance(keep-time.Nanosecond), qt.IsNil)
	_, recorded := begin(t, a, claim("w", "1", "")).(aubclaim.Recorded)
	qt.Assert(t, recorded, qt.IsTrue)
	qt.Assert(t, log.advance(time.Nanosecond), qt.IsNil)
	begun(t, a, claim("w", "3", ""))
}

func TestUncertainBegin(t *testing.T) {
	cases := []struct {
		name  string
		fates []fate
		sent  bool
	}{
		{name: "reply lost, then confirmed", fates: []fate{fateCommitted, fateReplyLost}, sent: true},
		{name: "request lost, then committed", fates: []fate{fateCommitted, fateLost}, sent: true},
		{name: "doubled", fates: []fate{fateCommitted, fateDoubled}, sent: true},
		{name: "late and repeated", fates: []fate{fateCommitted, fateLate}, sent: true},
		{name: "refused", fates: []fate{fateCommitted, fateNotCommitted}},
		{name: "uncertain, then refused", fates: []fate{fateCommitted, fateReplyLost, fateNotCommitted}},
		{name: "late, then refused", fates: []fate{fateCommitted, fateLate, fateNotCommitted}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := newFakeLog(tableOpts(), c.fates...)
			a := newClaims(t, log, "a", 1)
			awaitIndex(log, 1)
			r, err := a.Begin(context.Background(), claim("w", "k", "body"))
			_, ours := r.(aubclaim.Begun)
			qt.Assert(t, ours, qt.Equals, c.sent)
			if c.sent {
				log.deliverLate()
				_, running := begin(t, a, claim("w", "k", "body")).(aubclaim.InProgress)
				qt.Assert(t, running, qt.IsTrue)
				return
			}
			var notClaimed *aubclaim.NotClaimedError
			qt.Assert(t, errors.As(err, &notClaimed), qt.IsTrue)
			// What was given up is released, even when it is committed afterwards.
			if len(c.fates) > 2 {
				awaitIndex(log, 2)
			}
			log.deliverLate()
			for !released(t, a) {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// released reports whether the call can be claimed again; the claim is kept.
func released(t *testing.T, c *aubclaim.Claims) bool {
	t.Helper()
	_, ok := begin(t, c, claim("w", "k", "body")).(aubclaim.Begun)
	return ok
}

// awaitIndex waits until the log holds n commands.
func awaitIndex(log *fakeLog, n uint64) {
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
