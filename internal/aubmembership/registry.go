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
	// maxRemembered bounds the members whose last sequence is kept after they
	// left, so that a late datagram doesn't bring them back.
	maxRemembered = 16384
	// maxViewAge bounds how long a view may lag behind load reports; changes of
	// shape show at once.
	maxViewAge = 50 * time.Millisecond
	// maxLostAge is how long a silent member is named as lost.
	maxLostAge = 15 * time.Minute
)

// Verdict says what became of an announcement.
type Verdict int

// Verdicts.
const (
	// VerdictStale marks an older incarnation or sequence than the one held.
	VerdictStale Verdict = iota
	// VerdictDuplicate marks a part that is held already.
	VerdictDuplicate
	// VerdictFresh marks news.
	VerdictFresh
	// VerdictMalformed marks an announcement without name or incarnation.
	VerdictMalformed
)

// Registry holds the newest announcement of each member. Its methods may be
// called concurrently; mu guards all fields and is held for no other lock.
type Registry struct {
	timeout time.Duration

	mu      sync.Mutex
	records map[string]*record
	lost    map[string]Member
	// shown are the records in the view, in order of name.
	shown      []*record
	remembered *lru.LRU[string, mark]
	view       View
	shape      uint64
	dirty      bool
	nextExpiry time.Time
}

// NewRegistry returns an empty registry that drops members not heard for timeout.
func NewRegistry(timeout time.Duration) *Registry {
	// The only error of NewLRU is a size that is not positive.
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

// Apply takes in one announcement heard at the given time. Direct tells that the
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

// applyHead merges a part without residents; rec is nil for a new member.
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

// note marks what a view must show.
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

// View returns the picture of all members at the given time.
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

// rebuild orders the members anew.
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

// refresh takes over load reports; the members and their order are the same.
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

// Wanted returns the names whose residents are not those announced now.
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

// RelayWanted marks members whose residents another process asked for.
func (r *Registry) RelayWanted(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if rec := r.records[name]; rec != nil {
			rec.relayWanted = true
		}
	}
}

// relay is what is passed on of some members.
type relay struct {
	heads []*aubwire.Announcement
	pages []*aubwire.Announcement
}

// relays returns what to pass on, in up to limit bytes, of members that were
// heard directly since their last relay. The longest not relayed come first, so
// that a limit that doesn't reach them all reaches each in turn.
func (r *Registry) relays(now time.Time, limit int) relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*record
	for _, rec := range r.records {
		// An outdated list of residents would pass for the newest there.
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

// expire moves silent members out of the view and sets when to look next.
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
