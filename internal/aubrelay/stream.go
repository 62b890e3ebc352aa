package aubrelay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/auburndale/auburndale/internal/aubevent"
	"github.com/auburndale/auburndale/internal/aubresponse"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubspeed"
)

const (
	// maxEventBytes limits an event.
	maxEventBytes = 1 << 20
	// streamBufferBytes is the size of a stream's read buffer.
	streamBufferBytes = 4 << 10
	// eventWriteTimeout limits the time to write one event to the caller.
	eventWriteTimeout = 5 * time.Second
)

// relayStream writes events to the caller as they are received. It writes only complete
// events, so that another backend server can resume a stream that fails.
func (h *Handler) relayStream(ex *exchange, choice aubroute.Choice, resp *http.Response, started time.Time) attemptResult {
	ex.buffered.release()
	events := newEventReader(resp.Body, &ex.buffered)
	writer := h.newCallerWriter(ex)
	var lastEventAt time.Time
	var pauses aubspeed.Pauses
	defer func() { h.recordPauses(ex, choice, &pauses) }()
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) && lastEventAt.IsZero() && (isUnframed(resp) || ex.lastEventID != NoEventID) {
			err = &aubresponse.BrokenError{Fault: aubresponse.FaultTruncated, Err: &emptyStreamError{}}
		}
		if errors.Is(err, io.EOF) {
			return h.finishStream(ex, resp)
		}
		if err == nil && event.isEmpty && lastEventAt.IsZero() && ex.lastEventID != NoEventID {
			// A stream goes on with its next event only.
			continue
		}
		if err == nil && !event.isEmpty {
			err = checkEvent(ex.lastEventID, event)
		}
		if err != nil {
			return attemptResult{outcome: outcomeFailed, failure: aubroute.FailureConnection, err: err}
		}
		now := h.common.Timer.Now()
		if ex.firstEventTime == 0 {
			ex.firstEventTime = now.Sub(started)
			choice.FirstToken()
			h.observeFirstEvent(ex, choice)
			h.recordFirstEvent(ex, choice, ex.firstEventTime)
		}
		if !lastEventAt.IsZero() {
			ex.maxEventGap = max(ex.maxEventGap, now.Sub(lastEventAt))
			pauses.Add(now.Sub(lastEventAt))
		}
		lastEventAt = now
		h.recordStream(ex)
		h.writeStreamHeader(ex, resp)
		if err := writer.writeEvent(event.data); err != nil {
			return attemptResult{outcome: outcomeFinal, failure: aubroute.FailureCanceled, err: &disconnectedError{err: err}}
		}
		if event.hasID {
			ex.lastEventID = event.id
		}
	}
}

// recordPauses adds the pauses between the events of one attempt to the measured speed of its
// backend server.
func (h *Handler) recordPauses(ex *exchange, choice aubroute.Choice, pauses *aubspeed.Pauses) {
	if h.opts.Speeds == nil {
		return
	}
	a := choice.Member.Announcement
	h.opts.Speeds.Add(aubspeed.Engine{ID: a.GetName(), StartedMs: int64(a.GetIncarnation())}, ex.service, pauses)
}

// writeStreamHeader writes the response header before the first event. A resumed stream
// keeps the header of its first attempt.
func (h *Handler) writeStreamHeader(ex *exchange, resp *http.Response) {
	if ex.headerWritten {
		return
	}
	copyHeader(ex.writer.Header(), resp.Header)
	// Another backend server may send the rest at another length.
	ex.writer.Header().Del("Content-Length")
	h.closeConnection(ex)
	ex.headerWritten = true
	ex.status = resp.StatusCode
	ex.writer.WriteHeader(resp.StatusCode)
}

// isUnframed reports whether the body has neither a length nor chunks, so that its end
// can't be told from that of the connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// finishStream ends a stream that may have had no events.
func (h *Handler) finishStream(ex *exchange, resp *http.Response) attemptResult {
	h.writeStreamHeader(ex, resp)
	return attemptResult{outcome: outcomeFinal}
}

// checkEvent returns an *eventFormatError, an *eventIDError or an *eventOrderError unless the event is well formed
// and directly follows the one with lastID. Without a lastID it may be any event, and any text without an id.
func checkEvent(lastID int64, ev event) error {
	switch {
	case ev.hasID && ev.isMalformed:
		return &eventFormatError{id: ev.id}
	case lastID == NoEventID:
		return nil
	case !ev.hasID:
		return &eventIDError{lastID: lastID}
	case ev.id != lastID+1:
		return &eventOrderError{lastID: lastID, nextID: ev.id}
	}
	return nil
}

// event is one complete event of a stream, including the blank line that ends it.
type event struct {
	data  []byte
	id    int64
	hasID bool
	// isEmpty is set if it has no fields: it consists of a blank line and comments.
	isEmpty bool
	// isMalformed is set if its lines end differently or one of them is no field. A backend server that
	// breaks off within an event may send the head of an error after it.
	isMalformed bool
}

// eventReader splits a stream into events.
type eventReader struct {
	reader   *bufio.Reader
	buffered *bufferShare
}

// newEventReader returns a reader that buffers the stream and holds one event of it.
func newEventReader(r io.Reader, buffered *bufferShare) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, streamBufferBytes), buffered: buffered}
}

// next returns the next complete event. Errors are io.EOF if the stream ends after an
// event, *aubresponse.BrokenError if it ends within one, *eventSizeError for an event above
// maxEventBytes or one that finds all buffers full, and those of the connection.
func (e *eventReader) next() (event, error) {
	e.buffered.release()
	ev := event{isEmpty: true}
	var endsWithCR bool
	lineStart := 0
	for {
		part, err := e.reader.ReadSlice('\n')
		ev.data = append(ev.data, part...)
		switch {
		case len(ev.data) > maxEventBytes || !e.buffered.grow(cap(ev.data)):
			return event{}, &eventSizeError{bytes: len(ev.data)}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(ev.data) > 0:
			return event{}, aubresponse.BodyError(io.ErrUnexpectedEOF)
		case err != nil:
			return event{}, err
		}
		line, hasCR := bytes.CutSuffix(ev.data[lineStart:len(ev.data)-1], []byte("\r"))
		ev.isMalformed = ev.isMalformed || lineStart > 0 && hasCR != endsWithCR
		endsWithCR = hasCR
		if len(line) == 0 {
			return ev, nil
		}
		lineStart = len(ev.data)
		ev.parseField(line)
	}
}

// parseField sets the event's id if the field is a valid one.
func (ev *event) parseField(line []byte) {
	ev.isEmpty = ev.isEmpty && line[0] == ':'
	ev.isMalformed = ev.isMalformed || !aubevent.IsField(line)
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil {
		ev.id, ev.hasID = id, true
	}
}
