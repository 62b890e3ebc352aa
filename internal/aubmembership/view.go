// Package aubmembership keeps what the processes of a site announce of
// themselves by datagram: liveness, load, residency and configuration version.
package aubmembership

import (
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Member is the last state heard of one process. It is immutable; do not change
// the announcement.
type Member struct {
	Announcement *aubwire.Announcement
	// HeardAt is the receiver's monotonic time of the newest announcement.
	HeardAt time.Time
	// Outdated is true while the residents are those of an earlier announcement,
	// because a part of the newest list is missing.
	Outdated bool
}

// View is an immutable picture of all members at one moment.
type View struct {
	at time.Time
	// members are in order of name; index gives each name's place.
	members []Member
	index   map[string]int
	lost    []Member
	shape   uint64
}

// NewView returns a view of the members, taken at the given time. Of members
// with equal names the last one counts.
func NewView(at time.Time, members ...Member) View {
	byName := make(map[string]Member, len(members))
	for _, m := range members {
		byName[m.Announcement.GetName()] = m
	}
	sorted := sortedMembers(byName)
	return View{at: at, members: sorted, index: indexOf(sorted)}
}

func indexOf(members []Member) map[string]int {
	index := make(map[string]int, len(members))
	for i, m := range members {
		index[m.Announcement.GetName()] = i
	}
	return index
}

// WithLost returns a copy that also names members that were heard once and are
// silent now.
func (v View) WithLost(lost ...Member) View {
	v.lost = slices.Clone(lost)
	return v
}

// WithShape returns a copy marked with the number of the members' shape.
func (v View) WithShape(shape uint64) View {
	v.shape = shape
	return v
}

// Lost returns the members that were not heard for the timeout and did not
// leave, in order of name. They are not part of Members.
func (v View) Lost() []Member { return slices.Clone(v.lost) }

// Shape is a number that changes whenever a member joins, leaves, restarts or
// changes its residents, services or address. Views of equal shape, other than
// 0, differ in load reports alone.
func (v View) Shape() uint64 { return v.shape }

// At returns the time the view was taken.
func (v View) At() time.Time { return v.at }

// Member returns the member of the name.
func (v View) Member(name string) (Member, bool) {
	i, ok := v.index[name]
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Members returns all members in order of name.
func (v View) Members() []Member { return slices.Clone(v.members) }

// Role returns the members of one role in order of name.
func (v View) Role(role aubwire.Role) []Member {
	var members []Member
	for _, m := range v.members {
		if m.Announcement.GetRole() == role {
			members = append(members, m)
		}
	}
	return members
}

// Source gives the current view.
type Source interface {
	View() View
}
