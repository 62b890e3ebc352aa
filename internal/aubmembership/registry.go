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
	// maxRemembered is the maximum number of members whose last version is
	// remembered. It is kept after the member was removed, so that a delayed datagram
	// doesn't add the member again.
	maxRemembered = 16384
	// maxViewAge is the maximum time that a view lags behind load reports. Topology
	// changes appear in the next view.
	maxViewAge = 50 * time.Millisecond
	// maxLostAge is the time after its last announcement during which a member is
	// listed as lost.
	maxLostAge = 15 * time.Minute
)

// Verdict is the result of applying an announcement to the registry.
type Verdict int

// Results of Registry.Apply.
const (
	// VerdictStale means that the incarnation or sequence is older than the stored
	// one, or that a page doesn't belong to the list announced last.
	VerdictStale Verdict = iota
	// VerdictDuplicate means that the part or list is stored already, or that the
	// page number is out of range.
	VerdictDuplicate
	// VerdictFresh means that the part or page was new and has been stored.
	VerdictFresh
	// VerdictMalformed means that the announcement has no name or no incarnation, or
	// that the pages don't match the announced digest.
	VerdictMalformed
)

// Registry stores the newest announcement of each member. Its methods are safe for
// concurrent use; mu guards all fields, and no other lock is taken while it is held.
type Registry struct {
	timeout time.Duration

	mu      sync.Mutex
	records map[string]*record
	lost    map[string]Member
	// shown holds the records of the current view, sorted by name.
	shown []*record
	// remembered holds the newest version received from each member, also after the
	// member was removed.
	remembered *lru.LRU[string, mark]
	view       View
	shape      uint64
	// dirty is true while the view lacks applied announcements.
	dirty bool
	// nextExpiry is the earliest time at which a member can time out.
	nextExpiry time.Time
}

// NewRegistry returns an empty registry that removes members without announcements
// for timeout.
func NewRegistry(timeout time.Duration) *Registry {
	// NewLRU fails only for a size below 1.
	remembered, _ := lru.NewLRU[string, mark](maxRemembered, nil)
	return &Registry{
		timeout:    timeout,
		records:    make(map[string]*record),
		lost:       make(map[string]Member),
		remembered: remembered,
		shape:      1,
		dirty:      true,
	}
}

// Apply stores one head or page received at the given time. Direct is true if the
// member itself sent it.
func (r *Registry) Apply(now time.Time, a *aubwire.Announcement, direct bool) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.GetName() == "" || a.GetIncarnation() == 0 {
		return VerdictMalformed
	}
	rec := r.records[a.GetName()]
	var verdict Verdict
	if a.GetResidentPages() > 0 {
		if rec == nil {
			return VerdictStale
		}
		verdict = rec.applyPage(a)
	} else {
		verdict = r.applyHead(now, rec, a, direct)
	}
	r.note(a.GetName(), verdict)
	return verdict
}

// applyHead merges a head; rec is nil for a new member.
func (r *Registry) applyHead(now time.Time, rec *record, a *aubwire.Announcement, direct bool) Verdict {
	k := mark{incarnation: a.GetIncarnation(), sequence: a.GetSequence()}
	if rec == nil {
		if last, ok := r.remembered.Get(a.GetName()); ok && !k.newer(last) {
			return VerdictStale
		}
		rec = &record{}
		r.records[a.GetName()] = rec
		r.nextExpiry = earlier(r.nextExpiry, now.Add(r.timeout))
	}
	verdict := rec.applyHead(now, k, a, direct)
	if verdict == VerdictFresh {
		r.remembered.Add(a.GetName(), k)
	}
	return verdict
}

