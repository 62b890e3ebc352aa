package aubengine

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/auburndale/auburndale/internal/aubevent"
)

// MaxEventBytes is the maximum size of a server-sent event.
const MaxEventBytes = 1 << 20

const (
	readBufferBytes = 4096
	endMark         = "[DONE]"
)

// Event is one server-sent event.
type Event struct {
	// Raw is the event as received, including its final blank line.
	Raw []byte
	// Data is the payload of the data lines, joined by newlines.
	Data []byte
}

// Done reports whether the event is the end mark of an OpenAI-style stream.
func (e Event) Done() bool { return string(e.Data) == endMark }

// EventReader splits a stream into server-sent events.
type EventReader struct{ reader *bufio.Reader }

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next event. It returns io.EOF if the stream ends between
// events, ErrIncomplete if it ends within one and ErrNoEvent for other text.
func (e *EventReader) Next() (Event, error) {
	var ev Event
	for {
		start := len(ev.Raw)
		if err := e.appendLine(&ev); err != nil {
			return Event{}, streamEndError(err, len(ev.Raw))
		}
		line := bytes.TrimRight(ev.Raw[start:], "\r\n")
		if len(line) > 0 && !aubevent.IsField(line) {
			return Event{}, ErrNoEvent
		}
		if len(line) > 0 {
			ev.Data = appendData(ev.Data, line)
			continue
		}
		if start > 0 {
			return ev, nil
		}
		// Skip blank lines between events.
		ev.Raw = ev.Raw[:0]
	}
}

// appendLine appends the next line, including its line end, to the raw event.
func (e *EventReader) appendLine(ev *Event) error {
	for {
		fragment, err := e.reader.ReadSlice('\n')
		ev.Raw = append(ev.Raw, fragment...)
		if len(ev.Raw) > MaxEventBytes {
			return ErrEventTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// appendData appends the payload of a data line; other lines are ignored.
func appendData(data, line []byte) []byte {
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return data
	}
	if data != nil {
		data = append(data, '\n')
	}
	return append(data, bytes.TrimPrefix(value, []byte(" "))...)
}

// streamEndError returns ErrIncomplete for an end of file after partialBytes of an event.
func streamEndError(err error, partialBytes int) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if partialBytes > 0 {
		return ErrIncomplete
	}
	return io.EOF
}
