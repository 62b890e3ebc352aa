package aubrelay_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubresume"
)

// Framings of a response.
const (
	framedByLength = "by length"
	framedByChunks = "in chunks"
	unframed       = "unframed"
)

// eventsText returns the events of a complete stream from one id up to another.
func eventsText(from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", i, i)
	}
	return text.String()
}

// respondRaw returns a behavior that sends a signed response with the status, the framing and the body, and closes the
// connection.
func respondRaw(status int, framing, body string) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 %d Test\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n", status, headerID, r.Header.Get(headerID), headerSigned, b.id)
		switch framing {
		case framedByLength:
			fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", len(body), body)
		case framedByChunks:
			fmt.Fprint(conn, "Transfer-Encoding: chunked\r\n\r\n")
			if body != "" {
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(body), body)
			}
			fmt.Fprint(conn, "0\r\n\r\n")
		case unframed:
			fmt.Fprint(conn, "\r\n"+body)
		}
	}
}

// inOrder returns a behavior that handles the first request of all backend servers with the first behavior, and all later
// ones with the other.
func inOrder(first, later behavior) behavior {
	var hasBegun atomic.Bool
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		if hasBegun.Swap(true) {
			later(b, w, r)
			return
		}
		first(b, w, r)
	}
}

// errorResponse is a response in the place of events.
const errorResponse = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror\n\n"

// checkContinuation has every backend server send the response to a request to go on with a stream, of this relay and then
// of the caller. The caller must receive no other bytes than the next events, and see that the stream is not complete.
func checkContinuation(t *testing.T, status int, framing, body string) {
	t.Helper()
	fixture := newRelayFixture(t, "b1", "b2")
	fixture.coverage = aubresume.CoverageAll
	fixture.removeTimeouts()
	response := respondRaw(status, framing, body)
	always := slices.Repeat([]behavior{response}, 8)
	fixture.setBehaviors(append([]behavior{inOrder(truncateStream, response)}, always...)...)
	begun := fixture.call(http.MethodPost, "/stream/x", "begun", nil)
	qt.Check(t, begun.status, qt.Equals, http.StatusOK)
	qt.Check(t, begun.isBroken, qt.IsTrue)
	qt.Check(t, isPartFrom(0, begun.body), qt.IsTrue, qt.Commentf("%.200q", begun.body))

	fixture.setBehaviors(always...)
	taken := fixture.call(http.MethodPost, "/stream/x", "taken", takeUp("", 1))
	if taken.status == http.StatusOK {
		qt.Check(t, taken.isBroken, qt.IsTrue, qt.Commentf("%.200q", taken.body))
		qt.Check(t, taken.body != "" && isPartFrom(2, taken.body), qt.IsTrue, qt.Commentf("%.200q", taken.body))
		return
	}
	isOwn := taken.status == http.StatusBadGateway || taken.status == http.StatusServiceUnavailable
	isForwarded := taken.status == status && status >= http.StatusMultipleChoices && taken.header.Get(headerSigned) != ""
	qt.Check(t, isForwarded || isOwn && taken.header.Get(headerSigned) == "", qt.IsTrue, qt.Commentf("status %d", taken.status))
}

// isPartFrom reports whether the text consists of events of a complete stream from the id on.
func isPartFrom(from int, text string) bool {
	for to := from; to <= finalEventID+1; to++ {
		if text == eventsText(from, to) {
			return true
		}
	}
	return false
}

// TestErrorIsNoPartOfAStream guards against a stream that goes on with the error of the next backend server, or ends as if it
// were complete.
func TestErrorIsNoPartOfAStream(t *testing.T) {
	for _, status := range []int{201, 204, 206, 301, 304, 400, 404, 409, 421, 429, 500, 502, 503} {
		for _, body := range []string{"", `{"error": 1}`, "<html>\n\n</html>\n\n", eventsText(2, 5), errorResponse, strings.Repeat("text\n\n", 1<<18)} {
			for _, framing := range []string{framedByLength, framedByChunks, unframed} {
				t.Run(fmt.Sprintf("%d, %.6q, %s", status, body, framing), func(t *testing.T) {
					checkContinuation(t, status, framing, body)
				})
			}
		}
	}
}

