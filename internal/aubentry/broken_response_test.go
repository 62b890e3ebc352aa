package aubentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubstandin"
)

// TestBrokenStreamIsResetForHTTP10 guards against a stream that broke off and seems complete to a caller without chunks, for
// which it ends with the connection.
func TestBrokenStreamIsResetForHTTP10(t *testing.T) {
	f := newFixture(t, fixtureOpts{})
	f.awaitBackends(t)
	f.engines[0].SetFaults(aubstandin.Faults{CutAnswers: 1, CutAfterEvents: 2, ForgetAnswers: true})
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	body := `{"model":"small","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"a"}]}`
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", keyAlpha, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Check(t, err, qt.IsNotNil)
}
