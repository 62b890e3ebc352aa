package aubrelay_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUnusualResponseIsPassedOn guards against the refusal of responses that HTTP allows.
func TestUnusualResponseIsPassedOn(t *testing.T) {
	for name, test := range map[string]struct {
		parts responseParts
		// field is the value that the caller gets of the field Test.
		field      string
		status     int
		isNoStream bool
	}{
		"plain":                     {},
		"token":                     {parts: responseParts{lines: "!#$%&'*+-.^_`|~09aZ: x\r\n"}},
		"lower case":                {parts: responseParts{lines: "test: x\r\n"}, field: "x"},
		"empty value":               {parts: responseParts{lines: "Test:\r\nOther: \t \r\n"}},
		"no space before the value": {parts: responseParts{lines: "Test:x\r\n"}, field: "x"},
		"tab in a value":            {parts: responseParts{lines: "Test: a\tb\r\n"}, field: "a\tb"},
		"bytes above ASCII":         {parts: responseParts{lines: "Test: caf\xe9\r\n"}, field: "caf\xe9"},
		"colons in a value":         {parts: responseParts{lines: "Test: a: b :c\r\n"}, field: "a: b :c"},
		"folded value":              {parts: responseParts{lines: "Test: a\r\n  b\r\n"}, field: "a b"},
		"no reason phrase":          {parts: responseParts{status: "200 "}},
		"no space after the status": {parts: responseParts{status: "200"}},
		"long reason phrase":        {parts: responseParts{status: "200 not a usual\treason \xe9"}},
		"same length twice":         {parts: responseParts{lines: "Content-Length: 11\r\n"}, isNoStream: true},
		"chunks":                    {parts: responseParts{framing: "transfer-encoding: Chunked\r\n"}},
		"HTTP/1.0":                  {parts: responseParts{version: "HTTP/1.0"}},
		"HTTP/1.0 up to the end":    {parts: responseParts{version: "HTTP/1.0", framing: "Server: b\r\n"}},
		"up to the end":             {parts: responseParts{framing: "Connection: close\r\n"}},
		"HTTP/1.2":                  {parts: responseParts{version: "HTTP/1.2"}},
		"informational responses":   {parts: responseParts{before: "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 199 x\r\n\r\n"}},
		"status 299":                {parts: responseParts{status: "299 x"}, status: 299, isNoStream: true},
		"status 499":                {parts: responseParts{status: "499 x"}, status: 499},
		"status 599":                {parts: responseParts{status: "599 x"}, status: 599},
		"status 799":                {parts: responseParts{status: "799 x"}, status: 799},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for path := range responsePaths {
				isStream := strings.HasPrefix(path, "/stream")
				if isStream && test.isNoStream {
					continue
				}
				// A connection that the backend server is about to close must not take the next request.
				fixture := newRelayFixture(t, "b1")
				fixture.removeTimeouts()
				fixture.setBehaviors(respondBytes(test.parts), respondBytes(test.parts))
				// A part of the responses states the length of this answer.
				result := fixture.call(http.MethodPost, path, "1", nil)
				wantStatus, wantBody := http.StatusOK, "answer to 1"
				if test.status != 0 {
					wantStatus = test.status
				}
				if isStream {
					wantBody = completeStream()
				}
				qt.Check(t, result.status, qt.Equals, wantStatus, qt.Commentf("%s", path))
				qt.Check(t, result.body, qt.Equals, wantBody, qt.Commentf("%s", path))
				qt.Check(t, result.isBroken, qt.IsFalse, qt.Commentf("%s", path))
				qt.Check(t, result.header.Get("Test"), qt.Equals, test.field, qt.Commentf("%s", path))
				qt.Check(t, result.header.Get(headerSigned), qt.Equals, "b", qt.Commentf("%s", path))
			}
		})
	}
}
