package aubthrottle

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// coldOverrun bounds what all instances together send in a second if they hear nothing of
	// each other: coldOverrun times the cold rate. The platform's bound has the same factor and
	// five requests more, a reserve for delays on the way and for relays that are not known yet.
	coldOverrun = 1.5
	// coldIntervalMargin lengthens the time between two sends of one instance, so that
	// different delays on the way don't bring one more into a second.
	coldIntervalMargin = 1.1
	// coldJoinTime is the time after the start in which an instance sends nothing to cold
	// backend servers. Instances that start together hear of each other within three periodic
	// reports of 500 ms; until then each may take itself for one of the senders.
	coldJoinTime = 2 * time.Second
	// coldZoneSettleTime is the time after the withdrawal of a zone's drain from which
	// registrations say whether a backend server of the zone is cold.
	coldZoneSettleTime = 600 * time.Millisecond
	// registrationDelay is how long a registration may have been known elsewhere when it
	// arrives here: control processes send those that repeat what is known every 250 ms.
	registrationDelay = 250 * time.Millisecond
)

// Sources of the belief that a backend server is cold.
const (
	coldByRegistration = "registration"
	coldByAnswer       = "answer"
	coldByPeer         = "peer"
	coldByZone         = "withdrawn_zone_drain"
)

// coldState is what is known of the temperature of one backend server.
type coldState struct {
	// limitState is the bucket of the cold rate. Its counter of sends continues if the backend
	// server becomes cold again, so that peers don't mistake a lower one for an old report.
	*limitState

	service string
	zone    string
	// sequence is that of the newest registration known, registeredAt when it arrived at a
	// control process at the earliest.
	sequence     int64
	registeredAt time.Time
	// statedUntil is the end of the cold by the newest statement, which source made, for a peer
	// or an answer named by sourceName, at statedAt.
	statedUntil time.Time
	source      string
	sourceName  string
	statedAt    time.Time
	// until is the end of the cold that is assumed; isCold is set while it lasts.
	until  time.Time
	isCold bool
	// nextSendAt is the earliest time of this instance's next send.
	nextSendAt time.Time
	// begunAt is when the cold began here, sentBefore what was sent before it. advised counts
	// the callers that were told to come back after its end.
	begunAt    time.Time
	sentBefore uint64
	advised    int
}

// newColdSenders returns the number of instances that send to a cold backend server and the
// minimum time between two sends of one of them. All senders together send at most
// coldOverrun times the rate in any second, at least one request, also if they hear nothing
// of each other.
func newColdSenders(perSecond float64, instances int) (senders int, interval time.Duration) {
	most := max(int(coldOverrun*perSecond), 1)
	senders = max(min(instances, most), 1)
	return senders, secondsToDuration(coldIntervalMargin / float64(most/senders))
}

// ObserveRegistration applies what a registration says of the temperature of its backend
// server.
func (t *Throttle) ObserveRegistration(record *aubwire.BackendRecord) {
	now := t.common.Timer.Now()
	b := Backend{Name: record.GetId(), Incarnation: uint64(record.GetStartedMs())}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.colds[b]
	if record.GetState() == aubwire.BackendState_BACKEND_STATE_GONE {
		if c != nil {
			t.endCold(now, b, c)
			delete(t.colds, b)
		}
		return
	}
	if c == nil {
		c = &coldState{limitState: newLimitState(now)}
		c.burst, c.countsAllSends = 1, true
		t.colds[b] = c
	}
	c.service, c.zone, c.registeredAt = record.GetService(), record.GetZone(), now.Add(-registrationDelay)
	if record.GetSequence() >= c.sequence {
		c.sequence = record.GetSequence()
		c.setStatement(now, milliseconds(record.GetColdRemainingMs()), coldByRegistration, "")
	}
	t.refreshCold(now, b, c)
}

// ObserveCold applies what the answer to a request says of how much longer its backend server
// stays cold; none changes nothing.
func (t *Throttle) ObserveCold(requestID string, b Backend, left auboption.Option[time.Duration]) {
	stated, isStated := left.Get()
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.colds[b]; c != nil && isStated {
		c.setStatement(now, stated, coldByAnswer, requestID)
		t.refreshCold(now, b, c)
	}
}

// ColdZone makes the backend servers of a zone, the drain of which was withdrawn at since,
// count as cold: they may have become so just before. Each does for the cold time of its
// service, or until a registration that arrived at least coldZoneSettleTime after since says
// otherwise.
func (t *Throttle) ColdZone(zone string, since time.Time) {
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !since.After(t.coldZones[zone]) {
		return
	}
	t.coldZones[zone] = since
	for b, c := range t.colds {
		if c.zone == zone {
			t.refreshCold(now, b, c)
		}
	}
}

