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

const maxBodyBytes = 32 << 20

func (e *Engine) generate(kind generationKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, aubengine.CodeInvalid, err.Error())
			return
		}
		req, err := decodeGeneration(kind, body)
		if err != nil {
			writeError(w, http.StatusBadRequest, aubengine.CodeInvalid, err.Error())
			return
		}
		if item, ok := e.memory.get(req.Model); !ok || item.State != aubengine.ItemReady {
			writeError(w, http.StatusNotFound, aubengine.CodeModelNotFound, "model is not resident")
			return
		}
		e.serve(w, r, req)
	}
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, req generation) {
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
	e.rec.begin(requestID, e.common.Timer.Now())
	if poison := e.faults.get().PoisonPrompt; poison != "" && strings.Contains(req.prompt, poison) {
		e.Crash()
		hangUp(w)
	}
	a := e.begin(requestID, answerID, priority, req)
	plan := e.faults.nextDelivery()
	if plan.crossed {
		a = e.other(a)
	}
	e.transmit(w, r, a, 0, plan)
}

// begin starts a generation that goes on without its connection for the resume grace.
func (e *Engine) begin(requestID, answerID string, priority int, req generation) *answer {
	life, sched := e.current()
	ctx, cancel := context.WithCancel(life)
	a := newAnswer(requestID, req.Stream, cancel)
	e.mu.Lock()
	e.answers.Add(answerID, a)
	e.mu.Unlock()
	run := run{
		engine: e,
		answer: a,
		req:    req,
		render: renderer{id: "gen-" + requestID, created: e.common.Timer.Now().Unix(), req: req},
	}
	go func() {
		defer cancel()
		if sched.enter(ctx, priority, countTokens(req.prompt)) != nil {
			return
		}
		defer sched.leave()
		run.generate(ctx, sched)
	}()
	return a
}

// other returns some answer that is not a, or a when there is none.
func (e *Engine) other(a *answer) *answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.answers.Values() {
		if b != a {
			return b
		}
	}
	return a
}

func (e *Engine) interToken(batch int) time.Duration {
	return e.opts.InterToken + time.Duration(batch-1)*e.opts.InterTokenPerSequence
}

// run is one generation.
type run struct {
	engine *Engine
	answer *answer
	req    generation
	render renderer
}

func (r run) generate(ctx context.Context, sched *scheduler) {
	prompt := countTokens(r.req.prompt)
	cached := r.prefill(ctx, prompt)
	if ctx.Err() != nil {
		return
	}
	if r.req.kind == kindEmbedding {
		r.answer.add(r.embed(prompt), true)
		return
	}
	text, ok := r.decode(ctx, sched)
	if !ok {
		return
	}
	n := int64(r.req.outputTokens())
	u := usage{PromptTokens: prompt, CompletionTokens: n, TotalTokens: prompt + n}
	u.Details.CachedTokens = cached
	r.close(text, u)
}

// prefill takes the time of the uncached part of the prompt and returns the cached tokens.
func (r run) prefill(ctx context.Context, prompt int64) int64 {
	e := r.engine
	cached := e.cache.use(r.req.Model, r.req.prompt, e.common.Timer.Now(), e.faults.get().CacheEventGap)
	if e.opts.PrefillRate > 0 {
		seconds := float64(prompt-cached) / e.opts.PrefillRate
		// An ended context shows at the caller's next check.
		_ = wait(ctx, e.common.Timer, time.Duration(seconds*float64(time.Second)))
	}
	return cached
}

func (r run) decode(ctx context.Context, sched *scheduler) (string, bool) {
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
			r.answer.add(r.render.token(token), false)
		}
		e.rec.update(func(s *Stats) { s.TokensOut++ })
	}
	return text.String(), true
}

func (r run) close(text string, u usage) {
	if !r.req.Stream {
		r.answer.add(r.render.whole(text, u), true)
		return
	}
	r.answer.add(r.render.finish(), false)
	if r.req.Options.IncludeUsage {
		r.answer.add(r.render.usage(u), false)
	}
	r.answer.add(event([]byte("[DONE]")), true)
}

func (r run) embed(prompt int64) []byte {
	list := embeddings{Object: "list", Model: r.req.Model}
	for i, input := range r.req.inputs {
		digest := Digest(r.req.Model, input)
		vector := make([]float64, len(digest))
		for j := range digest {
			vector[j] = float64(digest[j])
		}
		list.Data = append(list.Data, embedding{Object: "embedding", Index: i, Embedding: vector})
	}
	list.Usage = usage{PromptTokens: prompt, TotalTokens: prompt}
	body, err := json.Marshal(list)
	if err != nil {
		return nil
	}
	return body
}
