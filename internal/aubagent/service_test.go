package aubagent_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubstandin"
)

func serviceRequest(id, method, path string, body []byte) aubexecution.Request {
	return aubexecution.Request{
		RequestID: id,
		Attempt:   1,
		Method:    method,
		Path:      path,
		Header:    http.Header{"X-Crew": {"OK-1", "OK-2"}, "Idempotency-Key": {"key-" + id}},
		Body:      bytes.NewReader(body),
		Service:   "roster",
		Timeout:   testTimeout,
	}
}

// TestPlainServiceForwardsAnyRequest checks that method, path, repeated headers and
// body reach the service unchanged.
func TestPlainServiceForwardsAnyRequest(t *testing.T) {
	f := newServiceFixture(t, fastOpts())
	binary := bytes.Repeat([]byte{0, 1, 0xff, '\n', '\r'}, 1<<16)
	tests := []struct {
		name   string
		method string
		path   string
		body   []byte
	}{
		{name: "get", method: http.MethodGet, path: "/swaps?day=1&x=%2F"},
		{name: "put binary in many frames", method: http.MethodPut, path: "/a%2Fb", body: binary},
		{name: "delete with body", method: http.MethodDelete, path: "/x", body: []byte("why")},
		{name: "unusual method", method: "PURGE", path: "/x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			resp, body, err := f.call(serviceRequest(test.name, test.method, test.path, test.body))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body == string(test.body), qt.IsTrue)
			qt.Assert(t, resp.Header.Get(aubstandin.HeaderEchoMethod), qt.Equals, test.method)
			qt.Assert(t, resp.Header.Get(aubstandin.HeaderEchoPath), qt.Equals, test.path)
			crew := resp.Header.Values(aubstandin.HeaderEchoPrefix + "X-Crew")
			qt.Assert(t, strings.Join(crew, " "), qt.Equals, "OK-1 OK-2")
		})
	}
}
