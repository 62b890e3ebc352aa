package aubstandin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/auburndale/auburndale/internal/aubengine"
)

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := aubengine.State{
		Boot:        e.boot,
		MemoryBytes: e.opts.MemoryBytes,
		Fence:       e.fence,
		Items:       e.memory.list(),
	}
	e.mu.Unlock()
	writeJSON(w, state)
}

func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := e.common.Timer.Now()
	if e.publishedAt.IsZero() || now.Sub(e.publishedAt) >= e.opts.ReportLag {
		e.publishedReport = e.computeReport()
		e.publishedAt = now
	}
	report := e.publishedReport
	e.mu.Unlock()
	writeJSON(w, report)
}

// computeReport returns the current load; mu is held.
func (e *Engine) computeReport() aubengine.LoadReport {
	running, queued, tokens := e.sched.load()
	report := aubengine.LoadReport{
		Running:      running,
		Queued:       queued,
		QueuedTokens: tokens,
		PrefillRate:  e.opts.PrefillRate,
	}
	if interToken := e.interToken(max(running, 1)); interToken > 0 {
		report.DecodeRate = float64(max(running, 1)) / interToken.Seconds()
	}
	return report
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		after = 0
	}
	writeJSON(w, e.cache.eventsAfter(after, e.common.Timer.Now(), e.opts.CacheEventLag))
}

// kvPrefix stands for exported KV cache entries: it holds the prompt that they
// were computed from in place of their contents.
type kvPrefix struct {
	Prompt string `json:"prompt"`
}

func (e *Engine) handleKVExport(w http.ResponseWriter, r *http.Request) {
	prompt := r.FormValue("prompt")
	cached := e.cache.lookupAndInsert(r.PathValue("model"), prompt, e.common.Timer.Now(), 0)
	writeJSON(w, kvPrefix{Prompt: prompt[:min(len(prompt), int(cached)*bytesPerToken)]})
}

func (e *Engine) handleKVImport(w http.ResponseWriter, r *http.Request) {
	var prefix kvPrefix
	if err := json.NewDecoder(r.Body).Decode(&prefix); err != nil {
		writeError(w, http.StatusBadRequest, aubengine.CodeInvalidRequest, err.Error())
		return
	}
	e.cache.lookupAndInsert(r.PathValue("model"), prefix.Prompt, e.common.Timer.Now(), 0)
	writeJSON(w, struct{}{})
}
