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

// A streamed response of 8 tokens with usage has 11 events: 8 tokens, the finish
// reason, the usage and the end mark. Its frames are the head, one for each event,
// and the end.
const (
	streamEvents = 11
	streamFrames = streamEvents + 2
)

// expectedText is the stand-in engine's output for a chat request.
func expectedText(content string) string {
	return aubstandin.AnswerText("m", aubstandin.ChatPrompt(content), 8)
}

// newChatFixture returns an engine fixture with model "m" ready.
func newChatFixture(t testing.TB) *fixture {
	f := newEngineFixture(t, aubstandin.EngineOpts{Items: []aubengine.Item{readyItem("m", gib)}}, fastOpts())
	f.awaitReady(t, "m")
	return f
}

// TestConnectionFaultAtEveryFrame breaks the connection between executor and agent at
// each frame. The response must be resumed, complete and in order, and the request
// executed once.
func TestConnectionFaultAtEveryFrame(t *testing.T) {
	t.Parallel()
	faults := map[string]streamFault{"disconnect": disconnect, "drop both": dropBothWays, "drop to caller": dropToCaller, "drop from caller": dropFromCaller}
	for name, fault := range faults {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, stream %v", name, stream), func(t *testing.T) {
				t.Parallel()
				f := newChatFixture(t)
				frames := streamFrames
				if !stream {
					frames = 3
				}
				for frameIndex := range frames {
					f.streamFaults.set(fault, frameIndex)
					content := fmt.Sprintf("%s %d", name, frameIndex)
					_, body, err := f.call(chatRequest(content, "m", content, stream))
					qt.Assert(t, err, qt.IsNil, qt.Commentf("fault at frame %d", frameIndex))
					checkComplete(t, body, content, stream)
					qt.Assert(t, f.engine.Stats().Executions[content], qt.Equals, 1)
					if fault != dropFromCaller {
						qt.Assert(t, f.streamFaults.connectionCount() > 1, qt.IsTrue, qt.Commentf("fault at frame %d had no effect", frameIndex))
					}
				}
			})
		}
	}
}

// checkComplete checks that a response body holds the complete expected text.
func checkComplete(t testing.TB, body, content string, stream bool) {
	t.Helper()
	if !stream {
		qt.Assert(t, body, qt.Contains, `"content":"`+expectedText(content)+`"`)
		return
	}
	text, done := streamText(t, body)
	qt.Assert(t, done, qt.IsTrue)
	qt.Assert(t, text, qt.Equals, expectedText(content))
}

// TestEngineFaultAtEveryEvent breaks the connection between agent and engine at each
// event. If the engine can resume the response, it must be complete. If it can't, the
// request must fail and the received text be a prefix of the expected one.
func TestEngineFaultAtEveryEvent(t *testing.T) {
	t.Parallel()
	for _, forgetAnswers := range []bool{false, true} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("response forgotten %v, silent %v", forgetAnswers, silent), func(t *testing.T) {
				t.Parallel()
				f := newChatFixture(t)
				for eventIndex := range streamEvents {
					faults := aubstandin.Faults{ForgetAnswers: forgetAnswers}
					if silent {
						faults.SilentAnswers, faults.SilentAfterEvents = 1, eventIndex
					} else {
						faults.CutAnswers, faults.CutAfterEvents = 1, eventIndex
					}
					f.engine.SetFaults(faults)
					content := fmt.Sprintf("event %d", eventIndex)
					_, body, err := f.call(chatRequest(content, "m", content, true))
					if forgetAnswers {
						checkIncomplete(t, body, err, content)
						continue
					}
					qt.Assert(t, err, qt.IsNil, qt.Commentf("fault at event %d", eventIndex))
					checkComplete(t, body, content, true)
				}
			})
		}
	}
}

// TestAnswerIsNotResumedAtARestartedEngine breaks an answer off as the engine restarts with
// its answers. Its software may have changed.
func TestAnswerIsNotResumedAtARestartedEngine(t *testing.T) {
	t.Parallel()
	f := newChatFixture(t)
	f.engine.SetFaults(aubstandin.Faults{CutAnswers: 1, CutAfterEvents: 2, RenewBootOnCut: true})
	_, body, err := f.call(chatRequest("restarted", "m", "restarted", true))
	var failed *aubexecution.FailedError
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, failed.Execution, qt.Equals, aubapi.ExecutionMayHaveRun)
	text, done := streamText(t, body)
	qt.Assert(t, done, qt.IsFalse)
	qt.Assert(t, strings.HasPrefix(expectedText("restarted"), text), qt.IsTrue)
}

// checkIncomplete checks that a streamed response failed as incomplete and that body
// holds a prefix of the expected text.
func checkIncomplete(t testing.TB, body string, err error, content string) {
	t.Helper()
	var failed *aubexecution.FailedError
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, failed.Execution, qt.Equals, aubapi.ExecutionMayHaveRun)
	qt.Assert(t, failed.Reason, qt.Equals, aubwire.FailureReason_FAILURE_REASON_INCOMPLETE)
	text, done := streamText(t, body)
	qt.Assert(t, done, qt.IsFalse)
	qt.Assert(t, strings.HasPrefix(expectedText(content), text), qt.IsTrue)
}

// TestNonStreamedResponseFaults breaks the connection to the engine during a response
// that is not streamed. The caller must get the complete body or none of it.
func TestNonStreamedResponseFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults aubstandin.Faults
		reason aubwire.FailureReason
	}{
		{name: "cut", faults: aubstandin.Faults{CutAnswers: 1}},
		{name: "silent", faults: aubstandin.Faults{SilentAnswers: 1}},
		{
			name:   "cut and not resumable",
			faults: aubstandin.Faults{CutAnswers: 1, ForgetAnswers: true},
			reason: aubwire.FailureReason_FAILURE_REASON_INCOMPLETE,
		},
	}
	f := newChatFixture(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f.engine.SetFaults(test.faults)
			_, body, err := f.call(chatRequest(test.name, "m", test.name, false))
			if test.reason == 0 {
				qt.Assert(t, err, qt.IsNil)
				checkComplete(t, body, test.name, false)
				return
			}
			var failed *aubexecution.FailedError
			qt.Assert(t, errors.As(err, &failed), qt.IsTrue)
			qt.Assert(t, failed.Reason, qt.Equals, test.reason)
			qt.Assert(t, body, qt.Equals, "")
		})
	}
}

// TestMixedUpResponses has the engine return another request's response. None of it
// may reach the caller.
func TestMixedUpResponses(t *testing.T) {
	f := newChatFixture(t)
	for _, stream := range []bool{true, false} {
		otherID := fmt.Sprintf("other %v", stream)
		_, _, err := f.call(chatRequest(otherID, "m", "another request's secret", stream))
		qt.Assert(t, err, qt.IsNil)
		f.engine.SetFaults(aubstandin.Faults{SwapAnswers: 1})
		id := fmt.Sprintf("mixed up %v", stream)
		_, body, err := f.call(chatRequest(id, "m", id, stream))
		var failed *aubexecution.FailedError
		qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, failed.Reason, qt.Equals, aubwire.FailureReason_FAILURE_REASON_MIXED)
		qt.Assert(t, body, qt.Equals, "")
		_, body, err = f.call(chatRequest(id+" again", "m", id, stream))
		qt.Assert(t, err, qt.IsNil)
		checkComplete(t, body, id, stream)
	}
}
