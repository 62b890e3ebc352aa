package aubclaim

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// wireOwner encodes the ticket's owner and attempt.
func (t Ticket) wireOwner() *aubwire.ClaimOwner {
	return attempt{Owner: t.Owner, id: t.Attempt}.wire()
}

func beginCommand(t Ticket, claim Claim) *aubwire.ClaimCommand {
	return &aubwire.ClaimCommand{Command: &aubwire.ClaimCommand_Begin{Begin: &aubwire.ClaimBegin{
		Id:     t.ID.wire(),
		Owner:  t.wireOwner(),
		Digest: claim.Digest,
		HoldNs: int64(claim.Timeout),
	}}}
}

func finishCommand(t Ticket, o Outcome) *aubwire.ClaimCommand {
	return &aubwire.ClaimCommand{Command: &aubwire.ClaimCommand_Finish{Finish: &aubwire.ClaimFinish{
		Id:      t.ID.wire(),
		Owner:   t.wireOwner(),
		Outcome: o.wire(),
	}}}
}

func releaseCommand(t Ticket) *aubwire.ClaimCommand {
	return &aubwire.ClaimCommand{Command: &aubwire.ClaimCommand_Release{Release: &aubwire.ClaimRelease{
		Id:    t.ID.wire(),
		Owner: t.wireOwner(),
	}}}
}

func abandonCommand(t Ticket) *aubwire.ClaimCommand {
	return &aubwire.ClaimCommand{Command: &aubwire.ClaimCommand_Abandon{Abandon: &aubwire.ClaimAbandon{
		Id:    t.ID.wire(),
		Owner: t.wireOwner(),
	}}}
}

func retireCommand(o Owner) *aubwire.ClaimCommand {
	return &aubwire.ClaimCommand{Command: &aubwire.ClaimCommand_Retire{Retire: &aubwire.ClaimRetire{
		Owner: attempt{Owner: o}.wire(),
	}}}
}

func (o Outcome) wire() *aubwire.ClaimOutcome {
	w := &aubwire.ClaimOutcome{
		//nolint:gosec // Statuses have three digits.
		Status:  int32(o.Status),
		Body:    o.Body,
		Omitted: o.Omitted,
	}
	for _, h := range o.Headers {
		w.Headers = append(w.Headers, &aubwire.ClaimHeader{Name: h.Name, Values: h.Values})
	}
	return w
}

func newOutcome(w *aubwire.ClaimOutcome) Outcome {
	o := Outcome{Status: int(w.GetStatus()), Body: w.GetBody(), Omitted: w.GetOmitted()}
	for _, h := range w.GetHeaders() {
		o.Headers = append(o.Headers, Header{Name: h.GetName(), Values: h.GetValues()})
	}
	return o
}

func newOwner(w *aubwire.ClaimOwner) Owner { return newAttempt(w).Owner }

// newResult converts the table's reply to a Begin command into a Result.
func newResult(t Ticket, sendBy time.Time, r *aubwire.ClaimReply) (Result, error) {
	switch r.GetResult() {
	case aubwire.ClaimResult_CLAIM_RESULT_BEGUN:
		return Begun{Ticket: t, SendBy: sendBy}, nil
	case aubwire.ClaimResult_CLAIM_RESULT_RECORDED:
		return Recorded{Outcome: newOutcome(r.GetOutcome())}, nil
	case aubwire.ClaimResult_CLAIM_RESULT_IN_PROGRESS:
		return InProgress{
			Owner:      newOwner(r.GetOwner()),
			RetryAfter: time.Duration(r.GetRetryAfterNs()),
		}, nil
	case aubwire.ClaimResult_CLAIM_RESULT_MAY_HAVE_RUN:
		return MayHaveRun{Owner: newOwner(r.GetOwner())}, nil
	case aubwire.ClaimResult_CLAIM_RESULT_CONFLICT:
		return Conflict{}, nil
	case aubwire.ClaimResult_CLAIM_RESULT_FULL:
		return Full{RetryAfter: time.Duration(r.GetRetryAfterNs())}, nil
	case aubwire.ClaimResult_CLAIM_RESULT_NOT_OWNER:
		return nil, &NotOwnerError{Attempt: t.Attempt}
	default:
		return nil, &ReplyError{Detail: r.GetResult().String()}
	}
}
