package aubclaim

import (
	"container/heap"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// attempt is one try of an owner to run a call.
type attempt struct {
	Owner
	attempt string
}

func newAttempt(o *aubwire.ClaimOwner) attempt {
	return attempt{
		Owner:   Owner{Instance: o.GetInstance(), Incarnation: o.GetIncarnation()},
		attempt: o.GetAttempt(),
	}
}

func (a attempt) wire() *aubwire.ClaimOwner {
	return &aubwire.ClaimOwner{Instance: a.Instance, Incarnation: a.Incarnation, Attempt: a.attempt}
}

func newID(id *aubwire.ClaimID) ID { return ID{Workspace: id.GetWorkspace(), Key: id.GetKey()} }

func (id ID) wire() *aubwire.ClaimID {
	return &aubwire.ClaimID{Workspace: id.Workspace, Key: id.Key}
}

func (id ID) compare(other ID) int {
	if c := strings.Compare(id.Workspace, other.Workspace); c != 0 {
		return c
	}
	return strings.Compare(id.Key, other.Key)
}

// entry is one claim. The outcome is set when it is done.
type entry struct {
	id      ID
	owner   attempt
	digest  []byte
	state   aubwire.ClaimState
	outcome *aubwire.ClaimOutcome
	holdEnd time.Duration
	keepEnd time.Duration
	index   int
}

func (e *entry) size() int {
	if e.outcome == nil {
		return 0
	}
	return proto.Size(e.outcome)
}

// state is the content of the table.
type state struct {
	clock      time.Duration
	bytes      int
	entries    map[ID]*entry
	workspaces map[string]int
	ends       entryHeap
	released   *attemptSet
	// retired holds, by instance, the incarnation below which all are gone.
	retired map[string]uint64
}

func newState() *state {
	return &state{
		entries:    make(map[ID]*entry),
		workspaces: make(map[string]int),
		released:   newAttemptSet(),
		retired:    make(map[string]uint64),
	}
}

// advance moves the clock and drops what is no longer kept.
func (s *state) advance(clock time.Duration) {
	s.clock = max(s.clock, clock)
	for len(s.ends) > 0 && s.ends[0].keepEnd <= s.clock {
		s.remove(s.ends[0])
	}
	s.released.expire(s.clock)
}

func (s *state) add(e *entry) {
	s.entries[e.id] = e
	s.workspaces[e.id.Workspace]++
	s.bytes += e.size()
	heap.Push(&s.ends, e)
}

func (s *state) remove(e *entry) {
	heap.Remove(&s.ends, e.index)
	delete(s.entries, e.id)
	s.bytes -= e.size()
	s.workspaces[e.id.Workspace]--
	if s.workspaces[e.id.Workspace] == 0 {
		delete(s.workspaces, e.id.Workspace)
	}
}

func (s *state) keepUntil(e *entry, end time.Duration) {
	e.keepEnd = end
	heap.Fix(&s.ends, e.index)
}

// current returns the entry's state once its hold and its owner's life are
// taken into account.
func (s *state) current(e *entry) aubwire.ClaimState {
	if e.state != aubwire.ClaimState_CLAIM_STATE_IN_PROGRESS {
		return e.state
	}
	if e.holdEnd <= s.clock || s.isRetired(e.owner.Owner) {
		return aubwire.ClaimState_CLAIM_STATE_MAY_HAVE_RUN
	}
	return e.state
}

func (s *state) isReleased(attempt string) bool { return s.released.has(attempt) }

func (s *state) isRetired(o Owner) bool {
	return o.Incarnation < s.retired[o.Instance]
}

func (s *state) retire(o Owner) {
	s.retired[o.Instance] = max(s.retired[o.Instance], o.Incarnation)
}
