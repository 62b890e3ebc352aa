package aubrelay

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubsite"
)

// Figures of a model on engines of speed 0.55: an engine prefills a prompt of 9,000 tokens in
// 430 ms, during which its running streams pause, and an event takes 50 ms.
const (
	pacedRate    = 9000 / 0.43
	pacedEvent   = 50 * time.Millisecond
	pacedPause   = 500 * time.Millisecond
	pacedLoadAge = 75 * time.Millisecond

	pacedMeanTokens = 2890
	pacedMaxTokens  = 9000
	pacedStream     = 3 * time.Second
)

// pacedPrompt is a prompt on an engine; its first event follows its end.
type pacedPrompt struct {
	tokens       int64
	relay        int
	sentAt, ends time.Duration
}

type pacedEngine struct {
	prompts []pacedPrompt
	// freeAt is when the current run ends, runFrom when it began; pauses are the ends of runs that
	// were too long.
	freeAt, runFrom time.Duration
	pauses          []time.Duration
}

// pending returns the tokens that wait at the engine as a relay knows them: its own at once, those
// of others with delay.
func (e *pacedEngine) pending(relay int, now time.Duration) (tokens int64) {
	for _, p := range e.prompts {
		seen := now
		if p.relay != relay {
			seen -= pacedLoadAge
		}
		if p.sentAt <= seen && p.ends+pacedEvent > seen {
			tokens += p.tokens
		}
	}
	return tokens
}

func (e *pacedEngine) send(relay int, now time.Duration, tokens int64) {
	if e.freeAt <= now {
		e.runFrom, e.freeAt = now, now
	}
	e.freeAt += time.Duration(float64(tokens) / pacedRate * float64(time.Second))
	if n := len(e.prompts); n > 200 {
		e.prompts = e.prompts[n-100:]
	}
	e.prompts = append(e.prompts, pacedPrompt{tokens: tokens, relay: relay, sentAt: now, ends: e.freeAt})
	if e.freeAt-e.runFrom+pacedEvent > pacedPause && (len(e.pauses) == 0 || e.pauses[len(e.pauses)-1] < e.runFrom) {
		e.pauses = append(e.pauses, e.freeAt)
	}
}

// heldPrompt is a prompt that waits at its relay.
type heldPrompt struct {
	tokens  int64
	relay   int
	arrived time.Duration
}

// pausedStreams returns the share of the streams of a model with the number of copies that pause
// too long beside prompts at the load, the mean wait of the prompts at their relays and the number of
// prompts. Streams begin evenly.
func pausedStreams(seed uint64, copies int, limit int64, objective time.Duration) (share float64, meanWait time.Duration) {
	const end, load, relays, tick = 120 * time.Second, 0.6, 24, 5 * time.Millisecond
	rnd := rand.New(rand.NewPCG(seed, 11))
	engines := make([]*pacedEngine, copies)
	for i := range engines {
		engines[i] = &pacedEngine{}
	}
	draw := func() int64 { return 64 + int64(min(rnd.ExpFloat64()*pacedMeanTokens, pacedMaxTokens-64)) }
	var mean float64
	for range 10000 {
		mean += float64(draw()) / 10000
	}
	perTick := load * pacedRate * float64(copies) / mean * tick.Seconds()
	var held []heldPrompt
	var waits time.Duration
	prompts := 0
	for now := time.Duration(0); now < end; now += tick {
		if rnd.Float64() < perTick {
			held = append(held, heldPrompt{tokens: draw(), relay: rnd.IntN(relays), arrived: now})
			prompts++
		}
		rnd.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
		waiting := held[:0]
		for _, p := range held {
			best := engines[rnd.IntN(copies)]
			for _, e := range engines {
				if e.pending(p.relay, now) < best.pending(p.relay, now) {
					best = e
				}
			}
			pending := best.pending(p.relay, now)
			if pending > 0 && pending+p.tokens > limit && now < p.arrived+objective/waitDivisor {
				waiting = append(waiting, p)
				continue
			}
			waits += now - p.arrived
			best.send(p.relay, now, p.tokens)
		}
		held = waiting
	}
	streams, paused := 0, 0
	for _, e := range engines {
		for from := time.Duration(0); from < end-pacedStream; from += 100 * time.Millisecond {
			streams++
			for _, at := range e.pauses {
				if at > from && at < from+pacedStream {
					paused++
					break
				}
			}
		}
	}
	return float64(paused) / float64(streams), waits / time.Duration(prompts)
}

