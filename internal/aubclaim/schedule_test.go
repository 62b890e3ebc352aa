package aubclaim_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubclaim"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	scheduleCount       = "3000"
	maxScheduleSteps    = 60
	scheduledClients    = 3
	scheduledCallsLimit = 4
)

// proposal is a command that waits for the scheduler's decision.
type proposal struct {
	client   int
	body     []byte
	decision chan proposalResult
}

type proposalResult struct {
	result aubcontrol.Result
	err    error
}

// scheduler decides in which order proposed commands are committed and answered. It acts
// only while all clients wait, so that the drawn schedule determines the run.
type scheduler struct {
	log *fakeLog

	mu      sync.Mutex
	pending []*proposal
	// delayed holds commands that were answered as uncertain and are not committed yet.
	delayed []*proposal
	// trace lists the commits and answers.
	trace []string
}

// scheduledProposer is the Proposer of one client.
type scheduledProposer struct {
	scheduler *scheduler
	client    int
}

// Apply implements aubcontrol.Proposer.
func (p scheduledProposer) Apply(_ context.Context, _ string, body []byte) (aubcontrol.Result, error) {
	waiting := &proposal{client: p.client, body: body, decision: make(chan proposalResult, 1)}
	p.scheduler.mu.Lock()
	p.scheduler.pending = append(p.scheduler.pending, waiting)
	p.scheduler.mu.Unlock()
	r := <-waiting.decision
	return r.result, r.err
}

// take removes and returns the i-th waiting proposal in the order of clients and commands.
func (s *scheduler) take(i int) *proposal {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortStableFunc(s.pending, func(a, b *proposal) int {
		return strings.Compare(a.String(), b.String())
	})
	p := s.pending[i]
	s.pending = slices.Delete(s.pending, i, i+1)
	return p
}

func (s *scheduler) pendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// String names the client, the kind of the command and its key.
func (p *proposal) String() string {
	cmd := &aubwire.ClaimCommand{}
	if err := proto.Unmarshal(p.body, cmd); err != nil {
		return err.Error()
	}
	kind := strings.TrimPrefix(fmt.Sprintf("%T", cmd.GetCommand()), "*aubwire.ClaimCommand_")
	var id *aubwire.ClaimID
	var owner *aubwire.ClaimOwner
	switch c := cmd.GetCommand().(type) {
	case *aubwire.ClaimCommand_Begin:
		id, owner = c.Begin.GetId(), c.Begin.GetOwner()
	case *aubwire.ClaimCommand_Finish:
		id, owner = c.Finish.GetId(), c.Finish.GetOwner()
	case *aubwire.ClaimCommand_Release:
		id, owner = c.Release.GetId(), c.Release.GetOwner()
	case *aubwire.ClaimCommand_Abandon:
		id, owner = c.Abandon.GetId(), c.Abandon.GetOwner()
	}
	return fmt.Sprintf("client %d %s %s attempt %.8s", p.client, kind, id.GetKey(), owner.GetAttempt())
}

// commit commits the command and notes the table's reply.
func (s *scheduler) commit(p *proposal) aubcontrol.Result {
	result := s.log.commit(p.body)
	reply := &aubwire.ClaimReply{}
	if err := proto.Unmarshal(result.Body, reply); err != nil {
		s.trace = append(s.trace, fmt.Sprintf("%v: %v", p, err))
		return result
	}
	s.trace = append(s.trace, fmt.Sprintf("commit %d: %v: %v", result.Index, p, reply.GetResult()))
	return result
}

// deliver handles the proposal in the given way.
func (s *scheduler) deliver(p *proposal, how delivery) {
	var r proposalResult
	switch how {
	case deliveryNotCommitted:
		r.err = &aubcontrol.NotCommittedError{Reason: "no leader"}
	case deliveryReplyLost:
		s.commit(p)
		r.err = &aubcontrol.UncertainError{Reason: "reply lost"}
	case deliveryDelayed:
		s.delayed = append(s.delayed, p)
		r.err = &aubcontrol.UncertainError{Reason: "delayed"}
	case deliveryLost:
		r.err = &aubcontrol.UncertainError{Reason: "lost"}
	case deliveryDuplicated:
		s.commit(p)
		r.result = s.commit(p)
	case deliveryCommitted:
		r.result = s.commit(p)
	}
	if r.err != nil {
		s.trace = append(s.trace, fmt.Sprintf("answer: %v: %v", p, r.err))
	}
	p.decision <- r
}

// step draws and executes one action: to handle a waiting command, to commit a delayed
// one, or to let the clients' retry interval pass.
func (s *scheduler) step(t *rapid.T) {
	synctest.Wait()
	pending := s.pendingCount()
	switch i := rapid.IntRange(0, pending+len(s.delayed)).Draw(t, "action"); {
	case i < pending:
		how := rapid.SampledFrom([]delivery{
			deliveryCommitted, deliveryNotCommitted, deliveryReplyLost, deliveryDelayed, deliveryLost, deliveryDuplicated,
		}).Draw(t, "delivery")
		s.deliver(s.take(i), how)
	case i < pending+len(s.delayed):
		p := s.delayed[i-pending]
		s.delayed = slices.Delete(s.delayed, i-pending, i-pending+1)
		s.commit(p)
	default:
		time.Sleep(time.Millisecond)
	}
}

