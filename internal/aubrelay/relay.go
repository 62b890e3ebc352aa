package aubrelay

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	// PrefixBlockTokens is the number of prompt tokens for which routing remembers
	// one hash.
	PrefixBlockTokens = 512
	// maxUnrunSends bounds the sends of one request that did not run.
	maxUnrunSends = 5
	// defaultPriority is the rank that backend servers assume.
	defaultPriority = 5
	// maxPriority is the least urgent rank.
	maxPriority = 9
	// maxPlainAnswer bounds the plain answers that are read whole before they are
	// passed on, so that one that breaks off can be repeated.
	maxPlainAnswer = 1 << 20
	// prefillRun is the prompt tokens that an engine may read without a break: three
	// pieces of 4096, so that the running answers' pauses stay short.
	prefillRun = 12288
	// pacingShare of the objective, as a divisor, bounds the wait for a break, and
	// pacingInterval is the time between two looks.
	pacingShare    = 8
	pacingInterval = 10 * time.Millisecond
)

var prefixSeed = maphash.MakeSeed()

// verdict says how one send ended.
type verdict int

const (
	// verdictDone means that the caller has its final answer.
	verdictDone verdict = iota
	// verdictNotRun means that the request certainly did not run.
	verdictNotRun
	// verdictFailed means that the request may have run and brought no answer.
	verdictFailed
)

// sendResult is how one send ended.
type sendResult struct {
	verdict verdict
	failure aubroute.Failure
	// arrived is set once the backend server may have received the request.
	arrived bool
	// answer is a backend server's own failure, to be passed on unless a repeat
	// does better.
	answer *plainAnswer
	err    error
}

// relay sends the request until it has an answer or may not be sent again.
func (h *Handler) relay(ctx context.Context, x *exchange) error {
	x.service = serviceOf(x.route)
	var last sendResult
	for {
		choice, err := h.pick(ctx, x)
		if err != nil {
			return h.giveUp(ctx, x, last, err)
		}
		last = h.send(ctx, x, choice)
		if last.verdict == verdictDone {
			return last.err
		}
		if ctx.Err() != nil || !h.mayRepeat(x, last) {
			return h.giveUp(ctx, x, last, nil)
		}
		x.excluded = append(x.excluded, x.backend)
		h.metrics.retries.Inc(1)
	}
}

// mayRepeat decides whether the request may be sent once more.
func (h *Handler) mayRepeat(x *exchange, last sendResult) bool {
	switch {
	case last.verdict == verdictFailed && !x.route.Repeatable():
		return false
	case last.verdict == verdictFailed && x.runs >= max(x.route.MaxAttempts, 1):
		return false
	case x.sends-x.runs >= maxUnrunSends:
		return false
	}
	// A connection that was never made reached no backend server.
	return !last.arrived || h.parts.Router.AllowRetry(x.service)
}

// giveUp ends a request that is not sent any more. pickErr is set when no
// backend server was found for another send.
func (h *Handler) giveUp(ctx context.Context, x *exchange, last sendResult, pickErr error) error {
	cause := errors.Join(last.err, pickErr)
	switch {
	case x.r.Context().Err() != nil:
		return &goneError{err: x.r.Context().Err()}
	case x.written:
		return &brokenError{err: cause}
	case last.answer != nil:
		return h.passOn(x, last.answer)
	case x.mayHaveRun && ctx.Err() != nil:
		return &refusedError{refusal: Refusal{Status: http.StatusGatewayTimeout, Code: CodeTimeout}, err: cause}
	case x.mayHaveRun:
		return &refusedError{refusal: Refusal{Status: http.StatusBadGateway, Code: CodeFailed}, err: cause}
	}
	retryAfter := retrySoon
	var none *aubroute.NoBackendError
	if errors.As(pickErr, &none) && none.RetryAfter > 0 {
		retryAfter = none.RetryAfter
	}
	return &refusedError{refusal: Refusal{Status: http.StatusServiceUnavailable, Code: CodeNoBackend, RetryAfter: retryAfter}, err: cause}
}

// pick chooses a backend server. A prompt that would join others in prefill waits
// a little: engines that read prompts without a break stall their running answers.
func (h *Handler) pick(ctx context.Context, x *exchange) (aubroute.Choice, error) {
	request := h.routeRequest(x)
	latest := h.common.Timer.Now().Add(x.route.Objective / pacingShare)
	for {
		choice, err := h.choose(ctx, x, request)
		isCrowded := err == nil && choice.Waiting > 0 && choice.Waiting+choice.Uncached > prefillRun
		if !isCrowded || !h.common.Timer.Now().Before(latest) {
			return choice, err
		}
		if err := aubtimer.Wait(ctx, h.common.Timer, pacingInterval); err != nil {
			return choice, err
		}
	}
}

