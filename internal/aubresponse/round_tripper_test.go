package aubresponse_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubresponse"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// TestCanceledRequestHasNoBrokenResponse guards against a response that counts as broken because its caller left, and checks that the
// same part of a response does if its connection ends.
func TestCanceledRequestHasNoBrokenResponse(t *testing.T) {
	errCause := errors.New("caller left")
	for name, test := range map[string]struct {
		response string
		cancels  bool
		fault    string
	}{
		"canceled within the head": {response: "HTTP/1.1 200 OK\r\nName: ", cancels: true},
		"canceled within the body": {response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na part", cancels: true},
		"ends without a response":  {},
		"ends within the head":     {response: "HTTP/1.1 200 OK\r\nName: ", fault: "truncated"},
		"ends within the body":     {response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na part", fault: "truncated"},
	} {
		t.Run(name, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			common := aubcommon.NewCommon(aubtimer.NewReal()).WithLog(zap.New(core))
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				fmt.Fprint(conn, test.response)
				if test.cancels {
					// The part is received before the request is canceled.
					time.Sleep(50 * time.Millisecond)
					cancel(errCause)
					_, _ = io.Copy(io.Discard, conn)
				}
			}))
			defer server.Close()
			transport := &http.Transport{DialContext: new(net.Dialer).DialContext}
			defer transport.CloseIdleConnections()
			tripper := aubresponse.NewRoundTripper(transport, aubresponse.NewLog(common), "Test-Id")
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, nil)
			qt.Assert(t, err, qt.IsNil)
			req.Header.Set("Test-Id", "1")
			resp, err := tripper.RoundTrip(req)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			qt.Assert(t, err, qt.IsNotNil)
			lines := logs.FilterMessage("Response is broken.").All()
			if test.fault == "" {
				qt.Assert(t, lines, qt.HasLen, 0)
				return
			}
			qt.Assert(t, lines, qt.HasLen, 1)
			qt.Check(t, lines[0].ContextMap()["fault"], qt.Equals, any(test.fault))
			qt.Check(t, lines[0].ContextMap()["request_id"], qt.Equals, any("1"))
		})
	}
}