// TestErrorInThePlaceOfAStreamIsForwarded guards against an answer to the first send of a stream, or to a plain request with the
// id of an event, that is taken for one to go on with a stream.
func TestErrorInThePlaceOfAStreamIsForwarded(t *testing.T) {
	for _, path := range []string{"/stream/x", "/stream-once/x", "/read/x", "/write/x"} {
		for _, status := range []int{201, 206, 301, 400, 404, 409, 500, 502} {
			fixture := newRelayFixture(t, "b1", "b2")
			response := respondRaw(status, framedByLength, errorResponse)
			fixture.setBehaviors(response, response)
			change := takeUp("", 1)
			if strings.HasPrefix(path, "/stream") {
				change = nil
			}
			result := fixture.call(http.MethodPost, path, "1", change)
			qt.Check(t, result.status, qt.Equals, status, qt.Commentf("%s", path))
			qt.Check(t, result.body, qt.Equals, errorResponse)
			qt.Check(t, result.header.Get(headerSigned) != "", qt.IsTrue)
		}
	}
}

// TestTextIsNoPartOfAStream guards against a success of the next backend server that is no event stream and is taken for
// events.
func TestTextIsNoPartOfAStream(t *testing.T) {
	for name, body := range map[string]string{
		"JSON": `{"error": 1}`, "JSON and blank lines": "{\n\n\"error\": 1}\n\n", "HTML": "<html>\n\n</html>\n\n",
		"long text": strings.Repeat("text\n\n", 1<<18), "response": errorResponse, "response before events": errorResponse + eventsText(2, 5),
		"response between events": eventsText(2, 4) + errorResponse + eventsText(4, 5), "text after events": eventsText(2, 4) + "Bad gateway\n\n",
		"repeated event": eventsText(1, 5), "missing event": eventsText(3, 5), "from the start": completeStream(),
		"events without ids": "data: 2\n\ndata: 3\n\n", "invalid id": "id: x\ndata: 2\n\n" + eventsText(2, 5),
	} {
		for _, framing := range []string{framedByLength, framedByChunks, unframed} {
			t.Run(name+", "+framing, func(t *testing.T) { checkContinuation(t, http.StatusOK, framing, body) })
		}
	}
}

// TestEmptyResponseCompletesNoStream guards against a stream that ends as if it were complete because the next backend server
// sent no event.
func TestEmptyResponseCompletesNoStream(t *testing.T) {
	for _, framing := range []string{framedByLength, framedByChunks, unframed} {
		t.Run(framing, func(t *testing.T) { checkContinuation(t, http.StatusOK, framing, "") })
	}
}

// TestResponseWithinAnEventIsNotForwarded guards against the head of an error that a backend server sent after a part of an
// event, with the blank line of which the event seemed complete.
func TestResponseWithinAnEventIsNotForwarded(t *testing.T) {
	for _, part := range []string{"id: 2\n", "id: 2\nda", "id: 2\ndata: 2\n", "id: 2\ndata: 2"} {
		for framing, toCase := range map[string]func(string) string{framedByLength: strings.Clone, framedByChunks: strings.ToLower, unframed: strings.ToLower} {
			t.Run(fmt.Sprintf("%q, %s", part, framing), func(t *testing.T) {
				fixture := newRelayFixture(t, "b1", "b2")
				fixture.removeTimeouts()
				broken := respondRaw(http.StatusOK, framing, eventsText(0, 2)+part+toCase(errorResponse))
				fixture.setBehaviors(inOrder(broken, respondOK), respondOK)
				qt.Check(t, fixture.call(http.MethodPost, "/stream/x", "1", nil).body, qt.Equals, completeStream())
				fixture.setBehaviors(broken)
				result := fixture.call(http.MethodPost, "/stream-once/x", "2", nil)
				qt.Check(t, result.isBroken, qt.IsTrue)
				qt.Check(t, result.body, qt.Equals, eventsText(0, 2))
			})
		}
	}
}

