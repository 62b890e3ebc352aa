package aubagent_test

import (
	"errors"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// slowBody is a body whose remaining bytes come in parts of 32 KiB, one in each heartbeat.
type slowBody struct{ remaining, part int }

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if b.part == 0 {
		time.Sleep(heartbeat)
		b.part = min(32<<10, b.remaining)
	}
	n := min(b.part, len(p))
	b.part -= n
	b.remaining -= n
	return n, nil
}

// TestSlowBodyIsNotCutAsIfTheConnectionWereSilent guards against connections that bear no heartbeat while a body is sent.
func TestSlowBodyIsNotCutAsIfTheConnectionWereSilent(t *testing.T) {
	opts := fastOpts()
	opts.MaxBodyBytes = 512 << 10
	f := newServiceFixture(t, opts)

	req := confirmRequest("allowed")
	req.Body = &slowBody{remaining: opts.MaxBodyBytes}
	_, _, err := f.call(req)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.service.Stats().Executions["allowed"], qt.Equals, 1)

	req = confirmRequest("too long")
	req.Body = &slowBody{remaining: 2 * opts.MaxBodyBytes}
	_, _, err = f.call(req)
	checkExecution(t, err, aubapi.ExecutionNotRun)
	var failed *aubexecution.FailedError
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue)
	qt.Assert(t, failed.Reason, qt.Equals, aubwire.FailureReason_FAILURE_REASON_OVERLOADED, qt.Commentf("%v", err))
}

// TestStalledBodyEndsAtTheDeadline guards against requests that wait for their body without end.
func TestStalledBodyEndsAtTheDeadline(t *testing.T) {
	f := newServiceFixture(t, fastOpts())
	body, writer := io.Pipe()
	t.Cleanup(func() { _ = writer.Close() })
	go func() { _, _ = writer.Write(make([]byte, 100<<10)) }()
	req := confirmRequest("r")
	req.Body, req.Timeout = body, 5*heartbeat
	startedAt := time.Now()
	_, _, err := f.call(req)
	checkExecution(t, err, aubapi.ExecutionNotRun)
	qt.Assert(t, time.Since(startedAt) < testTimeout/2, qt.IsTrue)
	eventually(t, "the attempt has ended", func() bool { return f.agent.Drain(f.ctx) == nil })
	qt.Assert(t, f.service.Stats().Executions["r"], qt.Equals, 0)
}
