package aubagent_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubagent"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// newHandlerFixture returns a fixture whose engine holds the model "m", begins the response to each request with begin and
// goes on with it as resume does.
func newHandlerFixture(t *testing.T, begin, resume http.HandlerFunc) *fixture {
	return newHandlerFixtureWith(newContext(t), t, fastOpts(), begin, resume)
}

// newHandlerFixtureWith is newHandlerFixture with a context and the options of the agent.
func newHandlerFixtureWith(ctx context.Context, t *testing.T, opts aubagent.AgentOpts, begin, resume http.HandlerFunc) *fixture {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == aubengine.PathState:
			fmt.Fprint(w, `{"boot":"1","items":[{"name":"m","state":"ready"}]}`)
		case r.URL.Path == "/v1/chat/completions":
			begin(w, r)
		case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, aubengine.PathAnswers) && !strings.HasSuffix(r.URL.Path, "/status"):
			resume(w, r)
		default:
			http.NotFound(w, r)
		}
	}))
	t.Cleanup(server.Close)
	f := &fixture{ctx: ctx, common: aubcommon.NewCommon(aubtimer.NewReal()), opts: opts}
	f.opts.EngineURL = server.URL
	f.startAgent(t)
	f.awaitReady(t, "m")
	return f
}

// respondWith returns a handler that sends the status and the body and then, if isCut is set, ends the connection.
func respondWith(status int, contentType, body string, isCut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		fmt.Fprint(w, body)
		_ = http.NewResponseController(w).Flush()
		if isCut {
			panic(http.ErrAbortHandler)
		}
	}
}

// TestErrorIsNoPartOfAnAnswer guards against an answer that broke off and goes on with an error of the engine, or ends as if it
// were complete.
func TestErrorIsNoPartOfAnAnswer(t *testing.T) {
	const (
		events = "text/event-stream"
		begun  = `data: {"id":"1","choices":[{"delta":{"content":"a"}}]}` + "\n\n"
		done   = "data: [DONE]\n\n"
		head   = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror\n\n"
		object = `{"error":{"message":"overloaded"}}`
	)
	for _, test := range []struct {
		name, contentType, body string
		status                  int
	}{
		{name: "error", status: 500, contentType: "application/json", body: object},
		{name: "refusal", status: 404, contentType: "text/plain", body: "none"},
		{name: "no content", status: 204},
		{name: "another success", status: 206, contentType: events, body: begun + done},
		{name: "JSON", status: 200, contentType: "application/json", body: object},
		{name: "HTML", status: 200, contentType: "text/html", body: "<html>\n\n</html>\n\n" + done},
		{name: "nothing", status: 200, contentType: events},
		{name: "text", status: 200, contentType: events, body: "Bad gateway\n\n" + done},
		{name: "text in an event", status: 200, contentType: events, body: "data: Bad gateway\n\n" + done},
		{name: "head", status: 200, contentType: events, body: head + done},
		{name: "error event", status: 200, contentType: events, body: "data: " + object + "\n\n" + done},
		{name: "event of another answer", status: 200, contentType: events, body: `data: {"id":"2","choices":[]}` + "\n\n" + done},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newHandlerFixture(t, respondWith(http.StatusOK, events, begun, true), respondWith(test.status, test.contentType, test.body, false))
			_, body, err := f.call(chatRequest("r", "m", "r", true))
			checkExecution(t, err, aubapi.ExecutionMayHaveRun)
			qt.Check(t, body, qt.Equals, begun)
		})
	}
}

// TestHeadWithinAnAnswerIsNotForwarded guards against the head of an error in the middle of an answer, which the engine sent on the
// connection of the answer.
func TestHeadWithinAnAnswerIsNotForwarded(t *testing.T) {
	const begun = `data: {"id":"1","choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	for _, part := range []string{"", "da", `data: {"id":"1"`, `data: {"id":"1","choices":[]}` + "\n"} {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			answer := begun + part + "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\nerror\n\ndata: [DONE]\n\n"
			f := newHandlerFixture(t, respondWith(http.StatusOK, "text/event-stream", answer, false), http.NotFound)
			_, body, err := f.call(chatRequest("r", "m", "r", true))
			checkExecution(t, err, aubapi.ExecutionMayHaveRun)
			qt.Check(t, body, qt.Equals, begun)
		})
	}
}