// TestStreamWithoutIDsIsNotBegunAgain guards against a stream without ids that breaks off and goes on with a second run from the
// start.
func TestStreamWithoutIDsIsNotBegunAgain(t *testing.T) {
	fixture := newRelayFixture(t, "b1", "b2")
	fixture.setBehaviors(inOrder(respondRaw(http.StatusOK, unframed, "data: 0\n\nda"), respondOK), respondOK)
	result := fixture.call(http.MethodPost, "/stream/x", "1", nil)
	qt.Check(t, result.isBroken, qt.IsTrue)
	qt.Check(t, result.body, qt.Equals, "data: 0\n\n")
	qt.Check(t, fixture.countRuns("1"), qt.Equals, 1)
}

// TestStreamIsNotAsLongAsItsFirstResponse guards against a stream that seems complete because it has reached the length that the
// backend server stated which broke off.
func TestStreamIsNotAsLongAsItsFirstResponse(t *testing.T) {
	fixture := newRelayFixture(t, "b1", "b2")
	later := "id: 2\ndata: 22222222222222222\n\n"
	fixture.setBehaviors(inOrder(func(b *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(eventsText(0, 2)+later)))
		truncateStream(b, w, r)
	}, respondRaw(http.StatusOK, framedByChunks, later+eventsText(3, 5))))
	result := fixture.call(http.MethodPost, "/stream/x", "1", nil)
	qt.Check(t, result.isBroken, qt.IsFalse)
	qt.Check(t, result.body, qt.Equals, eventsText(0, 2)+later+eventsText(3, 5))
}

// TestRefusalIsNoPartOfAStream guards against a stream that ends as if it were complete because every other backend server refused
// to go on with it, and against a response to another request in its place.
func TestRefusalIsNoPartOfAStream(t *testing.T) {
	for _, refuse := range []behavior{refuseNotRun, respondToAnother, respondUnsigned, dropResponse} {
		fixture := newRelayFixture(t, "b1", "b2")
		fixture.removeTimeouts()
		always := slices.Repeat([]behavior{refuse}, 8)
		fixture.setBehaviors(append([]behavior{inOrder(truncateStream, refuse)}, always...)...)
		result := fixture.call(http.MethodPost, "/stream/x", "1", nil)
		qt.Check(t, result.isBroken, qt.IsTrue)
		qt.Check(t, result.body, qt.Equals, eventsText(0, 2))
	}
}

// TestSwitchOfProtocolsIsNoResponse guards against a switch to a protocol that nobody asked for, which leaves the caller without a
// response.
func TestSwitchOfProtocolsIsNoResponse(t *testing.T) {
	for _, path := range []string{"/write/x", "/stream-once/x", "/read/x", "/stream/x"} {
		fixture := newRelayFixture(t, "b1", "b2")
		response := respondRaw(http.StatusSwitchingProtocols, unframed, "text")
		fixture.setBehaviors(response, response)
		result := fixture.call(http.MethodPost, path, "1", nil)
		qt.Check(t, result.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s: %+v", path, result))
		qt.Check(t, result.header.Get(headerSigned), qt.Equals, "")
	}
}

// TestCommentsAreNoEvents guards against a stream that is broken off for a comment, or ends as if it were complete with one.
func TestCommentsAreNoEvents(t *testing.T) {
	const comment = ": alive\n\n"
	text := eventsText(0, 2) + comment + eventsText(2, finalEventID+1)
	fixture := newRelayFixture(t, "b1", "b2")
	fixture.setBehaviors(respondRaw(http.StatusOK, framedByChunks, text))
	result := fixture.call(http.MethodPost, "/stream-once/x", "1", nil)
	qt.Check(t, result.isBroken, qt.IsFalse)
	qt.Check(t, result.body, qt.Equals, text)
	for _, framing := range []string{framedByLength, framedByChunks, unframed} {
		t.Run(framing, func(t *testing.T) { checkContinuation(t, http.StatusOK, framing, comment) })
	}
}
