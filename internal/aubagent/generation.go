package aubagent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubresponse"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxResumes bounds the consecutive resumes of a response without a new event.
	maxResumes  = 3
	resumeDelay = 50 * time.Millisecond
	// maxRefusedQueries is the number of status queries refused by the engine since the
	// last successful one at which the backend connection counts as stalled;
	// maxFailedQueries is the same for queries that failed for another reason.
	maxRefusedQueries = 2
	maxFailedQueries  = 5
	// maxResponseBytes bounds the body of a response that is not streamed.
	maxResponseBytes = 64 << 20
	abortTimeout     = 2 * time.Second
)

// generation is one request to a model engine.
type generation struct {
	backendCall
	// eventsRead counts the events read from the engine, also those that are not
	// forwarded to the caller.
	eventsRead atomic.Int64
	// chunkID is the ID that all chunks of the response must have.
	chunkID string
	// tokens counts the chunks that hold output.
	tokens   int64
	usage    usage
	headSent bool
	// isResumed is set once the engine was asked for the rest of the response.
	isResumed bool
	// refusedQueries and failedQueries count status queries since the last
	// successful one.
	refusedQueries int
	failedQueries  int
}

var _ runner = (*generation)(nil)

func newGeneration(b backendCall) *generation { return &generation{backendCall: b} }

// run sends the request and resumes a broken response until it is complete or
// can't be resumed.
func (g *generation) run() *failure {
	err := g.forwardResponse(g.start)
	for resumes := 0; g.canResume(err) && resumes < maxResumes; resumes++ {
		eventsRead := g.eventsRead.Load()
		if aubtimer.Wait(g.exec.ctx, g.agent.common.Timer, resumeDelay) != nil {
			break
		}
		g.agent.common.Metrics.Counter("engine_resumes").Inc(1)
		err = g.forwardResponse(g.resume)
		if g.eventsRead.Load() > eventsRead {
			resumes = 0
		}
	}
	if err == nil {
		return nil
	}
	g.abort()
	return g.toFailure(err)
}

// toFailure converts the error of the last connection to a failure.
func (g *generation) toFailure(err error) *failure {
	var refused *aubengine.RefusedError
	if errors.As(err, &refused) && refused.Code == aubengine.CodeModelNotFound {
		g.agent.controller.wake()
		return mayHaveRun(aubwire.FailureReason_FAILURE_REASON_NOT_RESIDENT, "engine does not hold the model")
	}
	return g.diagnose(err)
}

// canResume reports whether the engine may still hold the missing part of the response.
func (g *generation) canResume(err error) bool {
	var notSent *aubengine.NotSentError
	var refused *aubengine.RefusedError
	switch {
	case err == nil, g.exec.ctx.Err() != nil:
		return false
	case errors.Is(err, aubengine.ErrAnswerMismatch), errors.Is(err, aubengine.ErrEventTooLong), errors.Is(err, errRestarted):
		return false
	case errors.As(err, &refused):
		return false
	case errors.As(err, &notSent):
		return false
	}
	return true
}

// forwardResponse opens a backend connection and forwards the response as frames.
// The connection is closed, not reused, unless the response was read to its end.
func (g *generation) forwardResponse(open func(context.Context) (*http.Response, error)) error {
	ctx, cancel := context.WithCancelCause(g.exec.ctx)
	defer cancel(nil)
	g.exec.watchdog.start(g.agent.common.Timer.Now(), func() { g.checkStalled(ctx, cancel) })
	defer g.exec.watchdog.stop()
	resp, err := open(ctx)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := g.checkRequestID(resp); err != nil {
		return err
	}
	g.observeAdvice(resp)
	if resp.StatusCode != http.StatusOK {
		return g.forwardError(resp)
	}
	if isEventStream(resp) {
		return g.forwardEvents(resp)
	}
	if g.headSent {
		return aubengine.ErrIncomplete
	}
	return g.forwardBody(resp)
}

// start sends the request to the engine.
func (g *generation) start(ctx context.Context) (*http.Response, error) {
	return g.agent.client.Do(ctx, g.httpCall())
}

// resume requests the events that follow those already read, unless the engine has
// restarted: it may run other software now.
func (g *generation) resume(ctx context.Context) (*http.Response, error) {
	g.isResumed = true
	state, err := g.agent.client.State(ctx)
	if err != nil {
		return nil, &aubengine.UncertainError{Err: err}
	}
	if g.bootID != "" && state.Boot != g.bootID {
		return nil, errRestarted
	}
	resp, err := g.agent.client.ResumeAnswer(ctx, g.answerID(), int(g.eventsRead.Load()))
	var notSent *aubengine.NotSentError
	if errors.As(err, &notSent) {
		// Only the resume was not sent; the original request may have been executed.
		return nil, &aubengine.UncertainError{Err: err}
	}
	return resp, err
}

