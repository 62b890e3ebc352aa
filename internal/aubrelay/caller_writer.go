package aubrelay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// writePieceBytes is the size of the parts in which a response is written: a deadline tells
	// only whether a whole part was accepted, so that larger ones would end callers that read
	// slowly but steadily.
	writePieceBytes = 4 << 10
	// unreadPressure is the share of the bound for unread bytes above which responses that made no
	// progress for slowAfter are ended. Above the bound the slowest are ended in any case.
	unreadPressure = 0.75
	slowAfter      = 250 * time.Millisecond
)

// WriteOpts bounds what slow callers hold where the configuration has deferrable routes.
type WriteOpts struct {
	// Timeout is how long a write to a caller may make no progress, but at least the pause
	// objective of its route; 0 means any time.
	Timeout time.Duration
	// MaxUnread is the number of bytes that callers of the process have not accepted yet; 0 means
	// any number.
	MaxUnread int64
}

// slowCause is why a response to a slow caller was ended.
type slowCause string

// Causes.
const (
	slowByTimeout  slowCause = "write_timeout"
	slowByPressure slowCause = "max_unread"
)

// slowCallerError means that a response was ended because its caller did not accept it.
type slowCallerError struct {
	cause slowCause
	err   error
}

// Error implements error.
func (e *slowCallerError) Error() string { return "caller does not read: " + string(e.cause) }

// Unwrap returns the cause.
func (e *slowCallerError) Unwrap() error { return e.err }

// unreadBytes counts the bytes of all responses that callers have not accepted yet.
//
// Lock order: mu is taken alone.
type unreadBytes struct {
	max int64

	mu      sync.Mutex
	total   int64
	writers map[*callerWriter]bool
}

func newUnreadBytes(limit int64) *unreadBytes {
	return &unreadBytes{max: limit, writers: make(map[*callerWriter]bool)}
}

// callerWriter writes one response to its caller within the bounds. It is used by a single
// goroutine; the mutex of unreadBytes guards held, progressAt and isEnded.
type callerWriter struct {
	handler    *Handler
	ex         *exchange
	controller *http.ResponseController
	unread     *unreadBytes
	// timeout is 0 if the bounds don't apply.
	timeout time.Duration

	held       int64
	progressAt time.Time
	isEnded    bool
}

// newCallerWriter returns the writer of a response. Without bounds it writes all at once, without
// a deadline of its own.
func (h *Handler) newCallerWriter(ex *exchange) *callerWriter {
	w := &callerWriter{handler: h, ex: ex, controller: http.NewResponseController(ex.writer), unread: h.unread}
	if opts := h.opts.Writes; opts.Timeout > 0 && h.opts.Deferrable.Has(ex.site) {
		w.timeout = max(opts.Timeout, ex.route.PauseObjective)
	}
	return w
}

// isBounded reports whether the bounds apply.
func (w *callerWriter) isBounded() bool { return w.timeout > 0 }

// write writes the data and, if flush is set, waits until the connection has accepted them. The
// error is *slowCallerError or that of the connection.
func (w *callerWriter) write(data []byte, flush bool) error {
	w.hold(int64(len(data)))
	defer w.release()
	for len(data) > 0 {
		if err := w.extend(); err != nil {
			return err
		}
		n, err := w.ex.writer.Write(data[:min(writePieceBytes, len(data))])
		if err != nil {
			return w.classify(err)
		}
		w.notePieceWritten(int64(n), !flush)
		data = data[n:]
	}
	if !flush {
		return nil
	}
	if err := w.extend(); err != nil {
		return err
	}
	return w.classify(w.controller.Flush())
}

// writeEvent writes one event of a stream.
func (w *callerWriter) writeEvent(data []byte) error {
	if w.isBounded() {
		return w.write(data, true)
	}
	_ = w.controller.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	if _, err := w.ex.writer.Write(data); err != nil {
		return err
	}
	return w.controller.Flush()
}

