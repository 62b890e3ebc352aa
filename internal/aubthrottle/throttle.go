// Package aubthrottle keeps the requests to a backend server within the rate limit that it
// states in its answers. The limit holds for all instances together: each one has a token
// bucket of the whole limit and subtracts what its peers report to have sent. An instance
// that hears only a part of its peers uses only their common part of the limit, so that
// groups that are cut off from each other don't exceed it together. A backend server that
// turns a request away may also ask one instance for quiet; that instance then sends it none
// until the end. A backend server that is cold after a start gets few requests per second
// from all instances together.
package aubthrottle

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// PeerTimeout is the time without a report after which a peer counts as not heard: two
	// periodic reports and a quarter.
	PeerTimeout = 1250 * time.Millisecond
	// InstanceRetention is how long an instance that is no longer known keeps its part of
	// the limits, since it may be cut off and run.
	InstanceRetention = 5 * time.Minute
	// recentWindow is the time over which the sends in log lines are counted.
	recentWindow = 4 * time.Second
	// maxAdvisedWait limits the advised times to come back.
	maxAdvisedWait = 30 * time.Second
	// unknownShareWait is the advised time while the number of instances is unknown.
	unknownShareWait = 500 * time.Millisecond
	// endedRetention is how long the end of a limit is reported to peers, limitRetention how
	// long a limit is kept without an answer or a send.
	endedRetention = 10 * time.Second
	limitRetention = 10 * time.Minute
)

// Backend identifies one incarnation of a backend server.
type Backend struct {
	Name        string
	Incarnation uint64
}

// Opts configures a throttle.
type Opts struct {
	// HeardPeers returns the number of other instances heard within PeerTimeout; nil for an
	// instance without peers, which uses the whole limit.
	HeardPeers func() int
	// OnChange is called, without a lock held, when there is something to report; nil
	// ignores it.
	OnChange func()
	// ColdRate returns how long backend servers of a service are cold after a start and the
	// requests per second that they tolerate then, 0 for never. It is called with the lock
	// held. Nil means never.
	ColdRate func(service string) (coldTime time.Duration, perSecond float64)
	// Instance is the name of this instance. PeerNames returns the names of the instances
	// heard within InstanceRetention; nil for an instance without peers.
	Instance  string
	PeerNames func() []string
}

// Throttle admits requests to limited backend servers.
//
// Lock order: mu is taken before the locks of the functions of Opts.
type Throttle struct {
	common aubcommon.Common
	opts   Opts
	sends  tally.Counter
	denied tally.Counter
	// quietAsked counts the answers that began or prolonged a quiet.
	quietAsked tally.Counter

	mu     sync.Mutex
	states map[Backend]*limitState
	quiets map[Backend]*quietPeriod
	// instances is the largest number of instances, this one included, known within
	// InstanceRetention; 0 while unknown.
	instances   int
	instancesAt time.Time

	startedAt time.Time
	colds     map[Backend]*coldState
	// coldZones holds when the drain of a zone was withdrawn.
	coldZones map[string]time.Time
	coldSends tally.Counter
	coldCount tally.Gauge
	// coldSenders returns the number of senders and the minimum time between two sends of one.
	coldSenders func(perSecond float64, instances int) (senders int, interval time.Duration)
}

// New returns a throttle that knows no limit.
func New(common aubcommon.Common, opts Opts) *Throttle {
	common = common.WithPart("throttle")
	t := &Throttle{
		common: common, opts: opts, states: make(map[Backend]*limitState), quiets: make(map[Backend]*quietPeriod),
		sends: common.Metrics.Counter("sends"), denied: common.Metrics.Counter("denied"), quietAsked: common.Metrics.Counter("quiet_asked"),
		startedAt: common.Timer.Now(), colds: make(map[Backend]*coldState), coldZones: make(map[string]time.Time),
		coldSends: common.Metrics.Counter("cold_sends"), coldCount: common.Metrics.Gauge("cold_backend_servers"), coldSenders: newColdSenders,
	}
	if opts.HeardPeers == nil {
		t.instances = 1
	}
	return t
}

// SetInstances sets the number of instances, this one included, that are known now.
func (t *Throttle) SetInstances(n int) {
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if n >= t.instances || now.Sub(t.instancesAt) > InstanceRetention {
		t.instances, t.instancesAt = n, now
	}
}

// share returns the part of each limit that this instance and the peers that it hears use
// together; the caller holds mu.
func (t *Throttle) share() float64 {
	if t.opts.HeardPeers == nil {
		return 1
	}
	if t.instances == 0 {
		return 0
	}
	return min(float64(t.opts.HeardPeers()+1)/float64(t.instances), 1)
}

// Observe applies what an answer says about the limit, in requests per second: none if the
// backend server takes any rate.
func (t *Throttle) Observe(requestID string, b Backend, limit auboption.Option[float64]) {
	if t.observe(requestID, b, limit) && t.opts.OnChange != nil {
		t.opts.OnChange()
	}
}

// observe reports whether the limit changed.
func (t *Throttle) observe(requestID string, b Backend, limit auboption.Option[float64]) bool {
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.states[b]
	if _, isLimited := limit.Get(); state == nil && !isLimited {
		return false
	}
	if state == nil {
		state = newLimitState(now)
		t.states[b] = state
	}
	state.own, state.ownStatedAt = limit, now
	previous := state.limit
	if !state.apply(now, limit, now, t.share()) {
		return false
	}
	t.logChange(b, previous, limit, 0, zap.String("request_id", requestID))
	return true
}

