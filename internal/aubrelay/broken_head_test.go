package aubrelay_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubresume"
)

// responseParts are the parts of a response's bytes. The zero value is a success.
type responseParts struct {
	// version is that of the status line, such as HTTP/1.0.
	version string
	// status is the status with its reason phrase.
	status string
	// lines are lines of the head with their ends, before those that name and sign the request, and lastLines such at its end.
	lines, lastLines string
	// framing are the fields that frame the body; Content-Length if it is empty.
	framing string
	// before precedes the response.
	before string
}

// encode returns the bytes of a response with the body.
func (p responseParts) encode(id, body string) string {
	version, status, framing := "HTTP/1.1", "200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if p.version != "" {
		version = p.version
	}
	if p.status != "" {
		status = p.status
	}
	if p.framing != "" {
		framing = p.framing
	}
	if strings.Contains(strings.ToLower(framing), "chunked") {
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return fmt.Sprintf("%s%s %s\r\n%s%s: %s\r\n%s: b\r\n%s%s\r\n%s", p.before, version, status, p.lines, headerID, id, headerSigned, framing, p.lastLines, body)
}

// respondBytes returns a behavior that sends the response and closes the connection in order.
func respondBytes(parts responseParts) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerID)
		body := "answer to " + id
		if strings.HasPrefix(r.URL.Path, "/stream") {
			body = eventsText(firstEventID(r), finalEventID+1)
		}
		truncatedResponse(parts.encode(id, body), false)(b, w, r)
	}
}

// responsePaths are the paths of one route of each kind, and whether it allows to send a request again.
var responsePaths = map[string]bool{"/read/x": true, "/write/x": false, "/stream/x": true, "/stream-once/x": false}

// checkBroken checks that a broken response counts as a failed attempt on each kind of route: first, in every attempt, in the middle
// of a stream, and for a stream that its caller takes up.
func checkBroken(t *testing.T, broken behavior) {
	t.Helper()
	fixture := newRelayFixture(t, "b1", "b2")
	fixture.coverage = aubresume.CoverageAll
	fixture.removeTimeouts()
	always := slices.Repeat([]behavior{broken}, 8)
	for path, isRepeatable := range responsePaths {
		fixture.setBehaviors(inOrder(broken, respondOK), respondOK)
		id := "first on " + path
		result := fixture.call(http.MethodPost, path, id, nil)
		runs := fixture.countRuns(id)
		if isRepeatable {
			qt.Check(t, runs, qt.Equals, 2, qt.Commentf("%s: %+v", path, result))
			qt.Check(t, result.status, qt.Equals, http.StatusOK, qt.Commentf("%s: %+v", path, result))
			qt.Check(t, result.isBroken, qt.IsFalse, qt.Commentf("%s: %+v", path, result))
		} else {
			qt.Check(t, runs, qt.Equals, 1, qt.Commentf("%s: %+v", path, result))
			checkNoAnswer(t, path, result)
		}
		fixture.setBehaviors(always...)
		checkNoAnswer(t, path, fixture.call(http.MethodPost, path, "always on "+path, nil))
	}
	fixture.setBehaviors(append([]behavior{inOrder(truncateStream, broken)}, always...)...)
	result := fixture.call(http.MethodPost, "/stream/x", "in the middle", nil)
	qt.Check(t, result.isBroken, qt.IsTrue, qt.Commentf("%+v", result))
	qt.Check(t, result.body, qt.Equals, eventsText(0, 2))
	checkNoAnswer(t, "taken up", fixture.call(http.MethodPost, "/stream/x", "taken up", takeUp("", 1)))
}

// checkNoAnswer checks that a caller got the relay's own error, which promises nothing.
func checkNoAnswer(t *testing.T, path string, result callResult) {
	t.Helper()
	qt.Check(t, result.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s: %+v", path, result))
	qt.Check(t, result.header.Get(headerSigned), qt.Equals, "", qt.Commentf("%s: %+v", path, result))
	qt.Check(t, result.body, qt.Equals, "", qt.Commentf("%s: %+v", path, result))
}

// TestInvalidStatusIsNoResponse guards against a response whose status HTTP doesn't have, which is passed on, or which is taken
// for an informational one so that its body becomes the response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	forged := func(id string) string { return responseParts{}.encode(id, "forged") }
	for _, status := range []string{"000", "000 OK", "000 Unknown", "001 x", "099 x", "-00 x", "+00 x", "+20 x", "2e2 x", "20 x", "2000 x", " x"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			checkBroken(t, respondBytes(responseParts{status: status}))
		})
		t.Run(status+", body is a response", func(t *testing.T) {
			t.Parallel()
			checkBroken(t, func(b *backend, w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(headerID)
				truncatedResponse(responseParts{status: status}.encode(id, forged(id)), false)(b, w, r)
			})
		})
		t.Run(status+", response follows", func(t *testing.T) {
			t.Parallel()
			checkBroken(t, respondBytes(responseParts{before: fmt.Sprintf("HTTP/1.1 %s\r\nServer: b\r\n\r\n", status)}))
		})
	}
}

