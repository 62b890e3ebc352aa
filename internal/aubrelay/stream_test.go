package aubrelay

import (
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestEventOfManyLinesIsLimited(t *testing.T) {
	line := "data: " + strings.Repeat("x", 100) + "\n"
	events := newEventReader(strings.NewReader(strings.Repeat(line, 2*maxEventBytes/len(line)) + "\n"))
	_, err := events.next()
	var tooLarge *eventSizeError
	qt.Assert(t, errors.As(err, &tooLarge), qt.IsTrue, qt.Commentf("%v", err))
}

// TestLineOfBufferSizeEndsNoEvent guards against a line break read alone that is taken for the end of an event.
func TestLineOfBufferSizeEndsNoEvent(t *testing.T) {
	line := "data: " + strings.Repeat("x", streamBufferBytes-len("data: ")) + "\n"
	text := "id: 4\n" + line + "data: end\n\n"
	events := newEventReader(strings.NewReader(text))
	ev, err := events.next()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(ev.data) == text, qt.IsTrue, qt.Commentf("%d of %d bytes", len(ev.data), len(text)))
	qt.Assert(t, ev.id, qt.Equals, int64(4))
	_, err = events.next()
	qt.Assert(t, err, qt.Equals, io.EOF)
}
