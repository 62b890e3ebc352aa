package aublimit

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// TableName is the table's name in the replicated log.
const TableName = "limits"

// TableOpts configures the table. Every replica must have the same values.
type TableOpts struct {
	// Workspaces returns the configured workspace as of the log index being applied.
	// It is called by Apply and Refresh.
	Workspaces  func(name string) (aubapi.Workspace, bool)
	LeaseParams LeaseParams
}

// Table is the replicated table of limits. It is safe for concurrent use.
type Table struct {
	opts TableOpts

	// mu guards everything below.
	mu sync.Mutex
	// clock is the replicated clock of the last command.
	clock    time.Duration
	sessions map[holderID]*tableSession
	// centrals has the workspace as key.
	centrals map[string]*centralState
}

var _ aubcontrol.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable(opts TableOpts) *Table {
	opts.LeaseParams = opts.LeaseParams.withDefaults()
	return &Table{
		opts:     opts,
		sessions: make(map[holderID]*tableSession),
		centrals: make(map[string]*centralState),
	}
}

// Name implements aubcontrol.Table.
func (t *Table) Name() string { return TableName }

// Apply implements aubcontrol.Table.
func (t *Table) Apply(cmd aubcontrol.Command) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = max(t.clock, cmd.Clock)
	t.expire()
	sync := &aubwire.LimitSync{}
	if err := proto.Unmarshal(cmd.Body, sync); err != nil {
		return encodeReply(&aubwire.LimitReply{Outcome: aubwire.LimitOutcome_LIMIT_OUTCOME_INVALID})
	}
	return t.applySync(cmd.Index, sync)
}

// Refresh applies the configured limits as of the given replicated clock. The state
// machine calls it, on every replica, after each applied ticket. Without it, a
// change of limits that a later ticket reverts before the next sync would be missed.
func (t *Table) Refresh(clock time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = max(t.clock, clock)
	for name, c := range t.centrals {
		t.advance(name, c)
	}
}

// applySync applies a decoded sync and returns the encoded reply.
func (t *Table) applySync(index uint64, sync *aubwire.LimitSync) []byte {
	id := holderID{instance: sync.GetInstance(), incarnation: sync.GetIncarnation()}
	if t.isSuperseded(id) {
		return encodeReply(&aubwire.LimitReply{Outcome: aubwire.LimitOutcome_LIMIT_OUTCOME_OLD_INCARNATION})
	}
	session := t.openSession(id, sync)
	if sync.GetSequence() <= session.sequence {
		return session.replyToDuplicate(sync.GetSequence())
	}
	session.sequence = sync.GetSequence()
	session.zone = sync.GetZone()
	t.applyUses(session, sync)
	if session.epoch == 0 {
		session.epoch = index
	}
	session.leaseEnd = t.clock + t.opts.LeaseParams.Lease + t.opts.LeaseParams.LeaseMargin
	session.floorEnd = t.clock + t.opts.LeaseParams.FloorLease + t.opts.LeaseParams.FloorMargin
	reply := &aubwire.LimitReply{
		Outcome:      aubwire.LimitOutcome_LIMIT_OUTCOME_APPLIED,
		Epoch:        session.epoch,
		ClockNs:      int64(t.clock),
		LeaseNs:      int64(t.opts.LeaseParams.Lease),
		FloorLeaseNs: int64(t.opts.LeaseParams.FloorLease),
	}
	session.drained = sync.GetLeaving()
	if session.drained {
		t.release(session)
	} else {
		reply.Grants = t.grant(session, index, sync)
	}
	session.reply = encodeReply(reply)
	return session.reply
}

// openSession returns the holder's session, a new one if there is none.
func (t *Table) openSession(id holderID, sync *aubwire.LimitSync) *tableSession {
	if s, ok := t.sessions[id]; ok {
		return s
	}
	if sync.GetPredecessorEnded() {
		t.dropPredecessors(id)
	}
	s := &tableSession{id: id, holdings: make(map[string]*holding)}
	t.sessions[id] = s
	return s
}

// replyToDuplicate returns the reply to a sequence that was already applied.
func (s *tableSession) replyToDuplicate(sequence uint64) []byte {
	if sequence == s.sequence {
		return s.reply
	}
	return encodeReply(&aubwire.LimitReply{Outcome: aubwire.LimitOutcome_LIMIT_OUTCOME_OLD_SEQUENCE})
}

// isSuperseded reports whether a later incarnation of the instance has a session.
func (t *Table) isSuperseded(id holderID) bool {
	for other := range t.sessions {
		if other.instance == id.instance && other.incarnation > id.incarnation {
			return true
		}
	}
	return false
}

// dropPredecessors deletes the sessions of terminated incarnations of the instance.
// Their outstanding tokens are lost; their floors are released.
func (t *Table) dropPredecessors(id holderID) {
	for other, s := range t.sessions {
		if other.instance == id.instance && other.incarnation < id.incarnation {
			t.release(s)
			delete(t.sessions, other)
		}
	}
}

// release ends the holder's lease and floors.
func (t *Table) release(s *tableSession) {
	t.endLease(s)
	t.endFloors(s)
}

// encodeReply returns the encoded reply, nil if the encoding fails.
func encodeReply(r *aubwire.LimitReply) []byte {
	body, err := proto.Marshal(r)
	if err != nil {
		return nil
	}
	return body
}
