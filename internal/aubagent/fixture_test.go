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
	heartbeat = 80 * time.Millisecond
	patience  = 20 * time.Second
	gib       = int64(1) << 30
)

// site is one backend server, its agent and an executor over loopback.
type site struct {
	ctx      context.Context
	common   aubcommon.Common
	engine   *aubstandin.Engine
	service  *aubstandin.Service
	agent    *aubagent.Agent
	executor *aubexecution.Executor
	target   aubexecution.Target
	opts     aubagent.AgentOpts
	wire     *wire
	backend  *httptest.Server
	server   *grpc.Server
}

func newContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

func floorOf(fence uint64) func(context.Context, uint64) (uint64, error) {
	return func(context.Context, uint64) (uint64, error) { return fence, nil }
}

func ready(name string, bytes int64) aubengine.Item {
	return aubengine.Item{Name: name, MemoryBytes: bytes, State: aubengine.ItemReady}
}

func fastOpts() aubagent.AgentOpts {
	return aubagent.AgentOpts{
		Name:           "worker-1",
		Zone:           "zone-1",
		MemoryBytes:    100 * gib,
		FloorFence:     floorOf(1),
		Heartbeat:      heartbeat,
		Linger:         2 * time.Second,
		BackendSilence: 100 * time.Millisecond,
		Poll:           20 * time.Millisecond,
		LoadingPoll:    5 * time.Millisecond,
		OrderLifetime:  10 * time.Millisecond,
	}
}

func newEngineSite(t testing.TB, engine aubstandin.EngineOpts, opts aubagent.AgentOpts) *site {
	s := &site{ctx: newContext(t), common: aubcommon.NewCommon(aubtimer.NewReal()), opts: opts}
	engine.MemoryBytes = opts.MemoryBytes
	s.engine = aubstandin.NewEngine(s.ctx, s.common, engine)
	server := httptest.NewServer(s.engine.Handler())
	t.Cleanup(server.Close)
	s.backend = server
	s.opts.EngineURL = server.URL
	s.startAgent(t)
	return s
}

func newServiceSite(t testing.TB, opts aubagent.AgentOpts) *site {
	s := &site{ctx: newContext(t), common: aubcommon.NewCommon(aubtimer.NewReal()), opts: opts}
	s.service = aubstandin.NewService(s.ctx, s.common, aubstandin.ServiceOpts{
		Name:    "roster",
		OnCrash: func() { _ = s.backend.Listener.Close() },
	})
	server := httptest.NewServer(s.service.Handler())
	t.Cleanup(server.Close)
	s.backend = server
	s.opts.ServiceURL = server.URL
	s.opts.Services = []string{"roster"}
	s.startAgent(t)
	return s
}

func (s *site) startAgent(t testing.TB) { s.startAgentAt(t, "127.0.0.1:0") }

func (s *site) startAgentAt(t testing.TB, address string) {
	agent, err := aubagent.NewAgent(s.ctx, s.common, s.opts)
	qt.Assert(t, err, qt.IsNil)
	s.agent = agent
	s.wire = &wire{}
	server := grpc.NewServer(grpc.StreamInterceptor(s.wire.intercept))
	s.server = server
	agent.Register(server)
	listener, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Stop)
	go func() { _ = server.Serve(listener) }()
	s.target = aubexecution.Target{
		Name:        s.opts.Name,
		Address:     listener.Addr().String(),
		Incarnation: agent.Incarnation(),
	}
	s.executor = aubexecution.NewExecutor(s.ctx, s.common, aubexecution.ExecutorOpts{
		Dial:      dial,
		Heartbeat: heartbeat,
	})
}

func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// awaitReady waits until the agent announces the items as ready.
func (s *site) awaitReady(t testing.TB, names ...string) {
	eventually(t, "items ready", func() bool {
		found := 0
		for _, r := range s.agent.Report().GetResident() {
			for _, name := range names {
				if r.GetName() == name && r.GetState() == aubwire.Residency_RESIDENCY_READY {
					found++
				}
			}
		}
		return found == len(names)
	})
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never: %s", what)
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
		Timeout:     patience,
		Fingerprint: content,
	}
}

// readAll reads an answer to its end.
func readAll(ctx context.Context, a *aubexecution.Answer) (string, error) {
	var body strings.Builder
	for {
		data, err := a.Next(ctx)
		if errors.Is(err, io.EOF) {
			return body.String(), nil
		}
		if err != nil {
			return body.String(), err
		}
		body.Write(data)
	}
}

// call runs a request and reads its whole answer.
func (s *site) call(req aubexecution.Request) (*aubexecution.Answer, string, error) {
	a, err := s.executor.Execute(s.ctx, s.target, req)
	if err != nil {
		return nil, "", err
	}
	defer a.Close()
	body, err := readAll(s.ctx, a)
	return a, body, err
}
