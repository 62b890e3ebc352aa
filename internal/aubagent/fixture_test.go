package aubagent_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/auburndale/auburndale/internal/aubagent"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	heartbeat   = 80 * time.Millisecond
	testTimeout = 20 * time.Second
	gib         = int64(1) << 30
)

// fixture is a stand-in backend server, its agent and an executor, connected over
// loopback.
type fixture struct {
	ctx           context.Context
	common        aubcommon.Common
	engine        *aubstandin.Engine
	service       *aubstandin.Service
	agent         *aubagent.Agent
	executor      *aubexecution.Executor
	target        aubexecution.Target
	opts          aubagent.AgentOpts
	streamFaults  *streamFaultInjector
	backendServer *httptest.Server
	grpcServer    *grpc.Server
}

func newContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// fixedFloor returns a FenceFloor function with a constant result.
func fixedFloor(fence uint64) func(context.Context, uint64) (uint64, error) {
	return func(context.Context, uint64) (uint64, error) { return fence, nil }
}

func readyItem(name string, bytes int64) aubengine.Item {
	return aubengine.Item{Name: name, MemoryBytes: bytes, State: aubengine.ItemReady}
}

// fastOpts returns agent options with short intervals.
func fastOpts() aubagent.AgentOpts {
	return aubagent.AgentOpts{
		Name:                "worker-1",
		Zone:                "zone-1",
		MemoryBytes:         100 * gib,
		FenceFloor:          fixedFloor(1),
		Heartbeat:           heartbeat,
		Linger:              2 * time.Second,
		BackendStallTimeout: 100 * time.Millisecond,
		PollInterval:        20 * time.Millisecond,
		LoadingPollInterval: 5 * time.Millisecond,
		OrderLifetime:       10 * time.Millisecond,
	}
}

func newEngineFixture(t testing.TB, engine aubstandin.EngineOpts, opts aubagent.AgentOpts) *fixture {
	f := &fixture{ctx: newContext(t), common: aubcommon.NewCommon(aubtimer.NewReal()), opts: opts}
	engine.MemoryBytes = opts.MemoryBytes
	f.engine = aubstandin.NewEngine(f.ctx, f.common, engine)
	server := httptest.NewServer(f.engine.Handler())
	t.Cleanup(server.Close)
	f.backendServer = server
	f.opts.EngineURL = server.URL
	f.startAgent(t)
	return f
}

func newServiceFixture(t testing.TB, opts aubagent.AgentOpts) *fixture {
	f := &fixture{ctx: newContext(t), common: aubcommon.NewCommon(aubtimer.NewReal()), opts: opts}
	f.service = aubstandin.NewService(f.ctx, f.common, aubstandin.ServiceOpts{
		Name:    "roster",
		OnCrash: func() { _ = f.backendServer.Listener.Close() },
	})
	server := httptest.NewServer(f.service.Handler())
	t.Cleanup(server.Close)
	f.backendServer = server
	f.opts.ServiceURL = server.URL
	f.opts.Services = []string{"roster"}
	f.startAgent(t)
	return f
}

func (f *fixture) startAgent(t testing.TB) { f.startAgentAt(t, "127.0.0.1:0") }

// startAgentAt starts an agent, its gRPC server on the address, and an executor.
func (f *fixture) startAgentAt(t testing.TB, address string) {
	agent, err := aubagent.NewAgent(f.ctx, f.common, f.opts)
	qt.Assert(t, err, qt.IsNil)
	f.agent = agent
	f.streamFaults = &streamFaultInjector{}
	server := grpc.NewServer(grpc.StreamInterceptor(f.streamFaults.intercept))
	f.grpcServer = server
	agent.Register(server)
	listener, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Stop)
	go func() { _ = server.Serve(listener) }()
	f.target = aubexecution.Target{
		Name:        f.opts.Name,
		Address:     listener.Addr().String(),
		Incarnation: agent.Incarnation(),
	}
	f.executor = aubexecution.NewExecutor(f.ctx, f.common, aubexecution.ExecutorOpts{
		Dial:      dial,
		Heartbeat: f.opts.Heartbeat,
	})
}

func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// awaitReady waits until the agent reports the items as ready.
func (f *fixture) awaitReady(t testing.TB, names ...string) {
	eventually(t, "items ready", func() bool {
		readyCount := 0
		for _, r := range f.agent.Report().GetResident() {
			for _, name := range names {
				if r.GetName() == name && r.GetState() == aubwire.Residency_RESIDENCY_READY {
					readyCount++
				}
			}
		}
		return readyCount == len(names)
	})
}

// eventually polls until the condition holds and fails the test after testTimeout.
func eventually(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition never met: %s", condition)
}

func chatRequest(id, model, content string, stream bool) aubexecution.Request {
	body := `{"model":"` + model + `","max_tokens":8,"messages":[{"role":"user","content":"` + content + `"}]`
	if stream {
		body += `,"stream":true,"stream_options":{"include_usage":true}`
	}
	return aubexecution.Request{
		RequestID:   id,
		Attempt:     1,
		Method:      http.MethodPost,
		Path:        "/v1/chat/completions",
		Header:      http.Header{"Content-Type": {"application/json"}},
		Body:        strings.NewReader(body + "}"),
		Model:       model,
		Idempotent:  true,
		Stream:      stream,
		Timeout:     testTimeout,
		Fingerprint: content,
	}
}

// readAll reads a response to its end.
func readAll(ctx context.Context, resp *aubexecution.Response) (string, error) {
	var body strings.Builder
	for {
		data, err := resp.Next(ctx)
		if errors.Is(err, io.EOF) {
			return body.String(), nil
		}
		if err != nil {
			return body.String(), err
		}
		body.Write(data)
	}
}

// call runs a request and reads its complete response, for testTimeout at most.
func (f *fixture) call(req aubexecution.Request) (*aubexecution.Response, string, error) {
	ctx, cancel := context.WithTimeout(f.ctx, testTimeout)
	defer cancel()
	resp, err := f.executor.Execute(ctx, f.target, req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Close()
	body, err := readAll(ctx, resp)
	return resp, body, err
}
