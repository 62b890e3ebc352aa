package aubagent_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// TestCopyOfAnUnnamedResponseReachesNoOtherCaller guards against the copy of a plain service's response that another caller
// receives, if responses name no request.
func TestCopyOfAnUnnamedResponseReachesNoOtherCaller(t *testing.T) {
	f := &fixture{ctx: newContext(t), common: aubcommon.NewCommon(aubtimer.NewReal()), opts: fastOpts()}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		body := "answer to " + r.URL.Path
		for range 2 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := http.ReadRequest(buffered.Reader); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	f.backendServer = server
	f.opts.ServiceURL = server.URL
	f.opts.Services = []string{"roster"}
	f.startAgent(t)
	for _, id := range []string{"a", "b"} {
		_, body, err := f.call(aubexecution.Request{RequestID: id, Attempt: 1, Method: http.MethodGet, Path: "/" + id, Service: "roster", Idempotent: true, Timeout: testTimeout})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "answer to /"+id)
	}
}