// choose asks the router. A model or adapter that no backend server holds is
// asked for.
func (h *Handler) choose(ctx context.Context, x *exchange, request aubroute.Request) (aubroute.Choice, error) {
	if err := ctx.Err(); err != nil {
		return aubroute.Choice{}, err
	}
	choice, err := h.parts.Router.Pick(request)
	var none *aubroute.NoBackendError
	if !errors.As(err, &none) {
		return choice, err
	}
	if len(x.excluded) > 0 {
		// The only holder may answer the second time: a lost answer is not a lost
		// backend server.
		request.Exclude = nil
		return h.parts.Router.Pick(request)
	}
	if request.Service != "" {
		return choice, err
	}
	if err := h.parts.Copies.Await(ctx, x.service, x.call.Model, x.call.Adapter); err != nil {
		return choice, err
	}
	return h.parts.Router.Pick(request)
}

func (h *Handler) routeRequest(x *exchange) aubroute.Request {
	request := aubroute.Request{Exclude: x.excluded, PromptTokens: x.call.PromptTokens, Budget: x.service}
	service, _ := x.site.Service(x.service)
	if service.Engine == nil || x.call.Model == "" {
		request.Service = x.service
		return request
	}
	request.Model = aubregistry.ModelName(x.service, x.call.Model)
	if x.call.Adapter != "" {
		request.Adapter = aubregistry.AdapterName(x.service, x.call.Model, x.call.Adapter)
	}
	request.Prefixes = prefixesOf(x.call)
	h.parts.Demand.Add(request.Model, x.call)
	return request
}

// prefixesOf hashes the prompt block by block. Kept prefixes belong to one model
// and adapter.
func prefixesOf(call Call) []uint64 {
	var hash maphash.Hash
	hash.SetSeed(prefixSeed)
	_, _ = hash.WriteString(call.Model + "/" + call.Adapter)
	var prefixes []uint64
	for _, part := range call.Prompt {
		_, _ = hash.WriteString(part.ID)
		for range max(part.Tokens/PrefixBlockTokens, 1) {
			_ = hash.WriteByte(0)
			prefixes = append(prefixes, hash.Sum64())
		}
	}
	return prefixes
}

// send sends the request to one backend server and passes its answer on.
func (h *Handler) send(ctx context.Context, x *exchange, choice aubroute.Choice) sendResult {
	member := choice.Member.Announcement
	x.backend = member.GetName()
	x.sends++
	choice.Started()
	started := h.common.Timer.Now()
	// The send ends with its context, and with it the work of the backend server.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempt := Attempt{
		Backend:   member.GetName(),
		Workspace: x.workspace.Name,
		Remaining: x.deadline.Sub(started),
		Priority:  priorityOf(x),
		LastEvent: x.lastEvent,
	}
	var sent atomic.Bool
	resp, err := h.transport.RoundTrip(h.newRequest(ctx, x, member.GetAddress(), attempt, &sent))
	var result sendResult
	if err != nil {
		result = h.failedSend(ctx, choice, sent.Load(), err)
	} else {
		result = h.receive(x, choice, resp, started)
		result.arrived = true
		_ = resp.Body.Close()
	}
	if result.verdict != verdictNotRun {
		x.mayHaveRun = true
		x.runs++
	}
	choice.Finished(aubroute.Outcome{
		FirstToken: x.firstEvent, Duration: h.common.Timer.Now().Sub(started), Failure: result.failure,
	})
	if result.verdict != verdictDone {
		h.logSend(x, choice, result, started)
	}
	return result
}

func (h *Handler) logSend(x *exchange, choice aubroute.Choice, result sendResult, started time.Time) {
	now := h.common.Timer.Now()
	h.common.Log.Info("Send brought no answer.",
		zap.String("request_id", x.call.ID),
		zap.String("backend_server", x.backend),
		zap.String("address", choice.Member.Announcement.GetAddress()),
		zap.Uint64("backend_started_ms", choice.Member.Announcement.GetIncarnation()),
		zap.Int64("record_age_ms", now.Sub(choice.Member.HeardAt).Milliseconds()),
		zap.Bool("not_run", result.verdict == verdictNotRun),
		zap.Int64("last_event", x.lastEvent),
		zap.Int64("elapsed_ms", now.Sub(started).Milliseconds()),
		zap.Error(result.err))
}

