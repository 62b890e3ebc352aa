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
	maxLocalSample  = 6
	maxRemoteSample = 4
	// maxLastResort limits the members of drained zones that are considered.
	maxLastResort = 6
)

// memberCandidate is a member that can take the request.
type memberCandidate struct {
	member    aubmembership.Member
	state     *memberState
	candidate Candidate
	// zoneUse is the use that may be made of the member, never ZoneClosed.
	zoneUse ZoneUse
}

// candidateSet holds the sampled members for one request.
type candidateSet struct {
	// eligible are the members that may be chosen.
	eligible []memberCandidate
	// excluded are the members left out because they are ejected or recover from an
	// ejection.
	excluded []memberCandidate
	// lastResort are members of zones that get only what no open zone can take.
	lastResort []memberCandidate
	// limited is the member whose rate limit allows the next request first, among those left
	// out because of theirs; its wait is 0 if there is none.
	limited limitedMember
	// owner is the owner of the request's shared prefix, empty for none.
	owner string
}

// limitedMember is a member whose rate limit allows no request before the wait has passed.
type limitedMember struct {
	name        string
	incarnation uint64
	wait        time.Duration
}

// collect returns a sample of bounded size of the members that can take the request.
// Ejected members are left out unless there is no other.
func (r *Router) collect(now time.Time, view aubmembership.View, request Request, targetHolders *holders) candidateSet {
	set := candidateSet{owner: ownerOf(targetHolders, request)}
	if r.isRoundRobin {
		r.addRoundRobin(&set, now, view, request, targetHolders)
		return set
	}
	localSample, remoteSample := maxLocalSample, maxRemoteSample
	if limit := request.SampleLimit; limit > 0 {
		localSample, remoteSample = min(localSample, limit), min(remoteSample, limit)
	}
	r.addSample(&set, now, view, request, targetHolders.local, localSample)
	r.addSample(&set, now, view, request, targetHolders.remote, remoteSample)
	r.addSample(&set, now, view, request, r.prefixAffine(request, targetHolders), maxPrefixHolders)
	if set.owner != "" {
		r.addSample(&set, now, view, request, []string{set.owner}, 1)
	}
	return set
}

// addSample adds up to limit eligible members of the names, in random order.
func (r *Router) addSample(
	set *candidateSet, now time.Time, view aubmembership.View, request Request, names []string, limit int,
) {
	maxEligible := len(set.eligible) + limit
	r.visitRandomly(names, func(name string) bool {
		r.addCandidate(set, now, view, request, name)
		return len(set.eligible) < maxEligible
	})
}

// addRoundRobin adds the next eligible member in round-robin order.
func (r *Router) addRoundRobin(
	set *candidateSet, now time.Time, view aubmembership.View, request Request, targetHolders *holders,
) {
	position := r.nextPosition(request.target())
	count := uint64(targetHolders.len())
	for i := range count {
		r.addCandidate(set, now, view, request, targetHolders.at(int((position+i)%count)))
		if len(set.eligible) > 0 {
			return
		}
	}
}

// addCandidate adds the member to the set if it can take the request. A member that
// recovers from an ejection becomes eligible with the probability of its traffic share.
func (r *Router) addCandidate(
	set *candidateSet, now time.Time, view aubmembership.View, request Request, name string,
) {
	c, ok := r.memberCandidate(now, view, request, name)
	if !ok || slices.ContainsFunc(set.eligible, c.isSameMember) {
		return
	}
	wait := r.limitWait(now, c.member)
	if c.zoneUse == ZoneLastResort {
		set.addLastResort(c, wait)
		return
	}
	if wait > 0 {
		set.addLimited(limitedMember{name: name, incarnation: c.member.Announcement.GetIncarnation(), wait: wait})
		return
	}
	if name == set.owner {
		c.candidate.CachedTokens = max(c.candidate.CachedTokens, request.SharedTokens)
	}
	if r.rnd.Float64() < c.state.health.TrafficShare(now) {
		set.eligible = append(set.eligible, c)
		return
	}
	set.excluded = append(set.excluded, c)
}

