package aubagent_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// respondBytes returns a handler that sends the response with its placeholders replaced, and closes the connection.
func respondBytes(response, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprint(conn, strings.NewReplacer("TYPE", contentType, "LENGTH", fmt.Sprint(len(body)), "CHUNKS", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), "BODY", body).Replace(response))
	}
}

// TestBrokenResponseIsNoAnswer guards against an answer whose head is not HTTP, of an engine or a plain service.
func TestBrokenResponseIsNoAnswer(t *testing.T) {
	const (
		object = `{"id":"1","choices":[{"text":"a"}]}`
		events = "data: " + object + "\n\ndata: [DONE]\n\n"
		head   = "Content-Type: TYPE\r\nContent-Length: LENGTH\r\n"
		whole  = head + "\r\nBODY"
	)
	responses := map[string]string{
		"status 000":                       "HTTP/1.1 000 x\r\n" + whole,
		"status 099":                       "HTTP/1.1 099 x\r\n" + whole,
		"status -00":                       "HTTP/1.1 -00 x\r\n" + whole,
		"switch of protocols":              "HTTP/1.1 101 x\r\n" + whole,
		"status 000 before the response":   "HTTP/1.1 000 x\r\n\r\nHTTP/1.1 200 OK\r\n" + whole,
		"space in a name":                  "HTTP/1.1 200 OK\r\nBad Name: x\r\n" + whole,
		"space after a name":               "HTTP/1.1 200 OK\r\nName : x\r\n" + whole,
		"space before a name":              "HTTP/1.1 200 OK\r\nServer: b\r\n Name: x\r\n" + whole,
		"control byte in a name":           "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n" + whole,
		"LF before a name":                 "HTTP/1.1 200 OK\r\n\nName: x\r\n" + whole,
		"space after the name of a length": "HTTP/1.1 200 OK\r\nContent-Type: TYPE\r\nContent-Length : LENGTH\r\n\r\nBODY",
		"space after the name of chunks":   "HTTP/1.1 200 OK\r\nContent-Type: TYPE\r\nTransfer-Encoding : chunked\r\n\r\nCHUNKS",
		"informational response":           "HTTP/1.1 103 x\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + whole,
		"chunks before HTTP/1.1":           "HTTP/1.0 200 OK\r\nContent-Type: TYPE\r\nTransfer-Encoding: chunked\r\n\r\nCHUNKS",
		"space in the name of a trailer":   "HTTP/1.1 200 OK\r\nContent-Type: TYPE\r\nTransfer-Encoding: chunked\r\n\r\nTRAILED",
		"error with a space in a name":     "HTTP/1.1 404 x\r\nBad Name: x\r\n" + whole,
	}
	for kind, body := range map[string]string{"application/json": object, "text/event-stream": events, "service": object} {
		for name, response := range responses {
			if name == "space in the name of a trailer" && kind == "text/event-stream" {
				// The end mark completes the answer.
				continue
			}
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				trailed := fmt.Sprintf("%x\r\n%s\r\n0\r\nBad Name: x\r\n\r\n", len(body), body)
				handle := respondBytes(strings.Replace(response, "TRAILED", trailed, 1), kind, body)
				f := newHandlerFixture(t, handle, http.NotFound)
				req := chatRequest("1", "m", "1", kind == "text/event-stream")
				if kind == "service" {
					f.opts.EngineURL, f.opts.ServiceURL, f.opts.Services = "", f.opts.EngineURL, []string{"roster"}
					f.startAgent(t)
					req = serviceRequest("1", http.MethodPost, "/v1/chat/completions", nil)
				}
				_, _, err := f.call(req)
				checkExecution(t, err, aubapi.ExecutionMayHaveRun)
			})
		}
	}
}

const (
	// uploadBytes is the size of a body that is still being written when an early response arrives.
	uploadBytes       = 3 << 20
	socketBufferBytes = 64 << 10
)

// answerEarly returns a handler that sends the response before it has read the request, and then ends the connection.
func answerEarly(response string, end func(conn *net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(socketBufferBytes)
			fmt.Fprint(conn, response)
			end(tcp)
		}
	}
}

