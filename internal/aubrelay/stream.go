package aubrelay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/auburndale/auburndale/internal/aubroute"
)

const (
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
	// streamBufferBytes is the size of a stream's read buffer.
	streamBuffer = 4 << 10
	// eventWriteTimeout limits the time to write one event to the caller.
	writeTimeout = 5 * time.Second
)

// relayStream writes events to the caller as they are received. It writes only complete
// events, so that another backend server can resume a stream that fails.
func (h *Handler) passStream(x *exchange, choice aubroute.Choice, resp *http.Response, started time.Time) sendResult {
	events := newEventReader(resp.Body)
	control := http.NewResponseController(x.w)
	var last time.Time
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return h.endStream(x, resp)
		}
		if err == nil && event.hasID {
			err = checkOrder(x.lastEvent, event.id)
		}
		if err != nil {
			return sendResult{verdict: verdictFailed, failure: aubroute.FailureConnection, err: err}
		}
		now := h.common.Timer.Now()
		if x.firstEvent == 0 {
			x.firstEvent = now.Sub(started)
			choice.FirstToken()
		}
		if !last.IsZero() {
			x.longestPause = max(x.longestPause, now.Sub(last))
		}
		last = now
		h.beginStream(x, resp)
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := x.w.Write(event.data); err != nil {
			return sendResult{verdict: verdictDone, failure: aubroute.FailureCanceled, err: &goneError{err: err}}
		}
		if err := control.Flush(); err != nil {
			return sendResult{verdict: verdictDone, failure: aubroute.FailureCanceled, err: &goneError{err: err}}
		}
		if event.hasID {
			x.lastEvent = event.id
		}
	}
}

// writeStreamHeader writes the response header before the first event. A resumed stream
// keeps the header of its first attempt.
func (h *Handler) beginStream(x *exchange, resp *http.Response) {
	if x.written {
		return
	}
	copyHeader(x.w.Header(), resp.Header)
	x.written = true
	x.status = resp.StatusCode
	x.w.WriteHeader(resp.StatusCode)
}

// finishStream ends a stream that may have had no events.
func (h *Handler) endStream(x *exchange, resp *http.Response) sendResult {
	h.beginStream(x, resp)
	return sendResult{verdict: verdictDone}
}

// checkEventOrder returns an *eventOrderError unless next directly follows last or last is
// NoEventID.
func checkOrder(last, next int64) error {
	if last != NoEvent && next != last+1 {
		return &eventOrderError{last: last, next: next}
	}
	return nil
}

// event is one complete event of a stream, including the blank line that ends it.
type event struct {
	data  []byte
	id    int64
	hasID bool
}

// eventReader splits a stream into events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, streamBuffer)}
}

// next returns the next complete event. Errors are io.EOF if the stream ends after an
// event, io.ErrUnexpectedEOF if it ends within one, *eventSizeError for an event above
// maxEventBytes and those of the connection.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		ev.data = append(ev.data, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(ev.data) < maxEventBytes:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return event{}, &eventSizeError{bytes: maxEventBytes}
		case errors.Is(err, io.EOF) && len(ev.data) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return ev, nil
		}
		ev.readID(line)
	}
}

// parseID sets the event's id if the line has a valid one.
func (ev *event) readID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil {
		ev.id, ev.hasID = id, true
	}
}
