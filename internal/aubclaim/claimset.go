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
	id string
}

func newAttempt(o *aubwire.ClaimOwner) attempt {
	return attempt{
		Owner: Owner{Instance: o.GetInstance(), Incarnation: o.GetIncarnation()},
		id:    o.GetAttempt(),
	}
}

func (a attempt) wire() *aubwire.ClaimOwner {
	return &aubwire.ClaimOwner{Instance: a.Instance, Incarnation: a.Incarnation, Attempt: a.id}
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
	id        ID
	owner     attempt
	digest    []byte
	state     aubwire.ClaimState
	outcome   *aubwire.ClaimOutcome
	deadline  time.Duration
	expiresAt time.Duration
	heapIndex int
}

func (e *entry) outcomeBytes() int {
	if e.outcome == nil {
		return 0
	}
	return proto.Size(e.outcome)
}

// claimSet is the content of the table.
type claimSet struct {
	clock              time.Duration
	outcomeBytes       int
	entries            map[ID]*entry
	claimsPerWorkspace map[string]int
	byExpiry           entryHeap
	released           *attemptSet
	// minIncarnation holds, by instance, the incarnation below which all are gone.
	minIncarnation map[string]uint64
}

func newClaimSet() *claimSet {
	return &claimSet{
		entries:            make(map[ID]*entry),
		claimsPerWorkspace: make(map[string]int),
		released:           newAttemptSet(),
		minIncarnation:     make(map[string]uint64),
	}
}

// advance moves the clock and drops what is no longer kept.
func (s *claimSet) advance(clock time.Duration) {
	s.clock = max(s.clock, clock)
	for len(s.byExpiry) > 0 && s.byExpiry[0].expiresAt <= s.clock {
		s.remove(s.byExpiry[0])
	}
	s.released.expire(s.clock)
}

func (s *claimSet) add(e *entry) {
	s.entries[e.id] = e
	s.claimsPerWorkspace[e.id.Workspace]++
	s.outcomeBytes += e.outcomeBytes()
	heap.Push(&s.byExpiry, e)
}

func (s *claimSet) remove(e *entry) {
	heap.Remove(&s.byExpiry, e.heapIndex)
	delete(s.entries, e.id)
	s.outcomeBytes -= e.outcomeBytes()
	s.claimsPerWorkspace[e.id.Workspace]--
	if s.claimsPerWorkspace[e.id.Workspace] == 0 {
		delete(s.claimsPerWorkspace, e.id.Workspace)
	}
}

func (s *claimSet) setExpiry(e *entry, expiresAt time.Duration) {
	e.expiresAt = expiresAt
	heap.Fix(&s.byExpiry, e.heapIndex)
}

// currentState returns the entry's state once its hold and its owner's life are
// taken into account.
func (s *claimSet) currentState(e *entry) aubwire.ClaimState {
	if e.state != aubwire.ClaimState_CLAIM_STATE_IN_PROGRESS {
		return e.state
	}
	if e.deadline <= s.clock || s.isRetired(e.owner.Owner) {
		return aubwire.ClaimState_CLAIM_STATE_MAY_HAVE_RUN
	}
	return e.state
}

func (s *claimSet) isReleased(attempt string) bool { return s.released.has(attempt) }

func (s *claimSet) isRetired(o Owner) bool {
	return o.Incarnation < s.minIncarnation[o.Instance]
}

func (s *claimSet) retire(o Owner) {
	s.minIncarnation[o.Instance] = max(s.minIncarnation[o.Instance], o.Incarnation)
}
