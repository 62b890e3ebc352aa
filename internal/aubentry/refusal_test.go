package aubentry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/auburndale/auburndale/internal/aubentry"
)

func bodyReader(text string) io.Reader {
	if text == "" {
		return nil
	}
	return strings.NewReader(text)
}

const chatPath = "/v1/chat/completions"

func chatBody(model, extra string) string {
	return `{"model":"` + model + `","messages":[{"role":"user","content":"hi"}]` + extra + `}`
}

// TestRefusals compares the complete response to each kind of bad input with its
// golden file, and checks that nothing ran.
func TestRefusals(t *testing.T) {
	f := newFixture(t, fixtureOpts{bounds: aubentry.Bounds{QueueTimeout: 300 * time.Millisecond}})
	f.awaitBackends(t)
	tests := []struct {
		name   string
		method string
		path   string
		key    string
		body   string
	}{
		{"missing_key", "POST", chatPath, "", chatBody("small", "")},
		{"wrong_key", "POST", chatPath, "wrong-key-000000", chatBody("small", "")},
		{"withdrawn_key", "POST", chatPath, keyWithdrawn, chatBody("small", "")},
		{"malformed_json", "POST", chatPath, keyAlpha, `{"model":`},
		{"json_array", "POST", chatPath, keyAlpha, `[1]`},
		{"wrong_type", "POST", chatPath, keyAlpha, `{"model":3}`},
		{"model_in_other_case", "POST", chatPath, keyAlpha, `{"MODEL":"small","messages":[{"role":"user"}]}`},
		{"no_prompt", "POST", chatPath, keyAlpha, `{"model":"small"}`},
		{"bad_max_tokens", "POST", chatPath, keyAlpha, chatBody("small", `,"max_tokens":0`)},
		{"unknown_model", "POST", chatPath, keyAlpha, chatBody("nonsense", "")},
		{"model_of_other_workspace", "POST", chatPath, keyAlpha, chatBody("private", "")},
		{"show_model_of_other_workspace", "GET", "/v1/models/private", keyAlpha, ""},
		{"model_not_resident", "POST", chatPath, keyAlpha, chatBody("absent", "")},
		{"oversize_body", "POST", chatPath, keyAlpha, chatBody("small", `,"x":"`+strings.Repeat("y", 5000)+`"`)},
		{"wrong_method", "GET", chatPath, keyAlpha, ""},
		{"wrong_method_models", "DELETE", "/v1/models", keyAlpha, ""},
		{"key_in_body", "POST", chatPath, keyAlpha, chatBody("small", `,"user":"`+keyAlpha+`"`)},
		{"unknown_path", "GET", "/nothing", keyAlpha, ""},
		{"unknown_path_without_key", "GET", "/nothing", "", ""},
		{"route_of_other_workspace", "GET", "/roster/echo", keyBeta, ""},
		{"prefix_matches_whole_segments", "GET", "/statusx", "", ""},
		{"no_backend_server", "GET", "/unserved", keyAlpha, ""},
		{"over_burst", "POST", chatPath, keyBeta, chatBody("small", `,"n":4`)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, err := http.DefaultClient.Do(newRequest(t, f, tt.method, tt.path, tt.key, tt.body))
			qt.Assert(t, err, qt.IsNil)
			defer resp.Body.Close()
			goldie.New(t).Assert(t, tt.name, formatResponse(t, resp))
		})
	}
	for _, engine := range f.engines {
		qt.Check(t, engine.Stats().Executions, qt.HasLen, 0, qt.Commentf("a refused request was run"))
	}
	qt.Check(t, f.service.Stats().Executions, qt.HasLen, 0)
}

// TestRawRefusals does the same for requests that no HTTP client library sends.
func TestRawRefusals(t *testing.T) {
	f := newFixture(t, fixtureOpts{})
	f.awaitBackends(t)
	auth := "Host: x\r\nAuthorization: Bearer " + keyAlpha + "\r\n"
	tests := []struct{ name, request string }{
		{"raw_dot_segments", "GET /status/../roster/swaps HTTP/1.1\r\n" + auth + "\r\n"},
		{"raw_encoded_dot_segments", "GET /status/%2e%2e/roster/swaps HTTP/1.1\r\n" + auth + "\r\n"},
		{"raw_two_lengths", "POST /roster/echo HTTP/1.1\r\n" + auth + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
		{"raw_bad_chunks", "POST /roster/echo HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"},
		{"raw_two_authorizations", "GET /roster/echo HTTP/1.1\r\n" + auth + "Authorization: Bearer " + keyBeta + "\r\n\r\n"},
		{"raw_space_in_header", "GET /roster/echo HTTP/1.1\r\n" + auth + "X-A : b\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := sendRaw(t, f, tt.request)
			defer resp.Body.Close()
			goldie.New(t).Assert(t, tt.name, formatResponse(t, resp))
		})
	}
	qt.Check(t, f.service.Stats().Executions, qt.HasLen, 0)
}

func sendRaw(t *testing.T, f *fixture, request string) *http.Response {
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte(request))
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	return resp
}

var requestIDPattern = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

// formatResponse formats a response without the parts that differ between runs: the
// date and the request id.
func formatResponse(t *testing.T, resp *http.Response) []byte {
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	var b bytes.Buffer
	fmt.Fprintln(&b, resp.Status)
	for _, name := range slices.Sorted(maps.Keys(resp.Header)) {
		if name != "Date" {
			fmt.Fprintf(&b, "%s: %s\n", name, strings.Join(resp.Header[name], ", "))
		}
	}
	fmt.Fprintf(&b, "\n%s\n", body)
	return requestIDPattern.ReplaceAll(b.Bytes(), []byte("REQUEST-ID"))
}
