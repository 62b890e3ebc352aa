package aubagent_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// TestTruncatedAnswerIsNotComplete guards against an answer of which a part counts as whole because its connection ended within it.
func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	const (
		object = `{"id":"1","choices":[{"text":"a"}]}`
		events = "data: " + object + "\n\ndata: [DONE]\n\n"
	)
	framings := map[string]func(body string) string{
		"length": func(body string) string {
			return fmt.Sprintf("1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		},
		"HTTP 1.0": func(body string) string {
			return fmt.Sprintf("1.0 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		},
		"chunks": func(body string) string {
			return fmt.Sprintf("1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
		"trailer": func(body string) string {
			return fmt.Sprintf("1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n%x\r\n%s\r\n0\r\nSum: 1\r\n\r\n", len(body), body)
		},
		"unframed": func(body string) string { return "1.1 200 OK\r\nConnection: close\r\n\r\n" + body },
	}
	for kind, body := range map[string]string{"application/json": object, "text/event-stream": events, "service": object} {
		for framing, encode := range framings {
			for _, isReset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %t", kind, framing, isReset), func(t *testing.T) {
					t.Parallel()
					response := "HTTP/" + strings.Replace(encode(body), "\r\n", "\r\nContent-Type: "+kind+"\r\n", 1)
					end := len(response)
					if kind == "text/event-stream" {
						// The end mark completes the answer, whatever the framing.
						end = strings.Index(response, "[DONE]") + len("[DONE]")
					}
					var length atomic.Int64
					f := newHandlerFixture(t, func(w http.ResponseWriter, _ *http.Request) {
						conn, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							return
						}
						defer conn.Close()
						fmt.Fprint(conn, response[:length.Load()])
						if tcp, ok := conn.(*net.TCPConn); ok && isReset {
							time.Sleep(time.Millisecond)
							_ = tcp.SetLinger(0)
						}
					}, http.NotFound)
					if kind == "service" {
						f.opts.EngineURL, f.opts.ServiceURL, f.opts.Services = "", f.opts.EngineURL, []string{"roster"}
						f.startAgent(t)
					}
					send := func(n int) error {
						length.Store(int64(n))
						id := fmt.Sprint(n)
						req := chatRequest(id, "m", id, kind == "text/event-stream")
						if kind == "service" {
							req = serviceRequest(id, http.MethodPost, "/v1/chat/completions", nil)
						}
						_, _, err := f.call(req)
						return err
					}
					for n := 0; n < end; n += 3 {
						err := send(n)
						qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", response[:n]))
						checkExecution(t, err, aubapi.ExecutionMayHaveRun)
					}
					if framing != "unframed" {
						qt.Assert(t, send(len(response)), qt.IsNil)
					}
				})
			}
		}
	}
}

// TestErrorWithinAHeadIsNoAnswer guards against a success with the body of an error, which the engine sent after a part of another
// answer's head.
func TestErrorWithinAHeadIsNoAnswer(t *testing.T) {
	const rest = "Server: b\r\nContent-Length: 12\r\n\r\n{\"error\": 1}"
	head := "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 12:00:00 GMT\r\n"
	var length atomic.Int64
	f := newHandlerFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			defer conn.Close()
			fmt.Fprint(conn, head[:length.Load()]+"HTTP/1.1 500 Internal Server Error\r\n"+rest)
		}
	}, http.NotFound)
	for n := 1; n < len(head); n += 4 {
		length.Store(int64(n))
		id := fmt.Sprint(n)
		_, _, err := f.call(chatRequest(id, "m", id, false))
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", head[:n]))
		checkExecution(t, err, aubapi.ExecutionMayHaveRun)
	}
}
