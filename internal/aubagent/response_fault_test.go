package aubagent_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Events of a streamed answer of 8 tokens with usage: 8 tokens, the finish, the
// usage and the end mark. Frames: the head before them and the end after them.
const (
	streamEvents = 11
	streamFrames = streamEvents + 2
)

func expected(content string) string {
	return aubstandin.AnswerText("m", aubstandin.ChatPrompt(content), 8)
}

func chatSite(t testing.TB) *site {
	s := newEngineSite(t, aubstandin.EngineOpts{Items: []aubengine.Item{ready("m", gib)}}, fastOpts())
	s.awaitReady(t, "m")
	return s
}

// TestConnectionFaultAtEveryFrame breaks the connection between executor and
// agent at each frame: the answer is resumed, whole and in order.
func TestConnectionFaultAtEveryFrame(t *testing.T) {
	t.Parallel()
	faults := map[string]wireFault{"cut": wireCut, "silent": wireSilent, "mute": wireMute, "deaf": wireDeaf}
	for name, fault := range faults {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, stream %v", name, stream), func(t *testing.T) {
				t.Parallel()
				s := chatSite(t)
				frames := streamFrames
				if !stream {
					frames = 3
				}
				for at := range frames {
					s.wire.set(fault, at)
					content := fmt.Sprintf("%s %d", name, at)
					_, body, err := s.call(chatRequest(content, "m", content, stream))
					qt.Assert(t, err, qt.IsNil, qt.Commentf("fault at frame %d", at))
					checkWhole(t, body, content, stream)
					qt.Assert(t, s.engine.Stats().Executions[content], qt.Equals, 1)
					if fault != wireDeaf {
						qt.Assert(t, s.wire.opened() > 1, qt.IsTrue, qt.Commentf("fault at frame %d never struck", at))
					}
				}
			})
		}
	}
}

func checkWhole(t testing.TB, body, content string, stream bool) {
	t.Helper()
	if !stream {
		qt.Assert(t, body, qt.Contains, `"content":"`+expected(content)+`"`)
		return
	}
	text, done := streamText(t, body)
	qt.Assert(t, done, qt.IsTrue)
	qt.Assert(t, text, qt.Equals, expected(content))
}

// TestEngineFaultAtEveryEvent breaks the connection between agent and engine at
// each event. An engine that can resume gives the whole answer; with one that
// can't, the answer fails and what came is a true part of it.
func TestEngineFaultAtEveryEvent(t *testing.T) {
	t.Parallel()
	for _, forget := range []bool{false, true} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("forgetful %v, silent %v", forget, silent), func(t *testing.T) {
				t.Parallel()
				s := chatSite(t)
				for at := range streamEvents {
					faults := aubstandin.Faults{ForgetAnswers: forget}
					if silent {
						faults.SilentAnswers, faults.SilentAfterEvents = 1, at
					} else {
						faults.CutAnswers, faults.CutAfterEvents = 1, at
					}
					s.engine.SetFaults(faults)
					content := fmt.Sprintf("event %d", at)
					_, body, err := s.call(chatRequest(content, "m", content, true))
					if forget {
						checkIncomplete(t, body, err, content)
						continue
					}
					qt.Assert(t, err, qt.IsNil, qt.Commentf("fault at event %d", at))
					checkWhole(t, body, content, true)
				}
			})
		}
	}
}

func checkIncomplete(t testing.TB, body string, err error, content string) {
	t.Helper()
	var failed *aubexecution.FailedError
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, failed.Execution, qt.Equals, aubapi.ExecutionMayHaveRun)
	qt.Assert(t, failed.Reason, qt.Equals, aubwire.FailureReason_FAILURE_REASON_INCOMPLETE)
	text, done := streamText(t, body)
	qt.Assert(t, done, qt.IsFalse)
	qt.Assert(t, strings.HasPrefix(expected(content), text), qt.IsTrue)
}

func TestWholeBodyFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults aubstandin.Faults
		reason aubwire.FailureReason
	}{
		{name: "cut", faults: aubstandin.Faults{CutAnswers: 1}},
		{name: "silent", faults: aubstandin.Faults{SilentAnswers: 1}},
		{
			name:   "cut and forgotten",
			faults: aubstandin.Faults{CutAnswers: 1, ForgetAnswers: true},
			reason: aubwire.FailureReason_FAILURE_REASON_INCOMPLETE,
		},
	}
	s := chatSite(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s.engine.SetFaults(test.faults)
			_, body, err := s.call(chatRequest(test.name, "m", test.name, false))
			if test.reason == 0 {
				qt.Assert(t, err, qt.IsNil)
				checkWhole(t, body, test.name, false)
				return
			}
			var failed *aubexecution.FailedError
			qt.Assert(t, errors.As(err, &failed), qt.IsTrue)
			qt.Assert(t, failed.Reason, qt.Equals, test.reason)
			qt.Assert(t, body, qt.Equals, "")
		})
	}
}

// TestCrossedAnswers has the engine answer with another request's content.
func TestCrossedAnswers(t *testing.T) {
	s := chatSite(t)
	for _, stream := range []bool{true, false} {
		victim := fmt.Sprintf("victim %v", stream)
		_, _, err := s.call(chatRequest(victim, "m", "the victim's secret", stream))
		qt.Assert(t, err, qt.IsNil)
		s.engine.SetFaults(aubstandin.Faults{CrossAnswers: 1})
		id := fmt.Sprintf("crossed %v", stream)
		_, body, err := s.call(chatRequest(id, "m", id, stream))
		var failed *aubexecution.FailedError
		qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, failed.Reason, qt.Equals, aubwire.FailureReason_FAILURE_REASON_MIXED)
		qt.Assert(t, body, qt.Equals, "")
		_, body, err = s.call(chatRequest(id+" again", "m", id, stream))
		qt.Assert(t, err, qt.IsNil)
		checkWhole(t, body, id, stream)
	}
}
