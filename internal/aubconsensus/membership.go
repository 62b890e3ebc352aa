package aubconsensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// membership is an immutable set of members. During a joint change every
// decision needs a majority of the voters and a majority of the outgoing voters.
type membership struct {
	wire *aubwire.Membership
}

func (m membership) isJoint() bool { return len(m.wire.GetOutgoingVoters()) > 0 }

func (m membership) isVoter(id string) bool {
	_, isIncoming := findMember(m.wire.GetVoters(), id)
	_, isOutgoing := findMember(m.wire.GetOutgoingVoters(), id)
	return isIncoming || isOutgoing
}

// member returns the member with the disk id.
func (m membership) member(id string) (*aubwire.ConsensusMember, bool) {
	for _, set := range [][]*aubwire.ConsensusMember{m.wire.GetVoters(), m.wire.GetOutgoingVoters(), m.wire.GetLearners()} {
		if member, ok := findMember(set, id); ok {
			return member, true
		}
	}
	return nil, false
}

// voterNamed returns the voter with the name; outgoing voters don't count.
func (m membership) voterNamed(name string) (*aubwire.ConsensusMember, bool) {
	return findNamed(m.wire.GetVoters(), name)
}

// all returns every member once, identified by its disk id.
func (m membership) all() []*aubwire.ConsensusMember {
	members := slices.Clone(m.wire.GetVoters())
	for _, set := range [][]*aubwire.ConsensusMember{m.wire.GetOutgoingVoters(), m.wire.GetLearners()} {
		for _, member := range set {
			if _, ok := findMember(members, member.GetDiskId()); !ok {
				members = append(members, member)
			}
		}
	}
	return members
}

// withLearner returns the membership with the learner, which replaces a learner
// of the same name.
func (m membership) withLearner(learner *aubwire.ConsensusMember) membership {
	next := m.clone()
	next.Learners = slices.DeleteFunc(next.Learners, func(l *aubwire.ConsensusMember) bool {
		return l.GetName() == learner.GetName()
	})
	next.Learners = append(next.Learners, learner)
	return membership{wire: next}
}

// withPromotion returns the joint membership in which the learner is a voter and
// replaces the voters of its own name and of the name in Replaces.
func (m membership) withPromotion(learner *aubwire.ConsensusMember) membership {
	next := m.clone()
	next.OutgoingVoters = next.GetVoters()
	next.Voters = slices.DeleteFunc(slices.Clone(next.GetVoters()), func(v *aubwire.ConsensusMember) bool {
		return v.GetName() == learner.GetReplaces() || v.GetName() == learner.GetName()
	})
	promoted := &aubwire.ConsensusMember{
		DiskId:  learner.GetDiskId(),
		Name:    learner.GetName(),
		Address: learner.GetAddress(),
	}
	next.Voters = append(next.Voters, promoted)
	next.Learners = slices.DeleteFunc(next.Learners, func(l *aubwire.ConsensusMember) bool {
		return l.GetDiskId() == learner.GetDiskId()
	})
	return membership{wire: next}
}

// withoutOutgoing returns the membership that ends a joint change.
func (m membership) withoutOutgoing() membership {
	next := m.clone()
	next.OutgoingVoters = nil
	return membership{wire: next}
}

func (m membership) clone() *aubwire.Membership {
	return proto.CloneOf(m.wire)
}

// hasQuorum reports whether the voters for whom includes returns true are a
// majority of each voter set.
func (m membership) hasQuorum(includes func(id string) bool) bool {
	if !hasMajority(m.wire.GetVoters(), includes) {
		return false
	}
	return !m.isJoint() || hasMajority(m.wire.GetOutgoingVoters(), includes)
}

// quorumValue returns the greatest value that a majority of each voter set has
// reached.
func quorumValue[T int64 | uint64](m membership, value func(id string) T) T {
	v := majorityValue(m.wire.GetVoters(), value)
	if m.isJoint() {
		v = min(v, majorityValue(m.wire.GetOutgoingVoters(), value))
	}
	return v
}

func hasMajority(voters []*aubwire.ConsensusMember, includes func(id string) bool) bool {
	count := 0
	for _, v := range voters {
		if includes(v.GetDiskId()) {
			count++
		}
	}
	return count > len(voters)/2
}

func majorityValue[T int64 | uint64](voters []*aubwire.ConsensusMember, value func(id string) T) T {
	if len(voters) == 0 {
		return 0
	}
	values := make([]T, 0, len(voters))
	for _, v := range voters {
		values = append(values, value(v.GetDiskId()))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func findMember(set []*aubwire.ConsensusMember, id string) (*aubwire.ConsensusMember, bool) {
	return find(set, func(m *aubwire.ConsensusMember) bool { return m.GetDiskId() == id })
}

func findNamed(set []*aubwire.ConsensusMember, name string) (*aubwire.ConsensusMember, bool) {
	return find(set, func(m *aubwire.ConsensusMember) bool { return m.GetName() == name })
}

func find[T any](set []T, match func(T) bool) (T, bool) {
	if i := slices.IndexFunc(set, match); i >= 0 {
		return set[i], true
	}
	var zero T
	return zero, false
}
