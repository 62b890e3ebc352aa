package aubroute_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"gonum.org/v1/gonum/stat"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Parameters of the simulation: each worker (backend server) prefills prompts one after
// the other, decodes any number of requests concurrently and caches prompt blocks. It
// reports its load every simulatedReportInterval, and the report is received
// simulatedReportLag later. The entries choose workers without communicating.
const (
	// simulatedPrefillRate is in tokens a second.
	simulatedPrefillRate = 5000.0
	// simulatedBlockTokens is the number of tokens in a block.
	simulatedBlockTokens    = 16
	simulatedCacheBlocks    = 4000
	simulatedReportInterval = time.Second
	simulatedReportLag      = 100 * time.Millisecond
	simulatedEntries        = 3
	simulatedDuration       = 2 * time.Minute
	// simulatedTokenTime is the decode time of one token.
	simulatedTokenTime = 25 * time.Millisecond
)

// siteSize describes a simulated site.
type siteSize struct {
	name    string
	workers int
	models  int
	// rate is the mean number of requests a second.
	rate float64
	// zoneLatency is the one-way latency between zones.
	zoneLatency time.Duration
}

var siteSizes = []siteSize{
	{name: "zilina", workers: 12, models: 20, rate: 65, zoneLatency: 1500 * time.Microsecond},
	{name: "pampa", workers: 18, models: 30, rate: 100, zoneLatency: 500 * time.Microsecond},
}

// event is an action at a simulated time.
type event struct {
	at  time.Duration
	run func()
}

// events is a min-heap by time.
type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulatedWorker is a simulated backend server.
type simulatedWorker struct {
	// announcement is the last published announcement, received at receivedAt.
	announcement *aubwire.Announcement
	receivedAt   time.Time
	// freeAt is when the prefill of the queued prompts ends.
	freeAt  time.Duration
	running int
	// slowness is the factor on the prefill time.
	slowness float64
	cache    *lru.LRU[uint64, struct{}]
}

// simulatedSite simulates the entries and workers of a site.
type simulatedSite struct {
	size    siteSize
	rnd     *rand.Rand
	timer   *aubtimer.Manual
	now     time.Duration
	events  events
	workers []*simulatedWorker
	view    aubmembership.View
	routers []*aubroute.Router
	// firstTokens are the times to first token in seconds; infinite for requests without
	// a worker.
	firstTokens []float64
}

func (s *simulatedSite) View() aubmembership.View { return s.view }

func newSimulatedSite(b *testing.B, size siteSize, policy string, seed uint64, slow bool) *simulatedSite {
	s := &simulatedSite{
		size: size, rnd: rand.New(rand.NewPCG(seed, 0)), timer: aubtimer.NewManual(time.Unix(1000, 0)),
	}
	for i := range size.workers {
		cache, _ := lru.NewLRU[uint64, struct{}](simulatedCacheBlocks, nil)
		w := &simulatedWorker{slowness: 1, cache: cache, receivedAt: s.timer.Now(), announcement: &aubwire.Announcement{
			Name: fmt.Sprintf("w%02d", i), Zone: string(rune('a' + i%3)), Incarnation: 1,
			Backend: &aubwire.BackendReport{Engine: true, PrefillRate: simulatedPrefillRate},
		}}
		s.workers = append(s.workers, w)
	}
	if slow {
		s.workers[0].slowness = 6
	}
	next := 0
	for m := range size.models {
		for range copiesOfRank(m) {
			w := s.workers[next%size.workers]
			next++
			w.announcement.Backend.Resident = append(w.announcement.Backend.Resident, &aubwire.Resident{
				Name: fmt.Sprintf("m%02d", m), State: aubwire.Residency_RESIDENCY_READY,
			})
		}
	}
	s.publish()
	for e := range simulatedEntries {
		r, err := aubroute.NewRouter(aubcommon.NewCommon(s.timer), aubroute.RouterOpts{
			Policy: policy, Zone: string(rune('a' + e)), Source: s, ZoneRTT: 2 * size.zoneLatency,
			Rand: rand.New(rand.NewPCG(seed, uint64(e)+1)),
		})
		qt.Assert(b, err, qt.IsNil)
		s.routers = append(s.routers, r)
	}
	return s
}

// copiesOfRank returns the number of workers that hold the model of the popularity rank.
func copiesOfRank(rank int) int {
	switch {
	case rank < 3:
		return 5
	case rank < 8:
		return 3
	}
	return 2
}

// schedule adds an event.
func (s *simulatedSite) schedule(at time.Duration, action func()) {
	heap.Push(&s.events, event{at: at, run: action})
}

// publish updates the membership view.
func (s *simulatedSite) publish() {
	members := make([]aubmembership.Member, 0, len(s.workers))
	for _, w := range s.workers {
		members = append(members, aubmembership.Member{Announcement: w.announcement, ReceivedAt: w.receivedAt})
	}
	s.view = aubmembership.NewView(s.timer.Now(), members...).WithTopologyVersion(1)
}

// report records a worker's present load and publishes it simulatedReportLag later.
func (s *simulatedSite) report(w *simulatedWorker) {
	pending := int64(max(w.freeAt-s.now, 0).Seconds() * simulatedPrefillRate)
	next := &aubwire.Announcement{Name: w.announcement.GetName(), Zone: w.announcement.GetZone(), Incarnation: 1, Backend: &aubwire.BackendReport{
		Engine: true, PrefillRate: simulatedPrefillRate, Resident: w.announcement.GetBackend().GetResident(),
		QueuedTokens: pending, Running: int32(w.running),
	}}
	s.schedule(s.now+simulatedReportLag, func() {
		w.announcement, w.receivedAt = next, s.timer.Now()
		s.publish()
	})
	s.schedule(s.now+simulatedReportInterval, func() { s.report(w) })
}

