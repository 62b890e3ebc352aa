package aubmembership

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxRememberedVersions is the maximum number of members whose last version is
	// remembered. It is kept after the member was removed, so that a delayed datagram
	// doesn't add the member again.
	maxRememberedVersions = 16384
	// maxViewAge is the maximum time that a view lags behind load reports. Topology
	// changes appear in the next view.
	maxViewAge = 50 * time.Millisecond
	// maxLostAge is the time after its last announcement during which a member is
	// listed as lost.
	maxLostAge = 15 * time.Minute
)

// ApplyResult is the result of applying an announcement to the registry.
type ApplyResult int

// Results of Registry.Apply.
const (
	// ApplyResultStale means that the incarnation or sequence is older than the stored
	// one, or that a page doesn't belong to the list announced last.
	ApplyResultStale ApplyResult = iota
	// ApplyResultDuplicate means that the part or list is stored already, or that the
	// page number is out of range.
	ApplyResultDuplicate
	// ApplyResultNew means that the part or page was new and has been stored.
	ApplyResultNew
	// ApplyResultMalformed means that the announcement has no name or no incarnation, or
	// that the pages don't match the announced digest.
	ApplyResultMalformed
)

// Registry stores the newest announcement of each member. Its methods are safe for
// concurrent use; mu guards all fields, and no other lock is taken while it is held.
type Registry struct {
	timeout time.Duration

	mu      sync.Mutex
	records map[string]*memberRecord
	// lost holds the last state of members that timed out without leaving.
	lost map[string]Member
	// viewRecords holds the records of the current view, sorted by name.
	viewRecords []*memberRecord
	// lastVersions holds the newest version received from each member, also after the
	// member was removed.
	lastVersions *lru.LRU[string, announcementVersion]
	// view is the view returned last.
	view            View
	topologyVersion uint64
	// dirty is true while the view lacks applied announcements.
	dirty bool
	// nextExpiry is the earliest time at which a member can time out.
	nextExpiry time.Time
}

// NewRegistry returns an empty registry that removes members without announcements
// for timeout.
func NewRegistry(timeout time.Duration) *Registry {
	// NewLRU fails only for a size below 1.
	lastVersions, _ := lru.NewLRU[string, announcementVersion](maxRememberedVersions, nil)
	return &Registry{
		timeout:         timeout,
		records:         make(map[string]*memberRecord),
		lost:            make(map[string]Member),
		lastVersions:    lastVersions,
		topologyVersion: 1,
		dirty:           true,
	}
}

// Apply stores one head or page received at the given time. Direct is true if the
// member itself sent it.
func (r *Registry) Apply(now time.Time, a *aubwire.Announcement, direct bool) ApplyResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.GetName() == "" || a.GetIncarnation() == 0 {
		return ApplyResultMalformed
	}
	rec := r.records[a.GetName()]
	var result ApplyResult
	if a.GetResidentPages() > 0 {
		if rec == nil {
			return ApplyResultStale
		}
		result = rec.applyPage(a)
	} else {
		result = r.applyHead(now, rec, a, direct)
	}
	r.markChanged(a.GetName(), result)
	return result
}

// applyHead merges a head; rec is nil for a new member.
func (r *Registry) applyHead(now time.Time, rec *memberRecord, a *aubwire.Announcement, direct bool) ApplyResult {
	version := announcementVersion{incarnation: a.GetIncarnation(), sequence: a.GetSequence()}
	if rec == nil {
		if lastVersion, ok := r.lastVersions.Get(a.GetName()); ok && !version.newerThan(lastVersion) {
			return ApplyResultStale
		}
		rec = &memberRecord{}
		r.records[a.GetName()] = rec
		r.nextExpiry = earlier(r.nextExpiry, now.Add(r.timeout))
	}
	result := rec.applyHead(now, version, a, direct)
	if result == ApplyResultNew {
		r.lastVersions.Add(a.GetName(), version)
	}
	return result
}

// markChanged marks the view as outdated after an applied announcement.
func (r *Registry) markChanged(name string, result ApplyResult) {
	if result != ApplyResultNew {
		return
	}
	delete(r.lost, name)
	r.dirty = true
	if rec := r.records[name]; rec.topologyChanged {
		rec.topologyChanged = false
		r.topologyVersion++
	}
}

// View returns the members at the given time. Members appear in it once their list
// of residents has been received.
func (r *Registry) View(now time.Time) View {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.nextExpiry) {
		r.expire(now)
	}
	stale := r.dirty && now.Sub(r.view.At()) >= maxViewAge
	if !stale && r.view.TopologyVersion() == r.topologyVersion {
		return r.view
	}
	if r.view.TopologyVersion() != r.topologyVersion {
		r.view = r.rebuild(now)
	} else {
		r.view = r.refresh(now)
	}
	r.dirty = false
	return r.view
}