// setStatement stores a statement.
func (c *coldState) setStatement(now time.Time, left time.Duration, source, name string) {
	c.statedAt, c.statedUntil, c.source, c.sourceName = now, now.Add(min(max(left, 0), MaxColdTime)), source, name
}

// refreshCold begins or ends the assumption that the backend server is cold; the caller holds
// mu.
func (t *Throttle) refreshCold(now time.Time, b Backend, c *coldState) {
	if t.opts.ColdRate == nil {
		return
	}
	coldTime, perSecond := t.opts.ColdRate(c.service)
	if coldTime <= 0 || perSecond <= 0 {
		t.endCold(now, b, c)
		return
	}
	source, sourceName, knownSince := c.source, c.sourceName, c.statedAt
	c.until = c.statedUntil
	since, isWithdrawn := t.coldZones[c.zone]
	if end := since.Add(min(coldTime, MaxColdTime)); isWithdrawn && c.registeredAt.Before(since.Add(coldZoneSettleTime)) && end.After(c.until) {
		c.until, source, sourceName, knownSince = end, coldByZone, c.zone, since
	}
	if !c.until.After(now) {
		t.endCold(now, b, c)
		return
	}
	c.limit = auboption.Some(perSecond)
	if c.isCold {
		return
	}
	c.isCold, c.begunAt, c.sentBefore, c.advised, c.hasChanged = true, now, c.sent, 0, true
	c.level, c.refilledAt = 0, now
	senders, interval := t.coldSenders(perSecond, t.instances)
	rank := t.coldRank(b)
	// Senders begin one after the other, so that reports arrive in between.
	c.nextSendAt = now.Add(interval * time.Duration(min(rank, senders)) / time.Duration(senders))
	t.common.Log.Info("Backend server is cold.",
		zap.String("backend_server", b.Name), zap.Uint64("backend_started_ms", b.Incarnation), zap.String("service", c.service), zap.String("zone", c.zone),
		zap.String("source", source), zap.String("source_name", sourceName), zap.Int64("age_ms", now.Sub(knownSince).Milliseconds()),
		zap.Int64("left_ms", c.until.Sub(now).Milliseconds()), zap.Float64("rate", perSecond), zap.Bool("is_sender", rank < senders), zap.Float64("share", t.share()))
}

// endCold ends the assumption that the backend server is cold; the caller holds mu.
func (t *Throttle) endCold(now time.Time, b Backend, c *coldState) {
	if !c.isCold {
		return
	}
	c.isCold = false
	t.common.Log.Info("Backend server is no longer cold.",
		zap.String("backend_server", b.Name), zap.Uint64("backend_started_ms", b.Incarnation), zap.String("service", c.service), zap.String("zone", c.zone),
		zap.String("source", c.source), zap.String("source_name", c.sourceName), zap.Int64("age_ms", now.Sub(c.statedAt).Milliseconds()),
		zap.Int64("cold_ms", now.Sub(c.begunAt).Milliseconds()), zap.Uint64("sent", c.sent-c.sentBefore))
}

// cold returns the state of a backend server that is cold, otherwise nil; the caller holds mu.
func (t *Throttle) cold(now time.Time, b Backend) *coldState {
	c := t.colds[b]
	if c == nil {
		return nil
	}
	t.refreshCold(now, b, c)
	if !c.isCold {
		return nil
	}
	return c
}

// coldRank returns the number of instances that come before this one among the senders to the
// backend server. The order differs between backend servers, so that their load spreads.
// Instances whose names are not known come first. The caller holds mu.
func (t *Throttle) coldRank(b Backend) int {
	if t.opts.PeerNames == nil {
		return 0
	}
	names := t.opts.PeerNames()
	own, rank := coldPosition(b, t.opts.Instance), max(t.instances-1-len(names), 0)
	for _, name := range names {
		position := coldPosition(b, name)
		if position < own || position == own && name < t.opts.Instance {
			rank++
		}
	}
	return rank
}

func coldPosition(b Backend, instance string) uint64 {
	return xxhash.Sum64String(b.Name + "\x00" + instance)
}