// priorityOf returns the rank of a request at its backend server.
func priorityOf(x *exchange) int {
	priority := x.route.Priority
	if x.workspace.Priority != nil {
		priority = *x.workspace.Priority
	}
	return min(defaultPriority+priority, maxPriority)
}

// failedSend says what a send without a response means.
func (h *Handler) failedSend(ctx context.Context, choice aubroute.Choice, sent bool, err error) sendResult {
	result := sendResult{verdict: verdictFailed, failure: aubroute.FailureConnection, arrived: sent, err: err}
	if !sent {
		result.verdict = verdictNotRun
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.parts.Registry.Suspect(choice.Member.Announcement.GetName(), int64(choice.Member.Announcement.GetIncarnation()))
	}
	if ctx.Err() != nil {
		result.failure = aubroute.FailureCanceled
	}
	return result
}

// receive judges a response and passes it on when it is the caller's answer.
func (h *Handler) receive(x *exchange, choice aubroute.Choice, resp *http.Response, started time.Time) sendResult {
	answer := h.parts.Protocol.DecodeAnswer(resp.StatusCode, resp.Header)
	switch {
	case answer.NotRun:
		h.noteRefusal(x, answer)
		return sendResult{verdict: verdictNotRun, failure: aubroute.FailureRefused, err: &statusError{status: resp.StatusCode}}
	case answer.CallID != x.call.ID:
		return sendResult{verdict: verdictFailed, failure: aubroute.FailureBackend, err: &foreignAnswerError{callID: answer.CallID}}
	case resp.StatusCode < http.StatusMultipleChoices && !answer.Signed:
		return sendResult{verdict: verdictFailed, failure: aubroute.FailureBackend, err: &unsignedError{}}
	case x.route.Kind == aubsite.KindStream && resp.StatusCode == http.StatusOK:
		return h.passStream(x, choice, resp, started)
	}
	return h.passPlain(x, choice, resp, started)
}

// noteRefusal forgets a model or adapter that the backend server says it lacks.
func (h *Handler) noteRefusal(x *exchange, answer Answer) {
	if answer.Misdirected && x.call.Model != "" {
		h.parts.Registry.DropCopy(x.backend, x.call.Model, x.call.Adapter)
	}
}

// passPlain reads an answer whole and passes it on, or keeps a failure for the
// case that no repeat does better.
func (h *Handler) passPlain(x *exchange, choice aubroute.Choice, resp *http.Response, started time.Time) sendResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswer))
	if err != nil {
		return sendResult{verdict: verdictFailed, failure: aubroute.FailureConnection, err: err}
	}
	x.firstEvent = h.common.Timer.Now().Sub(started)
	choice.FirstToken()
	answer := &plainAnswer{status: resp.StatusCode, header: resp.Header, body: body, rest: resp.Body, isWhole: len(body) < maxPlainAnswer}
	if resp.StatusCode >= http.StatusInternalServerError && answer.isWhole && !x.written {
		return sendResult{verdict: verdictFailed, failure: aubroute.FailureBackend, answer: answer, err: &statusError{status: resp.StatusCode}}
	}
	if x.written {
		// A stream that goes on can't take another status.
		return sendResult{verdict: verdictFailed, failure: aubroute.FailureBackend, err: &statusError{status: resp.StatusCode}}
	}
	return sendResult{verdict: verdictDone, err: h.passOn(x, answer)}
}

// plainAnswer is a backend server's answer, read up to a bound.
type plainAnswer struct {
	status  int
	header  http.Header
	body    []byte
	isWhole bool
	// rest follows the body when it is not whole.
	rest io.Reader
}

// passOn writes a backend server's answer to the caller.
func (h *Handler) passOn(x *exchange, answer *plainAnswer) error {
	copyHeader(x.w.Header(), answer.header)
	x.status = answer.status
	x.written = true
	x.w.WriteHeader(answer.status)
	if _, err := x.w.Write(answer.body); err != nil {
		return &goneError{err: err}
	}
	if answer.isWhole {
		return nil
	}
	if _, err := io.Copy(x.w, answer.rest); err != nil {
		return &brokenError{err: err}
	}
	return nil
}

func copyHeader(to, from http.Header) {
	header := from.Clone()
	removeHopHeaders(header)
	for name, values := range header {
		to[name] = values
	}
}
