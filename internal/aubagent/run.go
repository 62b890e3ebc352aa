package aubagent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubthrottle"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// retryDelay is the delay that callers are advised to wait before a retry.
	retryDelay = 200 * time.Millisecond
	// probeTimeout bounds the check whether the backend server has crashed.
	probeTimeout = time.Second
	// maxFrameDataBytes bounds the data of one frame, except for a streamed event.
	maxFrameDataBytes = 32 << 10
	answerIDSeparator = "."
)

// run executes one request and ends its response.
func (a *Agent) run(exec *execution) {
	f := a.execute(exec)
	now := a.common.Timer.Now()
	if f != nil {
		exec.fail(f, now)
	}
	reason := "whole"
	if f != nil {
		reason = f.reason.String()
	}
	a.common.Metrics.Tagged(map[string]string{"outcome": reason}).Counter("executions").Inc(1)
	exec.cancel(nil)
}

// execute admits a request and dispatches it to the backend server.
func (a *Agent) execute(exec *execution) *failure {
	release, f := a.admit(exec)
	if f != nil {
		return f
	}
	defer release()
	a.crashes.requestStarted(exec)
	defer a.crashes.requestEnded(exec)
	a.running.Add(1)
	defer a.running.Add(-1)
	bootID := a.controller.knownBootID()
	if !a.attempts.markDispatched(exec) {
		return mayHaveRun(aubwire.FailureReason_FAILURE_REASON_UNKNOWN_REQUEST, "another attempt was handed over")
	}
	return a.newRunner(exec, bootID).run()
}

// runner sends a request to the backend server and forwards the response as frames.
type runner interface{ run() *failure }

func (a *Agent) newRunner(exec *execution, bootID string) runner {
	b := backendCall{agent: a, exec: exec, bootID: bootID}
	if a.opts.engine() {
		return newGeneration(b)
	}
	return &serviceCall{backendCall: b}
}

// admit refuses requests that must not run and acquires a slot and, on an engine,
// the model. A request that must run alone waits for all slots; others are refused
// if no slot is free. If admit fails, the request was not dispatched.
func (a *Agent) admit(exec *execution) (release func(), f *failure) {
	if f := a.refusal(exec); f != nil {
		return nil, f
	}
	slots := int64(1)
	if exec.start.GetAlone() || a.crashes.isSuspect(exec.start.GetFingerprint()) {
		slots = int64(a.opts.MaxRunning)
	} else if !a.slots.TryAcquire(1) {
		return nil, notRun(aubwire.FailureReason_FAILURE_REASON_OVERLOADED, "too many requests run", retryDelay)
	}
	if slots > 1 {
		if a.slots.Acquire(exec.ctx, slots) != nil {
			return nil, exec.cancellationFailure()
		}
	}
	release = func() { a.slots.Release(slots) }
	if a.opts.engine() {
		releaseModel, ok := a.controller.acquire(exec.start.GetModel())
		if !ok {
			release()
			return nil, notRun(aubwire.FailureReason_FAILURE_REASON_NOT_RESIDENT, "model is not resident", retryDelay)
		}
		release = func() { releaseModel(); a.slots.Release(slots) }
	}
	if !a.throttle.Take(exec.key.requestID, a.throttledBackend()) {
		release()
		return nil, notRun(aubwire.FailureReason_FAILURE_REASON_OVERLOADED, "backend server takes no more requests now", a.throttle.AdviseRetry(a.throttledBackend()))
	}
	return release, nil
}

// refusal returns why the request must not run; nil if it may.
func (a *Agent) refusal(exec *execution) *failure {
	fingerprint := exec.start.GetFingerprint()
	switch {
	case a.draining.Load():
		return notRun(aubwire.FailureReason_FAILURE_REASON_LEAVING, "agent is leaving", retryDelay)
	case fingerprint != "" && a.isPoisoned(fingerprint):
		return notRun(aubwire.FailureReason_FAILURE_REASON_POISON, "request ended a backend server", 0)
	case a.opts.engine() != (exec.start.GetService() == ""):
		return notRun(aubwire.FailureReason_FAILURE_REASON_NOT_RESIDENT, "backend server is of another kind", retryDelay)
	}
	return nil
}

// isPoisoned reports whether the fingerprint is refused by this agent or site-wide.
func (a *Agent) isPoisoned(fingerprint string) bool {
	if a.crashes.isPoisoned(fingerprint) {
		return true
	}
	return a.opts.IsPoisoned != nil && a.opts.IsPoisoned(fingerprint)
}

// backendCall is a request to a backend server of either kind.
type backendCall struct {
	agent *Agent
	exec  *execution
	// bootID is the engine's boot ID before the request was dispatched.
	bootID string
}

// httpCall returns the HTTP request to the backend server.
func (b backendCall) httpCall() aubengine.Call {
	start := b.exec.start
	header := decodeHeaders(start.GetHeaders())
	header.Set(aubengine.HeaderRequestID, b.exec.key.requestID)
	if b.agent.opts.engine() {
		header.Set(aubengine.HeaderAnswerID, b.answerID())
		header.Set(aubengine.HeaderPriority, strconv.Itoa(int(start.GetPriority())))
	}
	return aubengine.Call{
		Method: start.GetMethod(),
		Path:   start.GetPath(),
		Header: header,
		Body:   start.GetBody(),
		// Responses of plain services may name no request, so a copy of one could not be told from another.
		NoRetry: !start.GetIdempotent() || !b.agent.opts.engine(),
	}
}

