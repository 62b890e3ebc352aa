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
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxResumes bounds the resumes of an answer that bring nothing new.
	maxResumes = 3
	resumeWait = 50 * time.Millisecond
	// maxUnknown bounds the status queries in a row that bring nothing.
	maxUnknown    = 2
	maxUnanswered = 5
	maxWholeBytes = 64 << 20
	abortTimeout  = 2 * time.Second
)

// generation is one request to a model engine.
type generation struct {
	backendCall
	// events counts those that were read, hidden ones included.
	events  atomic.Int64
	chunkID string
	tokens  int64
	usage   usage
	headed  bool
	// unknown and unanswered count status queries without a result in a row.
	unknown    int
	unanswered int
}

var _ runner = (*generation)(nil)

func newGeneration(b backendCall) *generation { return &generation{backendCall: b} }

// run sends the request and resumes its answer until it is whole or lost.
func (g *generation) run() *failure {
	err := g.attempt(g.start)
	for resumes := 0; g.resumable(err) && resumes < maxResumes; resumes++ {
		read := g.events.Load()
		if aubtimer.Wait(g.x.ctx, g.agent.common.Timer, resumeWait) != nil {
			break
		}
		g.agent.common.Metrics.Counter("engine_resumes").Inc(1)
		err = g.attempt(g.resume)
		if g.events.Load() > read {
			resumes = 0
		}
	}
	if err == nil {
		return nil
	}
	g.abort()
	return g.fail(err)
}

// fail turns the last error into a failure.
func (g *generation) fail(err error) *failure {
	var refused *aubengine.RefusedError
	if errors.As(err, &refused) && refused.Code == aubengine.CodeModelNotFound {
		g.agent.keeper.wake()
		return mayHaveRun(aubwire.FailureReason_FAILURE_REASON_NOT_RESIDENT, "engine does not hold the model")
	}
	return g.diagnose(err)
}

// resumable reports whether the engine may still have the rest of the answer.
func (g *generation) resumable(err error) bool {
	var notSent *aubengine.NotSentError
	var refused *aubengine.RefusedError
	switch {
	case err == nil, g.x.ctx.Err() != nil:
		return false
	case errors.Is(err, aubengine.ErrMixed), errors.Is(err, aubengine.ErrEventTooLong):
		return false
	case errors.As(err, &refused):
		return false
	case errors.As(err, &notSent):
		return false
	}
	return true
}

// attempt opens the answer and sends its frames. Its connection is closed with
// it and never used again unless the answer was read to its end.
func (g *generation) attempt(open func(context.Context) (*http.Response, error)) error {
	ctx, cancel := context.WithCancelCause(g.x.ctx)
	defer cancel(nil)
	g.x.watch.begin(g.agent.common.Timer.Now(), func() { g.checkSilence(ctx, cancel) })
	defer g.x.watch.end()
	resp, err := open(ctx)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := g.check(resp); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return g.passError(resp)
	}
	if isEvents(resp) {
		return g.readEvents(resp)
	}
	return g.readWhole(resp)
}

func (g *generation) start(ctx context.Context) (*http.Response, error) {
	return g.agent.client.Do(ctx, g.call())
}

func (g *generation) resume(ctx context.Context) (*http.Response, error) {
	resp, err := g.agent.client.Resume(ctx, g.answerID(), int(g.events.Load()))
	var notSent *aubengine.NotSentError
	if errors.As(err, &notSent) {
		// The resume was not sent, but the request was.
		return nil, &aubengine.UncertainError{Err: err}
	}
	return resp, err
}

func (g *generation) readEvents(resp *http.Response) error {
	if !g.headed {
		if err := g.sendHead(resp); err != nil {
			return err
		}
		g.headed = true
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
		g.x.watch.advance(g.agent.common.Timer.Now())
		if err := g.takeEvent(event); err != nil {
			return err
		}
		if event.Done() {
			g.sendEnd(g.usage.end())
			// Reading to the end lets the connection be used again.
			_, _ = events.Next()
			return nil
		}
	}
}

// takeEvent checks one event and sends it on.
func (g *generation) takeEvent(event aubengine.Event) error {
	raw := event.Raw
	if !event.Done() {
		c, ok := parseChunk(event.Data)
		if err := g.checkChunk(c); err != nil {
			return err
		}
		if ok && c.Usage != nil {
			g.usage = *c.Usage
		}
		if len(c.Choices) > 0 {
			g.tokens++
		}
		if g.x.start.GetHideUsage() {
			raw = hideUsage(event.Raw, event.Data, c)
		}
	}
	if raw != nil {
		if err := g.sendData(raw, g.tokens); err != nil {
			return err
		}
	}
	g.events.Add(1)
	return nil
}

// checkChunk makes sure that all chunks are of one answer.
func (g *generation) checkChunk(c chunk) error {
	if c.ID == "" {
		return nil
	}
	if g.chunkID == "" {
		g.chunkID = c.ID
	}
	if c.ID != g.chunkID {
		return aubengine.ErrMixed
	}
	return nil
}

// readWhole takes in a whole body before anything of it is sent on.
func (g *generation) readWhole(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeBytes))
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return aubengine.ErrIncomplete
	}
	if c, ok := parseChunk(body); ok && c.Usage != nil {
		g.usage = *c.Usage
	}
	return g.sendWhole(resp, body)
}

// passError sends an error answer of the engine on.
func (g *generation) passError(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeBytes))
	if err != nil {
		return err
	}
	var envelope aubengine.ErrorBody
	if json.Unmarshal(body, &envelope) == nil && envelope.Error.Code == aubengine.CodeModelNotFound {
		return &aubengine.RefusedError{Status: resp.StatusCode, Code: envelope.Error.Code}
	}
	return g.sendWhole(resp, body)
}

func (g *generation) sendWhole(resp *http.Response, body []byte) error {
	if err := g.sendHead(resp); err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), pieceBytes)
		if err := g.sendData(body[:n], g.usage.CompletionTokens); err != nil {
			return err
		}
		body = body[n:]
	}
	g.sendEnd(g.usage.end())
	return nil
}

// checkSilence asks the engine, on another connection, whether it is further
// than what came through, and ends the connection if so.
func (g *generation) checkSilence(ctx context.Context, cancel context.CancelCauseFunc) {
	read := int(g.events.Load())
	answer, err := g.agent.client.Status(ctx, g.answerID())
	if ctx.Err() != nil {
		return
	}
	if g.silent(answer, err, read) {
		cancel(errSilent)
	}
}

func (g *generation) silent(answer aubengine.AnswerStatus, err error, read int) bool {
	var refused *aubengine.RefusedError
	switch {
	case err == nil:
		g.unknown, g.unanswered = 0, 0
		return answer.Events > read
	case errors.As(err, &refused):
		g.unknown++
		return g.unknown >= maxUnknown
	default:
		g.unanswered++
		return g.unanswered >= maxUnanswered
	}
}

// abort ends the engine's work on a lost answer.
func (g *generation) abort() {
	ctx, cancel := aubtimer.WithTimeout(g.agent.ctx, g.agent.common.Timer, abortTimeout)
	defer cancel()
	// An engine that can't be reached has no work to end.
	_ = g.agent.client.Abort(ctx, g.answerID())
}

func isEvents(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
