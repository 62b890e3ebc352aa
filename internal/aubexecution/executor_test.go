package aubexecution_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

const (
	heartbeat   = 60 * time.Millisecond
	testTimeout = 20 * time.Second
	requestID   = "r"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedConnection holds the frames that the fake agent sends on one connection.
// After them it closes the connection or, with hang, keeps it open without traffic.
type scriptedConnection struct {
	frames []*aubwire.ExecuteFrame
	hang   bool
}

// fakeAgent serves the scripted connections in order and repeats the last one.
type fakeAgent struct {
	aubwire.UnimplementedAgentServer
	mu     sync.Mutex
	script []scriptedConnection
	// firstMessages holds the first message on each connection.
	firstMessages []*aubwire.ExecuteRequest
}

func (f *fakeAgent) nextConnection(m *aubwire.ExecuteRequest) scriptedConnection {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstMessages = append(f.firstMessages, m)
	return f.script[min(len(f.firstMessages), len(f.script))-1]
}

// Execute implements the agent's gRPC service.
func (f *fakeAgent) Execute(stream grpc.BidiStreamingServer[aubwire.ExecuteRequest, aubwire.ExecuteFrame]) error {
	m, err := stream.Recv()
	if err != nil {
		return err
	}
	c := f.nextConnection(m)
	for _, frame := range c.frames {
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	if c.hang {
		<-stream.Context().Done()
	}
	return nil
}

func newFrame(sequence uint64) *aubwire.ExecuteFrame {
	return &aubwire.ExecuteFrame{RequestId: requestID, Attempt: 1, Sequence: sequence}
}

func headFrame() *aubwire.ExecuteFrame {
	f := newFrame(1)
	f.Frame = &aubwire.ExecuteFrame_Head{Head: &aubwire.FrameHead{Status: 200}}
	return f
}

// headWith returns a head with the status and a field of the name.
func headWith(status int32, name string) *aubwire.ExecuteFrame {
	f := newFrame(1)
	f.Frame = &aubwire.ExecuteFrame_Head{Head: &aubwire.FrameHead{Status: status, Headers: []*aubwire.Header{{Name: name, Values: []string{"x"}}}}}
	return f
}

func dataFrame(sequence uint64, text string) *aubwire.ExecuteFrame {
	f := newFrame(sequence)
	f.Frame = &aubwire.ExecuteFrame_Data{Data: &aubwire.FrameData{Data: []byte(text)}}
	return f
}

func endFrame(sequence uint64) *aubwire.ExecuteFrame {
	f := newFrame(sequence)
	f.Frame = &aubwire.ExecuteFrame_End{End: &aubwire.FrameEnd{OutputTokens: 2}}
	return f
}

func failureFrame(state aubwire.ExecutionState) *aubwire.ExecuteFrame {
	f := newFrame(1)
	f.Frame = &aubwire.ExecuteFrame_Failure{Failure: &aubwire.FrameFailure{Execution: state}}
	return f
}

func withOtherRequestID(f *aubwire.ExecuteFrame) *aubwire.ExecuteFrame {
	f.RequestId = "another"
	return f
}

// TestResponseContract checks the body and the execution state that the caller gets
// when an agent breaks, delays, repeats or refuses a response.
func TestResponseContract(t *testing.T) {
	notRun := failureFrame(aubwire.ExecutionState_EXECUTION_STATE_NOT_RUN)
	type frames = []*aubwire.ExecuteFrame
	tests := []struct {
		name   string
		script []scriptedConnection
		body   string
		// execution is empty for a complete response.
		execution aubapi.Execution
	}{
		{
			name:   "complete",
			script: []scriptedConnection{{frames: frames{headFrame(), dataFrame(2, "a"), dataFrame(3, "b"), endFrame(4)}}},
			body:   "ab",
		},
		{
			name:   "repeated frames",
			script: []scriptedConnection{{frames: frames{headFrame(), dataFrame(2, "a"), dataFrame(2, "a"), headFrame(), dataFrame(3, "b"), endFrame(4)}}},
			body:   "ab",
		},
		{
			name: "connection ends before the end frame",
			script: []scriptedConnection{
				{frames: frames{headFrame(), dataFrame(2, "a")}},
				{frames: frames{dataFrame(3, "b"), endFrame(4)}},
			},
			body: "ab",
		},
		{
			name: "gap in the sequence",
			script: []scriptedConnection{
				{frames: frames{headFrame(), dataFrame(3, "b"), endFrame(4)}},
				{frames: frames{dataFrame(2, "a"), dataFrame(3, "b"), endFrame(4)}},
			},
			body: "ab",
		},
		{
			name: "frame of another request",
			script: []scriptedConnection{
				{frames: frames{headFrame(), withOtherRequestID(dataFrame(2, "x")), endFrame(3)}},
				{frames: frames{dataFrame(2, "a"), dataFrame(3, "b"), endFrame(4)}},
			},
			body: "ab",
		},
		{
			name: "connection without traffic",
			script: []scriptedConnection{
				{frames: frames{headFrame(), dataFrame(2, "a")}, hang: true},
				{frames: frames{dataFrame(3, "b"), endFrame(4)}},
			},
			body: "ab",
		},
		{name: "no frame on any connection", script: []scriptedConnection{{}}, execution: aubapi.ExecutionMayHaveRun},
		{
			name:      "no end frame on any connection",
			script:    []scriptedConnection{{frames: frames{headFrame(), dataFrame(2, "a")}}, {}},
			body:      "a",
			execution: aubapi.ExecutionMayHaveRun,
		},
		{name: "status 000", script: []scriptedConnection{{frames: frames{headWith(0, "Name"), dataFrame(2, "a"), endFrame(3)}}}, execution: aubapi.ExecutionMayHaveRun},
		{name: "status of four digits", script: []scriptedConnection{{frames: frames{headWith(1000, "Name"), endFrame(2)}}}, execution: aubapi.ExecutionMayHaveRun},
		{name: "informational status", script: []scriptedConnection{{frames: frames{headWith(103, "Name"), endFrame(2)}}}, execution: aubapi.ExecutionMayHaveRun},
		{name: "space in a field name", script: []scriptedConnection{{frames: frames{headWith(200, "Bad Name"), endFrame(2)}}}, execution: aubapi.ExecutionMayHaveRun},
		{name: "unusual status", script: []scriptedConnection{{frames: frames{headWith(799, "Name"), dataFrame(2, "a"), endFrame(3)}}}, body: "a"},
		{name: "end without a head", script: []scriptedConnection{{frames: frames{endFrame(1)}}}, execution: aubapi.ExecutionMayHaveRun},
		{name: "refused", script: []scriptedConnection{{frames: frames{notRun}}}, execution: aubapi.ExecutionNotRun},
		{
			name:      "not run reported on resume",
			script:    []scriptedConnection{{}, {frames: frames{notRun}}},
			execution: aubapi.ExecutionNotRun,
		},
		{
			name:      "not run after the response started",
			script:    []scriptedConnection{{frames: frames{headFrame(), dataFrame(2, "a")}}, {frames: frames{notRun}}},
			body:      "a",
			execution: aubapi.ExecutionMayHaveRun,
		},
		{
			name:      "failure without an execution state",
			script:    []scriptedConnection{{frames: frames{failureFrame(aubwire.ExecutionState_EXECUTION_STATE_UNSPECIFIED)}}},
			execution: aubapi.ExecutionMayHaveRun,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			agent := &fakeAgent{script: test.script}
			body, err := execute(t, agent)
			qt.Assert(t, body, qt.Equals, test.body)
			checkResumes(t, agent)
			if test.execution == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			var failed *aubexecution.FailedError
			qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, failed.Execution, qt.Equals, test.execution)
		})
	}
}

