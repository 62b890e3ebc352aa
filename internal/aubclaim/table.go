package aubclaim

import (
	"bytes"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TableName identifies the table in the commands of the replicated log.
const TableName = "claims"

// Table is the replicated table of claims. It is safe for concurrent use.
type Table struct {
	opts TableOpts

	// mu guards claims.
	mu     sync.Mutex
	claims *claimSet
}

var _ aubcontrol.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable(opts TableOpts) *Table {
	return &Table{opts: opts.withDefaults(), claims: newClaimSet()}
}

// Name implements aubcontrol.Table.
func (t *Table) Name() string { return TableName }

// Len returns the number of claims in the table, finished ones included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.claims.entries)
}

// Apply implements aubcontrol.Table.
func (t *Table) Apply(cmd aubcontrol.Command) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	body, err := proto.Marshal(t.apply(cmd))
	if err != nil {
		return nil
	}
	return body
}

func (t *Table) apply(cmd aubcontrol.Command) *aubwire.ClaimReply {
	t.claims.advance(cmd.Clock)
	decoded := &aubwire.ClaimCommand{}
	if err := proto.Unmarshal(cmd.Body, decoded); err != nil {
		return reply(aubwire.ClaimResult_CLAIM_RESULT_INVALID)
	}
	switch c := decoded.GetCommand().(type) {
	case *aubwire.ClaimCommand_Begin:
		return t.begin(c.Begin)
	case *aubwire.ClaimCommand_Finish:
		return t.finish(c.Finish)
	case *aubwire.ClaimCommand_Release:
		return t.release(c.Release)
	case *aubwire.ClaimCommand_Abandon:
		return t.abandon(c.Abandon)
	case *aubwire.ClaimCommand_Retire:
		return t.retire(c.Retire)
	default:
		return reply(aubwire.ClaimResult_CLAIM_RESULT_INVALID)
	}
}

func (t *Table) begin(c *aubwire.ClaimBegin) *aubwire.ClaimReply {
	owner := newAttempt(c.GetOwner())
	if t.claims.isReleased(owner.id) || t.claims.isRetired(owner.Owner) {
		return reply(aubwire.ClaimResult_CLAIM_RESULT_NOT_OWNER)
	}
	id := newID(c.GetId())
	if e, ok := t.claims.entries[id]; ok {
		return t.beginExisting(e, owner, c.GetDigest())
	}
	if retryAfter := t.timeUntilFree(id.Workspace); retryAfter > 0 {
		r := reply(aubwire.ClaimResult_CLAIM_RESULT_FULL)
		r.RetryAfterNs = int64(retryAfter)
		return r
	}
	timeout := time.Duration(c.GetHoldNs())
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	t.claims.add(&entry{
		id:        id,
		owner:     owner,
		digest:    c.GetDigest(),
		state:     aubwire.ClaimState_CLAIM_STATE_IN_PROGRESS,
		deadline:  t.claims.clock + timeout,
		expiresAt: t.claims.clock + timeout + t.opts.Retention,
	})
	return reply(aubwire.ClaimResult_CLAIM_RESULT_BEGUN)
}

// timeUntilFree returns 0 when a claim of the workspace can be added, else the time
// until the next claim of any workspace expires.
func (t *Table) timeUntilFree(workspace string) time.Duration {
	full := len(t.claims.entries) >= t.opts.MaxClaims ||
		t.claims.countByWorkspace[workspace] >= t.opts.MaxWorkspaceClaims
	if !full {
		return 0
	}
	return max(t.claims.byExpiry[0].expiresAt-t.claims.clock, time.Millisecond)
}

