package aubstandin

import (
	"net/http"
	"strconv"

	"github.com/auburndale/auburndale/internal/aubengine"
)

// transmit sends an answer from the event at offset on, with the plan's faults.
func (e *Engine) transmit(w http.ResponseWriter, r *http.Request, a *answer, offset int, plan delivery) {
	detach := a.attach()
	defer func() {
		if detach() {
			e.abandon(a)
		}
	}()
	if wait(r.Context(), e.common.Timer, plan.delay) != nil {
		return
	}
	w.Header().Set(aubengine.HeaderRequestID, a.requestID)
	if !a.stream {
		e.transmitWhole(w, r, a, plan)
		return
	}
	w.Header().Set("Content-Type", contentEvents)
	e.transmitEvents(w, r, a, offset, plan)
}

func (e *Engine) transmitEvents(w http.ResponseWriter, r *http.Request, a *answer, offset int, plan delivery) {
	life, _ := e.current()
	flush := http.NewResponseController(w)
	for sent := 0; ; {
		events, done, changed := a.from(offset)
		for _, event := range events {
			e.checkFault(w, r, sent, plan)
			if _, err := w.Write(event); err != nil {
				return
			}
			sent++
			offset++
		}
		if flush.Flush() != nil {
			return
		}
		if done {
			e.checkFault(w, r, sent, plan)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-life.Done():
			hangUp(w)
		}
	}
}

func (e *Engine) transmitWhole(w http.ResponseWriter, r *http.Request, a *answer, plan delivery) {
	life, _ := e.current()
	for {
		events, done, changed := a.from(0)
		if done {
			w.Header().Set("Content-Type", contentJSON)
			e.transmitBody(w, r, events[0], plan)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-life.Done():
			hangUp(w)
		}
	}
}

// transmitBody sends a whole body; a fault strikes in its middle.
func (e *Engine) transmitBody(w http.ResponseWriter, r *http.Request, body []byte, plan delivery) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	half := len(body) / 2
	if _, err := w.Write(body[:half]); err != nil {
		return
	}
	if plan.cutAfter >= 0 || plan.silentAfter >= 0 {
		plan.cutAfter = min(plan.cutAfter, 0)
		plan.silentAfter = min(plan.silentAfter, 0)
		e.checkFault(w, r, 0, plan)
	}
	// The connection may be gone; there is nobody to tell.
	_, _ = w.Write(body[half:])
}

// checkFault cuts the connection or keeps it silent once sent reached the plan's count.
func (e *Engine) checkFault(w http.ResponseWriter, r *http.Request, sent int, plan delivery) {
	flush := http.NewResponseController(w)
	if sent == plan.cutAfter {
		_ = flush.Flush()
		hangUp(w)
	}
	if sent == plan.silentAfter {
		_ = flush.Flush()
		<-r.Context().Done()
		hangUp(w)
	}
}

// abandon ends an answer that nobody reads once the resume grace is over.
func (e *Engine) abandon(a *answer) {
	life, _ := e.current()
	go func() {
		if wait(life, e.common.Timer, e.opts.ResumeGrace) != nil {
			return
		}
		if a.abandoned() {
			a.cancel()
		}
	}()
}

func (e *Engine) find(id string) (*answer, bool) {
	if e.faults.get().ForgetAnswers {
		return nil, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answers.Get(id)
}

func (e *Engine) handleStatus(w http.ResponseWriter, r *http.Request) {
	a, ok := e.find(r.PathValue("id"))
	if !ok {
		writeError(w, http.StatusNotFound, aubengine.CodeInvalid, "unknown answer")
		return
	}
	events, done := a.status()
	writeJSON(w, aubengine.AnswerStatus{Events: events, Done: done})
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	a, ok := e.find(r.PathValue("id"))
	if !ok {
		writeError(w, http.StatusNotFound, aubengine.CodeInvalid, "unknown answer")
		return
	}
	offset, err := strconv.Atoi(r.FormValue("offset"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, aubengine.CodeInvalid, "offset is no count")
		return
	}
	e.transmit(w, r, a, offset, e.faults.nextDelivery())
}

func (e *Engine) handleAbort(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a, ok := e.answers.Peek(r.PathValue("id"))
	e.answers.Remove(r.PathValue("id"))
	e.mu.Unlock()
	if ok {
		a.cancel()
		e.rec.update(func(s *Stats) { s.Aborted++ })
	}
	writeJSON(w, struct{}{})
}
