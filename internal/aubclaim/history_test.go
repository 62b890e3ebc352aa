package aubclaim_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubclaim"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// opKind is the kind of an operation on a claim.
type opKind int

const (
	opBegin opKind = iota
	opFinish
	opRelease
	opAbandon
)

// op is one operation of a client on one key.
type op struct {
	kind   opKind
	key    string
	digest string
	// attempt identifies the attempt that finishes, releases or abandons the claim.
	// Of a Begin it is a placeholder: the attempt that may hold the claim until its
	// release when the Begin fails.
	attempt string
}

// response is the result that the client received.
type response struct {
	kind string
	// attempt is the new attempt of a begun claim, or the one whose outcome is recorded.
	attempt string
}

// keyState is the state of one key in the sequential specification.
type keyState struct {
	state   string
	digest  string
	attempt string
}

const (
	stateFree    = ""
	stateRunning = "running"
	stateDone    = "done"
	stateUnknown = "unknown"
)

// claimModel returns the sequential specification of one key. An operation with
// the response "uncertain" may or may not have taken effect.
func claimModel() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[string][]porcupine.Operation)
			for _, o := range history {
				in, _ := o.Input.(op)
				byKey[in.key] = append(byKey[in.key], o)
			}
			histories := make([][]porcupine.Operation, 0, len(byKey))
			for _, operations := range byKey {
				histories = append(histories, operations)
			}
			return histories
		},
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, input, output any) []any {
			s, _ := state.(keyState)
			in, _ := input.(op)
			out, _ := output.(response)
			return step(s, in, out)
		},
	}
	return nondeterministic.ToModel()
}

// step returns the possible states of the key after the operation.
func step(s keyState, in op, out response) []any {
	if in.kind == opBegin {
		return stepBegin(s, in, out)
	}
	owned := s.attempt == in.attempt && s.state != stateFree
	next := s
	switch {
	case !owned:
	case in.kind == opFinish:
		next.state = stateDone
	case in.kind == opRelease && s.state != stateDone:
		next = keyState{}
	case in.kind == opAbandon && s.state == stateRunning:
		next.state = stateUnknown
	}
	if out.kind == "uncertain" {
		return []any{s, next}
	}
	return []any{next}
}

// stepBegin returns the possible states of the key after a Begin, none if the response
// is not allowed.
func stepBegin(s keyState, in op, out response) []any {
	sameDigest := s.digest == in.digest
	consistent := false
	switch out.kind {
	case "begun":
		if s.state == stateFree {
			return []any{keyState{state: stateRunning, digest: in.digest, attempt: out.attempt}}
		}
	case "in progress":
		consistent = s.state == stateRunning && sameDigest
	case "may have run":
		consistent = s.state == stateUnknown && sameDigest
	case "recorded":
		consistent = s.state == stateDone && sameDigest && s.attempt == out.attempt
	case "conflict":
		consistent = s.state != stateFree && !sameDigest
	case "uncertain":
		// The Begin failed: its claim may be in the table until it is released.
		if s.state == stateFree {
			return []any{s, keyState{state: stateRunning, digest: in.digest, attempt: in.attempt}}
		}
		return []any{s}
	}
	if !consistent {
		return nil
	}
	return []any{s}
}

// recorder collects the history of all clients.
type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
	// executions counts, by key, the calls that were sent and not released as not run.
	executions map[string]int
	// now returns the time of an event; it increases.
	now func() int64
}

func newRecorder(now func() int64) *recorder {
	return &recorder{executions: make(map[string]int), now: now}
}

// record runs the operation and adds it to the history. A Begin that fails is
// followed by a release in the background, which is added too.
func (r *recorder) record(client int, in op, call func() response) response {
	start := r.now()
	out := call()
	end := r.now()
	if out.kind == "uncertain" {
		// The operation may take effect at any later time.
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: start, Return: end})
	if out.kind == "uncertain" && in.kind == opBegin {
		release := op{kind: opRelease, key: in.key, attempt: in.attempt}
		r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: release, Output: out, Call: start, Return: end})
	}
	return out
}

func (r *recorder) addExecutions(key string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[key] += n
}

// client begins claims on random keys and finishes, releases or abandons those
// that it gets, at random.
type client struct {
	id       int
	rng      *rand.Rand
	claims   *aubclaim.Claims
	log      *fakeLog
	recorder *recorder
}