// copyFrom writes all that can be read from r. Only one buffer of it is held.
func (w *callerWriter) copyFrom(r io.Reader) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if err := w.write(buffer[:n], false); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// hold counts bytes that are to be written and ends the slowest responses if there are too many.
func (w *callerWriter) hold(n int64) {
	w.unread.mu.Lock()
	defer w.unread.mu.Unlock()
	w.held, w.progressAt = n, w.handler.common.Timer.Now()
	w.unread.total += n
	w.unread.writers[w] = true
	w.handler.metrics.scope.Gauge("unread_bytes").Update(float64(w.unread.total))
	w.unread.endSlowest(w.progressAt)
}

// notePieceWritten notes progress. The bytes of a piece that is not to be flushed count as
// accepted, those of an event do only once it is flushed.
func (w *callerWriter) notePieceWritten(n int64, isAccepted bool) {
	w.unread.mu.Lock()
	defer w.unread.mu.Unlock()
	if isAccepted {
		w.held -= n
		w.unread.total -= n
	}
	w.progressAt = w.handler.common.Timer.Now()
}

// release ends the count of the bytes that are left.
func (w *callerWriter) release() {
	w.unread.mu.Lock()
	defer w.unread.mu.Unlock()
	w.unread.total -= w.held
	w.held = 0
	delete(w.unread.writers, w)
}

// extend sets the deadline of the next part.
func (w *callerWriter) extend() error {
	w.unread.mu.Lock()
	defer w.unread.mu.Unlock()
	if w.isEnded {
		return w.end(slowByPressure, nil)
	}
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
	return nil
}

// classify tells a caller that does not read from one that has left.
func (w *callerWriter) classify(err error) error {
	if err == nil {
		return nil
	}
	w.unread.mu.Lock()
	defer w.unread.mu.Unlock()
	switch {
	case w.isEnded:
		return w.end(slowByPressure, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return w.end(slowByTimeout, err)
	}
	return err
}

// end logs and counts the end of the response and returns its error; the caller holds the mutex of
// unreadBytes.
func (w *callerWriter) end(cause slowCause, err error) error {
	w.handler.metrics.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("slow_callers_ended").Inc(1)
	w.handler.common.Log.Warn("Response ended because its caller does not read.",
		zap.String("request_id", w.ex.call.ID), zap.String("route", w.ex.route.Name), zap.String("workspace", w.ex.workspace.Name),
		zap.String("cause", string(cause)), zap.String("backend_server", w.ex.backendID), zap.Int64("held_bytes", w.held),
		zap.Int64("unread_bytes", w.unread.total), zap.Int64("max_unread_bytes", w.unread.max), zap.Int64("timeout_ms", w.timeout.Milliseconds()),
		zap.Int64("without_progress_ms", w.handler.common.Timer.Now().Sub(w.progressAt).Milliseconds()))
	return &slowCallerError{cause: cause, err: err}
}

// endSlowest ends the responses without progress for the longest time until the bytes of the
// others are within the bound; the caller holds mu.
func (u *unreadBytes) endSlowest(now time.Time) {
	if u.max == 0 {
		return
	}
	left := u.total
	for w := range u.writers {
		if w.isEnded {
			left -= w.held
		}
	}
	for left > int64(unreadPressure*float64(u.max)) {
		slowest := u.slowest()
		if slowest == nil || left <= u.max && now.Sub(slowest.progressAt) < slowAfter {
			return
		}
		slowest.isEnded = true
		left -= slowest.held
		// The writer is registered, so its goroutine is still in write.
		_ = slowest.controller.SetWriteDeadline(time.Now())
	}
}

// slowest returns the response that has not ended and made no progress for the longest time; nil
// if there is none. The caller holds mu.
func (u *unreadBytes) slowest() *callerWriter {
	var slowest *callerWriter
	for w := range u.writers {
		if !w.isEnded && (slowest == nil || w.progressAt.Before(slowest.progressAt)) {
			slowest = w
		}
	}
	return slowest
}
