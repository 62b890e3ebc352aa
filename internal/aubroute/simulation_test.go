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
// reports its load every modelReportEvery, and the report is received modelReportLag
// later. The entries choose workers without communicating.
const (
	// modelPrefillRate is in tokens a second.
	modelPrefillRate = 5000.0
	// modelBlockTokens is the number of tokens in a block.
	modelBlockTokens = 16
	modelCacheBlocks = 4000
	modelReportEvery = time.Second
	modelReportLag   = 100 * time.Millisecond
	modelEntries     = 3
	modelDuration    = 2 * time.Minute
	// modelTokenTime is the decode time of one token.
	modelTokenTime = 25 * time.Millisecond
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

// modelWorker is a simulated backend server.
type modelWorker struct {
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

// queueModel simulates the entries and workers of a site.
type queueModel struct {
	size    siteSize
	rnd     *rand.Rand
	timer   *aubtimer.Manual
	now     time.Duration
	events  events
	workers []*modelWorker
	view    aubmembership.View
	routers []*aubroute.Router
	// firstTokens are the times to first token in seconds; infinite for requests without
	// a worker.
	firstTokens []float64
}

func (q *queueModel) View() aubmembership.View { return q.view }

func newQueueModel(b *testing.B, size siteSize, policy string, seed uint64, slow bool) *queueModel {
	q := &queueModel{
		size: size, rnd: rand.New(rand.NewPCG(seed, 0)), timer: aubtimer.NewManual(time.Unix(1000, 0)),
	}
	for i := range size.workers {
		cache, _ := lru.NewLRU[uint64, struct{}](modelCacheBlocks, nil)
		w := &modelWorker{slowness: 1, cache: cache, receivedAt: q.timer.Now(), announcement: &aubwire.Announcement{
			Name: fmt.Sprintf("w%02d", i), Zone: string(rune('a' + i%3)), Incarnation: 1,
			Backend: &aubwire.BackendReport{Engine: true, PrefillRate: modelPrefillRate},
		}}
		q.workers = append(q.workers, w)
	}
	if slow {
		q.workers[0].slowness = 6
	}
	next := 0
	for m := range size.models {
		for range copiesOfRank(m) {
			w := q.workers[next%size.workers]
			next++
			w.announcement.Backend.Resident = append(w.announcement.Backend.Resident, &aubwire.Resident{
				Name: fmt.Sprintf("m%02d", m), State: aubwire.Residency_RESIDENCY_READY,
			})
		}
	}
	q.publish()
	for e := range modelEntries {
		r, err := aubroute.NewRouter(aubcommon.NewCommon(q.timer), aubroute.RouterOpts{
			Policy: policy, Zone: string(rune('a' + e)), Source: q, ZoneRTT: 2 * size.zoneLatency,
			Rand: rand.New(rand.NewPCG(seed, uint64(e)+1)),
		})
		qt.Assert(b, err, qt.IsNil)
		q.routers = append(q.routers, r)
	}
	return q
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
func (q *queueModel) schedule(at time.Duration, action func()) {
	heap.Push(&q.events, event{at: at, run: action})
}

// publish updates the membership view.
func (q *queueModel) publish() {
	members := make([]aubmembership.Member, 0, len(q.workers))
	for _, w := range q.workers {
		members = append(members, aubmembership.Member{Announcement: w.announcement, ReceivedAt: w.receivedAt})
	}
	q.view = aubmembership.NewView(q.timer.Now(), members...).WithTopologyVersion(1)
}

// report records a worker's present load and publishes it modelReportLag later.
func (q *queueModel) report(w *modelWorker) {
	pending := int64(max(w.freeAt-q.now, 0).Seconds() * modelPrefillRate)
	next := &aubwire.Announcement{Name: w.announcement.GetName(), Zone: w.announcement.GetZone(), Incarnation: 1, Backend: &aubwire.BackendReport{
		Engine: true, PrefillRate: modelPrefillRate, Resident: w.announcement.GetBackend().GetResident(),
		QueuedTokens: pending, Running: int32(w.running),
	}}
	q.schedule(q.now+modelReportLag, func() {
		w.announcement, w.receivedAt = next, q.timer.Now()
		q.publish()
	})
	q.schedule(q.now+modelReportEvery, func() { q.report(w) })
}

// arrive sends one request and schedules the next one.
func (q *queueModel) arrive() {
	gap := q.rnd.ExpFloat64() / (q.size.rate * q.rateFactor())
	q.schedule(q.now+time.Duration(gap*float64(time.Second)), q.arrive)
	m := q.drawModel()
	session := q.rnd.IntN(6)
	blocks := 25 + q.rnd.IntN(50)
	prefixes := make([]uint64, 0, blocks)
	for i := range blocks {
		// The first 36 blocks of a prompt are shared by the requests of the session.
		seed := uint64(m)<<32 | uint64(session)<<16 | uint64(i)
		if i > 35 {
			seed ^= q.rnd.Uint64() << 40
		}
		prefixes = append(prefixes, seed+1)
	}
	q.send(fmt.Sprintf("m%02d", m), prefixes)
}

// send lets a random entry choose a worker and sends the request to it.
func (q *queueModel) send(model string, prefixes []uint64) {
	entry := q.rnd.IntN(modelEntries)
	// All random values are drawn on arrival, so that every policy gets the same trace.
	tokens := 20 + q.rnd.IntN(200)
	prompt := int64(len(prefixes) * modelBlockTokens)
	c, err := q.routers[entry].Pick(aubroute.Request{Model: model, PromptTokens: prompt, PrefixHashes: prefixes})
	if err != nil {
		q.firstTokens = append(q.firstTokens, math.Inf(1))
		return
	}
	c.Started()
	w := q.worker(c.Member.Announcement.GetName())
	latency := time.Duration(0)
	if int(w.announcement.GetZone()[0]-'a') != entry {
		latency = q.size.zoneLatency
	}
	sent := q.now
	q.schedule(q.now+latency, func() { q.prefill(w, c, sent, latency, prefixes, tokens) })
}

// prefill simulates the request on the worker up to its end.
func (q *queueModel) prefill(w *modelWorker, c aubroute.Choice, sent, latency time.Duration, prefixes []uint64, tokens int) {
	cached := 0
	for cached < len(prefixes) && w.cache.Contains(prefixes[cached]) {
		cached++
	}
	for _, p := range prefixes {
		w.cache.Add(p, struct{}{})
	}
	seconds := float64((len(prefixes)-cached)*modelBlockTokens+1) / modelPrefillRate * w.slowness * (1 + 0.01*float64(w.running))
	w.freeAt = max(w.freeAt, q.now) + time.Duration(seconds*float64(time.Second))
	w.running++
	q.schedule(w.freeAt+latency, func() {
		took := q.now - sent
		q.firstTokens = append(q.firstTokens, took.Seconds())
		c.FirstToken()
		q.schedule(q.now+time.Duration(tokens)*modelTokenTime, func() {
			w.running--
			c.Finished(aubroute.Outcome{FirstToken: took, Duration: q.now - sent, Tokens: int64(tokens)})
		})
	})
}

func (q *queueModel) worker(name string) *modelWorker {
	for _, w := range q.workers {
		if w.announcement.GetName() == name {
			return w
		}
	}
	return nil
}

// rateFactor returns the factor on the request rate: 1.5 in the first 5 s of every 20 s,
// else 0.85.
func (q *queueModel) rateFactor() float64 {
	if q.now%(20*time.Second) < 5*time.Second {
		return 1.5
	}
	return 0.85
}

// drawModel draws a model, whose popularity falls with its rank as 1/(rank+2).
func (q *queueModel) drawModel() int {
	weights := 0.0
	for i := range q.size.models {
		weights += 1 / float64(i+2)
	}
	at := q.rnd.Float64() * weights
	for i := range q.size.models {
		if at -= 1 / float64(i+2); at <= 0 {
			return i
		}
	}
	return q.size.models - 1
}

// run simulates the traffic for modelDuration.
func (q *queueModel) run() {
	for _, w := range q.workers {
		q.schedule(time.Duration(q.rnd.Float64()*float64(modelReportEvery)), func() { q.report(w) })
	}
	q.schedule(0, q.arrive)
	for q.now < modelDuration {
		next, ok := heap.Pop(&q.events).(event)
		if !ok {
			return
		}
		q.timer.Advance(next.at - q.now)
		q.now = next.at
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
						q := newQueueModel(b, size, policy, seed, slow)
						q.run()
						slices.Sort(q.firstTokens)
						b.ReportMetric(1000*stat.Quantile(0.5, stat.Empirical, q.firstTokens, nil), "p50-ms")
						b.ReportMetric(1000*stat.Quantile(0.95, stat.Empirical, q.firstTokens, nil), "p95-ms")
						b.ReportMetric(1000*stat.Quantile(0.99, stat.Empirical, q.firstTokens, nil), "p99-ms")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}
