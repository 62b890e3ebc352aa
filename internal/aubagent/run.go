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
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	retryShortly  = 200 * time.Millisecond
	probeTimeout  = time.Second
	pieceBytes    = 32 << 10
	answerIDJoint = "."
)

// run executes one request and closes its answer.
func (a *Agent) run(x *execution) {
	f := a.execute(x)
	now := a.common.Timer.Now()
	if f != nil {
		x.fail(f, now)
	}
	reason := "whole"
	if f != nil {
		reason = f.reason.String()
	}
	a.common.Metrics.Tagged(map[string]string{"outcome": reason}).Counter("executions").Inc(1)
	x.cancel(nil)
}

func (a *Agent) execute(x *execution) *failure {
	release, f := a.admit(x)
	if f != nil {
		return f
	}
	defer release()
	a.deaths.begin(x)
	defer a.deaths.end(x)
	a.running.Add(1)
	defer a.running.Add(-1)
	boot := a.keeper.knownBoot()
	if !a.registry.hand(x) {
		return mayHaveRun(aubwire.FailureReason_FAILURE_REASON_UNKNOWN_REQUEST, "another attempt was handed over")
	}
	return a.backend(x, boot).run()
}

// runner executes a request that was handed over and sends its answer's frames.
type runner interface{ run() *failure }

func (a *Agent) backend(x *execution, boot string) runner {
	b := backendCall{agent: a, x: x, boot: boot}
	if a.opts.engine() {
		return newGeneration(b)
	}
	return &serviceCall{backendCall: b}
}

// admit refuses what must not run and waits for a place. Nothing was handed
// over when it fails.
func (a *Agent) admit(x *execution) (release func(), f *failure) {
	if f := a.refusal(x); f != nil {
		return nil, f
	}
	places := int64(1)
	if x.start.GetAlone() || a.deaths.isSuspect(x.start.GetFingerprint()) {
		places = int64(a.opts.MaxRunning)
	} else if !a.room.TryAcquire(1) {
		return nil, notRun(aubwire.FailureReason_FAILURE_REASON_OVERLOADED, "too many requests run", retryShortly)
	}
	if places > 1 {
		if a.room.Acquire(x.ctx, places) != nil {
			return nil, x.ended()
		}
	}
	free := func() { a.room.Release(places) }
	if !a.opts.engine() {
		return free, nil
	}
	done, ok := a.keeper.use(x.start.GetModel())
	if !ok {
		free()
		return nil, notRun(aubwire.FailureReason_FAILURE_REASON_NOT_RESIDENT, "model is not resident", retryShortly)
	}
	return func() { done(); free() }, nil
}

func (a *Agent) refusal(x *execution) *failure {
	fingerprint := x.start.GetFingerprint()
	switch {
	case a.leaving.Load():
		return notRun(aubwire.FailureReason_FAILURE_REASON_LEAVING, "agent is leaving", retryShortly)
	case fingerprint != "" && a.isPoisoned(fingerprint):
		return notRun(aubwire.FailureReason_FAILURE_REASON_POISON, "request ended a backend server", 0)
	case a.opts.engine() != (x.start.GetService() == ""):
		return notRun(aubwire.FailureReason_FAILURE_REASON_NOT_RESIDENT, "backend server is of another kind", retryShortly)
	}
	return nil
}

func (a *Agent) isPoisoned(fingerprint string) bool {
	if a.deaths.isPoisoned(fingerprint) {
		return true
	}
	return a.opts.Poisoned != nil && a.opts.Poisoned(fingerprint)
}

// backendCall is what both kinds of backend server share.
type backendCall struct {
	agent *Agent
	x     *execution
	// boot is the engine's boot at the time of handing over.
	boot string
}