// note marks the view as outdated after an applied announcement.
func (r *Registry) note(name string, verdict Verdict) {
	if verdict != VerdictFresh {
		return
	}
	delete(r.lost, name)
	r.dirty = true
	if rec := r.records[name]; rec.reshaped {
		rec.reshaped = false
		r.shape++
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
	if !stale && r.view.Shape() == r.shape {
		return r.view
	}
	if r.view.Shape() != r.shape {
		r.view = r.rebuild(now)
	} else {
		r.view = r.refresh(now)
	}
	r.dirty = false
	return r.view
}

// rebuild returns a view with newly selected and sorted members.
func (r *Registry) rebuild(now time.Time) View {
	r.shown = r.shown[:0]
	for _, rec := range r.records {
		if rec.complete {
			r.shown = append(r.shown, rec)
		}
	}
	slices.SortFunc(r.shown, func(a, b *record) int { return compareNames(a.member, b.member) })
	members := r.shownMembers()
	return View{
		at: now, members: members, index: indexOf(members),
		lost: sortedMembers(r.lost), shape: r.shape,
	}
}

// refresh returns a view with current load reports for the same members in the same
// order.
func (r *Registry) refresh(now time.Time) View {
	v := r.view
	v.at = now
	v.members = r.shownMembers()
	return v
}

func (r *Registry) shownMembers() []Member {
	members := make([]Member, 0, len(r.shown))
	for _, rec := range r.shown {
		members = append(members, rec.member)
	}
	return members
}

// Wanted returns those of the named members whose residents must be requested.
func (r *Registry) Wanted(names []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wanted []string
	for _, name := range names {
		if rec := r.records[name]; rec != nil && rec.wanted() {
			wanted = append(wanted, name)
		}
	}
	return wanted
}

// RelayWanted includes the residents of the named members in their next relay.
func (r *Registry) RelayWanted(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if rec := r.records[name]; rec != nil {
			rec.relayWanted = true
		}
	}
}

// relay holds the heads and pages of other members to send in one relay round.
type relay struct {
	heads []*aubwire.Announcement
	pages []*aubwire.Announcement
}

// relays returns up to limit bytes of heads of members with direct, not yet relayed
// announcements, and their requested pages, which do not count towards the limit.
// Members whose last relay is the longest ago come first, so that all are relayed
// over several rounds even if the limit covers only some of them per round.
func (r *Registry) relays(now time.Time, limit int) relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*record
	for _, rec := range r.records {
		// Outdated residents are not relayed: a receiver would take them for the
		// newest ones.
		if rec.current && rec.relayed < rec.sequence && now.Sub(rec.heardDirect) < r.timeout {
			due = append(due, rec)
		}
	}
	slices.SortFunc(due, compareRelayed)
	var next relay
	for _, rec := range due {
		heads := headsOf(rec.member.Announcement)
		for _, head := range heads {
			limit -= proto.Size(head) + maxItemOverheadBytes
		}
		if limit < 0 {
			return next
		}
		next.heads = append(next.heads, heads...)
		if rec.relayWanted {
			next.pages = append(next.pages, pagesOf(rec.member.Announcement)...)
		}
		rec.relayed = rec.sequence
		rec.relayedAt = now
		rec.relayWanted = false
	}
	return next
}

// expire removes members that timed out, lists them as lost unless they were leaving,
// and computes the next expiry.
func (r *Registry) expire(now time.Time) {
	r.nextExpiry = now.Add(r.timeout)
	for name, rec := range r.records {
		due := rec.member.HeardAt.Add(r.timeout)
		if now.Before(due) {
			r.nextExpiry = earlier(r.nextExpiry, due)
			continue
		}
		delete(r.records, name)
		r.shape++
		if !rec.member.Announcement.GetLeaving() {
			r.lost[name] = rec.member
		}
	}
	for name, m := range r.lost {
		if now.Sub(m.HeardAt) > maxLostAge {
			delete(r.lost, name)
			r.shape++
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func compareRelayed(a, b *record) int {
	if c := a.relayedAt.Compare(b.relayedAt); c != 0 {
		return c
	}
	return compareNames(a.member, b.member)
}

func sortedMembers(index map[string]Member) []Member {
	members := make([]Member, 0, len(index))
	for _, m := range index {
		members = append(members, m)
	}
	slices.SortFunc(members, compareNames)
	return members
}

func compareNames(a, b Member) int {
	return strings.Compare(a.Announcement.GetName(), b.Announcement.GetName())
}