// TestMalformedFieldIsNoResponse guards against a response whose head holds a line that is no field, which is passed on, or
// whose body ends elsewhere than its backend server meant because the line frames it.
func TestMalformedFieldIsNoResponse(t *testing.T) {
	for name, parts := range map[string]responseParts{
		"space in a name":                   {lines: "Bad Name: x\r\n"},
		"space after a name":                {lines: "Name : x\r\n"},
		"tab in a name":                     {lines: "Bad\tName: x\r\n"},
		"tab after a name":                  {lines: "Name\t: x\r\n"},
		"space before a name":               {lines: "Server: b\r\n Name: x\r\n"},
		"tab before a name":                 {lines: "Server: b\r\n\tName: x\r\n"},
		"space before and after a name":     {lines: "Server: b\r\n Name : x\r\n"},
		"space before the first name":       {lines: " Name: x\r\n"},
		"NUL in a name":                     {lines: "Bad\x00Name: x\r\n"},
		"control byte in a name":            {lines: "Bad\x01Name: x\r\n"},
		"DEL in a name":                     {lines: "Bad\x7fName: x\r\n"},
		"CR in a name":                      {lines: "Bad\rName: x\r\n"},
		"CR before a name":                  {lines: "\rName: x\r\n"},
		"LF in a name":                      {lines: "Bad\nName: x\r\n"},
		"LF before a name":                  {lines: "\nName: x\r\n"},
		"LF after a name":                   {lines: "Name\n: x\r\n"},
		"LF in a value":                     {lines: "Server: b\nName: x\r\n"},
		"separator in a name":               {lines: "Bad(Name): x\r\n"},
		"byte above ASCII in a name":        {lines: "N\xe4me: x\r\n"},
		"empty name":                        {lines: ": x\r\n"},
		"no colon":                          {lines: "Name\r\n"},
		"NUL in a value":                    {lines: "Server: a\x00b\r\n"},
		"CR in a value":                     {lines: "Server: a\rb\r\n"},
		"CR at the end of a value":          {lines: "Server: a\r\r\n"},
		"control byte in the reason phrase": {status: "200 O\x01K"},
		"space after the name of a length":  {framing: "Content-Length : 3\r\n"},
		"folded length":                     {lines: "Server: b\r\n", framing: " Content-Length: 3\r\n"},
		"space after the name of chunks":    {framing: "Transfer-Encoding : chunked\r\n"},
		"tab after the name of chunks":      {framing: "Transfer-Encoding\t: chunked\r\n"},
		"informational response":            {before: "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n"},
		"HTTP/1.0":                          {version: "HTTP/1.0", lines: "Bad Name: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkBroken(t, respondBytes(parts))
			if parts.lines != "" {
				parts.lines, parts.lastLines = "", parts.lines
				checkBroken(t, respondBytes(parts))
			}
		})
	}
}

// TestFaultyFramingIsNoResponse guards against a response whose body reaches the caller with the coding of its transfer, because its
// version has none, and against one whose trailer is not HTTP.
func TestFaultyFramingIsNoResponse(t *testing.T) {
	for name, parts := range map[string]responseParts{
		"chunks before HTTP/1.1":              {version: "HTTP/1.0", framing: "Transfer-Encoding: chunked\r\n"},
		"chunks and a length before HTTP/1.1": {version: "HTTP/1.0", lines: "Transfer-Encoding: chunked\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkBroken(t, respondBytes(parts))
		})
	}
	for name, trailer := range map[string]string{"space in a name": "Bad Name: x\r\n", "space after a name": "Name : x\r\n", "control byte in a name": "Bad\x01Name: x\r\n"} {
		for _, path := range []string{"/read/x", "/write/x"} {
			t.Run("trailer, "+name+path, func(t *testing.T) {
				fixture := newRelayFixture(t, "b1", "b2")
				fixture.removeTimeouts()
				fixture.setBehaviors(inOrder(func(b *backend, w http.ResponseWriter, r *http.Request) {
					response := responseParts{framing: "Transfer-Encoding: chunked\r\n"}.encode(r.Header.Get(headerID), "trailed")
					truncatedResponse(strings.TrimSuffix(response, "\r\n")+trailer+"\r\n", false)(b, w, r)
				}, respondOK), respondOK)
				result := fixture.call(http.MethodPost, path, "1", nil)
				if responsePaths[path] {
					qt.Check(t, result.body, qt.Equals, "answer to 1")
				} else {
					checkNoAnswer(t, path, result)
				}
			})
		}
	}
}
