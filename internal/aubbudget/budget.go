package aubbudget

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

const (
	// smallBytes is what a request may hold and count as small. Large ones get only the part largeShare of
	// the budget, so that small ones find room beside any number of them.
	smallBytes = 64 << 10
	largeShare = 0.75
	// minEvictAge is the age from which a request that is still being received yields to another one, and
	// stuckAge that of a write from which its connection does.
	minEvictAge = 250 * time.Millisecond
	stuckAge    = time.Second
	// reportInterval is the time between two log lines.
	reportInterval = time.Second
)

// Budget bounds the bytes that the requests of all callers hold, and their connections.
//
// Lock order: mu is a leaf lock.
type Budget struct {
	common  aubcommon.Common
	machine Machine
	metrics budgetMetrics

	mu sync.Mutex
	// total is the size of the budget in bytes. used is what is held, largeUsed the part held by requests
	// above smallBytes.
	total, used, largeUsed int64
	// http2Used is the part of connections with HTTP/2.
	http2Used int64
	// receiving holds what is being received and yields to others.
	receiving map[*Share]bool
	events    events
	// connections is the number of connections of all listeners.
	connections int
}

// events counts the decisions since the last log line.
type events struct {
	evictedRequests, refusedRequests       int
	evictedConnections, refusedConnections int
	largeHeads, lateHeads                  int
}

type budgetMetrics struct {
	held                                   tally.Gauge
	connections                            tally.Gauge
	evictedRequests, refusedRequests       tally.Counter
	evictedConnections, refusedConnections tally.Counter
	largeHeads, lateHeads, lateBodies      tally.Counter
}

// NewBudget returns a budget of the machine's size. It reports until ctx ends.
func NewBudget(ctx context.Context, common aubcommon.Common, machine Machine) *Budget {
	common = common.WithPart("budget")
	b := &Budget{
		common: common, machine: machine, total: machine.RequestBytes(), receiving: make(map[*Share]bool),
		metrics: budgetMetrics{
			held:               common.Metrics.Gauge("held_bytes"),
			connections:        common.Metrics.Gauge("connections"),
			evictedRequests:    common.Metrics.Counter("evicted_requests"),
			refusedRequests:    common.Metrics.Counter("refused_requests"),
			evictedConnections: common.Metrics.Counter("evicted_connections"),
			refusedConnections: common.Metrics.Counter("refused_connections"),
			largeHeads:         common.Metrics.Counter("large_heads"),
			lateHeads:          common.Metrics.Counter("late_heads"),
			lateBodies:         common.Metrics.Counter("late_bodies"),
		},
	}
	ticks := common.Timer.Subscribe(ctx, reportInterval)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
				b.report()
			}
		}
	}()
	return b
}

// Machine returns the machine whose memory and descriptors the budget divides.
func (b *Budget) Machine() Machine { return b.machine }

// report logs the decisions since the last report.
func (b *Budget) report() {
	b.mu.Lock()
	e, used, total := b.events, b.used, b.total
	b.events = events{}
	b.mu.Unlock()
	b.metrics.held.Update(float64(used))
	if e == (events{}) {
		return
	}
	b.common.Log.Warn("Callers exceed the budget or the limits.",
		zap.Int64("held_bytes", used), zap.Int64("budget_bytes", total),
		zap.Int("evicted_requests", e.evictedRequests), zap.Int("refused_requests", e.refusedRequests),
		zap.Int("evicted_connections", e.evictedConnections), zap.Int("refused_connections", e.refusedConnections),
		zap.Int("large_heads", e.largeHeads), zap.Int("late_heads", e.lateHeads))
}

// Share is what one request holds, from the first byte of its head until its response is complete, or what a
// connection with HTTP/2 holds. The budget's mutex guards its fields.
type Share struct {
	budget *Budget
	held   int64
	// since is when the client began to send or, while a response is written, to accept it. The share yields
	// minAge after it at the earliest.
	since  time.Time
	minAge time.Duration
	// evict is called when the share yields, with the budget's mutex held; it must not block.
	evict     func()
	isEvicted bool
	isClosed  bool
	isHTTP2   bool
}

func (b *Budget) newShare(since time.Time) *Share { return &Share{budget: b, since: since} }

