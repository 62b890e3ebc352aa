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
	// Workspaces gives the configuration at the position in the log that is
	// being applied. It is called inside Apply.
	Workspaces func(name string) (aubapi.Workspace, bool)
	Terms      Terms
}

// Table is the replicated table of limits. It is safe for concurrent use.
type Table struct {
	opts TableOpts

	// mu guards everything below.
	mu       sync.Mutex
	clock    time.Duration
	sessions map[holderID]*session
	centrals map[string]*central
}

var _ aubcontrol.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable(opts TableOpts) *Table {
	opts.Terms = opts.Terms.withDefaults()
	return &Table{
		opts:     opts,
		sessions: make(map[holderID]*session),
		centrals: make(map[string]*central),
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
		return encode(&aubwire.LimitReply{Outcome: aubwire.LimitOutcome_LIMIT_OUTCOME_INVALID})
	}
	return t.sync(cmd.Index, sync)
}

// Refresh applies the configured limits from the moment of the replicated clock
// on. The state machine calls it, on every replica, after each applied ticket;
// without it, limits that a ticket changed and a later one changed back before
// the next sync are not noticed.
func (t *Table) Refresh(clock time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = max(t.clock, clock)
	for name, c := range t.centrals {
		t.advance(name, c)
	}
}

func (t *Table) sync(index uint64, sync *aubwire.LimitSync) []byte {
	id := holderID{instance: sync.GetInstance(), incarnation: sync.GetIncarnation()}
	if t.isSuperseded(id) {
		return encode(&aubwire.LimitReply{Outcome: aubwire.LimitOutcome_LIMIT_OUTCOME_OLD_INCARNATION})
	}
	s := t.open(id, sync)
	if sync.GetSequence() <= s.sequence {
		return s.repeat(sync.GetSequence())
	}
	s.sequence = sync.GetSequence()
	s.zone = sync.GetZone()
	t.settle(s, sync)
	if s.epoch == 0 {
		s.epoch = index
	}
	s.leaseEnd = t.clock + t.opts.Terms.Lease + t.opts.Terms.LeaseMargin
	s.floorEnd = t.clock + t.opts.Terms.FloorLease + t.opts.Terms.FloorMargin
	r := &aubwire.LimitReply{
		Outcome:      aubwire.LimitOutcome_LIMIT_OUTCOME_APPLIED,
		Epoch:        s.epoch,
		ClockNs:      int64(t.clock),
		LeaseNs:      int64(t.opts.Terms.Lease),
		FloorLeaseNs: int64(t.opts.Terms.FloorLease),
	}
	s.left = sync.GetLeaving()
	if s.left {
		t.giveUp(s)
	} else {
		r.Grants = t.grant(s, index, sync)
	}
	s.reply = encode(r)
	return s.reply
}

// open returns the holder's session, a new one if needed.
func (t *Table) open(id holderID, sync *aubwire.LimitSync) *session {
	if s, ok := t.sessions[id]; ok {
		return s
	}
	if sync.GetPredecessorEnded() {
		t.dropPredecessors(id)
	}
	s := &session{id: id, accounts: make(map[string]*holding)}
	t.sessions[id] = s
	return s
}

// repeat answers a sequence that was applied before.
func (s *session) repeat(sequence uint64) []byte {
	if sequence == s.sequence {
		return s.reply
	}
	return encode(&aubwire.LimitReply{Outcome: aubwire.LimitOutcome_LIMIT_OUTCOME_OLD_SEQUENCE})
}

func (t *Table) isSuperseded(id holderID) bool {
	for other := range t.sessions {
		if other.instance == id.instance && other.incarnation > id.incarnation {
			return true
		}
	}
	return false
}

// dropPredecessors forgets holders that are certainly gone. What they had lent
// is lost; their floors are free.
func (t *Table) dropPredecessors(id holderID) {
	for other, s := range t.sessions {
		if other.instance == id.instance && other.incarnation < id.incarnation {
			t.giveUp(s)
			delete(t.sessions, other)
		}
	}
}

// giveUp ends the holder's lease and floors.
func (t *Table) giveUp(s *session) {
	t.endLease(s)
	t.endFloors(s)
}

func encode(r *aubwire.LimitReply) []byte {
	body, err := proto.Marshal(r)
	if err != nil {
		return nil
	}
	return body
}
