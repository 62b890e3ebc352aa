package aubstandin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/auburndale/auburndale/internal/aubengine"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 32 << 20

func (e *Engine) handleGenerate(kind generationKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, aubengine.CodeInvalidRequest, err.Error())
			return
		}
		req, err := decodeGenerationRequest(kind, body)
		if err != nil {
			writeError(w, http.StatusBadRequest, aubengine.CodeInvalidRequest, err.Error())
			return
		}
		if item, ok := e.memory.get(req.Model); !ok || item.State != aubengine.ItemReady {
			writeError(w, http.StatusNotFound, aubengine.CodeModelNotFound, "model is not resident")
			return
		}
		e.serveGeneration(w, r, req)
	}
}

// serveGeneration starts a generation and transmits its answer with the next faults.
func (e *Engine) serveGeneration(w http.ResponseWriter, r *http.Request, req generationRequest) {
	requestID := r.Header.Get(aubengine.HeaderRequestID)
	if requestID == "" {
		requestID = uuid.NewString()
	}
	answerID := r.Header.Get(aubengine.HeaderAnswerID)
	if answerID == "" {
		answerID = requestID
	}
	priority, err := strconv.Atoi(r.Header.Get(aubengine.HeaderPriority))
	if err != nil {
		priority = 0
	}
	w.Header().Set(aubengine.HeaderRequestID, requestID)
	if e.faults.refuseForQuiet(w) {
		return
	}
	e.recorder.recordExecution(requestID, e.common.Timer.Now())
	if poison := e.faults.get().PoisonPrompt; poison != "" && strings.Contains(req.prompt, poison) {
		e.Crash()
		abortConnection(w)
	}
	a := e.startGeneration(requestID, answerID, priority, req)
	faults := e.faults.nextResponseFaults()
	if faults.swapped {
		a = e.otherAnswer(a)
	}
	e.transmitAnswer(w, r, a, 0, faults)
}

// startGeneration registers an answer under answerID and starts its generation,
// which doesn't depend on the connection of the request.
func (e *Engine) startGeneration(requestID, answerID string, priority int, req generationRequest) *answer {
	bootCtx, sched := e.currentBoot()
	ctx, cancel := context.WithCancel(bootCtx)
	a := newAnswer(requestID, req.Stream, cancel)
	e.mu.Lock()
	e.answers.Add(answerID, a)
	e.mu.Unlock()
	gen := generationRun{
		engine: e,
		answer: a,
		req:    req,
		render: renderer{id: "gen-" + requestID, created: e.common.Timer.Now().Unix(), req: req},
	}
	go func() {
		defer cancel()
		if sched.acquire(ctx, priority, countTokens(req.prompt)) != nil {
			return
		}
		defer sched.release()
		gen.generate(ctx, sched)
	}()
	return a
}

// otherAnswer returns any answer other than a, or a if there is no other.
func (e *Engine) otherAnswer(a *answer) *answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, candidate := range e.answers.Values() {
		if candidate != a {
			return candidate
		}
	}
	return a
}

// interToken returns the time between output tokens at a batch size.
func (e *Engine) interToken(batch int) time.Duration {
	return e.opts.InterToken + time.Duration(batch-1)*e.opts.InterTokenPerSequence
}

// generationRun is the generation of one answer.
type generationRun struct {
	engine *Engine
	answer *answer
	req    generationRequest
	render renderer
}

// generate appends the events of the answer until it is done or ctx ends.
func (r generationRun) generate(ctx context.Context, sched *scheduler) {
	promptTokens := countTokens(r.req.prompt)
	cached := r.prefill(ctx, promptTokens)
	if ctx.Err() != nil {
		return
	}
	if r.req.kind == kindEmbedding {
		r.answer.appendEvent(r.renderEmbeddings(promptTokens), true)
		return
	}
	text, ok := r.decode(ctx, sched)
	if !ok {
		return
	}
	outputTokens := int64(r.req.outputTokens())
	u := usage{PromptTokens: promptTokens, CompletionTokens: outputTokens, TotalTokens: promptTokens + outputTokens}
	u.Details.CachedTokens = cached
	r.finish(text, u)
}

// prefill waits for as long as the prefill of the uncached part of the prompt
// takes and returns the number of cached tokens.
func (r generationRun) prefill(ctx context.Context, promptTokens int64) int64 {
	e := r.engine
	cached := e.cache.lookupAndInsert(r.req.Model, r.req.prompt, e.common.Timer.Now(), e.faults.get().CacheEventGap)
	if e.opts.PrefillRate > 0 {
		seconds := float64(promptTokens-cached) / e.opts.PrefillRate
		// The caller checks ctx itself.
		_ = wait(ctx, e.common.Timer, time.Duration(seconds*float64(time.Second)))
	}
	return cached
}

// decode generates the output tokens and returns their text, or false if ctx ended before.
func (r generationRun) decode(ctx context.Context, sched *scheduler) (string, bool) {
	e := r.engine
	digest := Digest(r.req.Model, r.req.prompt)
	var text strings.Builder
	for i := range r.req.outputTokens() {
		running, _, _ := sched.load()
		if wait(ctx, e.common.Timer, e.interToken(running)) != nil {
			return "", false
		}
		token := tokenText(digest, i)
		text.WriteString(token)
		if r.req.Stream {
			r.answer.appendEvent(r.render.tokenEvent(token), false)
		}
		e.recorder.update(func(s *Stats) { s.TokensOut++ })
	}
	return text.String(), true
}

// finish appends the final events of a stream or the complete body.
func (r generationRun) finish(text string, u usage) {
	if !r.req.Stream {
		r.answer.appendEvent(r.render.completeBody(text, u), true)
		return
	}
	r.answer.appendEvent(r.render.finishEvent(), false)
	if r.req.Options.IncludeUsage {
		r.answer.appendEvent(r.render.usageEvent(u), false)
	}
	r.answer.appendEvent(formatEvent([]byte("[DONE]")), true)
}

func (r generationRun) renderEmbeddings(promptTokens int64) []byte {
	list := embeddingList{Object: "list", Model: r.req.Model}
	for i, input := range r.req.inputs {
		digest := Digest(r.req.Model, input)
		vector := make([]float64, len(digest))
		for j := range digest {
			vector[j] = float64(digest[j])
		}
		list.Data = append(list.Data, embedding{Object: "embedding", Index: i, Embedding: vector})
	}
	list.Usage = usage{PromptTokens: promptTokens, TotalTokens: promptTokens}
	body, err := json.Marshal(list)
	if err != nil {
		return nil
	}
	return body
}
