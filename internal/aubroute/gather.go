package aubroute

import (
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxLocalSample and maxRemoteSample limit the members sampled in the local zone
	// and in the remote zones.
	sampleNear = 6
	sampleFar  = 4
)

// memberCandidate is a member that can take the request.
type option struct {
	member    aubmembership.Member
	state     *memberState
	candidate Candidate
}

// candidateSet holds the sampled members for one request.
type gathering struct {
	// fit are the members that may be chosen.
	fit []option
	// out are members that were left out because they are ejected or recover from an
	// ejection.
	out []option
	// home is the owner of the request's shared prefix, empty for none.
	home string
}

// collect returns a sample of bounded size of the members that can take the request.
// Ejected members are left out unless there is no other.
func (r *Router) gather(now time.Time, view aubmembership.View, request Request, h *holders) []option {
	g := gathering{home: homeOf(h, request)}
	if r.inTurn {
		r.considerInTurn(&g, now, view, request, h)
		return g.options()
	}
	r.consider(&g, now, view, request, h.near, sampleNear)
	r.consider(&g, now, view, request, h.far, sampleFar)
	r.consider(&g, now, view, request, r.affine(request, h), maxPrefixHolders)
	if g.home != "" {
		r.consider(&g, now, view, request, []string{g.home}, 1)
	}
	return g.options()
}

// addSample adds up to limit eligible members of the names, in random order.
func (r *Router) consider(
	g *gathering, now time.Time, view aubmembership.View, request Request, names []string, limit int,
) {
	want := len(g.fit) + limit
	r.sample(names, func(name string) bool {
		r.addOption(g, now, view, request, name)
		return len(g.fit) < want
	})
}

// addRoundRobin adds the next eligible member in round-robin order.
func (r *Router) considerInTurn(
	g *gathering, now time.Time, view aubmembership.View, request Request, h *holders,
) {
	turn := r.turn(request.name())
	n := uint64(h.len())
	for i := range n {
		r.addOption(g, now, view, request, h.at(int((turn+i)%n)))
		if len(g.fit) > 0 {
			return
		}
	}
}

// addCandidate adds the member to the set if it can take the request. A member that
// recovers from an ejection becomes eligible with the probability of its traffic share.
func (r *Router) addOption(
	g *gathering, now time.Time, view aubmembership.View, request Request, name string,
) {
	o, ok := r.option(now, view, request, name)
	if !ok || slices.ContainsFunc(g.fit, o.same) {
		return
	}
	if name == g.home {
		o.candidate.CachedTokens = max(o.candidate.CachedTokens, request.SharedTokens)
	}
	if r.rnd.Float64() < o.state.health.Share(now) {
		g.fit = append(g.fit, o)
		return
	}
	g.out = append(g.out, o)
}

// candidates returns the eligible members, or else the excluded one whose ejection ends
// first.
func (g *gathering) options() []option {
	if len(g.fit) > 0 || len(g.out) == 0 {
		return g.fit
	}
	return []option{slices.MinFunc(g.out, func(a, b option) int {
		return a.state.health.EjectedUntil.Compare(b.state.health.EjectedUntil)
	})}
}

func (o option) same(other option) bool { return o.state == other.state }

// visitRandomly calls visit for the names in random order until it returns false. It
// allocates no permutation: the cost is that of the calls of visit.
func (r *Router) sample(names []string, visit func(string) bool) {
	n := len(names)
	if n == 0 {
		return
	}
	// A random start and a stride that is coprime to n visit each name once.
	at := r.rnd.IntN(n)
	stride := r.stride(n)
	for range n {
		if !visit(names[at]) {
			return
		}
		at = (at + stride) % n
	}
}

// stride returns a random number from 1 to n that is coprime to n.
func (r *Router) stride(n int) int {
	for {
		stride := 1 + r.rnd.IntN(n)
		if gcd(stride, n) == 1 {
			return stride
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// prefixAffine returns the holders of the target with the longest cached prefix of the
// prompt.
func (r *Router) affine(request Request, h *holders) []string {
	var names []string
	for _, holder := range r.prefixes.holders(request.Prefixes) {
		_, near := slices.BinarySearch(h.near, holder.name)
		_, far := slices.BinarySearch(h.far, holder.name)
		if near || far {
			names = append(names, holder.name)
		}
	}
	return names
}

// memberCandidate returns the candidate of the member, or false if the member can't
// take the request.
func (r *Router) option(now time.Time, view aubmembership.View, request Request, name string) (option, bool) {
	m, ok := view.Member(name)
	if !ok || m.Announcement.GetLeaving() || slices.Contains(request.Exclude, name) {
		return option{}, false
	}
	if request.Adapter != "" && !ready(m.Announcement, request.Model) {
		return option{}, false
	}
	s := r.state(now, m)
	return option{member: m, state: s, candidate: r.candidate(now, m, s, request)}, true
}

// candidate returns the load snapshot of a member. The member's report is outdated by
// ReportLag and its age, so requests that this instance started since are added.
func (r *Router) candidate(
	now time.Time, m aubmembership.Member, s *memberState, request Request,
) Candidate {
	b := m.Announcement.GetBackend()
	reportedAt := m.HeardAt.Add(-r.opts.ReportLag)
	requests, tokens := s.unreported(reportedAt)
	s.learnBatch(b)
	c := Candidate{
		PendingTokens: remaining(b, now.Sub(reportedAt)) + tokens,
		InFlight:      int(b.GetRunning()+b.GetQueued()) + requests,
		OwnInFlight:   s.inFlight.Len(),
		PrefillRate:   b.GetPrefillRate(),
		CachedTokens:  int64(r.prefixes.cached(s.holder(), request.Prefixes)) * r.opts.BlockTokens,
		Batch:         s.batch,
		ServiceTime:   s.serviceTime,
		Slowness:      s.health.SlownessAt(now),
	}
	if r.opts.Peers != nil {
		c.setPeers(r.opts.Peers(m.Announcement.GetName()), s)
	}
	if c.PrefillRate == 0 {
		c.PrefillRate = r.opts.PrefillRate
	}
	if m.Announcement.GetZone() != r.opts.Zone {
		c.Distance = r.opts.ZoneDistance
	}
	return c
}

// setPeerLoad replaces the reported load by the requests in flight of this instance
// and its peers.
func (c *Candidate) setPeers(peers aubmembership.Load, s *memberState) {
	requests, tokens := s.unreported(time.Time{})
	c.InFlight = peers.Requests + requests
	c.PendingTokens = peers.PrefillTokens + tokens
}

// remainingTokens estimates the queued tokens of the report that still wait for prefill
// at its age.
func remaining(b *aubwire.BackendReport, age time.Duration) int64 {
	rate := b.GetPrefillRate()
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return max(b.GetQueuedTokens()-int64(rate*age.Seconds()), 0)
}

// isModelReady reports whether the model is ready on the member.
func ready(a *aubwire.Announcement, model string) bool {
	return slices.ContainsFunc(a.GetBackend().GetResident(), func(r *aubwire.Resident) bool {
		return !r.GetAdapter() && r.GetName() == model && r.GetState() == aubwire.Residency_RESIDENCY_READY
	})
}