// answerID returns the ID under which the engine keeps this attempt's response.
func (b backendCall) answerID() string {
	return b.exec.key.requestID + answerIDSeparator + strconv.FormatUint(uint64(b.exec.key.attempt), 10)
}

// checkRequestID returns an error if the response belongs to another request.
func (b backendCall) checkRequestID(resp *http.Response) error {
	echoed := resp.Header.Get(aubengine.HeaderRequestID)
	if echoed != "" && echoed != b.exec.key.requestID {
		return aubengine.ErrAnswerMismatch
	}
	return nil
}

// observeAdvice passes on what a response says of the requests that the backend server wants.
// Only a success ends a limit.
func (b backendCall) observeAdvice(resp *http.Response) {
	limit := aubthrottle.ParseLimit(resp.Header.Get(aubengine.HeaderRateLimit))
	_, isLimited := limit.Get()
	if isLimited || resp.StatusCode < http.StatusMultipleChoices {
		b.agent.throttle.Observe(b.exec.key.requestID, b.agent.throttledBackend(), limit)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		quiet := aubthrottle.ParseRetryAfter(resp.Header.Get(aubengine.HeaderRetryAfter), resp.Header.Get(aubengine.HeaderDate))
		b.agent.throttle.ObserveQuiet(b.exec.key.requestID, b.agent.throttledBackend(), quiet)
	}
}

func (b backendCall) sendHead(resp *http.Response) error {
	return b.exec.frames.add(b.exec.ctx, &aubwire.ExecuteFrame{Frame: &aubwire.ExecuteFrame_Head{
		Head: &aubwire.FrameHead{Status: int32(resp.StatusCode), Headers: encodeHeaders(resp.Header)},
	}}, 0)
}

func (b backendCall) sendData(data []byte, tokens int64) error {
	return b.exec.frames.add(b.exec.ctx, &aubwire.ExecuteFrame{Frame: &aubwire.ExecuteFrame_Data{
		Data: &aubwire.FrameData{Data: data, Tokens: tokens},
	}}, len(data))
}

// sendEnd ends a complete response. It first clears the request's fingerprint, which
// is no longer a suspect by the time the caller sees the end.
func (b backendCall) sendEnd(end *aubwire.FrameEnd) {
	b.agent.crashes.clearSuspect(b.exec.start.GetFingerprint())
	frame := &aubwire.ExecuteFrame{Frame: &aubwire.ExecuteFrame_End{End: end}}
	b.exec.frames.close(frame, b.agent.common.Timer.Now())
}

// diagnose converts an error of the backend connection to a failure. It probes
// whether the backend server has crashed.
func (b backendCall) diagnose(err error) *failure {
	if b.exec.ctx.Err() != nil {
		return b.exec.cancellationFailure()
	}
	if errors.Is(err, aubengine.ErrAnswerMismatch) {
		return mayHaveRun(aubwire.FailureReason_FAILURE_REASON_MIXED, err.Error())
	}
	var notSent *aubengine.NotSentError
	if errors.As(err, &notSent) {
		return b.notSentFailure(err)
	}
	inc := b.agent.crashes.investigate(b.agent.ctx, b.exec, b.bootID, b.hasCrashed)
	f := mayHaveRun(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, err.Error())
	if inc.crashed {
		f.reason = aubwire.FailureReason_FAILURE_REASON_BACKEND_DIED
		f.suspects = inc.suspects
		f.crashID = inc.id
	}
	return f
}

// notSentFailure returns the failure of a request that was not sent on any
// connection. It can't have crashed the backend server, so it is not a suspect.
func (b backendCall) notSentFailure(err error) *failure {
	f := notRun(aubwire.FailureReason_FAILURE_REASON_BACKEND_FAILED, err.Error(), retryDelay)
	if b.hasCrashed(b.agent.ctx) {
		f.reason = aubwire.FailureReason_FAILURE_REASON_BACKEND_DIED
	}
	return f
}

// hasCrashed probes whether the backend server has crashed.
func (b backendCall) hasCrashed(ctx context.Context) bool {
	ctx, cancel := aubtimer.WithTimeout(ctx, b.agent.common.Timer, probeTimeout)
	defer cancel()
	if !b.agent.opts.engine() {
		return b.refusesConnections(ctx)
	}
	state, err := b.agent.client.State(ctx)
	if err != nil {
		// A slow server runs into the timeout; a crashed one refuses or closes
		// the connection.
		return ctx.Err() == nil
	}
	return b.bootID != "" && state.Boot != b.bootID
}

// refusesConnections reports whether the backend server refuses connections.
func (b backendCall) refusesConnections(ctx context.Context) bool {
	target, err := url.Parse(b.agent.opts.backendURL())
	if err != nil {
		return false
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Host)
	if err == nil {
		return conn.Close() != nil
	}
	return ctx.Err() == nil
}
