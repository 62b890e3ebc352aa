package aubcontrol

import (
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubconsensus"
)

// Status codes of the Control service for a command that is not committed. The
// gRPC library returns none of them by itself.
const (
	codeNotCommitted = codes.Aborted
	codePermanent    = codes.InvalidArgument
	codeExpired      = codes.OutOfRange
)

// fromConsensusError converts an error of the replicated log.
func fromConsensusError(err error) error {
	var notLeader *aubconsensus.NotLeaderError
	var overwritten *aubconsensus.OverwrittenError
	var tooLarge *aubconsensus.CommandSizeError
	switch {
	case errors.As(err, &notLeader):
		return &NotCommittedError{Reason: "this replica does not lead", Err: err}
	case errors.As(err, &overwritten):
		return &NotCommittedError{Reason: "another leader took over", Err: err}
	case errors.As(err, &tooLarge):
		return &NotCommittedError{Reason: "command is too large", Err: errors.Join(errPermanent, err)}
	default:
		return &UncertainError{Reason: "the log gave no answer", Err: err}
	}
}

// fromMembershipError converts an error of a membership change or a leadership
// transfer.
func fromMembershipError(err error) error {
	if err == nil {
		return nil
	}
	var changeErr *aubconsensus.MembershipChangeError
	if errors.As(err, &changeErr) {
		return &MembershipError{Reason: changeErr.Reason}
	}
	return &MembershipError{Reason: "the change is not complete", Err: err}
}

// toStatus converts the error of an attempt to a gRPC status.
func toStatus(err error) error {
	switch {
	case !isNotCommitted(err):
		return status.Error(codes.Unknown, err.Error())
	case errors.Is(err, errPermanent):
		return status.Error(codePermanent, err.Error())
	case errors.Is(err, errExpired):
		return status.Error(codeExpired, err.Error())
	default:
		return status.Error(codeNotCommitted, err.Error())
	}
}

// fromStatus converts the error of a call; wasSent is false if the request was
// never written to a connection.
func fromStatus(err error, wasSent bool) error {
	reason := status.Convert(err).Message()
	switch status.Code(err) {
	case codeNotCommitted:
		return &NotCommittedError{Reason: reason}
	case codePermanent:
		return &NotCommittedError{Reason: reason, Err: errPermanent}
	case codeExpired:
		return &NotCommittedError{Reason: reason, Err: errExpired}
	}
	if !wasSent {
		return &NotCommittedError{Reason: "control replica can't be reached", Err: err}
	}
	return &UncertainError{Reason: "control replica gave no answer", Err: err}
}

func isNotCommitted(err error) bool {
	var notCommitted *NotCommittedError
	return errors.As(err, &notCommitted)
}