func (t *Throttle) logChange(b Backend, previous, limit auboption.Option[float64], age time.Duration, source zap.Field) {
	t.common.Log.Info("Backend server changed its rate limit.",
		source, zap.String("backend_server", b.Name), zap.Uint64("backend_started_ms", b.Incarnation),
		zap.Float64("previous", previous.Or(0)), zap.Float64("limit", limit.Or(0)), zap.Bool("is_limited", limit != auboption.None[float64]()),
		zap.Int64("age_ms", age.Milliseconds()), zap.Float64("share", t.share()))
}

// Wait returns the time until a request may be sent to the backend server; 0 for now.
func (t *Throttle) Wait(b Backend) time.Duration {
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := max(t.quietWait(now, b), t.coldWait(now, b))
	if state := t.states[b]; state != nil {
		wait = max(wait, state.wait(now, t.share()))
	}
	return wait
}

// Take admits one request to the backend server and reports whether it may be sent.
func (t *Throttle) Take(requestID string, b Backend) bool {
	isAdmitted, isLimited := t.take(requestID, b)
	if isLimited && isAdmitted && t.opts.OnChange != nil {
		t.opts.OnChange()
	}
	return isAdmitted
}

func (t *Throttle) take(requestID string, b Backend) (isAdmitted, isLimited bool) {
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.quietWait(now, b) > 0 {
		t.denied.Inc(1)
		return false, false
	}
	if t.coldWait(now, b) > 0 {
		t.denied.Inc(1)
		return false, true
	}
	state := t.states[b]
	if state == nil {
		return true, t.takeCold(now, requestID, b)
	}
	limit, isLimited := state.limit.Get()
	if !isLimited {
		return true, t.takeCold(now, requestID, b)
	}
	if !state.take(now, t.share()) {
		t.denied.Inc(1)
		return false, true
	}
	t.sends.Inc(1)
	t.takeCold(now, requestID, b)
	t.common.Log.Info("Request is sent to a limited backend server.",
		zap.String("request_id", requestID), zap.String("backend_server", b.Name), zap.Float64("limit", limit),
		zap.Int64("limit_age_ms", now.Sub(state.statedAt).Milliseconds()), zap.Int("recent_sends", len(state.recentSends)),
		zap.Float64("level", state.level), zap.Float64("share", t.share()))
	return true, true
}

// AdviseRetry returns the time after which a refused caller should come back, never before
// a quiet that the backend server asked for ends. Callers get times one after the other at
// the rate of the limit, or spread over quietSpread after a quiet, so that they don't all
// return at once.
func (t *Throttle) AdviseRetry(b Backend) time.Duration {
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endQuiet(now, b)
	var advice time.Duration
	if state := t.states[b]; state != nil && state.isLimited() {
		advice = state.adviseRetry(now, t.share())
	}
	if quiet := t.quiets[b]; quiet != nil {
		advice = max(advice, quiet.adviseRetry(now))
	}
	return max(advice, t.adviseCold(now, b))
}

// Report returns the limits for the peers: all, or only those with changes since the last
// call. It also drops limits that no longer matter.
func (t *Throttle) Report(isFull bool) []*aubwire.BackendLimit {
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.states, func(b Backend, s *limitState) bool {
		isDropped := s.isOutdated(now)
		if isDropped && s.isLimited() {
			t.logChange(b, s.limit, auboption.None[float64](), now.Sub(s.statedAt), zap.String("source", "not_used"))
		}
		return isDropped
	})
	t.endQuiets(now)
	var limits []*aubwire.BackendLimit
	for _, b := range slices.SortedFunc(maps.Keys(t.states), compareBackends) {
		if s := t.states[b]; isFull || s.hasChanged {
			s.hasChanged = false
			limits = append(limits, s.report(now, b))
		}
	}
	return t.addColdReports(now, isFull, limits)
}

// Snapshot returns the limits that this instance has itself read from answers.
func (t *Throttle) Snapshot() []*aubwire.BackendLimit {
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var limits []*aubwire.BackendLimit
	for b, s := range t.states {
		if s.isOwnCurrent() {
			limits = append(limits, s.report(now, b))
		}
	}
	return limits
}

// Merge applies the limits that a peer reports. The incarnation differs between two starts
// of the peer.
func (t *Throttle) Merge(peer string, incarnation uint64, limits []*aubwire.BackendLimit) {
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, reported := range limits {
		if state := t.mergeStatement(now, peer, reported); state != nil {
			isColdOnly := reported.GetCold() != nil && reported.GetSent() == 0
			if !isColdOnly {
				state.mergeSends(now, peer, incarnation, reported, t.instances)
			}
		}
		if reported.GetCold() != nil {
			t.mergeCold(now, peer, incarnation, reported)
		}
	}
}

// MergeStatements applies limits that were passed on by a process that is no peer.
func (t *Throttle) MergeStatements(source string, limits []*aubwire.BackendLimit) {
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, reported := range limits {
		t.mergeStatement(now, source, reported)
	}
}

// mergeStatement applies the reported limit if it is newer than the known one and returns
// the state, nil if no answer with a limit is known; the caller holds mu.
func (t *Throttle) mergeStatement(now time.Time, source string, reported *aubwire.BackendLimit) *limitState {
	b := Backend{Name: reported.GetId(), Incarnation: reported.GetIncarnation()}
	limit := auboption.None[float64]()
	if reported.GetLimited() {
		limit = auboption.Some(reported.GetPerSecond())
	}
	state := t.states[b]
	if state == nil && !reported.GetStated() {
		return nil
	}
	if state == nil {
		state = newLimitState(now)
		t.states[b] = state
	}
	age := milliseconds(reported.GetStatedAgoMs())
	previous := state.limit
	if reported.GetStated() && state.apply(now, limit, now.Add(-age), t.share()) {
		t.logChange(b, previous, limit, age, zap.String("reported_by", source))
	}
	return state
}