// call builds the HTTP request of an execution.
func (b backendCall) call() aubengine.Call {
	start := b.x.start
	header := toHeader(start.GetHeaders())
	header.Set(aubengine.HeaderRequestID, b.x.key.requestID)
	if b.agent.opts.engine() {
		header.Set(aubengine.HeaderAnswerID, b.answerID())
		header.Set(aubengine.HeaderPriority, strconv.Itoa(int(start.GetPriority())))
	}
	return aubengine.Call{
		Method: start.GetMethod(),
		Path:   start.GetPath(),
		Header: header,
		Body:   start.GetBody(),
		Once:   !start.GetIdempotent(),
	}
}

// answerID names this attempt's answer in the engine.
func (b backendCall) answerID() string {
	return b.x.key.requestID + answerIDJoint + strconv.FormatUint(uint64(b.x.key.attempt), 10)
}

// check makes sure that an answer belongs to the request.
func (b backendCall) check(resp *http.Response) error {
	echoed := resp.Header.Get(aubengine.HeaderRequestID)
	if echoed != "" && echoed != b.x.key.requestID {
		return aubengine.ErrMixed
	}
	return nil
}

func (b backendCall) sendHead(resp *http.Response) error {
	return b.x.frames.add(b.x.ctx, &aubwire.ExecuteFrame{Frame: &aubwire.ExecuteFrame_Head{
		Head: &aubwire.FrameHead{Status: int32(resp.StatusCode), Headers: fromHeader(resp.Header)},
	}}, 0)
}

func (b backendCall) sendData(data []byte, tokens int64) error {
	return b.x.frames.add(b.x.ctx, &aubwire.ExecuteFrame{Frame: &aubwire.ExecuteFrame_Data{
		Data: &aubwire.FrameData{Data: data, Tokens: tokens},
	}}, len(data))
}

// sendEnd closes a whole answer. Its request is no suspect any more by the time
// the caller sees the end.
func (b backendCall) sendEnd(end *aubwire.FrameEnd) {
	b.agent.deaths.clear(b.x.start.GetFingerprint())
	frame := &aubwire.ExecuteFrame{Frame: &aubwire.ExecuteFrame_End{End: end}}
	b.x.frames.close(frame, b.agent.common.Timer.Now())
}

// diagnose turns an error of the backend server's connection into a failure.
func (b backendCall) diagnose(err error) *failure {
	if b.x.ctx.Err() != nil {
		return b.x.ended()
	}
	if errors.Is(err, aubengine.ErrMixed) {
		return mayHaveRun(aubwire.FailureReason_FAILURE_REASON_MIXED, err.Error())
	}
	var notSent *aubengine.NotSentError
	if errors.As(err, &notSent) {
		return b.unsent(err)
	}
	scene := b.agent.deaths.judge(b.agent.ctx, b.x, b.boot, b.probe)
	f := mayHaveRun(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, err.Error())
	if scene.died {
		f.reason = aubwire.FailureReason_FAILURE_REASON_BACKEND_DIED
		f.suspects = scene.suspects
		f.deathID = scene.id
	}
	return f
}

// unsent builds the failure of a request that no connection took. It had no part
// in a death of the backend server, so it is no suspect.
func (b backendCall) unsent(err error) *failure {
	f := notRun(aubwire.FailureReason_FAILURE_REASON_BACKEND_FAILED, err.Error(), retryShortly)
	if b.probe(b.agent.ctx) {
		f.reason = aubwire.FailureReason_FAILURE_REASON_BACKEND_DIED
	}
	return f
}

// probe reports whether the backend server died.
func (b backendCall) probe(ctx context.Context) bool {
	ctx, cancel := aubtimer.WithTimeout(ctx, b.agent.common.Timer, probeTimeout)
	defer cancel()
	if !b.agent.opts.engine() {
		return b.refused(ctx)
	}
	state, err := b.agent.client.State(ctx)
	if err != nil {
		// A server that is only slow answers nothing; a dead one refuses or hangs up.
		return ctx.Err() == nil
	}
	return b.boot != "" && state.Boot != b.boot
}

// refused reports whether the backend server refuses connections.
func (b backendCall) refused(ctx context.Context) bool {
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
