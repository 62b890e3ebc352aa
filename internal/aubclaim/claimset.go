package aubclaim

import (
	"container/heap"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// attempt identifies one attempt of an owner to run a call.
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

// entry is one claim in the table. Its times are values of the replicated clock.
type entry struct {
	id     ID
	owner  attempt
	digest []byte
	state  aubwire.ClaimState
	// outcome is nil until the claim is done.
	outcome *aubwire.ClaimOutcome
	// deadline is when a claim that is still in progress counts as may have run.
	deadline time.Duration
	// expiresAt is when the claim is removed from the table.
	expiresAt time.Duration
	// heapIndex is the entry's index in claimSet.byExpiry.
	heapIndex int
}

// outcomeBytes returns the encoded size of the outcome.
func (e *entry) outcomeBytes() int {
	if e.outcome == nil {
		return 0
	}
	return proto.Size(e.outcome)
}

// claimSet is the replicated state of the table.
type claimSet struct {
	// clock is the replicated clock of the newest command.
	clock time.Duration
	// outcomeBytes is the total encoded size of the recorded outcomes.
	outcomeBytes     int
	entries          map[ID]*entry
	countByWorkspace map[string]int
	byExpiry         entryHeap
	// released holds the attempts that must not get a claim any more.
	released *attemptSet
	// minIncarnation holds, by instance, the lowest incarnation that may be running;
	// lower ones have terminated.
	minIncarnation map[string]uint64
}

func newClaimSet() *claimSet {
	return &claimSet{
		entries:          make(map[ID]*entry),
		countByWorkspace: make(map[string]int),
		released:         newAttemptSet(),
		minIncarnation:   make(map[string]uint64),
	}
}

// advance moves the clock forward and removes the expired claims and released
// attempts.
func (s *claimSet) advance(clock time.Duration) {
	s.clock = max(s.clock, clock)
	for len(s.byExpiry) > 0 && s.byExpiry[0].expiresAt <= s.clock {
		s.remove(s.byExpiry[0])
	}
	s.released.expire(s.clock)
}

func (s *claimSet) add(e *entry) {
	s.entries[e.id] = e
	s.countByWorkspace[e.id.Workspace]++
	s.outcomeBytes += e.outcomeBytes()
	heap.Push(&s.byExpiry, e)
}

func (s *claimSet) remove(e *entry) {
	heap.Remove(&s.byExpiry, e.heapIndex)
	delete(s.entries, e.id)
	s.outcomeBytes -= e.outcomeBytes()
	s.countByWorkspace[e.id.Workspace]--
	if s.countByWorkspace[e.id.Workspace] == 0 {
		delete(s.countByWorkspace, e.id.Workspace)
	}
}

func (s *claimSet) setExpiry(e *entry, expiresAt time.Duration) {
	e.expiresAt = expiresAt
	heap.Fix(&s.byExpiry, e.heapIndex)
}

// currentState returns the entry's state. A claim in progress counts as may have
// run when its deadline has passed or its owner has terminated.
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

// retire records that the instance's incarnations below the owner's have terminated.
func (s *claimSet) retire(o Owner) {
	s.minIncarnation[o.Instance] = max(s.minIncarnation[o.Instance], o.Incarnation)
}
