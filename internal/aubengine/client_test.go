package aubengine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

type outcome int

const (
	outcomeSucceeded outcome = iota
	outcomeRefused
	outcomeUncertain
	outcomeNotSent
)

func outcomeOf(err error) outcome {
	switch err.(type) { //nolint:errorlint // the outermost type is what callers act on
	case nil:
		return outcomeSucceeded
	case *aubengine.RefusedError:
		return outcomeRefused
	case *aubengine.NotSentError:
		return outcomeNotSent
	default:
		return outcomeUncertain
	}
}

// TestOrderOutcomes says what is known of an order after each behaviour of the engine.
func TestOrderOutcomes(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    outcome
	}{
		{name: "done", handler: respond(http.StatusOK, "{}"), want: outcomeSucceeded},
		{name: "stale fence", handler: respond(http.StatusConflict, `{"error":{"code":"stale_fence"}}`), want: outcomeRefused},
		{name: "refused without a document", handler: respond(http.StatusBadRequest, "no"), want: outcomeRefused},
		{name: "gateway error", handler: respond(http.StatusBadGateway, `{"error":{}}`), want: outcomeUncertain},
		{
			name:    "connection cut",
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want:    outcomeUncertain,
		},
		{
			name: "answer cut",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "10")
				_, _ = w.Write([]byte("{"))
			},
			want: outcomeUncertain,
		},
		{
			name: "silent",
			handler: func(_ http.ResponseWriter, r *http.Request) {
				// The server sees the client go only once the body was read.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			},
			want: outcomeUncertain,
		},
		{name: "refuses connections", want: outcomeNotSent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			server := httptest.NewServer(test.handler)
			defer server.Close()
			if test.handler == nil {
				server.Close()
			}
			client := aubengine.NewClient(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubengine.ClientOpts{
				URL:     server.URL,
				Timeout: 300 * time.Millisecond,
			})
			err := client.Load(ctx, aubengine.Order{Name: "m"})
			qt.Assert(t, outcomeOf(err), qt.Equals, test.want, qt.Commentf("%v", err))
		})
	}
}
