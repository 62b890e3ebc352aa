package aubadmin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubstate"
	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubstate/aubcommand"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// retryAfterUncertain is the Retry-After of a ticket with unknown outcome, and of one
// that was not committed if the proposer gives no other time.
const retryAfterUncertain = time.Second

// ticketHandler receives change tickets.
type ticketHandler struct {
	common aubcommon.Common
	opts   HandlerOpts
	waiter versionWaiter
}

func newTicketHandler(common aubcommon.Common, opts HandlerOpts) *ticketHandler {
	return &ticketHandler{common: common, opts: opts, waiter: versionWaiter{common: common, members: opts.Members}}
}

// put commits a ticket and, with the parameter wait, waits until every known process
// announces the resulting version.
func (t *ticketHandler) put(w http.ResponseWriter, r *http.Request) {
	wait, err := parseWait(r.URL.Query().Get("wait"))
	if err != nil {
		writeProblem(w, problem{status: http.StatusBadRequest, code: "invalid_wait", detail: err.Error()})
		return
	}
	ticket, refusal := readTicket(r)
	if refusal != nil {
		writeProblem(w, *refusal)
		return
	}
	outcome, err := t.checkAndCommit(r.Context(), ticket)
	if err != nil {
		writeProblem(w, commitProblem(ticket.Number, err))
		return
	}
	t.common.Log.Info("Ticket processed.", zap.Uint64("ticket", outcome.Number),
		zap.String("status", string(outcome.Status)), zap.Uint64("version", outcome.Version))
	if outcome.Status == aubapi.TicketAccepted && wait > 0 {
		outcome.Unconfirmed = t.waiter.waitForVersion(r.Context(), outcome.Version, wait)
		outcome.InForce = len(outcome.Unconfirmed) == 0
	}
	writeResponse(w, r, httpStatus(outcome.Status), outcome)
}

// checkAndCommit checks the ticket's content and commits it. Checks that depend on
// other tickets are made when the log is applied, in its order.
func (t *ticketHandler) checkAndCommit(ctx context.Context, ticket aubapi.Ticket) (aubapi.TicketOutcome, error) {
	if faults := aubcommand.CheckTicket(ticket); len(faults) > 0 {
		// Invalid references to the configuration are added, to report every fault in one
		// response.
		faults = append(faults, aubcommand.CheckReferences(t.opts.ConfigStore.Config(), ticket)...)
		return aubapi.TicketOutcome{Number: ticket.Number, Status: aubapi.TicketInvalid, Faults: faults}, nil
	}
	body, err := aubcodec.EncodeTicket(ticket)
	if err != nil {
		return aubapi.TicketOutcome{}, &aubcontrol.NotCommittedError{Reason: "the ticket can't be encoded", Err: err}
	}
	ctx, cancel := withTimeout(ctx, t.common.Timer, applyTimeout)
	defer cancel()
	result, err := t.opts.Proposer.Apply(ctx, aubstate.TableName, body)
	if err != nil {
		return aubapi.TicketOutcome{}, err
	}
	return aubcodec.DecodeOutcome(result.Body)
}

// readTicket reads the ticket of a request, or returns the problem to respond with.
func readTicket(r *http.Request) (aubapi.Ticket, *problem) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		return aubapi.Ticket{}, &problem{
			status: http.StatusBadRequest, code: "invalid_number",
			detail: fmt.Sprintf("%q is no ticket number; allowed is 1 to %d", r.PathValue("number"), uint64(aubcommand.MaxTicketNumber)),
		}
	}
	format, ok := aubapi.FormatOf(r.Header.Get("Content-Type"))
	if !ok {
		return aubapi.Ticket{}, &problem{
			status: http.StatusUnsupportedMediaType, code: "unsupported_media_type",
			detail: "allowed are application/yaml and application/json",
		}
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, aubapi.MaxTicketBytes+1))
	if err != nil {
		return aubapi.Ticket{}, &problem{status: http.StatusBadRequest, code: "incomplete_body", detail: "the body ended early"}
	}
	return decodeTicket(data, format, number)
}

// decodeTicket decodes the ticket and checks that its number is that of the path; a
// document without a number gets it from there.
func decodeTicket(data []byte, format aubapi.Format, number uint64) (aubapi.Ticket, *problem) {
	if len(data) > aubapi.MaxTicketBytes {
		return aubapi.Ticket{}, &problem{
			status: http.StatusRequestEntityTooLarge, code: "ticket_too_large",
			detail: fmt.Sprintf("a ticket has at most %d bytes", aubapi.MaxTicketBytes),
		}
	}
	ticket, err := aubapi.DecodeTicket(data, format)
	if err != nil {
		return aubapi.Ticket{}, &problem{status: http.StatusBadRequest, code: "malformed_ticket", detail: err.Error()}
	}
	if ticket.Number == 0 {
		ticket.Number = number
	}
	if ticket.Number != number {
		return aubapi.Ticket{}, &problem{
			status: http.StatusBadRequest, code: "invalid_number",
			detail: fmt.Sprintf("the path names ticket %d and the document ticket %d", number, ticket.Number),
		}
	}
	return ticket, nil
}

// commitProblem returns the problem for an error of the commit. Unless the error says
// that the ticket was not committed, it may have been.
func commitProblem(number uint64, err error) problem {
	if notCommitted, ok := errors.AsType[*aubcontrol.NotCommittedError](err); ok {
		retryAfter := notCommitted.RetryAfter
		if retryAfter <= 0 {
			retryAfter = retryAfterUncertain
		}
		return problem{
			status: http.StatusServiceUnavailable, code: "not_committed", retryAfter: retryAfter,
			detail: fmt.Sprintf("this request did not commit ticket %d and never will: %s", number, notCommitted.Reason),
		}
	}
	return problem{
		status: http.StatusGatewayTimeout, code: "uncertain", execution: aubapi.ExecutionMayHaveRun, retryAfter: retryAfterUncertain,
		detail: fmt.Sprintf("ticket %d may or may not be committed; send the same ticket again, "+
			"it is applied once at most and gets its first outcome", number),
	}
}

func httpStatus(status aubapi.TicketStatus) int {
	switch status {
	case aubapi.TicketAccepted:
		return http.StatusOK
	case aubapi.TicketInvalid:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusConflict
	}
}

// parseWait parses the parameter wait: a duration from 0 to maxWait; empty means 0.
func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, fmt.Errorf("wait is %q; allowed is a duration of 0s to %s, such as 20s", text, maxWait)
	}
	return wait, nil
}
