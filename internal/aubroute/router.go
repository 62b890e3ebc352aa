package aubroute

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
)

const (
	// DefaultZoneRTT is the round-trip time between two availability zones.
	DefaultZoneRTT = 3 * time.Millisecond
	// DefaultReportLag is the age of a load report when it is received.
	DefaultReportLag = 100 * time.Millisecond
	// loadingRetryAfter and missingRetryAfter are the times after which a model that
	// is being loaded, or has yet to be loaded, is likely to be ready.
	loadingRetryAfter = time.Second
	missingRetryAfter = 3 * time.Second
	// idleStateTTL is how long the state of an unused member without requests in
	// flight is kept, and the interval between two sweeps.
	idleStateTTL = 10 * time.Minute
	// maxRoundRobinTargets is the number of targets from which the round-robin
	// positions are reset.
	maxRoundRobinTargets = 4096
)

// RouterOpts are the options of NewRouter.
type RouterOpts struct {
	// Policy is the name of the routing policy; empty means PolicyExpectedFirstToken.
	Policy string
	// Zone is the availability zone of this instance.
	Zone string
	// Source provides the membership view.
	Source aubmembership.Source
	// Config provides the configured models, adapters and services; nil means that
	// every name may exist.
	Config aubquery.ConfigSource
	// ZoneRTT is the round-trip time to another zone; 0 means DefaultZoneRTT.
	ZoneRTT time.Duration
	// ReportLag is the age of load reports when they are received; 0 means
	// DefaultReportLag.
	ReportLag time.Duration
	// RetryShare is the number of retries that each request adds to the budget; 0
	// means DefaultRetryShare.
	RetryShare float64
	// BlockTokens is the number of prompt tokens in each block of
	// Request.PrefixHashes; 0 means DefaultBlockTokens.
	BlockTokens int64
	// RetryWindow is the time over which requests and retries are counted; 0 means
	// DefaultRetryWindow.
	RetryWindow time.Duration
	// RetryBurst is the number of retries allowed above the share, RetryFloor the
	// number a second that are always allowed; 0 means the defaults.
	RetryBurst float64
	RetryFloor float64
	// PeerLoad returns the load that other instances have in flight on a member. If it
	// is set, it replaces the load in the members' reports.
	PeerLoad func(member string) aubmembership.Load
	// OnLoadChange is called with the router's lock held when this instance's requests
	// in flight changed; nil for none.
	OnLoadChange func()
	// Throttle returns the time until the rate limit of a member incarnation allows another
	// request; 0 for now. Nil limits none.
	Throttle func(member string, incarnation uint64) time.Duration
	// Speed returns the speed of a member incarnation relative to the other members; nil means
	// that all are equal.
	Speed func(member string, incarnation uint64) float64
	// PrefillRateOf returns the measured prefill rate of a model on a member incarnation, in
	// tokens a second; false if it is not measured. It is called with the router's lock held. Nil
	// means that none is measured.
	PrefillRateOf func(member string, incarnation uint64, model string) (float64, bool)
	// RegionOf returns the region of a zone, empty if it has none. Nil means that no zone has one.
	RegionOf func(zone string) string
	// ZoneUse returns the use that may be made of the members of a zone; nil means that all
	// zones are open.
	ZoneUse func(zone string) ZoneUse
	// PrefillRate is assumed for members that report none, in tokens a second; 0
	// means the default.
	PrefillRate float64
	// EjectSlowness is the ratio of measured to expected time to first token from
	// which a member is ejected; 0 means the default.
	EjectSlowness float64
	// Rand draws samples and breaks ties; nil means a generator with a random seed.
	Rand *rand.Rand
}

// ZoneUse is the use that may be made of the members of a zone.
type ZoneUse int

// Values of ZoneUse.
const (
	// ZoneOpen members may get any request.
	ZoneOpen ZoneUse = iota
	// ZoneLastResort members get only what no member of an open zone can take.
	ZoneLastResort
	// ZoneClosed members get nothing.
	ZoneClosed
)