// limitWait returns the time until the rate limit of the member allows another request.
func (r *Router) limitWait(now time.Time, member aubmembership.Member) time.Duration {
	wait := time.Duration(member.Announcement.GetBackend().GetLimitWaitMs())*time.Millisecond - now.Sub(member.ReceivedAt)
	if r.opts.Throttle != nil {
		wait = max(wait, r.opts.Throttle(member.Announcement.GetName(), member.Announcement.GetIncarnation()))
	}
	return max(wait, 0)
}

func (s *candidateSet) addLimited(member limitedMember) {
	if s.limited.wait == 0 || member.wait < s.limited.wait {
		s.limited = member
	}
}

// addLastResort adds a member of a zone of last resort unless its rate limit makes it wait.
func (s *candidateSet) addLastResort(c memberCandidate, wait time.Duration) {
	if wait == 0 && len(s.lastResort) < maxLastResort && !slices.ContainsFunc(s.lastResort, c.isSameMember) {
		s.lastResort = append(s.lastResort, c)
	}
}

// candidates returns the eligible members, or else the excluded one whose ejection ends
// first. Members of last resort come before one that is still ejected.
func (s *candidateSet) candidates(now time.Time) []memberCandidate {
	if len(s.eligible) > 0 {
		return s.eligible
	}
	first := firstToRecover(s.excluded)
	if len(first) > 0 && !first[0].state.health.EjectedUntil.After(now) {
		return first
	}
	for _, c := range s.lastResort {
		if c.state.health.TrafficShare(now) > 0 {
			s.eligible = append(s.eligible, c)
		}
	}
	switch {
	case len(s.eligible) > 0:
		return s.eligible
	case len(first) > 0:
		return first
	}
	return firstToRecover(s.lastResort)
}

// firstToRecover returns the member whose ejection ends first; empty without members.
func firstToRecover(members []memberCandidate) []memberCandidate {
	if len(members) == 0 {
		return nil
	}
	return []memberCandidate{slices.MinFunc(members, func(a, b memberCandidate) int {
		return a.state.health.EjectedUntil.Compare(b.state.health.EjectedUntil)
	})}
}

func (c memberCandidate) isSameMember(other memberCandidate) bool { return c.state == other.state }