func (c client) run(calls, keys int) {
	for n := range calls {
		if c.rng.IntN(4) == 0 {
			c.log.commitDelayed()
		}
		key := fmt.Sprint(c.rng.IntN(keys))
		digest := "same"
		if c.rng.IntN(8) == 0 {
			digest = "other"
		}
		var ticket aubclaim.Ticket
		out := c.recorder.record(c.id, op{
			kind: opBegin, key: key, digest: digest, attempt: fmt.Sprintf("failed Begin %d-%d", c.id, n),
		}, func() response {
			r, err := c.claims.Begin(context.Background(), claim("w", key, digest))
			if err != nil {
				return response{kind: "uncertain"}
			}
			if b, ok := r.(aubclaim.Begun); ok {
				ticket = b.Ticket
			}
			return responseOf(r)
		})
		if out.kind == "begun" {
			c.endClaim(ticket)
		}
	}
}

func (c client) endClaim(ticket aubclaim.Ticket) {
	key := ticket.ID.Key
	ctx := context.Background()
	in := op{key: key, attempt: ticket.Attempt}
	var call func() error
	switch n := c.rng.IntN(10); {
	case n < 6:
		in.kind = opRelease
		call = func() error { return c.claims.Release(ctx, ticket) }
	case n < 9:
		c.recorder.addExecutions(key, 1)
		in.kind = opFinish
		call = func() error {
			return c.claims.Finish(ctx, ticket, aubclaim.Outcome{Status: 200, Body: []byte(ticket.Attempt)})
		}
	default:
		c.recorder.addExecutions(key, 1)
		in.kind = opAbandon
		call = func() error { return c.claims.Abandon(ctx, ticket) }
	}
	c.recorder.record(c.id, in, func() response {
		if call() != nil {
			return response{kind: "uncertain"}
		}
		return response{kind: "ok"}
	})
}

func responseOf(r aubclaim.Result) response {
	switch result := r.(type) {
	case aubclaim.Begun:
		return response{kind: "begun", attempt: result.Ticket.Attempt}
	case aubclaim.Recorded:
		return response{kind: "recorded", attempt: string(result.Outcome.Body)}
	case aubclaim.InProgress:
		return response{kind: "in progress"}
	case aubclaim.MayHaveRun:
		return response{kind: "may have run"}
	case aubclaim.Conflict:
		return response{kind: "conflict"}
	default:
		return response{kind: "full"}
	}
}

// TestConcurrentRepeatsRunOnce has clients at several instances repeat calls with the
// same keys over a log that loses, delays and duplicates commands. It checks the
// history against the specification of one key, and that no call was sent twice.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	const clients, calls, keys = 4, 14, 8
	for seed := range uint64(10) {
		log := newFakeLog(aubclaim.TableOpts{MaxBodyBytes: 64})
		deliveryRNG := rand.New(rand.NewPCG(seed, 100))
		weightedDeliveries := []delivery{
			deliveryCommitted, deliveryCommitted, deliveryCommitted, deliveryCommitted, deliveryCommitted, deliveryCommitted,
			deliveryNotCommitted, deliveryReplyLost, deliveryDelayed, deliveryDuplicated, deliveryLost,
		}
		log.nextDelivery = func() delivery { return weightedDeliveries[deliveryRNG.IntN(len(weightedDeliveries))] }
		startedAt := time.Now()
		rec := newRecorder(func() int64 { return time.Since(startedAt).Nanoseconds() })
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for id := range clients {
			c := client{
				id:  id,
				rng: rand.New(rand.NewPCG(seed, uint64(id))),
				claims: aubclaim.NewClaims(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubclaim.ClaimsOpts{
					Instance:      fmt.Sprint(id),
					Incarnation:   1,
					Proposer:      log,
					RetryInterval: time.Millisecond,
					BeginTimeout:  time.Millisecond,
				}),
				log:      log,
				recorder: rec,
			}
			wg.Go(func() { c.run(calls, keys) })
		}
		wg.Wait()
		cancel()
		result := porcupine.CheckOperationsTimeout(claimModel(), rec.ops, time.Minute)
		qt.Check(t, result, qt.Equals, porcupine.Ok, qt.Commentf("seed %d", seed))
		for key, n := range rec.executions {
			qt.Check(t, n <= 1, qt.IsTrue, qt.Commentf("seed %d: key %s was sent %d times", seed, key, n))
		}
	}
}
