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

// opKind is what a client does with a claim.
type opKind int

const (
	opBegin opKind = iota
	opFinish
	opRelease
	opAbandon
)

// op is one call of a client on one key.
type op struct {
	kind   opKind
	key    string
	digest string
	// by names the attempt that finishes, releases or abandons; of a Begin, the
	// attempt that is there for a while when the Begin was given up.
	by string
}

// answer is what the client was told.
type answer struct {
	kind string
	// attempt is the new one of a begun claim, or the recorded one.
	attempt string
}

// keyState is the model of one key.
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

// claimModel is the sequential specification of one key. An answer "uncertain"
// may or may not have taken effect.
func claimModel() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			keys := make(map[string][]porcupine.Operation)
			for _, o := range history {
				in, _ := o.Input.(op)
				keys[in.key] = append(keys[in.key], o)
			}
			parts := make([][]porcupine.Operation, 0, len(keys))
			for _, part := range keys {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, input, output any) []any {
			s, _ := state.(keyState)
			in, _ := input.(op)
			out, _ := output.(answer)
			return step(s, in, out)
		},
	}
	return nondeterministic.ToModel()
}

func step(s keyState, in op, out answer) []any {
	if in.kind == opBegin {
		return stepBegin(s, in, out)
	}
	owned := s.attempt == in.by && s.state != stateFree
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

func stepBegin(s keyState, in op, out answer) []any {
	same := s.digest == in.digest
	ok := false
	switch out.kind {
	case "begun":
		if s.state == stateFree {
			return []any{keyState{state: stateRunning, digest: in.digest, attempt: out.attempt}}
		}
	case "in progress":
		ok = s.state == stateRunning && same
	case "may have run":
		ok = s.state == stateUnknown && same
	case "recorded":
		ok = s.state == stateDone && same && s.attempt == out.attempt
	case "conflict":
		ok = s.state != stateFree && !same
	case "uncertain":
		// Given up: an unused claim may be there until its release.
		if s.state == stateFree {
			return []any{s, keyState{state: stateRunning, digest: in.digest, attempt: in.by}}
		}
		return []any{s}
	}
	if !ok {
		return nil
	}
	return []any{s}
}

// recorder keeps the history of all clients.
type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
	// sends counts by key how often a call was sent and not proved not run.
	sends map[string]int
	begin time.Time
}

func (r *recorder) do(client int, in op, call func() answer) answer {
	start := time.Since(r.begin).Nanoseconds()
	out := call()
	end := time.Since(r.begin).Nanoseconds()
	if out.kind == "uncertain" {
		// It may take effect at any time from now on.
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: start, Return: end})
	if out.kind == "uncertain" && in.kind == opBegin {
		release := op{kind: opRelease, key: in.key, by: in.by}
		r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: release, Output: out, Call: start, Return: end})
	}
	return out
}

func (r *recorder) send(key string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends[key] += n
}

// client repeats calls and ends those that it owns in a drawn way.
type client struct {
	id     int
	rng    *rand.Rand
	claims *aubclaim.Claims
	log    *fakeLog
	rec    *recorder
}

func (c client) run(calls, keys int) {
	for n := range calls {
		if c.rng.IntN(4) == 0 {
			c.log.deliverLate()
		}
		key := fmt.Sprint(c.rng.IntN(keys))
		digest := "same"
		if c.rng.IntN(8) == 0 {
			digest = "other"
		}
		var ticket aubclaim.Ticket
		out := c.rec.do(c.id, op{
			kind: opBegin, key: key, digest: digest, by: fmt.Sprintf("given up %d-%d", c.id, n),
		}, func() answer {
			r, err := c.claims.Begin(context.Background(), claim("w", key, digest))
			if err != nil {
				return answer{kind: "uncertain"}
			}
			if b, ok := r.(aubclaim.Begun); ok {
				ticket = b.Ticket
			}
			return describe(r)
		})
		if out.kind == "begun" {
			c.end(ticket)
		}
	}
}

func (c client) end(ticket aubclaim.Ticket) {
	key := ticket.ID.Key
	ctx := context.Background()
	in := op{key: key, by: ticket.Attempt}
	var call func() error
	switch n := c.rng.IntN(10); {
	case n < 6:
		in.kind = opRelease
		call = func() error { return c.claims.Release(ctx, ticket) }
	case n < 9:
		c.rec.send(key, 1)
		in.kind = opFinish
		call = func() error {
			return c.claims.Finish(ctx, ticket, aubclaim.Outcome{Status: 200, Body: []byte(ticket.Attempt)})
		}
	default:
		c.rec.send(key, 1)
		in.kind = opAbandon
		call = func() error { return c.claims.Abandon(ctx, ticket) }
	}
	c.rec.do(c.id, in, func() answer {
		if call() != nil {
			return answer{kind: "uncertain"}
		}
		return answer{kind: "ok"}
	})
}

func describe(r aubclaim.Result) answer {
	switch x := r.(type) {
	case aubclaim.Begun:
		return answer{kind: "begun", attempt: x.Ticket.Attempt}
	case aubclaim.Recorded:
		return answer{kind: "recorded", attempt: string(x.Outcome.Body)}
	case aubclaim.InProgress:
		return answer{kind: "in progress"}
	case aubclaim.MayHaveRun:
		return answer{kind: "may have run"}
	case aubclaim.Conflict:
		return answer{kind: "conflict"}
	default:
		return answer{kind: "full"}
	}
}

// TestConcurrentRepeatsRunOnce has clients at several instances repeat the same
// keys over a log that loses, delays and doubles commands, and checks the
// history against the specification of one key and the number of sends.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	const clients, calls, keys = 4, 14, 8
	for seed := range uint64(10) {
		log := newFakeLog(aubclaim.TableOpts{MaxBody: 64})
		fates := rand.New(rand.NewPCG(seed, 100))
		weighted := []fate{
			fateCommitted, fateCommitted, fateCommitted, fateCommitted, fateCommitted, fateCommitted,
			fateNotCommitted, fateReplyLost, fateLate, fateDoubled, fateLost,
		}
		log.next = func() fate { return weighted[fates.IntN(len(weighted))] }
		rec := &recorder{sends: make(map[string]int), begin: time.Now()}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for id := range clients {
			c := client{
				id:  id,
				rng: rand.New(rand.NewPCG(seed, uint64(id))),
				claims: aubclaim.NewClaims(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubclaim.ClaimsOpts{
					Instance:     fmt.Sprint(id),
					Incarnation:  1,
					Proposer:     log,
					RetryEvery:   time.Millisecond,
					BeginTimeout: time.Millisecond,
				}),
				log: log,
				rec: rec,
			}
			wg.Go(func() { c.run(calls, keys) })
		}
		wg.Wait()
		cancel()
		result := porcupine.CheckOperationsTimeout(claimModel(), rec.ops, time.Minute)
		qt.Check(t, result, qt.Equals, porcupine.Ok, qt.Commentf("seed %d", seed))
		for key, n := range rec.sends {
			qt.Check(t, n <= 1, qt.IsTrue, qt.Commentf("seed %d: key %s was sent %d times", seed, key, n))
		}
	}
}
