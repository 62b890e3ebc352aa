package aubrelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubadmission"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubsite"
)

const (
	// maxWaitingRequests and maxWaitingBytes bound the requests that wait at this instance for
	// room on an engine.
	maxWaitingRequests = 512
	maxWaitingBytes    = 8 << 20
	// waitPollInterval is the time between two checks for room, waitPollSpread is added at
	// random so that relays don't all send when an engine becomes free.
	waitPollInterval = 15 * time.Millisecond
	waitPollSpread   = 15 * time.Millisecond
	// admissionSample is the number of backend servers in each of the own zone and the others
	// that are compared for a request. In the simulation of engines at 0.9 of their capacity,
	// comparing 8 on reports that are 70 ms old makes 5 in 100 streams late, comparing 3 makes 1.
	admissionSample = 2
)

// admitter holds what admission by objective knows across requests.
type admitter struct {
	estimator *aubadmission.Estimator
	kinds     *aubadmission.Kinds
	queue     *aubadmission.Queue

	drainOnce sync.Once
	// draining is closed when the process shuts down.
	draining chan struct{}

	scope tally.Scope
	waits tally.Histogram
}

func newAdmitter(common aubcommon.Common) *admitter {
	return &admitter{
		estimator: aubadmission.NewEstimator(common.Timer),
		kinds:     aubadmission.NewKinds(common.Timer),
		queue:     aubadmission.NewQueue(maxWaitingRequests, maxWaitingBytes),
		draining:  make(chan struct{}),
		scope:     common.Metrics,
		waits:     common.Metrics.Histogram("admission_wait_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)),
	}
}

func (a *admitter) drain() { a.drainOnce.Do(func() { close(a.draining) }) }

// admission is the state of one request that is admitted by its objective.
type admission struct {
	kind    aubadmission.Kind
	request aubadmission.Request
	target  string
	// ticket is the place among the waiting requests; nil if the request does not wait.
	ticket       *aubadmission.Ticket
	waitingSince time.Time
	// server and load are those of the last choice.
	server aubadmission.Server
	load   aubadmission.Load
	age    time.Duration
	// backendID is the backend server of the last choice.
	backendID string
}

// startAdmission prepares the admission of a request by its objective if the configuration asks
// for it. A request that may have run, or a stream that goes on, is never refused for its
// objective.
func (h *Handler) startAdmission(ex *exchange) {
	if ex.admission != nil || ex.mayHaveRun || ex.route.Objective <= 0 || ex.lastEventID != NoEventID ||
		!h.opts.Deferrable.Has(ex.site) {
		return
	}
	isDeferrable := h.opts.Deferrable.IsDeferrable(ex.site, ex.route)
	kind := aubadmission.Kind{
		Revision: ex.site.Number(), Route: ex.route.Name, Service: ex.service, Priority: priorityOf(ex),
		Objective: ex.route.Objective, IsDeferrable: isDeferrable, Timeout: ex.call.Timeout,
	}
	elapsed, urgentObjective := h.admitter.kinds.Observe(kind)
	ex.admission = &admission{
		kind: kind,
		request: aubadmission.Request{
			Objective: ex.route.Objective, Elapsed: elapsed, IsDeferrable: isDeferrable, UrgentObjective: urgentObjective,
			IsStream: ex.route.Kind == aubsite.KindStream,
		},
		target: admissionTarget(ex),
	}
}

// admissionTarget names the requests that wait for the same backend servers.
func admissionTarget(ex *exchange) string {
	return strings.Join([]string{ex.service, ex.call.Model, ex.call.Adapter, strings.Join(ex.regions, ",")}, "/")
}

// admitToBackend decides whether the request is sent to the chosen backend server. It returns
// false after a wait, upon which the request needs a new choice, and a refusal as an error.
func (h *Handler) admitToBackend(ctx context.Context, ex *exchange, choice aubroute.Choice) (bool, error) {
	a := ex.admission
	h.measureBackend(ex, choice)
	if ex.mayHaveRun {
		return true, nil
	}
	now := h.common.Timer.Now()
	a.request.Held, a.request.TimeLeft = now.Sub(ex.startedAt), ex.deadline.Sub(now)
	a.request.IsWaiting, a.request.WasSent = a.ticket != nil, ex.attempts > 0
	a.request.IsCrowded = h.admitter.kinds.IsCrowded(a.kind)
	decision := aubadmission.Decide(a.request, a.server, rand.Float64())
	switch decision.Action {
	case aubadmission.ActionSend:
		return true, nil
	case aubadmission.ActionWait:
		return false, h.awaitRoom(ctx, ex)
	}
	h.admitter.kinds.ObserveRefusal(a.kind, a.request.Elapsed == 0)
	return false, h.refuseByObjective(ex, decision, "expected_late")
}

// measureBackend sets the load of the chosen backend server and the expected time there.
func (h *Handler) measureBackend(ex *exchange, choice aubroute.Choice) {
	a := ex.admission
	announcement := choice.Member.Announcement
	a.backendID = announcement.GetName()
	slots := h.opts.Registry.Slots(announcement.GetName(), int64(announcement.GetIncarnation()))
	inFlight, pending := choice.InFlight, choice.PendingTokens
	assumed := choice.AssumedFirstToken
	isBlind := false
	if h.opts.LoadAge != nil {
		age, isHeard := h.opts.LoadAge()
		a.age = age
		if !isHeard {
			relays := max(h.opts.KnownRelays(), 1)
			isBlind = relays > 1
			inFlight, pending = choice.OwnInFlight*relays, choice.OwnPendingTokens*int64(relays)
		}
	}
	if ahead := inFlight - slots + 1; slots > 0 && ahead > 0 {
		assumed += choice.ServiceTime * time.Duration(ahead) / time.Duration(slots)
	}
	a.load = aubadmission.Load{InFlight: inFlight, Slots: slots, Assumed: assumed, IsBlind: isBlind}
	a.server = aubadmission.Server{InFlight: inFlight, Slots: slots, PendingTokens: pending, IsBlind: isBlind}
	if ex.route.Kind == aubsite.KindStream {
		a.server.Expected, a.server.IsKnown = h.admitter.estimator.ExpectFirstEvent(estimateKeys(ex, choice), a.load)
		return
	}
	a.server.Expected, a.server.IsKnown = h.admitter.estimator.ExpectAnswer(estimateKeys(ex, choice), a.load)
}

// estimateKeys names the estimates of requests like this one at the chosen backend server.
func estimateKeys(ex *exchange, choice aubroute.Choice) aubadmission.Keys {
	kind := "plain/"
	if ex.route.Kind == aubsite.KindStream {
		kind = "stream/"
	}
	announcement := choice.Member.Announcement
	return aubadmission.Keys{
		Server: kind + announcement.GetName() + "/" + strconv.FormatUint(announcement.GetIncarnation(), 10),
		Target: kind + ex.service + "/" + ex.call.Model,
	}
}

// observeFirstEvent records the time to the first event of a stream that was sent from its start.
func (h *Handler) observeFirstEvent(ex *exchange, choice aubroute.Choice) {
	if ex.admission != nil && ex.lastEventID == NoEventID {
		h.admitter.estimator.ObserveFirstEvent(estimateKeys(ex, choice), ex.admission.load, ex.firstEventTime)
	}
}

// observeAnswer records the time to a plain answer with the status.
func (h *Handler) observeAnswer(ex *exchange, choice aubroute.Choice, status int) {
	if ex.admission != nil && ex.route.Kind != aubsite.KindStream && status < http.StatusInternalServerError {
		h.admitter.estimator.ObserveAnswer(estimateKeys(ex, choice), ex.admission.load, ex.firstEventTime)
	}
}

// awaitRoom waits until the request is the first of those for its target and a time has passed
// after which an engine may have room. Errors are refusals and those of ctx.
func (h *Handler) awaitRoom(ctx context.Context, ex *exchange) error {
	a, now := ex.admission, h.common.Timer.Now()
	limit := ex.startedAt.Add(aubadmission.WaitLimit(a.request))
	if a.ticket == nil {
		ticket, ok := h.admitter.queue.Enter(a.target, aubadmission.Entry{
			Priority: priorityOf(ex), LatestStart: limit, Bytes: int64(len(ex.body)),
		})
		if !ok {
			return h.refuseByObjective(ex, aubadmission.RefuseFull(a.request, rand.Float64()), "queue_full")
		}
		a.ticket, a.waitingSince = ticket, now
		h.updateWaiting(priorityOf(ex))
	}
	for {
		left := limit.Sub(h.common.Timer.Now())
		if left <= 0 {
			return nil
		}
		if err := h.awaitTurn(ctx, a.ticket, left); err != nil {
			return err
		}
		if a.ticket.IsFirst() {
			return nil
		}
	}
}

// awaitTurn waits until the ticket is the first one for the first time or, if it was so before,
// for the time between two checks for room; at most for the time left.
func (h *Handler) awaitTurn(ctx context.Context, ticket *aubadmission.Ticket, left time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first := ticket.First()
	select {
	case <-first:
		first, left = nil, min(left, waitPollInterval+rand.N(waitPollSpread))
	default:
	}
	select {
	case <-first:
		return nil
	case <-h.common.Timer.After(ctx, left):
		return nil
	case <-h.admitter.draining:
		return newRefusal(http.StatusServiceUnavailable, CodeShuttingDown, drainRetryAfter)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// leaveQueue ends the wait of the request, if it waits.
func (h *Handler) leaveQueue(ex *exchange) {
	a := ex.admission
	if a == nil || a.ticket == nil {
		return
	}
	a.ticket.Leave()
	a.ticket = nil
	waited := h.common.Timer.Now().Sub(a.waitingSince)
	h.admitter.waits.RecordDuration(waited)
	waiting := h.updateWaiting(priorityOf(ex))
	h.common.Log.Info("Wait for an engine ended.", append(h.admissionFields(ex),
		zap.Int64("waited_ms", waited.Milliseconds()), zap.Int("waiting", waiting))...)
}

// updateWaiting sets the gauge of the priority and returns the number of all waiting requests.
func (h *Handler) updateWaiting(priority int) int {
	all, ofPriority := h.admitter.queue.Len(priority)
	h.admitter.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)}).Gauge("admission_waiting").Update(float64(ofPriority))
	return all
}

