package aubengine_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubengine"
)

func readEvents(r io.Reader) (events []string, raw string, err error) {
	reader := aubengine.NewEventReader(r)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return events, raw, nil
		}
		if err != nil {
			return events, raw, err
		}
		events = append(events, string(event.Data))
		raw += string(event.Raw)
	}
}

func TestEventReader(t *testing.T) {
	long := strings.Repeat("x", 10000)
	tests := []struct {
		name   string
		input  string
		events []string
		err    error
	}{
		{name: "empty"},
		{name: "two events", input: "data: a\n\ndata: b\n\n", events: []string{"a", "b"}},
		{name: "CRLF and LF line ends", input: "data: a\r\n\r\ndata:b\n\n", events: []string{"a", "b"}},
		{name: "several data lines", input: "data: a\ndata: b\n\n", events: []string{"a\nb"}},
		{name: "comment and event name", input: ": ping\nevent: x\ndata: a\n\n", events: []string{"a"}},
		{name: "blank lines between events", input: "\n\ndata: a\n\n\n\n", events: []string{"a"}},
		{name: "longer than the buffer", input: "data: " + long + "\n\n", events: []string{long}},
		{name: "truncated within a line", input: "data: a\n\ndata: b", events: []string{"a"}, err: aubengine.ErrIncomplete},
		{name: "truncated before the blank line", input: "data: a\n", err: aubengine.ErrIncomplete},
		{
			name:  "longer than the limit",
			input: "data: " + strings.Repeat("x", aubengine.MaxEventBytes) + "\n\n",
			err:   aubengine.ErrEventTooLong,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			events, _, err := readEvents(strings.NewReader(test.input))
			qt.Assert(t, err, qt.ErrorIs, test.err)
			qt.Assert(t, events, qt.DeepEquals, test.events)
		})
	}
}

// FuzzEventReader checks that the events do not depend on the sizes of the reads,
// and that they hold no more bytes than the input.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":1}\r\n\r\n: x\n\n"))
	f.Add([]byte("data"))
	f.Fuzz(func(t *testing.T, input []byte) {
		events, raw, err := readEvents(bytes.NewReader(input))
		bytewise, bytewiseRaw, bytewiseErr := readEvents(iotest.OneByteReader(bytes.NewReader(input)))
		qt.Assert(t, bytewise, qt.DeepEquals, events)
		qt.Assert(t, bytewiseRaw, qt.Equals, raw)
		qt.Assert(t, errors.Is(bytewiseErr, err), qt.IsTrue)
		qt.Assert(t, len(raw) <= len(input), qt.IsTrue)
	})
}