// beginExisting replies to a Begin whose ID is in the table.
func (t *Table) beginExisting(e *entry, owner attempt, digest []byte) *aubwire.ClaimReply {
	if !bytes.Equal(e.digest, digest) {
		return reply(aubwire.ClaimResult_CLAIM_RESULT_CONFLICT)
	}
	state := t.claims.currentState(e)
	if state == aubwire.ClaimState_CLAIM_STATE_DONE {
		r := reply(aubwire.ClaimResult_CLAIM_RESULT_RECORDED)
		r.Outcome = e.outcome
		return r
	}
	r := reply(aubwire.ClaimResult_CLAIM_RESULT_MAY_HAVE_RUN)
	r.Owner = e.owner.wire()
	if state == aubwire.ClaimState_CLAIM_STATE_IN_PROGRESS {
		if e.owner == owner {
			return reply(aubwire.ClaimResult_CLAIM_RESULT_BEGUN)
		}
		r.Result = aubwire.ClaimResult_CLAIM_RESULT_IN_PROGRESS
		r.RetryAfterNs = int64(t.opts.InProgressRetryAfter)
	}
	return r
}

func (t *Table) finish(c *aubwire.ClaimFinish) *aubwire.ClaimReply {
	e, ok := t.ownedEntry(c.GetId(), c.GetOwner())
	if !ok {
		return reply(aubwire.ClaimResult_CLAIM_RESULT_NOT_OWNER)
	}
	if e.state == aubwire.ClaimState_CLAIM_STATE_DONE {
		return reply(aubwire.ClaimResult_CLAIM_RESULT_APPLIED)
	}
	e.state = aubwire.ClaimState_CLAIM_STATE_DONE
	e.outcome = t.omitIfTooLarge(c.GetOutcome())
	t.claims.outcomeBytes += e.outcomeBytes()
	t.claims.setExpiry(e, t.claims.clock+t.opts.Retention)
	return reply(aubwire.ClaimResult_CLAIM_RESULT_APPLIED)
}

// omitIfTooLarge returns the outcome, or its status alone when it is too large to keep.
func (t *Table) omitIfTooLarge(o *aubwire.ClaimOutcome) *aubwire.ClaimOutcome {
	size := proto.Size(o)
	if len(o.GetBody()) <= t.opts.MaxBodyBytes && size <= 2*t.opts.MaxBodyBytes && t.claims.outcomeBytes+size <= t.opts.MaxTotalBytes {
		return o
	}
	return &aubwire.ClaimOutcome{Status: o.GetStatus(), Omitted: true}
}

func (t *Table) release(c *aubwire.ClaimRelease) *aubwire.ClaimReply {
	e, ok := t.ownedEntry(c.GetId(), c.GetOwner())
	if ok && e.state == aubwire.ClaimState_CLAIM_STATE_DONE {
		return reply(aubwire.ClaimResult_CLAIM_RESULT_NOT_OWNER)
	}
	// A Begin of this attempt that is committed later must not add the claim again.
	t.claims.released.add(c.GetOwner().GetAttempt(), t.claims.clock+t.opts.Retention, t.opts.MaxClaims)
	if ok {
		t.claims.remove(e)
	}
	return reply(aubwire.ClaimResult_CLAIM_RESULT_APPLIED)
}

func (t *Table) abandon(c *aubwire.ClaimAbandon) *aubwire.ClaimReply {
	e, ok := t.ownedEntry(c.GetId(), c.GetOwner())
	if !ok {
		return reply(aubwire.ClaimResult_CLAIM_RESULT_NOT_OWNER)
	}
	if e.state == aubwire.ClaimState_CLAIM_STATE_IN_PROGRESS {
		e.state = aubwire.ClaimState_CLAIM_STATE_MAY_HAVE_RUN
		t.claims.setExpiry(e, t.claims.clock+t.opts.Retention)
	}
	return reply(aubwire.ClaimResult_CLAIM_RESULT_APPLIED)
}

func (t *Table) retire(c *aubwire.ClaimRetire) *aubwire.ClaimReply {
	owner := newAttempt(c.GetOwner())
	t.claims.retire(owner.Owner)
	return reply(aubwire.ClaimResult_CLAIM_RESULT_APPLIED)
}

// ownedEntry returns the entry of the ID if the attempt holds it.
func (t *Table) ownedEntry(id *aubwire.ClaimID, owner *aubwire.ClaimOwner) (*entry, bool) {
	e, ok := t.claims.entries[newID(id)]
	if !ok || e.owner != newAttempt(owner) {
		return nil, false
	}
	return e, true
}

func reply(r aubwire.ClaimResult) *aubwire.ClaimReply { return &aubwire.ClaimReply{Result: r} }