// TestPausesBesideLongPrompts guards against streams that pause for longer than their objective
// while an engine of speed 0.55 prefills prompts at 0.6 of its capacity: at most 0.05 of them. The
// prompts are deferrable, their objective is 8 s; 24 relays send them.
func TestPausesBesideLongPrompts(t *testing.T) {
	for seed := range uint64(5) {
		fixed, fixedWait := pausedStreams(seed, 1, maxPrefillRunTokens*55/100, 8*time.Second)
		paced, pacedWait := pausedStreams(seed, 1, pacedRunLimit(pacedRate, pacedPause), 8*time.Second)
		t.Logf("seed %d: paused %.3f, prompts wait %v; with the fixed limit %.3f, %v", seed, paced, pacedWait, fixed, fixedWait)
		qt.Check(t, paced <= 0.05, qt.IsTrue, qt.Commentf("seed %d: %.3f", seed, paced))
	}
}

// TestPrefillRunLimit guards against a limit that follows an assumed rate, or the pause objective
// in a configuration without deferrable routes.
func TestPrefillRunLimit(t *testing.T) {
	newSite := func(longest time.Duration) *aubsite.Site {
		route := func(name string, objective, pause time.Duration) aubsite.Route {
			return aubsite.Route{
				Name: name, Host: "h", Prefix: "/" + name + "/", Timeout: time.Minute, Objective: objective, PauseObjective: pause,
				Targets: []aubsite.Target{{Service: "llm", Weight: 1}},
			}
		}
		site, err := aubsite.New(aubsite.Spec{
			Services: []aubsite.Service{{Name: "llm"}},
			Routes:   []aubsite.Route{route("urgent", 500*time.Millisecond, 500*time.Millisecond), route("other", longest, 2*time.Second)},
		})
		qt.Assert(t, err, qt.IsNil)
		return site
	}
	deferrable, even := newSite(8*time.Second), newSite(time.Second)
	for _, c := range []struct {
		name   string
		site   *aubsite.Site
		spread float64
		choice aubroute.Choice
		want   int64
	}{
		{"measured rate", deferrable, 8, aubroute.Choice{Speed: 0.55, PrefillRate: 20000, IsRateMeasured: true}, 5000},
		{"at least a chunk", deferrable, 8, aubroute.Choice{Speed: 0.55, PrefillRate: 4000, IsRateMeasured: true}, 2048},
		{"assumed rate", deferrable, 8, aubroute.Choice{Speed: 0.5, PrefillRate: 20000}, 6144},
		{"no deferrable routes", even, 8, aubroute.Choice{Speed: 1, PrefillRate: 20000, IsRateMeasured: true}, 12288},
		{"admission by objective is off", deferrable, 0, aubroute.Choice{Speed: 1, PrefillRate: 20000, IsRateMeasured: true}, 12288},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &Handler{opts: HandlerOpts{Deferrable: aubsite.NewDeferrableCheck(c.spread)}}
			qt.Assert(t, h.prefillRunLimit(&exchange{site: c.site, service: "llm"}, c.choice), qt.Equals, c.want)
		})
	}
}

// TestNewTokens guards against cached prompt parts, and repeated requests, that count as read.
func TestNewTokens(t *testing.T) {
	prompt := []PromptPart{{ID: "shared", Tokens: 3000}, {ID: "own", Tokens: 700}}
	for _, c := range []struct {
		name     string
		ex       exchange
		uncached int64
		want     int64
	}{
		{"shared part is not counted", exchange{attempts: 1, call: Call{Prompt: prompt, LastEventID: NoEventID}}, 3700, 700},
		{"known as cached", exchange{attempts: 1, call: Call{Prompt: prompt, LastEventID: NoEventID}}, 188, 188},
		{"second attempt", exchange{attempts: 2, call: Call{Prompt: prompt, LastEventID: NoEventID}}, 3700, 0},
		{"resumed stream", exchange{attempts: 1, call: Call{Prompt: prompt, LastEventID: 4}}, 3700, 0},
		{"one part", exchange{attempts: 1, call: Call{LastEventID: NoEventID}}, 900, 900},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Assert(t, newTokens(&c.ex, aubroute.Choice{UncachedTokens: c.uncached}), qt.Equals, c.want)
		})
	}
}
