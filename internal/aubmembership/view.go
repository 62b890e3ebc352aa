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
	at      time.Time
	members map[string]Member
	names   []string
	lost    []Member
	shape   uint64
}

// NewView returns a view of the members, taken at the given time.
func NewView(at time.Time, members ...Member) View {
	v := View{at: at, members: make(map[string]Member, len(members))}
	for _, m := range members {
		name := m.Announcement.GetName()
		if _, ok := v.members[name]; !ok {
			v.names = append(v.names, name)
		}
		v.members[name] = m
	}
	slices.Sort(v.names)
	return v
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
	m, ok := v.members[name]
	return m, ok
}

// Members returns all members in order of name.
func (v View) Members() []Member {
	members := make([]Member, 0, len(v.names))
	for _, name := range v.names {
		members = append(members, v.members[name])
	}
	return members
}

// Role returns the members of one role in order of name.
func (v View) Role(role aubwire.Role) []Member {
	var members []Member
	for _, name := range v.names {
		if m := v.members[name]; m.Announcement.GetRole() == role {
			members = append(members, m)
		}
	}
	return members
}

// Source gives the current view.
type Source interface {
	View() View
}
