package aubregistry

import (
	"maps"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxReportAge is the age above which a relay and its load are not counted.
	maxReportAge = 1500 * time.Millisecond
	// relayRetention is how long a relay that no longer reports is known: it may be cut off
	// and run.
	relayRetention = 5 * time.Minute
)

// ModelKey identifies a model or, if Adapter is not empty, an adapter of it.
type ModelKey struct {
	Model   string
	Adapter string
}

// ModelCount holds the requests and tokens that arrived for a model or adapter since the
// start of the counting process.
type ModelCount struct {
	Requests int64
	Tokens   int64
}

// relayReport is the newest report of one relay.
type relayReport struct {
	receivedAt  time.Time
	incarnation uint64
	loads       []*aubwire.BackendLoad
	limits      []*aubwire.BackendLimit
	// models holds the relay's newest counters, from which the next increments are
	// computed.
	models map[ModelKey]ModelCount
	// isCounted is set while the loads are included in the sums of the aggregator.
	isCounted bool
}

// LoadAggregator sums the load reports of all relays.
//
// Lock order: mu is taken alone.
type LoadAggregator struct {
	common aubcommon.Common

	mu      sync.Mutex
	relays  map[string]*relayReport
	demands map[ModelKey]ModelCount
	// inFlight holds the sums of the counted loads by the id of the backend server.
	inFlight map[string]int
}

// NewLoadAggregator returns an aggregator without reports.
func NewLoadAggregator(common aubcommon.Common) *LoadAggregator {
	return &LoadAggregator{
		common:  common,
		relays:  make(map[string]*relayReport),
		demands: make(map[ModelKey]ModelCount),

		inFlight: make(map[string]int),
	}
}

// AddReport adds a relay's report. The first counters of an incarnation are only a baseline
// for later ones, because their requests may not be recent.
func (l *LoadAggregator) AddReport(report *aubwire.LoadReport) {
	now := l.common.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	stored := l.relays[report.GetInstance()]
	isFirst := stored == nil || stored.incarnation != report.GetIncarnation()
	if stored == nil {
		stored = &relayReport{}
		l.relays[report.GetInstance()] = stored
	}
	if isFirst {
		stored.incarnation = report.GetIncarnation()
		stored.models = make(map[ModelKey]ModelCount)
	}
	stored.receivedAt = now
	l.discount(stored)
	if isFirst {
		stored.loads = nil
	}
	stored.loads, stored.limits = applyLoads(stored.loads, report), report.GetLimits()
	l.count(stored)
	for _, m := range report.GetModels() {
		l.addModel(stored, m, isFirst)
	}
}

// addModel adds the increments of one model's counters; the caller holds mu.
func (l *LoadAggregator) addModel(stored *relayReport, m *aubwire.ModelUse, isFirst bool) {
	key := ModelKey{Model: m.GetModel(), Adapter: m.GetAdapter()}
	previous := stored.models[key]
	next := ModelCount{Requests: m.GetRequests(), Tokens: m.GetTokens()}
	stored.models[key] = next
	if isFirst {
		return
	}
	total := l.demands[key]
	l.demands[key] = ModelCount{
		Requests: total.Requests + max(next.Requests-previous.Requests, 0),
		Tokens:   total.Tokens + max(next.Tokens-previous.Tokens, 0),
	}
}

// Limits returns the rate limits of backend servers that relays have reported, with their
// ages now.
func (l *LoadAggregator) Limits() []*aubwire.BackendLimit {
	now := l.common.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var limits []*aubwire.BackendLimit
	for _, relay := range l.relays {
		for _, reported := range relay.limits {
			limit := proto.CloneOf(reported)
			limit.StatedAgoMs += now.Sub(relay.receivedAt).Milliseconds()
			limits = append(limits, limit)
		}
	}
	return limits
}

// RateLimits returns the rate limits of backend servers, in requests per second, by their
// ids. Of each one the newest statement counts.
func (l *LoadAggregator) RateLimits() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := make(map[string]*aubwire.BackendLimit)
	statedAt := make(map[string]time.Time)
	for _, relay := range l.relays {
		for _, limit := range relay.limits {
			id, at := limit.GetId(), relay.receivedAt.Add(-time.Duration(limit.GetStatedAgoMs())*time.Millisecond)
			known := newest[id]
			isNewer := known == nil || limit.GetIncarnation() > known.GetIncarnation() ||
				limit.GetIncarnation() == known.GetIncarnation() && at.After(statedAt[id])
			if limit.GetStated() && isNewer {
				newest[id], statedAt[id] = limit, at
			}
		}
	}
	limits := make(map[string]float64)
	for id, limit := range newest {
		if limit.GetLimited() {
			limits[id] = limit.GetPerSecond()
		}
	}
	return limits
}

// KnownRelays returns the number of relays that reported within relayRetention.
func (l *LoadAggregator) KnownRelays() int {
	now := l.common.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	known := 0
	for _, relay := range l.relays {
		if now.Sub(relay.receivedAt) <= relayRetention {
			known++
		}
	}
	return known
}

// PeerCount returns the number of relays with a recent report other than the named one.
func (l *LoadAggregator) PeerCount(instance string) int {
	now := l.common.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := 0
	for name, relay := range l.relays {
		if name != instance && now.Sub(relay.receivedAt) <= maxReportAge {
			peers++
		}
	}
	return peers
}

// Demand returns the counts of all models and adapters. They never decrease.
func (l *LoadAggregator) Demand() map[ModelKey]ModelCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.demands)
}

// count adds the loads of a report to the sums; the caller holds mu.
func (l *LoadAggregator) count(r *relayReport) {
	r.isCounted = true
	for _, load := range r.loads {
		l.inFlight[load.GetId()] += int(load.GetInFlight())
	}
}

// discount removes the loads of a report from the sums if they are included; the caller holds mu.
func (l *LoadAggregator) discount(r *relayReport) {
	if !r.isCounted {
		return
	}
	r.isCounted = false
	for _, load := range r.loads {
		if l.inFlight[load.GetId()] -= int(load.GetInFlight()); l.inFlight[load.GetId()] == 0 {
			delete(l.inFlight, load.GetId())
		}
	}
}

// discountOutdated removes the loads of relays without a recent report; the caller holds mu.
func (l *LoadAggregator) discountOutdated() {
	now := l.common.Timer.Now()
	for _, relay := range l.relays {
		if now.Sub(relay.receivedAt) > maxReportAge {
			l.discount(relay)
		}
	}
}

// InFlight returns the number of requests in flight by the id of the backend server.
func (l *LoadAggregator) InFlight() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.discountOutdated()
	return maps.Clone(l.inFlight)
}

// InFlightAt returns the number of requests in flight at each of the backend servers.
func (l *LoadAggregator) InFlightAt(ids []string) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.discountOutdated()
	counts := make([]int, len(ids))
	for i, id := range ids {
		counts[i] = l.inFlight[id]
	}
	return counts
}