// refuseByObjective logs and counts a refusal and returns it.
func (h *Handler) refuseByObjective(ex *exchange, decision aubadmission.Decision, cause string) error {
	waiting, _ := h.admitter.queue.Len(priorityOf(ex))
	h.admitter.scope.Tagged(map[string]string{"cause": cause}).Counter("admission_refusals").Inc(1)
	h.common.Log.Info("Request can't meet its objective.", append(h.admissionFields(ex),
		zap.String("cause", cause), zap.Int64("remaining_ms", decision.Remaining.Milliseconds()),
		zap.Int64("elapsed_before_ms", ex.admission.request.Elapsed.Milliseconds()),
		zap.Duration("retry_after", decision.RetryAfter), zap.Int("waiting", waiting))...)
	return newRefusal(http.StatusServiceUnavailable, CodeObjectiveUnreachable, decision.RetryAfter)
}

// admissionFields are the inputs of a decision for the log.
func (h *Handler) admissionFields(ex *exchange) []zap.Field {
	a := ex.admission
	return []zap.Field{
		zap.String("request_id", ex.call.ID), zap.String("route", ex.route.Name), zap.String("backend_server", a.backendID),
		zap.Int64("expected_ms", a.server.Expected.Milliseconds()), zap.Bool("is_expected_known", a.server.IsKnown),
		zap.Int64("objective_ms", a.request.Objective.Milliseconds()),
		zap.Bool("is_crowded", a.request.IsCrowded), zap.Int("in_flight", a.server.InFlight), zap.Int("slots", a.server.Slots),
		zap.Int64("pending_tokens", a.server.PendingTokens), zap.Int64("load_age_ms", a.age.Milliseconds()),
	}
}