// checkResumes checks that only the first connection began with a start.
func checkResumes(t *testing.T, agent *fakeAgent) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for i, m := range agent.firstMessages {
		qt.Assert(t, m.GetStart() != nil, qt.Equals, i == 0)
	}
}

func execute(t *testing.T, agent aubwire.AgentServer) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := startExecution(ctx, t, agent, aubtimer.NewReal())
	if err != nil {
		return "", err
	}
	return readBody(ctx, response)
}

// startExecution serves the agent and starts to execute a request on it.
func startExecution(ctx context.Context, t *testing.T, agent aubwire.AgentServer, timer aubtimer.Service) (*aubexecution.Response, error) {
	t.Helper()
	server := grpc.NewServer()
	aubwire.RegisterAgentServer(server, agent)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	executor := aubexecution.NewExecutor(ctx, aubcommon.NewCommon(timer), aubexecution.ExecutorOpts{
		Dial: func(address string) (*grpc.ClientConn, error) {
			return grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		},
		Heartbeat: heartbeat,
	})
	target := aubexecution.Target{Address: listener.Addr().String()}
	return executor.Execute(ctx, target, aubexecution.Request{RequestID: requestID, Attempt: 1})
}

// readBody reads the response to its end and closes it.
func readBody(ctx context.Context, response *aubexecution.Response) (string, error) {
	defer response.Close()
	body := ""
	for {
		chunk, err := response.Next(ctx)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		body += string(chunk)
	}
}

// acknowledgedAgent sends the rest of its response once the head was acknowledged.
type acknowledgedAgent struct {
	aubwire.UnimplementedAgentServer
	connections atomic.Int32
}

// Execute implements the agent's gRPC service.
func (a *acknowledgedAgent) Execute(stream grpc.BidiStreamingServer[aubwire.ExecuteRequest, aubwire.ExecuteFrame]) error {
	a.connections.Add(1)
	if _, err := stream.Recv(); err != nil {
		return err
	}
	if err := stream.Send(headFrame()); err != nil {
		return err
	}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	return errors.Join(stream.Send(dataFrame(2, "a")), stream.Send(endFrame(3)))
}

// TestOwnPauseIsNotTheAgentsSilence guards against connections that are closed because the executor's process did not run.
func TestOwnPauseIsNotTheAgentsSilence(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	timer := aubtimer.NewManual(time.Now())
	agent := &acknowledgedAgent{}
	response, err := startExecution(ctx, t, agent, timer)
	qt.Assert(t, err, qt.IsNil)
	timer.Advance(time.Minute)
	body, err := readBody(ctx, response)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "a")
	qt.Assert(t, agent.connections.Load(), qt.Equals, int32(1))
}
