package aubmembership

import (
	"maps"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxPages is the maximum number of pages accepted for one list of residents.
	maxPages = 64
	// settledSequence is the sequence up to which the first list of residents may
	// still be in transit. A receiver that has no list after it requests one.
	settledSequence = 2
)

// mark orders the announcements of one member: by incarnation, then by sequence.
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

// record is the state of one member in the registry.
type record struct {
	mark
	member Member
	// heardDirect is the time of the last announcement received from the member
	// itself; zero if all were relayed.
	heardDirect time.Time
	// parts holds the numbers of the received parts of the newest announcement.
	parts map[uint32]bool
	// digest identifies the list of residents announced last.
	digest uint64
	// pages holds the pages of that list received so far, by page number.
	pages map[uint32][]*aubwire.Resident
	// heads is the number of announcements received with this digest.
	heads int
	// complete is true once a complete list of residents has been received from this
	// incarnation.
	complete bool
	// current is true while the stored residents match residentDigest.
	current bool
	// relayed is the sequence relayed last, and relayedAt the time of that relay.
	relayed   uint64
	relayedAt time.Time
	// relayWanted is true when another process requested the residents.
	relayWanted bool
	// reshaped is true after a change of more than load, until the registry
	// increments its topology version.
	reshaped bool
}

// applyHead merges one head. Direct is true if the member itself sent it.
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

// replace stores a newer announcement. The residents are kept unless the
// incarnation changed.
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

// extend adds the demand of a further part to the stored announcement.
func (rec *record) extend(a *aubwire.Announcement) {
	next := cloneOf(rec.member.Announcement)
	next.Demand = slices.Concat(rec.member.Announcement.GetDemand(), a.GetDemand())
	if next.Backend != nil {
		next.Backend.Resident = rec.member.Announcement.GetBackend().GetResident()
	}
	rec.member.Announcement = next
}

// applyPage stores one page of the announced list of residents and replaces the
// stored list once all pages have been received.
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

// setResidents stores a complete list of residents that matches residentDigest.
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

// wanted reports whether the announced residents must be requested: the pages that
// the member sends on its own should have arrived by now.
func (rec *record) wanted() bool {
	if rec.current {
		return false
	}
	return rec.heads > 1 || rec.sequence > settledSequence && !rec.complete
}

// reshapes reports whether two announcements of one incarnation differ in a field
// that is part of the topology. Residents are compared by their digest elsewhere.
func reshapes(a, b *aubwire.Announcement) bool {
	return a.GetLeaving() != b.GetLeaving() ||
		a.GetAddress() != b.GetAddress() ||
		a.GetZone() != b.GetZone() ||
		a.GetBackend().GetEngine() != b.GetBackend().GetEngine() ||
		!slices.Equal(a.GetBackend().GetServices(), b.GetBackend().GetServices())
}
