package aubroute_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/auburndale/auburndale/internal/aubroute"
)

// Figures of a fleet in which a quarter of the engines has less than half of the others'
// speed, as a customer described theirs. An event holds five tokens, and an engine prefills
// one chunk of a prompt between two tokens of the running streams.
const (
	unevenEngines      = 52
	unevenPrefillRate  = 38700.0
	unevenChunk        = 2048.0
	unevenTokenSeconds = 0.0055
	unevenEventTokens  = 5
	unevenRate         = 180.0
	unevenSeconds      = 60.0
	unevenPauseSeconds = 0.5
	unevenSamples      = 10
)

// unevenKind is a kind of request; the objective is that for the first event, in seconds.
type unevenKind struct {
	name      string
	share     float64
	tokens    float64
	events    int
	objective float64
}

var unevenKinds = []unevenKind{
	{name: "long prompt", share: 0.49, tokens: 2890, events: 10, objective: 0.8},
	{name: "short prompt", share: 0.51, tokens: 628, events: 58, objective: 0.5},
}

// unevenEngine prefills prompts one after the other beside its running streams.
type unevenEngine struct {
	speed float64
	// freeAt is when the prefill of all prompts ends, runFrom when the current run without a
	// break began.
	freeAt, runFrom float64
	streams         []*unevenStream
}

type unevenStream struct {
	kind    int
	endsAt  float64
	isLate  bool
	prefill float64
}

// unevenResult counts the streams of one way by kind.
type unevenResult struct{ asked, late []int }

func (r unevenResult) lateShare(kind int) float64 {
	return float64(r.late[kind]) / float64(r.asked[kind])
}

// playUneven plays one seed. Without known speeds the engines count as equal.
func playUneven(seed uint64, speeds []float64, isSpeedKnown bool) unevenResult {
	rnd := rand.New(rand.NewPCG(seed, 7))
	engines := make([]*unevenEngine, unevenEngines)
	for i := range engines {
		engines[i] = &unevenEngine{speed: speeds[i%len(speeds)]}
	}
	result := unevenResult{asked: make([]int, len(unevenKinds)), late: make([]int, len(unevenKinds))}
	for now := rnd.ExpFloat64() / unevenRate; now < unevenSeconds; now += rnd.ExpFloat64() / unevenRate {
		kind := 0
		if rnd.Float64() > unevenKinds[0].share {
			kind = 1
		}
		tokens := min(rnd.ExpFloat64()*unevenKinds[kind].tokens, 39600)
		sampled := make([]*unevenEngine, 0, unevenSamples)
		candidates := make([]aubroute.Candidate, 0, unevenSamples)
		for range unevenSamples {
			e := engines[rnd.IntN(len(engines))]
			e.dropEnded(now)
			c := aubroute.Candidate{
				PendingTokens: int64(max(e.freeAt-now, 0) * unevenPrefillRate * e.speed),
				InFlight:      len(e.streams), PrefillRate: unevenPrefillRate,
			}
			if isSpeedKnown {
				c.Speed, c.PrefillRate = e.speed, unevenPrefillRate*e.speed
			}
			sampled, candidates = append(sampled, e), append(candidates, c)
		}
		query := aubroute.Query{PromptTokens: int64(tokens), TieBreak: rnd.Float64()}
		e := sampled[aubroute.ExpectedFirstToken{}.Choose(query, candidates)]
		e.start(now, kind, tokens, &result)
	}
	return result
}

func (e *unevenEngine) dropEnded(now float64) {
	running := e.streams[:0]
	for _, s := range e.streams {
		if s.endsAt > now {
			running = append(running, s)
		}
	}
	e.streams = running
}

// start adds a prompt. A stream is late by its first event, or by a pause in which the engine
// prefills a chunk at each of an event's tokens.
func (e *unevenEngine) start(now float64, kind int, tokens float64, result *unevenResult) {
	if e.freeAt < now {
		e.runFrom, e.freeAt = now, now
	}
	e.freeAt += tokens / (unevenPrefillRate * e.speed)
	tokenSeconds := unevenTokenSeconds / e.speed
	chunkSeconds := unevenChunk / (unevenPrefillRate * e.speed)
	pause := min(e.freeAt-now, unevenEventTokens*chunkSeconds) + unevenEventTokens*tokenSeconds
	k := unevenKinds[kind]
	s := &unevenStream{kind: kind, prefill: e.freeAt - now, endsAt: e.freeAt + float64(k.events*unevenEventTokens)*tokenSeconds}
	result.asked[kind]++
	markLate := func(s *unevenStream) {
		if !s.isLate {
			s.isLate = true
			result.late[s.kind]++
		}
	}
	if s.prefill > k.objective {
		markLate(s)
	}
	if pause > unevenPauseSeconds {
		for _, running := range e.streams {
			markLate(running)
		}
	}
	e.streams = append(e.streams, s)
}

// TestUnevenEngines guards against callers who wait for slow engines while fast ones have
// room: prompts and streams that are late, with the speeds known and with all engines taken
// for equal, for the fleet above and for other mixes of speeds.
func TestUnevenEngines(t *testing.T) {
	fleets := []struct {
		name   string
		speeds []float64
	}{
		{"a quarter at 0.46", []float64{0.46, 1, 1, 1}},
		{"half at 0.5", []float64{0.5, 1}},
		{"one in eight at 0.25", []float64{0.25, 1, 1, 1, 1, 1, 1, 1}},
		{"a third at 1.6", []float64{1.6, 1, 1}},
		{"equal", []float64{1}},
	}
	out := &strings.Builder{}
	for _, f := range fleets {
		for kind, k := range unevenKinds {
			known, unknown := 0.0, 0.0
			for seed := range uint64(5) {
				known += playUneven(seed, f.speeds, true).lateShare(kind) / 5
				unknown += playUneven(seed, f.speeds, false).lateShare(kind) / 5
			}
			fmt.Fprintf(out, "%-22s %-13s late %.3f with speeds known, %.3f without\n", f.name, k.name, known, unknown)
			qt.Check(t, known <= unknown+0.001, qt.IsTrue, qt.Commentf("%s, %s", f.name, k.name))
		}
	}
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, "uneven_engines", []byte(out.String()))
}