// arrive sends one request and schedules the next one.
func (s *simulatedSite) arrive() {
	gap := s.rnd.ExpFloat64() / (s.size.rate * s.rateFactor())
	s.schedule(s.now+time.Duration(gap*float64(time.Second)), s.arrive)
	m := s.drawModel()
	session := s.rnd.IntN(6)
	blocks := 25 + s.rnd.IntN(50)
	prefixes := make([]uint64, 0, blocks)
	for i := range blocks {
		// The first 36 blocks of a prompt are shared by the requests of the session.
		seed := uint64(m)<<32 | uint64(session)<<16 | uint64(i)
		if i > 35 {
			seed ^= s.rnd.Uint64() << 40
		}
		prefixes = append(prefixes, seed+1)
	}
	s.send(fmt.Sprintf("m%02d", m), prefixes)
}

// send lets a random entry choose a worker and sends the request to it.
func (s *simulatedSite) send(model string, prefixes []uint64) {
	entry := s.rnd.IntN(simulatedEntries)
	// All random values are drawn on arrival, so that every policy gets the same trace.
	tokens := 20 + s.rnd.IntN(200)
	prompt := int64(len(prefixes) * simulatedBlockTokens)
	c, err := s.routers[entry].Pick(aubroute.Request{Model: model, PromptTokens: prompt, PrefixHashes: prefixes})
	if err != nil {
		s.firstTokens = append(s.firstTokens, math.Inf(1))
		return
	}
	c.Started()
	w := s.worker(c.Member.Announcement.GetName())
	latency := time.Duration(0)
	if int(w.announcement.GetZone()[0]-'a') != entry {
		latency = s.size.zoneLatency
	}
	sent := s.now
	s.schedule(s.now+latency, func() { s.prefill(w, c, sent, latency, prefixes, tokens) })
}

// prefill simulates the request on the worker up to its end.
func (s *simulatedSite) prefill(w *simulatedWorker, c aubroute.Choice, sent, latency time.Duration, prefixes []uint64, tokens int) {
	cached := 0
	for cached < len(prefixes) && w.cache.Contains(prefixes[cached]) {
		cached++
	}
	for _, p := range prefixes {
		w.cache.Add(p, struct{}{})
	}
	seconds := float64((len(prefixes)-cached)*simulatedBlockTokens+1) / simulatedPrefillRate * w.slowness * (1 + 0.01*float64(w.running))
	w.freeAt = max(w.freeAt, s.now) + time.Duration(seconds*float64(time.Second))
	w.running++
	s.schedule(w.freeAt+latency, func() {
		took := s.now - sent
		s.firstTokens = append(s.firstTokens, took.Seconds())
		c.FirstToken()
		s.schedule(s.now+time.Duration(tokens)*simulatedTokenTime, func() {
			w.running--
			c.Finished(aubroute.Outcome{FirstToken: took, Duration: s.now - sent, Tokens: int64(tokens)})
		})
	})
}

func (s *simulatedSite) worker(name string) *simulatedWorker {
	for _, w := range s.workers {
		if w.announcement.GetName() == name {
			return w
		}
	}
	return nil
}

// rateFactor returns the factor on the request rate: 1.5 in the first 5 s of every 20 s,
// else 0.85.
func (s *simulatedSite) rateFactor() float64 {
	if s.now%(20*time.Second) < 5*time.Second {
		return 1.5
	}
	return 0.85
}

// drawModel draws a model, whose popularity falls with its rank as 1/(rank+2).
func (s *simulatedSite) drawModel() int {
	weights := 0.0
	for i := range s.size.models {
		weights += 1 / float64(i+2)
	}
	at := s.rnd.Float64() * weights
	for i := range s.size.models {
		if at -= 1 / float64(i+2); at <= 0 {
			return i
		}
	}
	return s.size.models - 1
}

// run simulates the traffic for simulatedDuration.
func (s *simulatedSite) run() {
	for _, w := range s.workers {
		s.schedule(time.Duration(s.rnd.Float64()*float64(simulatedReportInterval)), func() { s.report(w) })
	}
	s.schedule(0, s.arrive)
	for s.now < simulatedDuration {
		next, ok := heap.Pop(&s.events).(event)
		if !ok {
			return
		}
		s.timer.Advance(next.at - s.now)
		s.now = next.at
		next.run()
	}
}

// BenchmarkPolicies compares the times to first token of the policies on the same
// simulated traffic. Run it with -benchtime 1x; the run time has no meaning.
func BenchmarkPolicies(b *testing.B) {
	for _, size := range siteSizes {
		for _, slow := range []bool{false, true} {
			for seed := range uint64(3) {
				for _, policy := range []string{
					aubroute.PolicyExpectedFirstToken, aubroute.PolicyLeastInFlight, aubroute.PolicyRoundRobin,
				} {
					b.Run(fmt.Sprintf("site=%s/slow_worker=%t/seed=%d/policy=%s", size.name, slow, seed, policy), func(b *testing.B) {
						s := newSimulatedSite(b, size, policy, seed, slow)
						s.run()
						slices.Sort(s.firstTokens)
						b.ReportMetric(1000*stat.Quantile(0.5, stat.Empirical, s.firstTokens, nil), "p50-ms")
						b.ReportMetric(1000*stat.Quantile(0.95, stat.Empirical, s.firstTokens, nil), "p95-ms")
						b.ReportMetric(1000*stat.Quantile(0.99, stat.Empirical, s.firstTokens, nil), "p99-ms")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}
