// Package aubmembership maintains the membership of a site. Every process
// announces its liveness, load, resident models and adapters, and configuration
// version in UDP datagrams to the seeds, which relay them to each other.
//
// An announcement is split into parts that each fit a datagram: heads, which hold
// all fields but the list of residents (the loaded models and adapters) and only
// a digest of that list, and pages, which hold the list. Heads are sent in every
// round, pages only when the list changed or another process requests them.
//
// A LoadExchange sends the work in flight of an instance directly to its peers.
package aubmembership

import (
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Member is the last announced state of one process. It is immutable: callers
// must not modify the announcement.
type Member struct {
	Announcement *aubwire.Announcement
	// ReceivedAt is the local monotonic time at which the newest announcement arrived.
	ReceivedAt time.Time
	// ResidentsOutdated is true while the residents are those of an earlier announcement
	// because pages of the newest list have not arrived yet.
	ResidentsOutdated bool
	// Unconfirmed is set if nothing was heard from the member itself since the start of the
	// process that told of it; it may have been replaced.
	Unconfirmed bool
}

// View is an immutable snapshot of all members at one time.
type View struct {
	at time.Time
	// members are sorted by name; index maps each name to its position.
	members         []Member
	index           map[string]int
	lost            []Member
	topologyVersion uint64
}

// NewView returns a view of the members, taken at the given time. If several
// members have the same name, the last one is used.
func NewView(at time.Time, members ...Member) View {
	byName := make(map[string]Member, len(members))
	for _, m := range members {
		byName[m.Announcement.GetName()] = m
	}
	sorted := sortedMembers(byName)
	return View{at: at, members: sorted, index: indexOf(sorted)}
}

// indexOf maps each member's name to its position.
func indexOf(members []Member) map[string]int {
	index := make(map[string]int, len(members))
	for i, m := range members {
		index[m.Announcement.GetName()] = i
	}
	return index
}

// WithLost returns a copy with the given lost members.
func (v View) WithLost(lost ...Member) View {
	v.lost = slices.Clone(lost)
	return v
}

// WithTopologyVersion returns a copy with the given topology version.
func (v View) WithTopologyVersion(version uint64) View {
	v.topologyVersion = version
	return v
}

// Lost returns the members that sent no announcement within the timeout although
// they were not leaving, sorted by name. They are not part of Members.
func (v View) Lost() []Member { return slices.Clone(v.lost) }

// TopologyVersion returns the topology version. It changes whenever a member joins, leaves,
// restarts, is lost, or changes its residents, services, engine, zone or address.
// Views with the same version, other than 0, differ only in load reports.
func (v View) TopologyVersion() uint64 { return v.topologyVersion }

// At returns the time the view was taken.
func (v View) At() time.Time { return v.at }

// Member returns the member with the given name, or false if there is none.
func (v View) Member(name string) (Member, bool) {
	i, ok := v.index[name]
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Members returns all members, sorted by name.
func (v View) Members() []Member { return slices.Clone(v.members) }

// Role returns the members with the given role, sorted by name.
func (v View) Role(role aubwire.Role) []Member {
	var members []Member
	for _, m := range v.members {
		if m.Announcement.GetRole() == role {
			members = append(members, m)
		}
	}
	return members
}

// Source provides the current view of the members.
type Source interface {
	View() View
}
