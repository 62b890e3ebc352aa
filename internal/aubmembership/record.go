package aubmembership

import (
	"maps"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxPages bounds the pages that a list of residents may claim to have.
	maxPages = 64
	// settledSequence is the sequence from which a sender has sent its first list
	// of residents, so that one who lacks it must ask.
	settledSequence = 2
)

// mark orders the announcements of one name.
type mark struct {
	incarnation uint64
	sequence    uint64
}

func (k mark) newer(than mark) bool {
	if k.incarnation != than.incarnation {
		return k.incarnation > than.incarnation
	}
	return k.sequence > than.sequence
}

// record is what is held of one member.
type record struct {
	mark
	member Member
	// heardDirect is when the member itself was heard, zero if through others only.
	heardDirect time.Time
	parts       map[uint32]bool
	// digest of the residents that the member announces now; pages of it so far.
	digest uint64
	pages  map[uint32][]*aubwire.Resident
	// heads counts the announcements of digest heard.
	heads int
	// complete is true once the held residents are those of some whole list.
	complete bool
	// current is true while the held residents are those of digest.
	current bool
	// relayed is the last sequence passed on, and when.
	relayed     uint64
	relayedAt   time.Time
	relayWanted bool
	// reshaped is set by changes of more than load, until the registry counts them.
	reshaped bool
}

// applyHead merges one part without residents.
func (rec *record) applyHead(now time.Time, k mark, a *aubwire.Announcement, direct bool) Verdict {
	switch {
	case rec.newer(k):
		return VerdictStale
	case k.newer(rec.mark):
		rec.replace(now, k, a)
	case rec.parts[a.GetPart()]:
		return VerdictDuplicate
	default:
		rec.extend(a)
	}
	if direct {
		rec.heardDirect = now
	}
	rec.parts[a.GetPart()] = true
	return VerdictFresh
}

// replace takes over a newer announcement and keeps the residents held.
func (rec *record) replace(now time.Time, k mark, a *aubwire.Announcement) {
	held := rec.member.Announcement
	next := cloneOf(a)
	next.Demand = a.GetDemand()
	if k.incarnation != rec.incarnation {
		*rec = record{reshaped: true}
	} else if next.Backend != nil {
		next.Backend.Resident = held.GetBackend().GetResident()
	}
	rec.reshaped = rec.reshaped || reshapes(held, next)
	rec.mark = k
	rec.member = Member{Announcement: next, HeardAt: now}
	rec.parts = make(map[uint32]bool, 1)
	if a.GetResidentDigest() != rec.digest {
		rec.digest = a.GetResidentDigest()
		rec.pages = nil
		rec.current = false
		rec.heads = 0
	}
	rec.heads++
	rec.member.Outdated = !rec.current
	if rec.digest == 0 && !rec.current {
		rec.setResidents(nil)
	}
}

// extend adds a further part of the announcement that is held.
func (rec *record) extend(a *aubwire.Announcement) {
	next := cloneOf(rec.member.Announcement)
	next.Demand = slices.Concat(rec.member.Announcement.GetDemand(), a.GetDemand())
	if next.Backend != nil {
		next.Backend.Resident = rec.member.Announcement.GetBackend().GetResident()
	}
	rec.member.Announcement = next
}

// applyPage keeps a page of the announced list of residents and replaces the
// held list once all pages are there.
func (rec *record) applyPage(a *aubwire.Announcement) Verdict {
	pages := a.GetResidentPages()
	if a.GetIncarnation() != rec.incarnation || a.GetResidentDigest() != rec.digest {
		return VerdictStale
	}
	if rec.current || pages > maxPages || a.GetResidentPage() >= pages {
		return VerdictDuplicate
	}
	if rec.pages == nil {
		rec.pages = make(map[uint32][]*aubwire.Resident, pages)
	}
	rec.pages[a.GetResidentPage()] = a.GetBackend().GetResident()
	if len(rec.pages) < int(pages) {
		return VerdictFresh
	}
	var residents []*aubwire.Resident
	for _, page := range slices.Sorted(maps.Keys(rec.pages)) {
		residents = append(residents, rec.pages[page]...)
	}
	rec.pages = nil
	if digestOf(residents) != rec.digest {
		return VerdictMalformed
	}
	rec.setResidents(residents)
	return VerdictFresh
}

func (rec *record) setResidents(residents []*aubwire.Resident) {
	rec.reshaped = true
	rec.complete = true
	rec.current = true
	rec.member.Outdated = false
	held := rec.member.Announcement
	if held.GetBackend() == nil {
		return
	}
	next := cloneOf(held)
	next.Demand = held.GetDemand()
	next.Backend.Resident = residents
	rec.member.Announcement = next
}

// wanted reports whether the announced residents must be asked for: those that
// are sent unasked should have come.
func (rec *record) wanted() bool {
	if rec.current {
		return false
	}
	return rec.heads > 1 || rec.sequence > settledSequence && !rec.complete
}

// reshapes reports whether two announcements of one incarnation differ in more
// than load.
func reshapes(a, b *aubwire.Announcement) bool {
	return a.GetLeaving() != b.GetLeaving() ||
		a.GetAddress() != b.GetAddress() ||
		a.GetZone() != b.GetZone() ||
		a.GetBackend().GetEngine() != b.GetBackend().GetEngine() ||
		!slices.Equal(a.GetBackend().GetServices(), b.GetBackend().GetServices())
}
