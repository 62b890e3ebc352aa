package aubmembership

import (
	"maps"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxResidentPages is the maximum number of pages accepted for one list of
	// residents.
	maxResidentPages = 64
	// firstListSequence is the sequence up to which the first list of residents may
	// still be in transit. A receiver that has no list after it requests one.
	firstListSequence = 2
)

// announcementVersion orders the announcements of one member: by incarnation, then
// by sequence.
type announcementVersion struct {
	incarnation uint64
	sequence    uint64
}

func (v announcementVersion) newerThan(other announcementVersion) bool {
	if v.incarnation != other.incarnation {
		return v.incarnation > other.incarnation
	}
	return v.sequence > other.sequence
}

// memberRecord is the state of one member in the registry.
type memberRecord struct {
	announcementVersion
	member Member
	// directReceivedAt is the time of the last announcement received from the member
	// itself; zero if all were relayed.
	directReceivedAt time.Time
	// receivedParts holds the numbers of the received parts of the newest
	// announcement.
	receivedParts map[uint32]bool
	// residentDigest identifies the list of residents announced last.
	residentDigest uint64
	// receivedPages holds the pages of that list received so far, by page number.
	receivedPages map[uint32][]*aubwire.Resident
	// digestAnnouncements is the number of announcements received with residentDigest.
	digestAnnouncements int
	// hasResidentList is true once a complete list of residents has been received from
	// this incarnation.
	hasResidentList bool
	// residentsCurrent is true while the stored residents match residentDigest.
	residentsCurrent bool
	// relayedSequence is the sequence relayed last, and relayedAt the time of that
	// relay.
	relayedSequence uint64
	relayedAt       time.Time
	// relayRequested is true if another process requested the residents, until they
	// are relayed.
	relayRequested bool
	// topologyChanged is true after a change of more than load, until the registry
	// increments its topology version.
	topologyChanged bool
}

// applyHead merges one head. Direct is true if the member itself sent it.
func (rec *memberRecord) applyHead(now time.Time, version announcementVersion, a *aubwire.Announcement, direct bool) ApplyResult {
	switch {
	case rec.newerThan(version):
		return ApplyResultStale
	case version.newerThan(rec.announcementVersion):
		rec.replace(now, version, a)
	case rec.receivedParts[a.GetPart()]:
		return ApplyResultDuplicate
	default:
		rec.addPart(a)
	}
	if direct {
		rec.directReceivedAt = now
	}
	rec.receivedParts[a.GetPart()] = true
	return ApplyResultNew
}

// replace stores a newer announcement. The residents are kept unless the
// incarnation changed.
func (rec *memberRecord) replace(now time.Time, version announcementVersion, a *aubwire.Announcement) {
	previous := rec.member.Announcement
	next := cloneHead(a)
	next.Demand = a.GetDemand()
	if version.incarnation != rec.incarnation {
		*rec = memberRecord{topologyChanged: true}
	} else if next.Backend != nil {
		next.Backend.Resident = previous.GetBackend().GetResident()
	}
	rec.topologyChanged = rec.topologyChanged || topologyDiffers(previous, next)
	rec.announcementVersion = version
	rec.member = Member{Announcement: next, ReceivedAt: now}
	rec.receivedParts = make(map[uint32]bool, 1)
	if a.GetResidentDigest() != rec.residentDigest {
		rec.residentDigest = a.GetResidentDigest()
		rec.receivedPages = nil
		rec.residentsCurrent = false
		rec.digestAnnouncements = 0
	}
	rec.digestAnnouncements++
	rec.member.ResidentsOutdated = !rec.residentsCurrent
	if rec.residentDigest == 0 && !rec.residentsCurrent {
		rec.setResidents(nil)
	}
}

// addPart adds the demand of a further part to the stored announcement.
func (rec *memberRecord) addPart(a *aubwire.Announcement) {
	next := cloneHead(rec.member.Announcement)
	next.Demand = slices.Concat(rec.member.Announcement.GetDemand(), a.GetDemand())
	if next.Backend != nil {
		next.Backend.Resident = rec.member.Announcement.GetBackend().GetResident()
	}
	rec.member.Announcement = next
}

// applyPage stores one page of the announced list of residents and replaces the
// stored list once all pages have been received.
func (rec *memberRecord) applyPage(a *aubwire.Announcement) ApplyResult {
	pages := a.GetResidentPages()
	if a.GetIncarnation() != rec.incarnation || a.GetResidentDigest() != rec.residentDigest {
		return ApplyResultStale
	}
	if rec.residentsCurrent || pages > maxResidentPages || a.GetResidentPage() >= pages {
		return ApplyResultDuplicate
	}
	if rec.receivedPages == nil {
		rec.receivedPages = make(map[uint32][]*aubwire.Resident, pages)
	}
	rec.receivedPages[a.GetResidentPage()] = a.GetBackend().GetResident()
	if len(rec.receivedPages) < int(pages) {
		return ApplyResultNew
	}
	var residents []*aubwire.Resident
	for _, page := range slices.Sorted(maps.Keys(rec.receivedPages)) {
		residents = append(residents, rec.receivedPages[page]...)
	}
	rec.receivedPages = nil
	if digestOf(residents) != rec.residentDigest {
		return ApplyResultMalformed
	}
	rec.setResidents(residents)
	return ApplyResultNew
}

// setResidents stores a complete list of residents that matches residentDigest.
func (rec *memberRecord) setResidents(residents []*aubwire.Resident) {
	rec.topologyChanged = true
	rec.hasResidentList = true
	rec.residentsCurrent = true
	rec.member.ResidentsOutdated = false
	previous := rec.member.Announcement
	if previous.GetBackend() == nil {
		return
	}
	next := cloneHead(previous)
	next.Demand = previous.GetDemand()
	next.Backend.Resident = residents
	rec.member.Announcement = next
}

// needsResidents reports whether the announced residents must be requested, because
// the pages that the member sends without a request should have arrived by now.
func (rec *memberRecord) needsResidents() bool {
	if rec.residentsCurrent {
		return false
	}
	return rec.digestAnnouncements > 1 || rec.sequence > firstListSequence && !rec.hasResidentList
}

// topologyDiffers reports whether two announcements of one incarnation differ in a
// field that is part of the topology. Residents are not compared; setResidents marks
// their changes.
func topologyDiffers(a, b *aubwire.Announcement) bool {
	return a.GetLeaving() != b.GetLeaving() ||
		a.GetAddress() != b.GetAddress() ||
		a.GetZone() != b.GetZone() ||
		a.GetBackend().GetEngine() != b.GetBackend().GetEngine() ||
		!slices.Equal(a.GetBackend().GetServices(), b.GetBackend().GetServices())
}
