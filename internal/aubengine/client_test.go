package aubengine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

type outcome int

const (
	outcomeSucceeded outcome = iota
	outcomeRefused
	outcomeUncertain
	outcomeNotSent
)

func outcomeOf(err error) outcome {
	switch err.(type) { //nolint:errorlint // callers check the outermost type
	case nil:
		return outcomeSucceeded
	case *aubengine.RefusedError:
		return outcomeRefused
	case *aubengine.NotSentError:
		return outcomeNotSent
	default:
		return outcomeUncertain
	}
}

// respondRaw sends the bytes of a response.
func respondRaw(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(conn, response)
			_ = conn.Close()
		}
	}
}

// TestOrderOutcomes checks the error type of an order for each way in which an engine responds or fails.
func TestOrderOutcomes(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    outcome
	}{
		{name: "succeeded", handler: respond(http.StatusOK, "{}"), want: outcomeSucceeded},
		{name: "stale fence", handler: respond(http.StatusConflict, `{"error":{"code":"stale_fence"}}`), want: outcomeRefused},
		{name: "refused without an error document", handler: respond(http.StatusBadRequest, "no"), want: outcomeRefused},
		{name: "accepted without a result", handler: respond(http.StatusAccepted, "{}"), want: outcomeUncertain},
		{name: "redirected", handler: respond(http.StatusFound, ""), want: outcomeUncertain},
		{name: "gateway error", handler: respond(http.StatusBadGateway, `{"error":{}}`), want: outcomeUncertain},
		{
			name:    "connection aborted",
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want:    outcomeUncertain,
		},
		{
			name: "truncated response",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "10")
				_, _ = w.Write([]byte("{"))
			},
			want: outcomeUncertain,
		},
		{
			name: "no response",
			handler: func(_ http.ResponseWriter, r *http.Request) {
				// The server notices that the client disconnects only after it has read the body.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			},
			want: outcomeUncertain,
		},
		{name: "refused with a body too long", handler: respond(http.StatusBadRequest, strings.Repeat(" ", 5<<20)), want: outcomeUncertain},
		{name: "succeeded with a body too long", handler: respond(http.StatusOK, strings.Repeat(" ", 5<<20)), want: outcomeUncertain},
		{name: "refused, status 000 before it", handler: respondRaw("HTTP/1.1 000 x\r\n\r\nHTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n"), want: outcomeUncertain},
		{name: "refused, space in a field name", handler: respondRaw("HTTP/1.1 400 x\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n"), want: outcomeUncertain},
		{name: "succeeded, space in a field name", handler: respondRaw("HTTP/1.1 200 x\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n"), want: outcomeUncertain},
		{name: "connection refused", want: outcomeNotSent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			server := httptest.NewServer(test.handler)
			defer server.Close()
			if test.handler == nil {
				server.Close()
			}
			client := aubengine.NewClient(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubengine.ClientOpts{
				URL:     server.URL,
				Timeout: 300 * time.Millisecond,
			})
			err := client.Load(ctx, aubengine.Order{Name: "m"})
			qt.Assert(t, outcomeOf(err), qt.Equals, test.want, qt.Commentf("%v", err))
		})
	}
}

// TestCallAfterTheEndLeavesNoIdleConnection guards against a connection kept by a call after the context of the client.
func TestCallAfterTheEndLeavesNoIdleConnection(t *testing.T) {
	closed := make(chan struct{}, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{}`)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	server.Start()
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	client := aubengine.NewClient(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubengine.ClientOpts{URL: server.URL})
	cancel()
	// The client closes its idle connections in a goroutine of its own.
	time.Sleep(20 * time.Millisecond)
	_, err := client.State(context.Background())
	qt.Assert(t, err, qt.IsNil)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// TestCanceledCallsLeaveNoIdleConnection cancels calls at random moments around the end of
// their client, while net/http may still dial for them.
func TestCanceledCallsLeaveNoIdleConnection(t *testing.T) {
	const clients, callsPerClient = 300, 4
	var mu sync.Mutex
	open := make(map[net.Conn]bool)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{}`)
	}))
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		open[c] = true
		if state == http.StateClosed {
			delete(open, c)
		}
	}
	server.Start()
	defer server.Close()
	for i := range clients {
		ctx, cancel := context.WithCancel(context.Background())
		client := aubengine.NewClient(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubengine.ClientOpts{URL: server.URL})
		var calls sync.WaitGroup
		for range callsPerClient {
			calls.Go(func() { _, _ = client.State(ctx) })
		}
		time.Sleep(time.Duration(i%30) * 10 * time.Microsecond)
		cancel()
		calls.Wait()
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(open)
	}
	for deadline := time.Now().Add(2 * time.Second); count() > 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, count(), qt.Equals, 0)
}

// TestCopyOfAReportIsNoOtherResponse guards against the copy of a report that is read as the engine's state, which then
// looks empty, or as the answer of a generation.
func TestCopyOfAReportIsNoOtherResponse(t *testing.T) {
	bodies := map[string]string{
		aubengine.PathLoadReport: `{"running":3}`,
		aubengine.PathState:      `{"boot":"b1","items":[{"name":"m","memory_bytes":1,"state":"ready"}]}`,
		"/v1/chat/completions":   `{"choices":[]}`,
	}
	// Each connection repeats its first response in the place of the second.
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		body := bodies[r.URL.Path]
		for range 2 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := http.ReadRequest(buffered.Reader); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	newClient := func() *aubengine.Client {
		client := aubengine.NewClient(t.Context(), aubcommon.NewCommon(aubtimer.NewReal()), aubengine.ClientOpts{URL: server.URL})
		_, err := client.LoadReport(t.Context())
		qt.Assert(t, err, qt.IsNil)
		return client
	}
	t.Run("state", func(t *testing.T) {
		state, err := newClient().State(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, state.Boot, qt.Equals, "b1")
		qt.Check(t, state.Items, qt.HasLen, 1)
	})
	t.Run("generation", func(t *testing.T) {
		resp, err := newClient().Do(t.Context(), aubengine.Call{Method: http.MethodPost, Path: "/v1/chat/completions"})
		qt.Assert(t, err, qt.IsNil)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, bodies["/v1/chat/completions"])
	})
}