// DefaultBlockTokens is the usual number of tokens in a block of an engine's prompt
// cache.
const DefaultBlockTokens = 16

// Router chooses members (backend servers) for requests. It is safe for concurrent
// use.
type Router struct {
	common aubcommon.Common
	opts   RouterOpts
	policy Policy[Query, Candidate]
	// budgets are the retry budgets by name, see AllowRetry.
	budgets map[string]*RetryBudget
	// isRoundRobin offers the members in round-robin order instead of a sample.
	isRoundRobin bool

	// mu guards budgets, opts.RetryBurst and the fields below. Config, PeerLoad,
	// ZoneUse and OnLoadChange of the options are called with mu held, so they must not call the
	// router.
	mu       sync.Mutex
	rnd      *rand.Rand
	index    *index
	states   map[string]*memberState
	prefixes *prefixTable
	// positions are the round-robin positions.
	positions map[target]uint64
	sweptAt   time.Time
}

// NewRouter returns a router. Errors are *PolicyError.
func NewRouter(common aubcommon.Common, opts RouterOpts) (*Router, error) {
	policy, err := NewPolicy(opts.Policy)
	if err != nil {
		return nil, err
	}
	opts = opts.withDefaults()
	common = common.WithPart("route")
	now := common.Timer.Now()
	_, isRoundRobin := policy.(RoundRobin)
	return &Router{
		isRoundRobin: isRoundRobin,
		common:       common,
		opts:         opts,
		policy:       policy,
		budgets:      make(map[string]*RetryBudget),
		rnd:          opts.Rand,
		states:       make(map[string]*memberState),
		prefixes:     newPrefixTable(),
		positions:    make(map[target]uint64),
		sweptAt:      now,
	}, nil
}

func (o RouterOpts) withDefaults() RouterOpts {
	if o.ZoneRTT == 0 {
		o.ZoneRTT = DefaultZoneRTT
	}
	if o.ReportLag == 0 {
		o.ReportLag = DefaultReportLag
	}
	if o.RetryShare == 0 {
		o.RetryShare = DefaultRetryShare
	}
	if o.RetryWindow == 0 {
		o.RetryWindow = DefaultRetryWindow
	}
	if o.RetryBurst == 0 {
		o.RetryBurst = defaultRetryBurst
	}
	if o.RetryFloor == 0 {
		o.RetryFloor = defaultRetryFloor
	}
	if o.PrefillRate == 0 {
		o.PrefillRate = defaultPrefillRate
	}
	if o.EjectSlowness == 0 {
		o.EjectSlowness = defaultEjectSlowness
	}
	if o.BlockTokens == 0 {
		o.BlockTokens = DefaultBlockTokens
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}

// Pick chooses the member for a request. Errors are *NoBackendError.
func (r *Router) Pick(request Request) (Choice, error) {
	view := r.opts.Source.View()
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	t := request.target()
	targetHolders := r.holders(view, t)
	if targetHolders == nil || targetHolders.len() == 0 {
		return Choice{}, r.noBackend(t, targetHolders)
	}
	set := r.collect(now, view, request, targetHolders)
	sampled := set.candidates(now)
	if len(sampled) == 0 {
		return Choice{}, r.noBackend(t, targetHolders).withLimited(set.limited)
	}
	return r.choose(now, request, sampled), nil
}

// AllowRetry reports whether the retry budget of the service, empty for the budget
// of all engines, allows a retry, and counts the retry if so.
func (r *Router) AllowRetry(service string) bool {
	return r.budgetOf(service).AllowRetry(r.common.Timer.Now())
}

// SetRetryBurst sets the number of retries that each budget allows above its share.
func (r *Router) SetRetryBurst(burst float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.RetryBurst = burst
	for _, budget := range r.budgets {
		budget.setBurst(burst)
	}
}

// budgetOf returns the retry budget of the service, created on first use.
func (r *Router) budgetOf(service string) *RetryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budgets[service]
	if budget == nil {
		budget = NewRetryBudget(r.common.Timer.Now(), r.opts)
		r.budgets[service] = budget
	}
	return budget
}

