package aubentry_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubagent"
)

// recorder is a backend server that stores every byte it receives.
type recorder struct {
	mu   sync.Mutex
	dump bytes.Buffer
}

func (rec *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dump, err := httputil.DumpRequest(r, true)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if err == nil {
		rec.dump.Write(dump)
	}
	w.WriteHeader(http.StatusNoContent)
}

// TestKeyNeverReachesBackendServer sends the key in every part of a request and checks
// that the backend server receives it in none.
func TestKeyNeverReachesBackendServer(t *testing.T) {
	f := newFixture(t, fixtureOpts{})
	rec := &recorder{}
	server := httptest.NewServer(rec)
	t.Cleanup(server.Close)
	f.startAgent(t, aubagent.AgentOpts{Name: "recorder", ServiceURL: server.URL, Services: []string{"recorder"}})
	f.addRoute("/seen", "recorder")
	tests := []struct {
		name     string
		placeKey func(r *http.Request)
	}{
		{"bearer", func(*http.Request) {}},
		{"x-api-key", func(r *http.Request) { r.Header.Set("X-Api-Key", keyAlpha) }},
		{"custom header", func(r *http.Request) { r.Header.Set("X-Mine", "token="+keyAlpha) }},
		{"request id", func(r *http.Request) { r.Header.Set("X-Request-Id", keyAlpha) }},
		{"connection names the credential", func(r *http.Request) {
			r.Header.Set("Connection", "Authorization")
			r.Header.Set("X-Mine", keyAlpha)
		}},
		{"query", func(r *http.Request) { r.URL.RawQuery = "a=" + keyAlpha + "&key=" + keyAlpha }},
		{"path", func(r *http.Request) { r.URL.Path += "/" + keyAlpha }},
		{"body", func(r *http.Request) {
			body := "x" + strings.ToUpper(keyAlpha)
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		}},
		{"idempotency key", func(r *http.Request) { r.Header.Set("Idempotency-Key", keyAlpha) }},
		{"cookie", func(r *http.Request) { r.Header.Set("Cookie", "session="+keyAlpha) }},
		{"trailer", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("body")), -1
			r.Trailer = http.Header{"X-Late": {keyAlpha}}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRequest(t, f, http.MethodPost, "/seen", keyAlpha, "")
			tt.placeKey(r)
			resp, err := http.DefaultClient.Do(r)
			qt.Assert(t, err, qt.IsNil)
			_ = resp.Body.Close()
			qt.Check(t, resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusBadRequest, qt.IsTrue, qt.Commentf("%s", resp.Status))
			rec.mu.Lock()
			defer rec.mu.Unlock()
			received := strings.ToLower(rec.dump.String())
			qt.Check(t, strings.Contains(received, keyAlpha), qt.IsFalse, qt.Commentf("%s", received))
			rec.dump.Reset()
		})
	}
}