// newUploadFixture returns a fixture whose intervals leave time for long bodies, and that lasts until the end of the test. Its
// engine holds the model "m" and responds with handle.
func newUploadFixture(t *testing.T, handle http.HandlerFunc) *fixture {
	opts := fastOpts()
	opts.Heartbeat, opts.BackendStallTimeout = 0, 0
	return newHandlerFixtureWith(t.Context(), t, opts, handle, http.NotFound)
}

// uploadRequest returns a request with a long body, to an engine or a plain service.
func uploadRequest(f *fixture, id string) aubexecution.Request {
	if f.opts.EngineURL == "" {
		return serviceRequest(id, http.MethodPost, "/v1/chat/completions", make([]byte, uploadBytes))
	}
	req := chatRequest(id, "m", strings.Repeat("x", uploadBytes), false)
	req.Fingerprint = id
	return req
}

// TestResetDuringAnUploadIsNoEndOfAnAnswer guards against a part of an engine's error that seems whole: its connection was reset
// while the request was still being written, the write was told of that, and the read found the end of the connection.
func TestResetDuringAnUploadIsNoEndOfAnAnswer(t *testing.T) {
	const rounds, moments = 30, 6
	var round atomic.Int64
	f := newUploadFixture(t, answerEarly("HTTP/1.1 404 Not Found\r\nConnection: close\r\n\r\na part of", func(conn *net.TCPConn) {
		time.Sleep(time.Duration(round.Load()%moments) * 300 * time.Microsecond)
		_ = conn.SetLinger(0)
	}))
	for n := range rounds {
		round.Store(int64(n))
		_, body, err := f.call(uploadRequest(f, fmt.Sprint(n)))
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("round %d: %q", n, body))
		checkExecution(t, err, aubapi.ExecutionMayHaveRun)
	}
}

// TestEarlyAnswerToAnUploadIsDelivered guards against the loss of an answer that came whole before the request was read, if a write
// failed afterwards.
func TestEarlyAnswerToAnUploadIsDelivered(t *testing.T) {
	const rounds, object = 20, `{"a":1}`
	for framing, response := range map[string]string{
		"length":       "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 7\r\n\r\n" + object,
		"chunks":       "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n" + object + "\r\n0\r\n\r\n",
		"length, 413":  "HTTP/1.1 413 Too Large\r\nContent-Length: 7\r\nConnection: close\r\n\r\n" + object,
		"no body, 204": "HTTP/1.1 204 No Content\r\n\r\n",
	} {
		for name, end := range map[string]func(conn *net.TCPConn){
			"closes":       func(*net.TCPConn) {},
			"resets":       func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
			"resets later": func(conn *net.TCPConn) { time.Sleep(5 * time.Millisecond); _ = conn.SetLinger(0) },
			"reads on":     func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) },
		} {
			for _, isService := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, service %t", framing, name, isService), func(t *testing.T) {
					t.Parallel()
					answer := response
					if name == "reads on" {
						answer = strings.Replace(response, "\r\n", "\r\nConnection: close\r\n", 1)
					}
					play, ended := answerEarly(answer, end), make(chan struct{}, rounds)
					f := newUploadFixture(t, func(w http.ResponseWriter, r *http.Request) {
						play(w, r)
						ended <- struct{}{}
					})
					if isService {
						f.opts.EngineURL, f.opts.ServiceURL, f.opts.Services = "", f.opts.EngineURL, []string{"roster"}
						f.startAgent(t)
					}
					for n := range rounds {
						resp, body, err := f.call(uploadRequest(f, fmt.Sprint(n)))
						qt.Assert(t, err, qt.IsNil, qt.Commentf("round %d", n))
						qt.Assert(t, resp.Status == http.StatusNoContent || body == object, qt.IsTrue, qt.Commentf("%d, %q", resp.Status, body))
						// A request that is sent before its connection ends may have no response.
						select {
						case <-ended:
						case <-time.After(testTimeout):
							t.Fatal("the connection has not ended")
						}
					}
				})
			}
		}
	}
}
