package aubconsensus

import (
	"context"
	"slices"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// replacement is an operator's request that joining replaces the voter of the
// given name.
type replacement struct {
	replaced string
	joining  Peer
}

// canChangeMembership reports whether a membership change may start; only one
// may be in progress.
func (n *Node) canChangeMembership() bool {
	return n.leadership != nil && n.leadership.ready && n.leadership.transfer == nil &&
		!n.log.membership().isJoint() && n.log.membershipIndex() <= n.commit
}

func (n *Node) appendMembership(next membership) {
	data, err := proto.Marshal(next.wire)
	if err != nil {
		n.stop(err)
		return
	}
	n.appendAsLeader(aubwire.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
}

// admitLearner adds a replica that is not a member as a learner, if
// replacedVoter allows it.
func (n *Node) admitLearner(m *aubwire.ConsensusMember) {
	members := n.log.membership()
	if _, ok := members.member(m.GetDiskId()); ok || !n.canChangeMembership() {
		return
	}
	replaces, ok := n.replacedVoter(m)
	if !ok {
		return
	}
	n.common.Log.Info("Replica joins as a learner.", zap.String("member", m.GetName()), zap.String("replaces", replaces))
	n.appendMembership(members.withLearner(&aubwire.ConsensusMember{
		DiskId:   m.GetDiskId(),
		Name:     m.GetName(),
		Address:  m.GetAddress(),
		Replaces: replaces,
	}))
}

// replacedVoter returns the name of the voter that the replica replaces, empty
// if it joins in addition, and whether it may join.
func (n *Node) replacedVoter(m *aubwire.ConsensusMember) (string, bool) {
	if voter, ok := n.log.membership().voterNamed(m.GetName()); ok {
		if n.isActive(voter.GetDiskId()) {
			n.common.Log.Warn("Replica refused: its name is in use on another disk.", zap.String("member", m.GetName()))
			return "", false
		}
		return m.GetName(), true
	}
	if r := n.leadership.replacement; r != nil && r.joining.Name == m.GetName() {
		return r.replaced, true
	}
	isListed := slices.ContainsFunc(n.opts.Voters, func(p Peer) bool { return p.Name == m.GetName() })
	if isListed && n.hasFreeVoterSlot(m.GetName()) {
		return "", true
	}
	// Other replicas join as learners and wait for a voter slot.
	return "", n.opts.MaxVoters > 0
}

// voterSlot returns the name of the voter that a learner replaces on promotion,
// empty for an additional voter, and whether it may become a voter now.
func (n *Node) voterSlot(learner *aubwire.ConsensusMember) (string, bool) {
	members := n.log.membership().wire
	if learner.GetReplaces() != "" || n.opts.MaxVoters == 0 {
		return learner.GetReplaces(), true
	}
	if len(members.GetVoters()) < max(n.opts.MaxVoters, len(n.opts.Voters)) {
		return "", true
	}
	if n.opts.ReplaceAfter == 0 || n.now().Sub(n.leadership.electedAt) < n.opts.ReplaceAfter {
		return "", false
	}
	for _, voter := range members.GetVoters() {
		id := voter.GetDiskId()
		if id != n.self.GetDiskId() && n.now().Sub(n.progressOf(id).lastResponseAt) > n.opts.ReplaceAfter {
			return voter.GetName(), true
		}
	}
	return "", false
}

// hasFreeVoterSlot reports whether the settings list more voters than the
// cluster has. Learners that join in addition count, except the named one.
func (n *Node) hasFreeVoterSlot(name string) bool {
	members := n.log.membership().wire
	count := len(members.GetVoters())
	for _, l := range members.GetLearners() {
		if l.GetReplaces() == "" && l.GetName() != name {
			count++
		}
	}
	return count < len(n.opts.Voters)
}

// promoteIfCaughtUp makes a learner a voter once it holds all committed entries
// and the start entry of the term.
func (n *Node) promoteIfCaughtUp(id string, p *progress) {
	members := n.log.membership()
	learner, ok := findMember(members.wire.GetLearners(), id)
	if !ok || !n.canChangeMembership() || p.match < n.commit || p.match < n.leadership.startIndex {
		return
	}
	replaces, ok := n.voterSlot(learner)
	if !ok {
		return
	}
	n.common.Log.Info("Learner becomes a voter.", zap.String("member", learner.GetName()), zap.String("replaces", replaces))
	promoted := proto.CloneOf(learner)
	promoted.Replaces = replaces
	n.appendMembership(members.withPromotion(promoted))
}

// finishMembershipChange ends a joint change once its entry is applied,
// including a change that an earlier leader started.
func (n *Node) finishMembershipChange() {
	members := n.log.membership()
	if n.Err() != nil || !n.leadership.ready || !members.isJoint() || n.log.membershipIndex() > n.applied {
		return
	}
	n.appendMembership(members.withoutOutgoing())
}

// ReplaceMember replaces a failed voter by a joining replica that runs on an
// empty data folder. It returns once the new voter holds everything committed
// and the replaced one has no vote. A repeated call continues the change or
// confirms it.
func (n *Node) ReplaceMember(ctx context.Context, replaced string, joining Peer) error {
	if replaced == n.opts.Self.Name {
		return &MembershipChangeError{Reason: "the leader can't replace itself; transfer the leadership first"}
	}
	for {
		done, err := n.pollReplacement(ctx, replaced, joining)
		if done || err != nil {
			return err
		}
		// The response to Hello contains the joining replica's disk id.
		n.admitJoining(ctx, joining)
		if err := aubtimer.Wait(ctx, n.common.Timer, helloInterval); err != nil {
			return &UnknownOutcomeError{Err: err}
		}
	}
}

func (n *Node) pollReplacement(ctx context.Context, replaced string, joining Peer) (done bool, err error) {
	callErr := n.call(ctx, func() { done, err = n.updateReplacement(replaced, joining) })
	if callErr != nil {
		return false, callErr
	}
	return done, err
}

func (n *Node) updateReplacement(replaced string, joining Peer) (bool, error) {
	if n.leadership == nil {
		return false, &NotLeaderError{Leader: n.otherLeader()}
	}
	members := n.log.membership()
	_, isReplacedVoter := members.voterNamed(replaced)
	_, isJoiningVoter := members.voterNamed(joining.Name)
	isStable := !members.isJoint() && n.log.membershipIndex() <= n.commit
	switch {
	case isJoiningVoter && !isReplacedVoter && isStable:
		n.leadership.replacement = nil
		return true, nil
	case isJoiningVoter && isReplacedVoter && replaced != joining.Name:
		return false, &MembershipChangeError{Reason: joining.Name + " is a voter already and " + replaced + " still is one"}
	case !isJoiningVoter && !isReplacedVoter && isStable:
		return false, &MembershipChangeError{Reason: replaced + " is not a voter"}
	}
	n.leadership.replacement = &replacement{replaced: replaced, joining: joining}
	return false, nil
}

// admitJoining requests the joining replica's disk id and admits it as a
// learner.
func (n *Node) admitJoining(ctx context.Context, joining Peer) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.ElectionTimeout)
	defer cancel()
	resp, err := n.opts.Transport.Hello(ctx, joining.Address, &aubwire.HelloRequest{Member: n.self, ClusterId: n.Status().ClusterID})
	if err != nil || resp.GetMember().GetName() != joining.Name {
		return
	}
	if id := resp.GetMembership().GetClusterId(); id != "" && id != n.Status().ClusterID {
		return
	}
	_ = n.call(ctx, func() {
		if n.leadership != nil {
			n.admitLearner(resp.GetMember())
		}
	})
}
