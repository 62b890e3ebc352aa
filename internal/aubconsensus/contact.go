package aubconsensus

import (
	"time"

	"go.uber.org/zap"
)

const (
	// contactExtensionDivisor gives the time for which a contact record is extended, as a part of
	// the election timeout. It is written once in this time.
	contactExtensionDivisor = 2
	// earlyPreVoteDivisor gives the shortest time between two pre-votes of a member whose last
	// contact with a leader is known to be over when it starts, as a part of the election timeout.
	earlyPreVoteDivisor = 8
)

// ContactRecord keeps, over the end of the process, the time up to which this member may have
// acknowledged messages of a leader. Only its clock may be used to tell times in two runs.
type ContactRecord interface {
	// Age returns the time since the end of the record, negative if it lies in the future, or
	// false if it is not known.
	Age() (time.Duration, bool)
	// Extend replaces the record by one that ends so long from now.
	Extend(d time.Duration) error
	// Clear removes the record.
	Clear() error
	Close() error
}

// loadContact sets the time of the last contact with a leader, whose lease may depend on a message
// that was acknowledged before the start. Without a record it may have been just before.
func (n *Node) loadContact() {
	n.leaderContactAt = n.startedAt
	if n.opts.Contacts != nil {
		if age, ok := n.opts.Contacts.Age(); ok && age > 0 {
			n.leaderContactAt = n.startedAt.Add(-age)
		}
	}
	n.resetElectionDeadline()
	if n.startedAt.Sub(n.leaderContactAt) < n.opts.ElectionTimeout {
		return
	}
	n.startsEarly = true
	n.electionDeadline = n.startedAt.Add(time.Duration(n.opts.Rand.Int64N(int64(n.opts.ElectionTimeout / earlyPreVoteDivisor))))
	n.common.Log.Info("No leader's lease depends on this member; it may vote at once.",
		zap.Int64("leader_contact_ms", n.startedAt.Sub(n.leaderContactAt).Milliseconds()))
}

// repeatPreVoteEarly brings the next pre-vote of a member that starts early forward: the others
// may only be starting, so that they got no request. The members that are up elect a leader as
// soon as they are a majority.
func (n *Node) repeatPreVoteEarly() {
	if !n.startsEarly || n.now().Sub(n.startedAt) > preVoteRepeatTimeouts*n.opts.ElectionTimeout {
		return
	}
	interval := n.opts.ElectionTimeout / earlyPreVoteDivisor
	n.electionDeadline = n.now().Add(interval + time.Duration(n.opts.Rand.Int64N(int64(interval))))
}

// keepContact extends the contact record before a message of a leader is acknowledged. If that
// fails this member stops: an outdated record would let it vote too early after a restart.
func (n *Node) keepContact() {
	if n.opts.Contacts == nil || n.now().Before(n.contactUntil) {
		return
	}
	var err error
	if n.opts.KeepsContacts != nil && n.opts.KeepsContacts() {
		n.contactUntil = n.now().Add(n.opts.ElectionTimeout / contactExtensionDivisor)
		err = n.opts.Contacts.Extend(n.opts.ElectionTimeout / contactExtensionDivisor)
	} else if !n.isContactCleared || !n.contactUntil.IsZero() {
		n.contactUntil, n.isContactCleared = time.Time{}, true
		err = n.opts.Contacts.Clear()
	}
	if err != nil {
		n.stop(err)
	}
}

// closeContact closes the record, and removes it at a regular end: a release that does not extend
// it may run next in the data folder.
func (n *Node) closeContact(isRegularEnd bool) {
	if n.opts.Contacts == nil {
		return
	}
	if isRegularEnd {
		if err := n.opts.Contacts.Clear(); err != nil {
			n.common.Log.Warn("Contact record not removed.", zap.Error(err))
		}
	}
	_ = n.opts.Contacts.Close()
}
