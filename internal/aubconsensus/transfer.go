package aubconsensus

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// transfer is a leadership transfer in progress.
type transfer struct {
	target   string
	deadline time.Time
}

// TransferLeadership transfers the leadership to the active voter that holds the
// most entries. It returns once another member leads; on a node that is not the
// leader it does nothing.
func (n *Node) TransferLeadership(ctx context.Context) error {
	var started bool
	var startErr error
	if err := n.call(ctx, func() { started, startErr = n.startTransfer() }); err != nil {
		return err
	}
	if startErr != nil || !started {
		return startErr
	}
	for {
		if err := aubtimer.Wait(ctx, n.common.Timer, n.opts.Heartbeat/ticksPerHeartbeat); err != nil {
			return &UnknownOutcomeError{Err: err}
		}
		status := n.Status()
		if !status.IsLeader && status.Leader.Name != "" {
			return nil
		}
		if n.Err() != nil {
			return n.Err()
		}
	}
}

func (n *Node) startTransfer() (started bool, err error) {
	if n.leadership == nil {
		return false, nil
	}
	var target string
	var match uint64
	for _, v := range n.log.membership().wire.GetVoters() {
		id := v.GetDiskId()
		if id == n.self.GetDiskId() || !n.isActive(id) {
			continue
		}
		if p := n.progressOf(id); target == "" || p.match > match {
			target = id
			match = p.match
		}
	}
	if target == "" {
		return false, &MembershipChangeError{Reason: "no other voter answers"}
	}
	n.leadership.transfer = &transfer{target: target, deadline: n.now().Add(n.opts.ElectionTimeout)}
	n.leadership.broadcastPending = true
	return true, nil
}

// tickTransfer steps down and notifies the target once it holds the whole log.
// The lease ends before the message is sent, and this node does not lead this
// term again.
func (n *Node) tickTransfer(now time.Time) {
	l := n.leadership
	if l.transfer == nil {
		return
	}
	if n.progressOf(l.transfer.target).match < n.log.lastIndex() {
		if now.After(l.transfer.deadline) {
			n.common.Log.Warn("Leadership transfer timed out: the target does not hold the whole log.")
			l.transfer = nil
		}
		return
	}
	target := l.transfer.target
	n.common.Log.Info("Leader steps down for a leadership transfer.", zap.Uint64("term", n.term))
	n.becomeFollower(n.term, "")
	n.sendToMember(target, &aubwire.ConsensusMessage{
		Body: &aubwire.ConsensusMessage_Transfer{Transfer: &aubwire.TransferLeadership{}},
	})
}