// ApplyCacheEvent applies a prompt cache event of a member's engine to the prefix table.
// Old and duplicate events are ignored. A cleared cache and a gap in the sequence, in
// which evictions may be lost, invalidate all earlier records of the member.
func (r *Router) ApplyCacheEvent(member aubmembership.Member, event CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state(r.common.Timer.Now(), member)
	if event.Sequence <= state.cacheSequence {
		return
	}
	gap := state.cacheSequence != 0 && event.Sequence != state.cacheSequence+1
	state.cacheSequence = event.Sequence
	if gap || event.Cleared {
		state.cacheEpoch++
	}
	r.prefixes.store(state.holder(), event.Stored)
	r.prefixes.evict(state.name, event.Evicted)
}

// choose returns the policy's choice between the sampled members.
func (r *Router) choose(now time.Time, request Request, sampled []memberCandidate) Choice {
	candidates := make([]Candidate, len(sampled))
	for i, member := range sampled {
		candidates[i] = member.candidate
	}
	query := Query{PromptTokens: request.PromptTokens, ZoneTolerance: request.ZoneTolerance, TieBreak: r.rnd.Float64()}
	chosen := sampled[r.policy.Choose(query, candidates)]
	expected := EstimateFirstToken(query, chosen.candidate)
	assumed := EstimateFirstToken(query, chosen.candidate.withoutSlowness())
	ownInFlight, ownTokens := chosen.state.unreported(time.Time{})
	return Choice{
		Member:             chosen.member,
		ExpectedFirstToken: expected,
		PendingTokens:      chosen.candidate.PendingTokens,
		UncachedTokens:     max(request.PromptTokens-chosen.candidate.CachedTokens, 0),
		Speed:              chosen.candidate.speed(),
		AssumedFirstToken:  assumed,
		InFlight:           chosen.candidate.InFlight,
		OwnInFlight:        ownInFlight,
		OwnPendingTokens:   ownTokens,
		ServiceTime:        chosen.candidate.ServiceTime,
		PrefillRate:        chosen.candidate.PrefillRate,
		IsRateMeasured:     chosen.candidate.IsRateMeasured,
		IsLastResort:       chosen.zoneUse == ZoneLastResort,
		router:             r,
		inFlight: &inFlightRequest{
			state:          chosen.state,
			startedAt:      now,
			uncachedTokens: max(request.PromptTokens-chosen.candidate.CachedTokens, 0),
			expected:       assumed,
			prefixes:       request.PrefixHashes,
			budget:         request.RetryBudget,
			startsBefore:   chosen.state.starts,
		},
	}
}

func (c Candidate) withoutSlowness() Candidate {
	c.Slowness = 1
	return c
}