// Grow takes n more bytes. If there are too few, the oldest requests that are still being received yield.
// It returns an *ExhaustedError if the share may not grow.
func (s *Share) Grow(n int64) error {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.isEvicted || s.isClosed {
		return &ExhaustedError{Held: s.held, Wanted: n}
	}
	for !b.fits(s, n) {
		if s.held+n > b.largeLimit() || !b.evictFor(s, n) {
			b.events.refusedRequests++
			b.metrics.refusedRequests.Inc(1)
			return &ExhaustedError{Held: s.held, Wanted: n, IsPermanent: s.held+n > b.largeLimit()}
		}
	}
	b.charge(s, n)
	return nil
}

// fits reports whether a share may take n more bytes; the caller holds mu.
func (b *Budget) fits(s *Share, n int64) bool {
	if b.used+n > b.total {
		return false
	}
	if s.held+n <= smallBytes {
		return true
	}
	return b.largeUsed-s.large()+s.held+n <= b.largeLimit()
}

// largeLimit returns what large requests may hold together.
func (b *Budget) largeLimit() int64 { return int64(largeShare * float64(b.total)) }

// large returns what the share holds if it is above smallBytes.
func (s *Share) large() int64 {
	if s.held <= smallBytes {
		return 0
	}
	return s.held
}

// charge changes what the share holds by n; the caller holds mu.
func (b *Budget) charge(s *Share, n int64) {
	before := s.large()
	s.held += n
	b.used += n
	b.largeUsed += s.large() - before
}

// evictFor evicts the oldest share that is being received and whose bytes help. The caller holds mu.
func (b *Budget) evictFor(s *Share, n int64) bool {
	onlyLarge := b.used+n <= b.total
	oldest := b.oldest(func(other *Share) bool {
		return other != s && other.held > 0 && (!onlyLarge || other.large() > 0)
	})
	if oldest == nil {
		return false
	}
	b.events.evictedRequests++
	b.metrics.evictedRequests.Inc(1)
	b.evictShare(oldest)
	return true
}

// oldest returns the oldest of the shares that yield now, nil without one; the caller holds mu.
func (b *Budget) oldest(isCandidate func(*Share) bool) *Share {
	now := b.common.Timer.Now()
	var oldest *Share
	for s := range b.receiving {
		if now.Sub(s.since) >= s.minAge && isCandidate(s) && (oldest == nil || s.since.Before(oldest.since)) {
			oldest = s
		}
	}
	return oldest
}

// evictShare takes back what a share holds; the caller holds mu.
func (b *Budget) evictShare(s *Share) {
	delete(b.receiving, s)
	b.charge(s, -s.held)
	s.isEvicted = true
	s.evict()
}

// beginReceiving lets the share yield to others, by a call of evict, until endReceiving.
func (s *Share) beginReceiving(minAge time.Duration, evict func()) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.yield(minAge, evict)
}

// yield lets the share yield to others; the caller holds the budget's mutex.
func (s *Share) yield(minAge time.Duration, evict func()) {
	if s.isEvicted || s.isClosed {
		return
	}
	s.minAge, s.evict = minAge, evict
	s.budget.receiving[s] = true
}

// beginWriting lets the share yield to others, by a call of evict, if its client does not accept the response
// until endWriting.
func (s *Share) beginWriting(now time.Time, evict func()) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.budget.receiving[s] {
		// Its body is still being received.
		return
	}
	s.since = now
	s.yield(stuckAge, evict)
}

func (s *Share) endWriting() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.minAge == stuckAge {
		delete(s.budget.receiving, s)
	}
}

func (s *Share) endReceiving() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	delete(s.budget.receiving, s)
}

// wasEvicted reports whether the share has yielded to another one.
func (s *Share) wasEvicted() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.isEvicted
}

// release gives back what the share holds.
func (s *Share) release() {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.isHTTP2 {
		b.http2Used -= s.held
	}
	delete(b.receiving, s)
	b.charge(s, -s.held)
	s.isClosed = true
}

// reserveHTTP2 takes what a connection with HTTP/2 holds besides its requests. All of them together get only
// the part http2Share of the budget.
func (b *Budget) reserveHTTP2(s *Share, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.isClosed || b.http2Used+n > int64(http2Share*float64(b.total)) || b.used+n > b.total {
		b.events.refusedConnections++
		b.metrics.refusedConnections.Inc(1)
		return false
	}
	b.charge(s, n)
	b.http2Used += n
	s.isHTTP2 = true
	return true
}

func (b *Budget) addConnections(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections += n
	b.metrics.connections.Update(float64(b.connections))
}

// count adds to the events of the next log line.
func (b *Budget) count(add func(e *events)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	add(&b.events)
}