// visitRandomly calls visit for the names in random order until it returns false. It
// allocates no permutation: the cost is that of the calls of visit.
func (r *Router) visitRandomly(names []string, visit func(string) bool) {
	n := len(names)
	if n == 0 {
		return
	}
	// A random start and a stride that is coprime to n visit each name once.
	position := r.rnd.IntN(n)
	stride := r.stride(n)
	for range n {
		if !visit(names[position]) {
			return
		}
		position = (position + stride) % n
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
func (r *Router) prefixAffine(request Request, targetHolders *holders) []string {
	var names []string
	for _, holder := range r.prefixes.holders(request.PrefixHashes) {
		_, isLocal := slices.BinarySearch(targetHolders.local, holder.name)
		_, isRemote := slices.BinarySearch(targetHolders.remote, holder.name)
		if isLocal || isRemote {
			names = append(names, holder.name)
		}
	}
	return names
}

// memberCandidate returns the candidate of the member, or false if the member can't
// take the request.
func (r *Router) memberCandidate(now time.Time, view aubmembership.View, request Request, name string) (memberCandidate, bool) {
	member, ok := view.Member(name)
	if !ok || member.Announcement.GetLeaving() || slices.Contains(request.Exclude, name) {
		return memberCandidate{}, false
	}
	// An unconfirmed member may by now run another version.
	if software, isBound := request.Software.Get(); isBound && (member.Unconfirmed || software != member.Announcement.GetBackend().GetSoftware()) {
		return memberCandidate{}, false
	}
	if len(request.Regions) > 0 && !r.isInRegions(request.Regions, member.Announcement.GetZone()) {
		return memberCandidate{}, false
	}
	zoneUse := ZoneOpen
	if r.opts.ZoneUse != nil {
		zoneUse = r.opts.ZoneUse(member.Announcement.GetZone())
	}
	if zoneUse == ZoneClosed {
		return memberCandidate{}, false
	}
	if request.Adapter != "" && !isModelReady(member.Announcement, request.Model) {
		return memberCandidate{}, false
	}
	state := r.state(now, member)
	return memberCandidate{member: member, state: state, candidate: r.candidate(now, member, state, request), zoneUse: zoneUse}, true
}

// isInRegions reports whether the zone belongs to one of the regions.
func (r *Router) isInRegions(regions []string, zone string) bool {
	if r.opts.RegionOf == nil {
		return false
	}
	region := r.opts.RegionOf(zone)
	return region != "" && slices.Contains(regions, region)
}

// candidate returns the load snapshot of a member. The member's report is outdated by
// ReportLag and its age, so requests that this instance started since are added.
func (r *Router) candidate(
	now time.Time, member aubmembership.Member, state *memberState, request Request,
) Candidate {
	report := member.Announcement.GetBackend()
	reportedAt := member.ReceivedAt.Add(-r.opts.ReportLag)
	requests, tokens := state.unreported(reportedAt)
	state.observeBatch(report)
	c := Candidate{
		PendingTokens: remainingTokens(report, now.Sub(reportedAt)) + tokens,
		InFlight:      int(report.GetRunning()+report.GetQueued()) + requests,
		SelfInFlight:  state.inFlight.Len(),
		PrefillRate:   report.GetPrefillRate(),
		CachedTokens:  int64(r.prefixes.cached(state.holder(), request.PrefixHashes)) * r.opts.BlockTokens,
		MaxBatch:      state.maxBatch,
		ServiceTime:   state.serviceTime,
		Slowness:      state.health.SlownessAt(now),
	}
	if r.opts.PeerLoad != nil {
		c.setPeerLoad(r.opts.PeerLoad(member.Announcement.GetName()), state)
	}
	if c.PrefillRate == 0 {
		c.PrefillRate = r.opts.PrefillRate
	}
	if r.opts.Speed != nil {
		c.Speed = r.opts.Speed(member.Announcement.GetName(), member.Announcement.GetIncarnation())
		c.PrefillRate *= c.speed()
	}
	if r.opts.PrefillRateOf != nil && request.Model != "" {
		// A measured rate contains the speed of the member.
		if rate, ok := r.opts.PrefillRateOf(member.Announcement.GetName(), member.Announcement.GetIncarnation(), request.Model); ok {
			c.PrefillRate, c.IsRateMeasured = rate, true
		}
	}
	if member.Announcement.GetZone() != r.opts.Zone {
		c.ZoneRTT = r.opts.ZoneRTT
	}
	return c
}

// setPeerLoad replaces the reported load by the requests in flight of this instance
// and its peers.
func (c *Candidate) setPeerLoad(peers aubmembership.Load, state *memberState) {
	requests, tokens := state.unreported(time.Time{})
	c.InFlight = peers.Requests + requests
	c.PendingTokens = peers.PrefillTokens + tokens
}

// remainingTokens estimates the queued tokens of the report that still wait for prefill
// at its age.
func remainingTokens(report *aubwire.BackendReport, age time.Duration) int64 {
	rate := report.GetPrefillRate()
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return max(report.GetQueuedTokens()-int64(rate*age.Seconds()), 0)
}

// isModelReady reports whether the announcement has the model as ready.
func isModelReady(announcement *aubwire.Announcement, model string) bool {
	return slices.ContainsFunc(announcement.GetBackend().GetResident(), func(resident *aubwire.Resident) bool {
		return !resident.GetAdapter() && resident.GetName() == model && resident.GetState() == aubwire.Residency_RESIDENCY_READY
	})
}
