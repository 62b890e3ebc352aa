package aubmembership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// MaxDemandRows is the maximum number of demand rows in one announcement.
	MaxDemandRows = 24
	// steadyDemandRows is the number of leading rows in every announcement; the
	// remaining slots rotate over the other rows.
	steadyDemandRows = 16
)

// relayShare is the maximum share of the send budget that relayed heads may use.
const relayShare = 0.5

// announcer builds and queues the datagrams of one process. It is not safe for
// concurrent use.
type announcer struct {
	m        *Membership
	sequence uint64
	// digest identifies the list of residents whose pages were queued last.
	digest    uint64
	lastRound time.Time
	nextRound time.Time
	nextRelay time.Time
	// firstSeed is the index of the seed that this round starts with.
	firstSeed int
	// left is true once the leaving notices were sent.
	left bool
	// nextRow is the index of the last rotated demand row that was announced,
	// counted from the first rotated row.
	nextRow int
}

func newAnnouncer(m *Membership) *announcer {
	return &announcer{m: m}
}

// step starts a round when one is due and sends queued datagrams within the budget.
func (a *announcer) step(now time.Time) {
	if !now.Before(a.nextRound) {
		a.lastRound = now
		a.nextRound = now.Add(jittered(a.m.opts.Interval))
		a.startRound(now)
	}
	a.m.outbox.drain(now)
}

// hurry sends the leaving notices if this process started to leave. Otherwise it
// moves the next round forward, to no sooner than one tick after the previous one.
func (a *announcer) hurry(now time.Time) {
	if a.m.leaving.Load() && !a.left {
		a.left = true
		a.sendLeave(now)
		return
	}
	soonest := a.lastRound.Add(a.m.opts.Interval / pacesPerInterval)
	a.nextRound = earlier(a.nextRound, soonest)
	a.step(now)
}

// startRound queues the datagrams of a round: the announcement of this process
// and, when a relay is due, those of other members. The outbox sends all heads
// before any page.
func (a *announcer) startRound(now time.Time) {
	m := a.m
	m.outbox.clearHeads()
	self := a.announce(now)
	heads := m.sealAll(headsOf(a.bounded(self)), false)
	a.firstSeed++
	for _, seed := range a.rotatedSeeds() {
		m.outbox.addHeads(seed, heads)
	}
	a.queuePages(self)
	if !a.relayDue(now, self) {
		return
	}
	if len(m.seeds) == 0 {
		return
	}
	next := m.registry.relays(now, m.relayBytes())
	relayed := m.sealAll(next.heads, true)
	pages := m.sealAll(next.pages, true)
	for _, seed := range a.rotatedSeeds() {
		m.outbox.addHeads(seed, relayed)
		m.outbox.addPages(seed, pages)
	}
}

// announce returns the next announcement and applies it to the local registry.
func (a *announcer) announce(now time.Time) *aubwire.Announcement {
	m := a.m
	self, ok := proto.Clone(m.opts.Self()).(*aubwire.Announcement)
	if !ok {
		return nil
	}
	a.sequence++
	self.Sequence = a.sequence
	self.Leaving = self.GetLeaving() || m.leaving.Load()
	for _, head := range headsOf(self) {
		m.registry.Apply(now, head, false)
	}
	for _, page := range pagesOf(self) {
		m.registry.Apply(now, page, false)
	}
	return self
}

// bounded returns the announcement with at most MaxDemandRows rows of demand: the
// first rows, which are the most important, and some of the others in round-robin
// order.
func (a *announcer) bounded(self *aubwire.Announcement) *aubwire.Announcement {
	rows := self.GetDemand()
	if len(rows) <= MaxDemandRows {
		return self
	}
	rest := rows[steadyDemandRows:]
	next := cloneOf(self)
	if next.Backend != nil {
		next.Backend.Resident = self.GetBackend().GetResident()
	}
	next.Demand = slices.Clone(rows[:steadyDemandRows])
	for range MaxDemandRows - steadyDemandRows {
		a.nextRow = (a.nextRow + 1) % len(rest)
		next.Demand = append(next.Demand, rest[a.nextRow])
	}
	return next
}

// queuePages queues the list of residents if it changed or was requested. A
// request is postponed while queued pages are unsent.
func (a *announcer) queuePages(self *aubwire.Announcement) {
	m := a.m
	digest := digestOf(self.GetBackend().GetResident())
	if digest != a.digest {
		m.outbox.clearPages()
	} else if m.outbox.hasPages() || !m.wanted.Swap(false) {
		return
	}
	a.digest = digest
	pages := m.sealAll(pagesOf(self), false)
	for _, seed := range a.rotatedSeeds() {
		m.outbox.addPages(seed, pages)
	}
}

// relayDue reports whether this process relays in this round and schedules the
// next relay. Agents never relay.
func (a *announcer) relayDue(now time.Time, self *aubwire.Announcement) bool {
	if self.GetRole() == aubwire.Role_ROLE_AGENT || now.Before(a.nextRelay) {
		return false
	}
	a.nextRelay = now.Add(a.m.opts.Timeout / relaysPerTimeout)
	return true
}

// sendLeave sends leaveNotices copies of the leaving notice, as single datagrams
// may be lost.
func (a *announcer) sendLeave(now time.Time) {
	for range leaveNotices {
		own := a.m.sealAll(headsOf(a.announce(now)), false)
		for _, seed := range a.m.seeds {
			for _, sealed := range own {
				a.m.outbox.sendNow(now, seed, sealed)
			}
		}
	}
}

// rotatedSeeds returns the seeds, starting with a different one in each round.
// All seeds are reached over several rounds even if the budget covers only some
// of them per round.
func (a *announcer) rotatedSeeds() []netip.AddrPort {
	seeds := a.m.seeds
	if len(seeds) == 0 {
		return nil
	}
	first := a.firstSeed % len(seeds)
	return slices.Concat(seeds[first:], seeds[:first])
}

// relayBytes returns the maximum number of bytes relayed to each seed in one relay
// round.
func (m *Membership) relayBytes() int {
	period := (m.opts.Timeout / relaysPerTimeout).Seconds()
	return int(relayShare * float64(m.opts.Budget) * period / float64(len(m.seeds)))
}

// sealAll packs announcements into encoded datagrams. Oversized ones are counted
// and left out.
func (m *Membership) sealAll(announcements []*aubwire.Announcement, relayed bool) [][]byte {
	var sealed [][]byte
	for _, d := range pack(announcements) {
		d.Relayed = relayed
		data, err := Seal(m.opts.Secret, d)
		if err != nil {
			m.counters.oversize.Inc(1)
			continue
		}
		sealed = append(sealed, data)
	}
	return sealed
}

// jittered changes a duration at random by up to maxJitterShare of it.
func jittered(d time.Duration) time.Duration {
	shift := (2*rand.Float64() - 1) * jitterShare
	return d + time.Duration(shift*float64(d))
}
