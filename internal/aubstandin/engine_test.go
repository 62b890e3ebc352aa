package aubstandin_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

func startEngine(t *testing.T, opts aubstandin.EngineOpts) (*aubstandin.Engine, string) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	engine := aubstandin.NewEngine(ctx, aubcommon.NewCommon(aubtimer.NewReal()), opts)
	server := httptest.NewServer(engine.Handler())
	t.Cleanup(server.Close)
	return engine, server.URL
}

func post(t *testing.T, url, body string) (int, string) {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp.StatusCode, string(data)
}

func TestEngineResponses(t *testing.T) {
	_, url := startEngine(t, aubstandin.EngineOpts{
		Items:       []aubengine.Item{{Name: "m", State: aubengine.ItemReady}},
		CacheTokens: 1 << 10,
	})
	tests := []struct {
		name       string
		path       string
		body       string
		status     int
		wantInBody string
	}{
		{
			name:       "chat",
			path:       "/v1/chat/completions",
			body:       `{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"hi"}]}`,
			status:     http.StatusOK,
			wantInBody: aubstandin.AnswerText("m", aubstandin.ChatPrompt("hi"), 2),
		},
		{
			name:       "completion",
			path:       "/v1/completions",
			body:       `{"model":"m","max_tokens":2,"prompt":"hi"}`,
			status:     http.StatusOK,
			wantInBody: `"text":"` + aubstandin.AnswerText("m", "hi", 2),
		},
		{
			name:       "completion stream",
			path:       "/v1/completions",
			body:       `{"model":"m","max_tokens":2,"prompt":"hi","stream":true}`,
			status:     http.StatusOK,
			wantInBody: "data: [DONE]\n\n",
		},
		{
			name:       "embeddings",
			path:       "/v1/embeddings",
			body:       `{"model":"m","input":["a","b"]}`,
			status:     http.StatusOK,
			wantInBody: `"index":1`,
		},
		{
			name:       "not resident",
			path:       "/v1/completions",
			body:       `{"model":"n","prompt":"hi"}`,
			status:     http.StatusNotFound,
			wantInBody: aubengine.CodeModelNotFound,
		},
		{name: "malformed", path: "/v1/completions", body: `{`, status: http.StatusBadRequest, wantInBody: "error"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, body := post(t, url+test.path, test.body)
			qt.Assert(t, status, qt.Equals, test.status)
			qt.Assert(t, body, qt.Contains, test.wantInBody)
		})
	}
}
