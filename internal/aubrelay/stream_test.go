package aubrelay

import (
	"errors"

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
