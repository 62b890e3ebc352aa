package aubagent

import (
	"errors"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestSessionEndsAfterTheLastFrame guards against a session that ends while the last frame is not yet sent.
func TestSessionEndsAfterTheLastFrame(t *testing.T) {
	frames := newFrameBuffer(executionKey{requestID: "r", attempt: 1})
	s := &session{
		agent: &Agent{common: aubcommon.NewCommon(aubtimer.NewManual(time.Now()))}, exec: &execution{frames: frames}, nextSequence: 1,
	}
	_, _, frameAdded, _ := frames.unackedFrom(s.nextSequence)
	frames.close(&aubwire.ExecuteFrame{}, time.Now())
	qt.Assert(t, s.waitAfterReceiveDone(t.Context(), frameAdded), qt.IsNil)
	s.nextSequence = 2
	_, _, frameAdded, _ = frames.unackedFrom(s.nextSequence)
	qt.Assert(t, errors.Is(s.waitAfterReceiveDone(t.Context(), frameAdded), io.EOF), qt.IsTrue)
}

// discardStream is a caller's stream whose frames nobody reads.
type discardStream struct{ executeStream }

// Send implements executeStream.
func (discardStream) Send(*aubwire.ExecuteFrame) error { return nil }

// TestOwnPauseIsNotTheCallersSilence guards against sessions that end because the agent's process did not run.
func TestOwnPauseIsNotTheCallersSilence(t *testing.T) {
	timer := aubtimer.NewManual(time.Now())
	opts := AgentOpts{}.withDefaults()
	s := &session{agent: &Agent{common: aubcommon.NewCommon(timer), opts: opts}, exec: &execution{}, stream: discardStream{}}
	timer.Advance(time.Minute)
	qt.Assert(t, s.tick(), qt.IsNil)

	tickInterval := opts.Heartbeat / ticksPerHeartbeat
	for range opts.CallerTimeout/tickInterval - 1 {
		timer.Advance(tickInterval)
		qt.Assert(t, s.tick(), qt.IsNil)
	}
	timer.Advance(tickInterval)
	qt.Assert(t, s.tick(), qt.IsNotNil)
}
