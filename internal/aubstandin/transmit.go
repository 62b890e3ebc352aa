package aubstandin

import (
	"net/http"
	"strconv"

	"github.com/auburndale/auburndale/internal/aubengine"
)

// transmitAnswer sends an answer from the event at offset on, with the plan's faults.
func (e *Engine) transmitAnswer(w http.ResponseWriter, r *http.Request, a *answer, offset int, faults responseFaults) {
	detach := a.attach()
	defer func() {
		if detach() {
			e.cancelAfterGrace(a)
		}
	}()
	if wait(r.Context(), e.common.Timer, faults.delay) != nil {
		return
	}
	w.Header().Set(aubengine.HeaderRequestID, a.requestID)
	if !a.stream {
		e.transmitComplete(w, r, a, faults)
		return
	}
	w.Header().Set("Content-Type", contentTypeEvents)
	e.transmitEvents(w, r, a, offset, faults)
}

func (e *Engine) transmitEvents(w http.ResponseWriter, r *http.Request, a *answer, offset int, faults responseFaults) {
	bootCtx, _ := e.currentBoot()
	controller := http.NewResponseController(w)
	for sent := 0; ; {
		events, done, changed := a.eventsFrom(offset)
		for _, event := range events {
			e.applyFault(w, r, sent, faults)
			if _, err := w.Write(event); err != nil {
				return
			}
			sent++
			offset++
		}
		if controller.Flush() != nil {
			return
		}
		if done {
			e.applyFault(w, r, sent, faults)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-bootCtx.Done():
			abortConnection(w)
		}
	}
}

func (e *Engine) transmitComplete(w http.ResponseWriter, r *http.Request, a *answer, faults responseFaults) {
	bootCtx, _ := e.currentBoot()
	for {
		events, done, changed := a.eventsFrom(0)
		if done {
			w.Header().Set("Content-Type", contentTypeJSON)
			e.transmitBody(w, r, events[0], faults)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-bootCtx.Done():
			abortConnection(w)
		}
	}
}

// transmitBody sends a whole body; a fault strikes in its middle.
func (e *Engine) transmitBody(w http.ResponseWriter, r *http.Request, body []byte, faults responseFaults) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	half := len(body) / 2
	if _, err := w.Write(body[:half]); err != nil {
		return
	}
	if faults.cutAfterEvents >= 0 || faults.silentAfterEvents >= 0 {
		faults.cutAfterEvents = min(faults.cutAfterEvents, 0)
		faults.silentAfterEvents = min(faults.silentAfterEvents, 0)
		e.applyFault(w, r, 0, faults)
	}
	// The connection may be gone; there is nobody to tell.
	_, _ = w.Write(body[half:])
}

// applyFault cuts the connection or keeps it silent once sent reached the plan's count.
func (e *Engine) applyFault(w http.ResponseWriter, r *http.Request, sent int, faults responseFaults) {
	controller := http.NewResponseController(w)
	if sent == faults.cutAfterEvents {
		_ = controller.Flush()
		abortConnection(w)
	}
	if sent == faults.silentAfterEvents {
		_ = controller.Flush()
		<-r.Context().Done()
		abortConnection(w)
	}
}

// cancelAfterGrace ends an answer that nobody reads once the resume grace is over.
func (e *Engine) cancelAfterGrace(a *answer) {
	bootCtx, _ := e.currentBoot()
	go func() {
		if wait(bootCtx, e.common.Timer, e.opts.ResumeGrace) != nil {
			return
		}
		if a.abandoned() {
			a.cancel()
		}
	}()
}

func (e *Engine) findAnswer(id string) (*answer, bool) {
	if e.faults.get().ForgetAnswers {
		return nil, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answers.Get(id)
}

func (e *Engine) handleStatus(w http.ResponseWriter, r *http.Request) {
	a, ok := e.findAnswer(r.PathValue("id"))
	if !ok {
		writeError(w, http.StatusNotFound, aubengine.CodeInvalid, "unknown answer")
		return
	}
	events, done := a.progress()
	writeJSON(w, aubengine.AnswerStatus{Events: events, Done: done})
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	a, ok := e.findAnswer(r.PathValue("id"))
	if !ok {
		writeError(w, http.StatusNotFound, aubengine.CodeInvalid, "unknown answer")
		return
	}
	offset, err := strconv.Atoi(r.FormValue("offset"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, aubengine.CodeInvalid, "offset is no count")
		return
	}
	e.transmitAnswer(w, r, a, offset, e.faults.nextResponseFaults())
}

func (e *Engine) handleAbort(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a, ok := e.answers.Peek(r.PathValue("id"))
	e.answers.Remove(r.PathValue("id"))
	e.mu.Unlock()
	if ok {
		a.cancel()
		e.recorder.update(func(s *Stats) { s.Aborted++ })
	}
	writeJSON(w, struct{}{})
}