// finish commits everything that waits until all clients are done, then ends their
// background work.
func (s *scheduler) finish(cancel context.CancelFunc, done <-chan struct{}) {
	for isDone := false; !isDone; {
		synctest.Wait()
		for s.pendingCount() > 0 {
			s.deliver(s.take(0), deliveryCommitted)
		}
		time.Sleep(time.Millisecond)
		select {
		case <-done:
			isDone = true
		default:
		}
	}
	cancel()
	for synctest.Wait(); s.pendingCount() > 0; synctest.Wait() {
		s.deliver(s.take(0), deliveryNotCommitted)
	}
}

// scheduledCall is one call of a client and how it ends if the claim is begun.
type scheduledCall struct {
	key, digest string
	end         opKind
}

func drawCalls(t *rapid.T) []scheduledCall {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scheduledCall {
		return scheduledCall{
			key:    rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
			digest: rapid.SampledFrom([]string{"same", "same", "same", "other"}).Draw(t, "digest"),
			end:    rapid.SampledFrom([]opKind{opRelease, opFinish, opAbandon}).Draw(t, "end"),
		}
	}), 1, scheduledCallsLimit).Draw(t, "calls")
}

// runCalls runs the calls of one client in order.
func runCalls(id int, calls []scheduledCall, claims *aubclaim.Claims, rec *recorder) {
	ctx := context.Background()
	for n, call := range calls {
		var ticket aubclaim.Ticket
		in := op{kind: opBegin, key: call.key, digest: call.digest, attempt: fmt.Sprintf("failed Begin %d-%d", id, n)}
		out := rec.record(id, in, func() response {
			r, err := claims.Begin(ctx, claim("w", call.key, call.digest))
			if err != nil {
				return response{kind: "uncertain"}
			}
			if b, ok := r.(aubclaim.Begun); ok {
				ticket = b.Ticket
			}
			return responseOf(r)
		})
		if out.kind != "begun" {
			continue
		}
		if call.end != opRelease {
			rec.addExecutions(call.key, 1)
		}
		rec.record(id, op{kind: call.end, key: call.key, attempt: ticket.Attempt}, func() response {
			var err error
			switch call.end {
			case opRelease:
				err = claims.Release(ctx, ticket)
			case opFinish:
				err = claims.Finish(ctx, ticket, aubclaim.Outcome{Status: 200, Body: []byte(ticket.Attempt)})
			default:
				err = claims.Abandon(ctx, ticket)
			}
			if err != nil {
				return response{kind: "uncertain"}
			}
			return response{kind: "ok"}
		})
	}
}

// runSchedule runs one schedule and returns an error with the history of the keys and the
// commits if the specification doesn't allow it.
func runSchedule(t *rapid.T) error {
	s := &scheduler{log: newFakeLog(aubclaim.TableOpts{MaxBodyBytes: 64})}
	var events atomic.Int64
	rec := newRecorder(func() int64 { return events.Add(1) })
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for id := range scheduledClients {
		calls := drawCalls(t)
		claims := aubclaim.NewClaims(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubclaim.ClaimsOpts{
			Instance: fmt.Sprint(id), Incarnation: 1, Proposer: scheduledProposer{scheduler: s, client: id},
			RetryInterval: time.Millisecond, BeginTimeout: 5 * time.Millisecond, ApplyTimeout: time.Hour,
		})
		wg.Go(func() { runCalls(id, calls, claims, rec) })
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	defer s.finish(cancel, done)
	for range maxScheduleSteps {
		s.step(t)
	}
	s.finish(func() {}, done)
	for key, n := range rec.executions {
		if n > 1 {
			return fmt.Errorf("key %s was sent %d times\n%s", key, n, s.describe(rec))
		}
	}
	if porcupine.CheckOperationsTimeout(claimModel(), rec.ops, time.Minute) != porcupine.Ok {
		return errors.New("illegal history\n" + s.describe(rec))
	}
	return nil
}

// describe lists the operations in the order of their calls, and the commits.
func (s *scheduler) describe(rec *recorder) string {
	slices.SortFunc(rec.ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	var text strings.Builder
	for _, o := range rec.ops {
		fmt.Fprintf(&text, "client %d [%d, %d]: %+v: %+v\n", o.ClientId, o.Call, o.Return, o.Input, o.Output)
	}
	return text.String() + strings.Join(s.trace, "\n")
}

// TestScheduledRepeatsRunOnce is TestConcurrentRepeatsRunOnce with every delivery drawn, so that a failure shrinks.
func TestScheduledRepeatsRunOnce(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	previous := checks.Value.String()
	qt.Assert(t, flag.Set("rapid.checks", scheduleCount), qt.IsNil)
	defer func() { qt.Check(t, flag.Set("rapid.checks", previous), qt.IsNil) }()
	rapid.Check(t, func(rt *rapid.T) {
		// A failed draw panics; it must do so in the goroutine of rapid.
		var failure any
		var illegal error
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			illegal = runSchedule(rt)
		})
		if failure != nil {
			panic(failure)
		}
		if illegal != nil {
			rt.Fatalf("%v", illegal)
		}
	})
}
