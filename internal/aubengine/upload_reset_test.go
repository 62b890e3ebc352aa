package aubengine_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// TestResetDuringAnUploadIsNoEndOfAResponse guards against a part of a response that seems whole: its connection was reset while the
// request was still being written, the write was told of that, and the read found the end of the connection. Which of them is told
// depends on the moment.
func TestResetDuringAnUploadIsNoEndOfAResponse(t *testing.T) {
	const (
		uploads           = 600
		moments           = 8
		uploadBytes       = 3 << 20
		socketBufferBytes = 64 << 10
	)
	var n atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(socketBufferBytes)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part of")
			time.Sleep(time.Duration(n.Load()%moments) * 100 * time.Microsecond)
			_ = tcp.SetLinger(0)
		}
	}))
	defer server.Close()
	client := aubengine.NewClient(t.Context(), aubcommon.NewCommon(aubtimer.NewReal()), aubengine.ClientOpts{URL: server.URL})
	body := make([]byte, uploadBytes)
	for range uploads {
		resp, err := client.Do(t.Context(), aubengine.Call{Method: http.MethodPost, Path: "/", Body: body, NoRetry: n.Add(1)%2 == 0})
		if err != nil {
			continue
		}
		data, err := io.ReadAll(resp.Body)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", data))
		_ = resp.Body.Close()
	}
}
