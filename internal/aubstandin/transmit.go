package aubstandin

import (
	"net/http"
	"strconv"

	"github.com/auburndale/auburndale/internal/aubengine"
)

// transmitAnswer sends an answer, a stream from the event at offset on, with the
// given faults.
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
	e.faults.setRateLimit(w.Header())
	if !a.stream {
		e.transmitComplete(w, r, a, faults)
		return
	}
	w.Header().Set("Content-Type", contentTypeEvents)
	e.transmitEvents(w, r, a, offset, faults)
}

// transmitEvents sends the events of a stream as they are generated.
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

// transmitComplete waits until the answer is done and sends its body.
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

// transmitBody sends a complete body; a fault takes effect in its middle.
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
	// A write fails only if the client has disconnected.
	_, _ = w.Write(body[half:])
}

// applyFault aborts the connection, or sends nothing until the client
// disconnects, if sent is the number of events after which that fault occurs.
func (e *Engine) applyFault(w http.ResponseWriter, r *http.Request, sent int, faults responseFaults) {
	controller := http.NewResponseController(w)
	if sent == faults.cutAfterEvents {
		_ = controller.Flush()
		if e.faults.get().RenewBootOnCut {
			e.renewBoot()
		}
		abortConnection(w)
	}
	if sent == faults.silentAfterEvents {
		_ = controller.Flush()
		<-r.Context().Done()
		abortConnection(w)
	}
}

// cancelAfterGrace stops the generation of an answer that has no reader after the resume grace.
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

// findAnswer returns the answer for a status or resume request.
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
		writeError(w, http.StatusNotFound, aubengine.CodeInvalidRequest, "unknown answer")
		return
	}
	events, done := a.progress()
	writeJSON(w, aubengine.AnswerStatus{Events: events, Done: done})
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	a, ok := e.findAnswer(r.PathValue("id"))
	if !ok {
		writeError(w, http.StatusNotFound, aubengine.CodeInvalidRequest, "unknown answer")
		return
	}
	offset, err := strconv.Atoi(r.FormValue("offset"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, aubengine.CodeInvalidRequest, "offset is no count")
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