// rebuild returns a view with newly selected and sorted members.
func (r *Registry) rebuild(now time.Time) View {
	r.viewRecords = r.viewRecords[:0]
	for _, rec := range r.records {
		if rec.hasResidentList {
			r.viewRecords = append(r.viewRecords, rec)
		}
	}
	slices.SortFunc(r.viewRecords, func(a, b *memberRecord) int { return compareNames(a.member, b.member) })
	members := r.viewMembers()
	return View{
		at: now, members: members, index: indexOf(members),
		lost: sortedMembers(r.lost), topologyVersion: r.topologyVersion,
	}
}

// refresh returns a view with current load reports for the same members in the same
// order.
func (r *Registry) refresh(now time.Time) View {
	view := r.view
	view.at = now
	view.members = r.viewMembers()
	return view
}

// viewMembers returns the current state of the members in the view.
func (r *Registry) viewMembers() []Member {
	members := make([]Member, 0, len(r.viewRecords))
	for _, rec := range r.viewRecords {
		members = append(members, rec.member)
	}
	return members
}

// MissingResidents returns those of the named members whose residents must be requested.
func (r *Registry) MissingResidents(names []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var missing []string
	for _, name := range names {
		if rec := r.records[name]; rec != nil && rec.needsResidents() {
			missing = append(missing, name)
		}
	}
	return missing
}

// RequestResidentRelay includes the residents of the named members in their next relay.
func (r *Registry) RequestResidentRelay(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if rec := r.records[name]; rec != nil {
			rec.relayRequested = true
		}
	}
}

// relayBatch holds the heads and pages of members to send in one relay round.
type relayBatch struct {
	heads []*aubwire.Announcement
	pages []*aubwire.Announcement
}

// nextRelayBatch returns up to limit bytes of heads of members with directly received,
// not yet relayed announcements, and their requested pages, which do not count
// towards the limit. Members whose last relay is the longest ago come first, so that
// all are relayed over several rounds even if the limit covers only some of them per
// round.
func (r *Registry) nextRelayBatch(now time.Time, limit int) relayBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []*memberRecord
	for _, rec := range r.records {
		// Outdated residents are not relayed: a receiver would take them for the
		// newest ones.
		if rec.residentsCurrent && rec.relayedSequence < rec.sequence && now.Sub(rec.directReceivedAt) < r.timeout {
			candidates = append(candidates, rec)
		}
	}
	slices.SortFunc(candidates, compareRelayTime)
	var batch relayBatch
	for _, rec := range candidates {
		heads := headsOf(rec.member.Announcement)
		for _, head := range heads {
			limit -= proto.Size(head) + maxItemOverheadBytes
		}
		if limit < 0 {
			return batch
		}
		batch.heads = append(batch.heads, heads...)
		if rec.relayRequested {
			batch.pages = append(batch.pages, pagesOf(rec.member.Announcement)...)
		}
		rec.relayedSequence = rec.sequence
		rec.relayedAt = now
		rec.relayRequested = false
	}
	return batch
}

// expire removes members that timed out and lists them as lost unless they were
// leaving. It also removes old lost members and computes the next expiry.
func (r *Registry) expire(now time.Time) {
	r.nextExpiry = now.Add(r.timeout)
	for name, rec := range r.records {
		expiry := rec.member.ReceivedAt.Add(r.timeout)
		if now.Before(expiry) {
			r.nextExpiry = earlier(r.nextExpiry, expiry)
			continue
		}
		delete(r.records, name)
		r.topologyVersion++
		if !rec.member.Announcement.GetLeaving() {
			r.lost[name] = rec.member
		}
	}
	for name, m := range r.lost {
		if now.Sub(m.ReceivedAt) > maxLostAge {
			delete(r.lost, name)
			r.topologyVersion++
		}
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// compareRelayTime orders records by the time of their last relay, then by name.
func compareRelayTime(a, b *memberRecord) int {
	if c := a.relayedAt.Compare(b.relayedAt); c != 0 {
		return c
	}
	return compareNames(a.member, b.member)
}

// sortedMembers returns the members sorted by name.
func sortedMembers(byName map[string]Member) []Member {
	members := make([]Member, 0, len(byName))
	for _, m := range byName {
		members = append(members, m)
	}
	slices.SortFunc(members, compareNames)
	return members
}

// compareNames orders members by name.
func compareNames(a, b Member) int {
	return strings.Compare(a.Announcement.GetName(), b.Announcement.GetName())
}