// coldWait returns the time until a request may be sent to a cold backend server, 0 for now
// or a warm one; the caller holds mu.
func (t *Throttle) coldWait(now time.Time, b Backend) time.Duration {
	c := t.cold(now, b)
	if c == nil {
		return 0
	}
	left := c.until.Sub(now)
	if !t.isColdSender(b, c) {
		return left
	}
	wait := max(c.wait(now, t.share()), c.nextSendAt.Sub(now))
	if t.opts.HeardPeers != nil {
		wait = max(wait, t.startedAt.Add(coldJoinTime).Sub(now))
	}
	return min(wait, left)
}

// isColdSender reports whether this instance may send to the cold backend server; the caller
// holds mu.
func (t *Throttle) isColdSender(b Backend, c *coldState) bool {
	senders, _ := t.coldSenders(c.rate(), t.instances)
	return t.instances > 0 && t.coldRank(b) < senders
}

// takeCold counts a send that coldWait allows, and reports whether the backend server is
// cold; the caller holds mu.
func (t *Throttle) takeCold(now time.Time, requestID string, b Backend) bool {
	c := t.cold(now, b)
	if c == nil {
		return false
	}
	c.take(now, t.share())
	_, interval := t.coldSenders(c.rate(), t.instances)
	c.nextSendAt = now.Add(interval)
	t.coldSends.Inc(1)
	t.common.Log.Info("Request is sent to a cold backend server.",
		zap.String("request_id", requestID), zap.String("backend_server", b.Name), zap.Float64("rate", c.rate()),
		zap.Int64("left_ms", c.until.Sub(now).Milliseconds()), zap.Uint64("sent", c.sent-c.sentBefore),
		zap.Float64("level", c.level), zap.Float64("share", t.share()))
	return true
}

// adviseCold returns when the next caller that a cold backend server can't take should come
// back, 0 if it is warm: one after the other at the cold rate, but not after the end of the
// cold and quietSpread. Where this instance sends it nothing that is after its end. The caller
// holds mu.
func (t *Throttle) adviseCold(now time.Time, b Backend) time.Duration {
	c := t.cold(now, b)
	if c == nil {
		return 0
	}
	_, part := math.Modf(float64(c.advised) * spreadStep)
	c.advised++
	atEnd := c.until.Sub(now) + time.Duration(part*float64(quietSpread))
	if !t.isColdSender(b, c) {
		return atEnd
	}
	return min(max(c.adviseRetry(now, t.share()), t.coldWait(now, b)), atEnd)
}

// addColdReports adds what this instance has sent to cold backend servers to the report: all,
// or only what has changed. A full report also drops states that no longer matter. The caller
// holds mu.
func (t *Throttle) addColdReports(now time.Time, isFull bool, limits []*aubwire.BackendLimit) []*aubwire.BackendLimit {
	cold := 0
	for b, c := range t.colds {
		if isFull {
			t.refreshCold(now, b, c)
		}
		if isFull && !c.isCold && now.Sub(c.registeredAt) > limitRetention {
			delete(t.colds, b)
		}
		if !c.isCold {
			continue
		}
		cold++
		if !isFull && !c.hasChanged {
			continue
		}
		c.hasChanged = false
		i := slices.IndexFunc(limits, func(l *aubwire.BackendLimit) bool { return l.GetId() == b.Name && l.GetIncarnation() == b.Incarnation })
		if i < 0 {
			limits = append(limits, &aubwire.BackendLimit{Id: b.Name, Incarnation: b.Incarnation})
			i = len(limits) - 1
		}
		limits[i].Cold = &aubwire.ColdBackend{
			Sequence: c.sequence, LeftMs: max(c.statedUntil.Sub(now).Milliseconds(), 0), Sent: c.sent,
			KnownForMs: now.Sub(c.createdAt).Milliseconds(), AdvisedForMs: max(c.advisedUntil.Sub(now).Milliseconds(), 0),
		}
	}
	t.coldCount.Update(float64(cold))
	return limits
}

// mergeCold applies what a peer reports of a cold backend server; the caller holds mu. A
// backend server without a registration here gets no requests.
func (t *Throttle) mergeCold(now time.Time, peer string, incarnation uint64, reported *aubwire.BackendLimit) {
	b := Backend{Name: reported.GetId(), Incarnation: reported.GetIncarnation()}
	c := t.colds[b]
	if c == nil {
		return
	}
	cold := reported.GetCold()
	if cold.GetSequence() > c.sequence {
		c.sequence = cold.GetSequence()
		c.setStatement(now, milliseconds(cold.GetLeftMs()), coldByPeer, peer)
	}
	t.refreshCold(now, b, c)
	if c.isCold {
		c.mergeSends(now, peer, incarnation, cold, t.instances)
	}
}