// forwardEvents forwards a streamed response up to its end mark.
func (g *generation) forwardEvents(resp *http.Response) error {
	if !g.headSent {
		if err := g.sendHead(resp); err != nil {
			return err
		}
		g.headSent = true
	}
	events := aubengine.NewEventReader(resp.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return aubengine.ErrIncomplete
		}
		if err != nil {
			return err
		}
		g.exec.watchdog.recordProgress(g.agent.common.Timer.Now())
		if err := g.forwardEvent(event); err != nil {
			return err
		}
		if event.Done() {
			g.sendEnd(g.usage.endFrame())
			// Reading up to the end of the body lets the connection be reused.
			_, _ = events.Next()
			return nil
		}
	}
}

// forwardEvent checks one event and forwards it.
func (g *generation) forwardEvent(event aubengine.Event) error {
	raw := event.Raw
	if !event.Done() {
		c, ok := parseChunk(event.Data)
		if event.Data != nil && !ok {
			return aubengine.ErrNoEvent
		}
		if err := g.checkChunkID(c); err != nil {
			return err
		}
		if g.isResumed && len(c.Error) > 0 {
			return aubengine.ErrIncomplete
		}
		if ok && c.Usage != nil {
			g.usage = *c.Usage
		}
		if len(c.Choices) > 0 {
			g.tokens++
		}
		if g.exec.start.GetHideUsage() {
			raw = hideUsage(event.Raw, event.Data, c)
		}
	}
	if raw != nil {
		if err := g.sendData(raw, g.tokens); err != nil {
			return err
		}
	}
	g.eventsRead.Add(1)
	return nil
}

// checkChunkID returns an error if the chunk belongs to another response.
func (g *generation) checkChunkID(c chunk) error {
	if c.ID == "" {
		return nil
	}
	if g.chunkID == "" {
		g.chunkID = c.ID
	}
	if c.ID != g.chunkID {
		return aubengine.ErrAnswerMismatch
	}
	return nil
}

// forwardBody reads the complete body of a response that is not streamed, checks
// that it is valid JSON and then forwards it.
func (g *generation) forwardBody(resp *http.Response) error {
	body, err := aubresponse.ReadWhole(resp.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return aubengine.ErrIncomplete
	}
	if c, ok := parseChunk(body); ok && c.Usage != nil {
		g.usage = *c.Usage
	}
	return g.sendBody(resp, body)
}

// forwardError forwards an error response of the engine, except for a missing
// model, which it returns as an error.
func (g *generation) forwardError(resp *http.Response) error {
	body, err := aubresponse.ReadWhole(resp.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	var envelope aubengine.ErrorBody
	if json.Unmarshal(body, &envelope) == nil && envelope.Error.Code == aubengine.CodeModelNotFound {
		return &aubengine.RefusedError{Status: resp.StatusCode, Code: envelope.Error.Code}
	}
	return g.sendBody(resp, body)
}

// sendBody sends a complete response: head, body and end.
func (g *generation) sendBody(resp *http.Response, body []byte) error {
	if err := g.sendHead(resp); err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), maxFrameDataBytes)
		if err := g.sendData(body[:n], g.usage.CompletionTokens); err != nil {
			return err
		}
		body = body[n:]
	}
	g.sendEnd(g.usage.endFrame())
	return nil
}

// checkStalled queries the status of the response on another connection and
// cancels the backend connection if that has stalled.
func (g *generation) checkStalled(ctx context.Context, cancel context.CancelCauseFunc) {
	eventsRead := int(g.eventsRead.Load())
	status, err := g.agent.client.AnswerStatus(ctx, g.answerID())
	if ctx.Err() != nil {
		return
	}
	if g.isStalled(status, err, eventsRead) {
		cancel(errStalled)
	}
}

// isStalled reports whether the backend connection counts as stalled: the engine
// has generated more events than were read, or repeated status queries failed.
func (g *generation) isStalled(status aubengine.AnswerStatus, err error, eventsRead int) bool {
	var refused *aubengine.RefusedError
	switch {
	case err == nil:
		g.refusedQueries, g.failedQueries = 0, 0
		return status.Events > eventsRead
	case errors.As(err, &refused):
		g.refusedQueries++
		return g.refusedQueries >= maxRefusedQueries
	default:
		g.failedQueries++
		return g.failedQueries >= maxFailedQueries
	}
}

// abort stops the engine's work on a response that can't be completed.
func (g *generation) abort() {
	ctx, cancel := aubtimer.WithTimeout(g.agent.ctx, g.agent.common.Timer, abortTimeout)
	defer cancel()
	// The error is ignored: an engine that can't be reached has most likely crashed and
	// has no work to stop.
	_ = g.agent.client.AbortAnswer(ctx, g.answerID())
}

// isEventStream reports whether the response is a stream of server-sent events.
func isEventStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}
