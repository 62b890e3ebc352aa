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
	// fixedDemandRows is the number of leading rows in every announcement; the
	// remaining slots rotate over the other rows.
	fixedDemandRows = 16
)

// relayBudgetShare is the maximum share of the send budget that relayed heads may use.
const relayBudgetShare = 0.5

// announcer builds and queues the datagrams of one process. It is not safe for
// concurrent use.
type announcer struct {
	membership *Membership
	sequence   uint64
	// residentDigest identifies the list of residents whose pages were queued last.
	residentDigest uint64
	lastRound      time.Time
	nextRound      time.Time
	nextRelay      time.Time
	// firstSeedIndex is the index of the seed that this round starts with.
	firstSeedIndex int
	// leaveSent is true once the leaving notices were sent.
	leaveSent bool
	// lastRotatedRow is the index of the last rotated demand row that was announced,
	// counted from the first rotated row.
	lastRotatedRow int
}

func newAnnouncer(m *Membership) *announcer {
	return &announcer{membership: m}
}

// tick starts a round when one is due and sends queued datagrams within the budget.
func (a *announcer) tick(now time.Time) {
	if !now.Before(a.nextRound) {
		a.lastRound = now
		a.nextRound = now.Add(jittered(a.membership.opts.Interval))
		a.startRound(now)
	}
	a.membership.outbox.drain(now)
}

// announceEarly sends the leaving notices if this process started to leave.
// Otherwise it moves the next round forward, to no sooner than one tick after the
// previous one.
func (a *announcer) announceEarly(now time.Time) {
	if a.membership.leaving.Load() && !a.leaveSent {
		a.leaveSent = true
		a.sendLeave(now)
		return
	}
	earliest := a.lastRound.Add(a.membership.opts.Interval / ticksPerInterval)
	a.nextRound = earlier(a.nextRound, earliest)
	a.tick(now)
}

// startRound queues the datagrams of a round: the announcement of this process
// and, when a relay is due, those of other members. The outbox sends all heads
// before any page.
func (a *announcer) startRound(now time.Time) {
	m := a.membership
	m.outbox.clearHeads()
	self := a.nextAnnouncement(now)
	heads := m.encodeAll(headsOf(a.limitDemand(self)), false)
	a.firstSeedIndex++
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
	batch := m.registry.nextRelayBatch(now, m.relayBytesPerSeed())
	relayed := m.encodeAll(batch.heads, true)
	pages := m.encodeAll(batch.pages, true)
	for _, seed := range a.rotatedSeeds() {
		m.outbox.addHeads(seed, relayed)
		m.outbox.addPages(seed, pages)
	}
}

// nextAnnouncement returns the next announcement and applies it to the local registry.
func (a *announcer) nextAnnouncement(now time.Time) *aubwire.Announcement {
	m := a.membership
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

// limitDemand returns the announcement with at most MaxDemandRows rows of demand: the
// first rows, which are the most important, and some of the others in round-robin
// order.
func (a *announcer) limitDemand(self *aubwire.Announcement) *aubwire.Announcement {
	rows := self.GetDemand()
	if len(rows) <= MaxDemandRows {
		return self
	}
	rotatedRows := rows[fixedDemandRows:]
	limited := cloneHead(self)
	if limited.Backend != nil {
		limited.Backend.Resident = self.GetBackend().GetResident()
	}
	limited.Demand = slices.Clone(rows[:fixedDemandRows])
	for range MaxDemandRows - fixedDemandRows {
		a.lastRotatedRow = (a.lastRotatedRow + 1) % len(rotatedRows)
		limited.Demand = append(limited.Demand, rotatedRows[a.lastRotatedRow])
	}
	return limited
}

// queuePages queues the list of residents if it changed or was requested. A
// request is postponed while queued pages are unsent.
func (a *announcer) queuePages(self *aubwire.Announcement) {
	m := a.membership
	digest := digestOf(self.GetBackend().GetResident())
	if digest != a.residentDigest {
		m.outbox.clearPages()
	} else if m.outbox.hasPages() || !m.residentsRequested.Swap(false) {
		return
	}
	a.residentDigest = digest
	pages := m.encodeAll(pagesOf(self), false)
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
	a.nextRelay = now.Add(a.membership.opts.Timeout / relaysPerTimeout)
	return true
}

// sendLeave sends leaveNotices copies of the leaving notice, as single datagrams
// may be lost.
func (a *announcer) sendLeave(now time.Time) {
	for range leaveNotices {
		notices := a.membership.encodeAll(headsOf(a.nextAnnouncement(now)), false)
		for _, seed := range a.membership.seeds {
			for _, notice := range notices {
				a.membership.outbox.sendNow(now, seed, notice)
			}
		}
	}
}

// rotatedSeeds returns the seeds, starting with a different one in each round.
// All seeds are reached over several rounds even if the budget covers only some
// of them per round.
func (a *announcer) rotatedSeeds() []netip.AddrPort {
	seeds := a.membership.seeds
	if len(seeds) == 0 {
		return nil
	}
	first := a.firstSeedIndex % len(seeds)
	return slices.Concat(seeds[first:], seeds[:first])
}

// relayBytesPerSeed returns the maximum number of bytes relayed to each seed in one
// relay round.
func (m *Membership) relayBytesPerSeed() int {
	period := (m.opts.Timeout / relaysPerTimeout).Seconds()
	return int(relayBudgetShare * float64(m.opts.Budget) * period / float64(len(m.seeds)))
}

// encodeAll packs announcements into encoded datagrams. Oversized ones are counted
// and left out.
func (m *Membership) encodeAll(announcements []*aubwire.Announcement, relayed bool) [][]byte {
	var encoded [][]byte
	for _, d := range pack(announcements) {
		d.Relayed = relayed
		data, err := EncodeDatagram(m.opts.Secret, d)
		if err != nil {
			m.counters.oversize.Inc(1)
			continue
		}
		encoded = append(encoded, data)
	}
	return encoded
}

// jittered changes a duration at random by up to maxJitterShare of it.
func jittered(d time.Duration) time.Duration {
	shift := (2*rand.Float64() - 1) * maxJitterShare
	return d + time.Duration(shift*float64(d))
}