func (r *Router) started(c Choice) {
	now := r.common.Timer.Now()
	r.budgetOf(c.inFlight.budget).AddRequest(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.inFlight.state.start(now, c.inFlight)
	r.notifyChange()
}

func (r *Router) reserve(c Choice) bool {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.inFlight.state.starts != c.inFlight.startsBefore {
		return false
	}
	c.inFlight.state.start(now, c.inFlight)
	r.notifyChange()
	return true
}

func (r *Router) cancel(c Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.inFlight.state.finish(c.inFlight) {
		r.notifyChange()
	}
}

func (r *Router) notifyChange() {
	if r.opts.OnLoadChange != nil {
		r.opts.OnLoadChange()
	}
}

func (r *Router) firstToken(c Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.inFlight.prefilled = true
	r.notifyChange()
}

func (r *Router) finished(c Choice, outcome Outcome) {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	state := c.inFlight.state
	if !state.finish(c.inFlight) {
		return
	}
	r.notifyChange()
	ejectionsBefore := state.health.ConsecutiveEjections
	switch {
	case outcome.Failure == FailureNone:
		ratio := 0.0
		if outcome.FirstToken > 0 && c.inFlight.expected > 0 {
			ratio = outcome.FirstToken.Seconds() / max(c.inFlight.expected, minExpected).Seconds()
		}
		state.health = state.health.WithSuccess(now, ratio, r.opts.EjectSlowness)
		if outcome.Duration > 0 {
			state.observeServiceTime(outcome.Duration)
		}
		r.prefixes.store(state.holder(), c.inFlight.prefixes)
	case outcome.Failure.isFault():
		state.health = state.health.WithFailure(now, outcome.Failure)
	}
	if state.health.ConsecutiveEjections > ejectionsBefore {
		r.common.Metrics.Counter("ejections").Inc(1)
		r.common.Log.Sugar().Infow("Backend server ejected.", "member", state.name, "until", state.health.EjectedUntil)
	}
}

// minExpected is the minimum expected time in the slowness ratio; with shorter ones
// every response would count as slow.
const minExpected = 20 * time.Millisecond

// nextPosition returns the round-robin position of the target and advances it.
func (r *Router) nextPosition(t target) uint64 {
	if len(r.positions) >= maxRoundRobinTargets {
		clear(r.positions)
	}
	r.positions[t]++
	return r.positions[t] - 1
}

// holders returns the holders of the target, nil if no member reports it. It rebuilds
// the index when the topology version changed or is 0 (unknown).
func (r *Router) holders(view aubmembership.View, t target) *holders {
	if r.index == nil || view.TopologyVersion() == 0 || r.index.topologyVersion != view.TopologyVersion() {
		r.index = newIndex(view, r.opts.Zone)
	}
	return r.index.targets[t]
}

// noBackend returns the error for a target without a usable member; targetHolders may
// be nil.
func (r *Router) noBackend(t target, targetHolders *holders) *NoBackendError {
	e := &NoBackendError{Name: t.name, Known: r.exists(t, targetHolders)}
	switch {
	case !e.Known:
	case targetHolders != nil && targetHolders.isLoading:
		e.RetryAfter = loadingRetryAfter
	default:
		e.RetryAfter = missingRetryAfter
	}
	return e
}

// exists reports whether a member reports the target, ready or loading, or it is
// configured. Without a configuration source every target counts as existing.
func (r *Router) exists(t target, targetHolders *holders) bool {
	if targetHolders != nil || r.opts.Config == nil {
		return true
	}
	cfg := r.opts.Config.Config()
	ok := false
	switch t.kind {
	case kindModel:
		_, ok = cfg.Model(t.name)
	case kindAdapter:
		_, ok = cfg.Adapter(t.name)
	case kindService:
		for _, route := range cfg.Routes() {
			ok = ok || route.Service == t.name
		}
	}
	return ok
}

// state returns the state of a member incarnation. A restarted member gets a new one.
func (r *Router) state(now time.Time, m aubmembership.Member) *memberState {
	name := m.Announcement.GetName()
	s := r.states[name]
	if s == nil || s.incarnation != m.Announcement.GetIncarnation() {
		s = &memberState{
			name:        name,
			incarnation: m.Announcement.GetIncarnation(),
			cacheEpoch:  r.rnd.Uint64(),
		}
		r.states[name] = s
	}
	s.lastUsedAt = now
	return s
}

// sweep deletes the state of members without requests in flight that were not used
// for idleStateTTL.
func (r *Router) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < idleStateTTL {
		return
	}
	r.sweptAt = now
	for name, s := range r.states {
		if now.Sub(s.lastUsedAt) > idleStateTTL && s.inFlight.Len() == 0 {
			delete(r.states, name)
		}
	}
}

// InFlight returns the load that this instance has in flight on each member.
func (r *Router) InFlight() map[string]aubmembership.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := make(map[string]aubmembership.Load)
	for name, s := range r.states {
		if requests, tokens := s.unreported(time.Time{}); requests > 0 {
			loads[name] = aubmembership.Load{Requests: requests, PrefillTokens: tokens}
		}
	}
	return loads
}
