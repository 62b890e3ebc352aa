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
	// MaxDemandRows bounds the rows of demand in one announcement.
	MaxDemandRows = 24
	// steadyDemandRows are always announced; the further ones take turns.
	steadyDemandRows = 16
)

// relayShare is the part of the budget that relays may take.
const relayShare = 0.5

// announcer builds what one process sends. One goroutine uses it.
type announcer struct {
	m         *Membership
	sequence  uint64
	digest    uint64
	lastRound time.Time
	nextRound time.Time
	nextRelay time.Time
	firstSeed int
	left      bool
	// nextRow is the place of the last row of demand that took its turn.
	nextRow int
}

func newAnnouncer(m *Membership) *announcer {
	return &announcer{m: m}
}

// step starts a round when one is due and sends what the budget allows.
func (a *announcer) step(now time.Time) {
	if !now.Before(a.nextRound) {
		a.lastRound = now
		a.nextRound = now.Add(jittered(a.m.opts.Interval))
		a.startRound(now)
	}
	a.m.outbox.drain(now)
}

// hurry brings the next round forward, once a pace at most, and sends the first
// leaving notice several times.
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

// startRound queues this round's datagrams: first the announcement of this
// process, then relays, then lists of residents.
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

// announce returns the next announcement and takes it into the own view.
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

// bounded returns the announcement with at most MaxDemandRows rows of demand:
// the first ones, which count most, and some of the rest in turn.
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

// queuePages sends the list of residents when it changed or was asked for. One
// that is still being sent is not sent again.
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

// relayDue reports whether this process relays in this round.
func (a *announcer) relayDue(now time.Time, self *aubwire.Announcement) bool {
	if self.GetRole() == aubwire.Role_ROLE_AGENT || now.Before(a.nextRelay) {
		return false
	}
	a.nextRelay = now.Add(a.m.opts.Timeout / relaysPerTimeout)
	return true
}

// sendLeave sends the leaving notice several times at once.
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

// rotatedSeeds lists the seeds from another one each round, so that a budget
// that doesn't reach them all reaches each in turn.
func (a *announcer) rotatedSeeds() []netip.AddrPort {
	seeds := a.m.seeds
	if len(seeds) == 0 {
		return nil
	}
	first := a.firstSeed % len(seeds)
	return slices.Concat(seeds[first:], seeds[:first])
}

// relayBytes is what one relay round may hold for each seed.
func (m *Membership) relayBytes() int {
	period := (m.opts.Timeout / relaysPerTimeout).Seconds()
	return int(relayShare * float64(m.opts.Budget) * period / float64(len(m.seeds)))
}

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

func jittered(d time.Duration) time.Duration {
	shift := (2*rand.Float64() - 1) * jitterShare
	return d + time.Duration(shift*float64(d))
}
