package aubentry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	openai "github.com/sashabaranov/go-openai"

	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

func newClient(f *fixture, key string) *openai.Client {
	cfg := openai.DefaultConfig(key)
	cfg.BaseURL = f.url + "/v1"
	return openai.NewClientWithConfig(cfg)
}

func chatRequest(model string) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{
		Model:               model,
		MaxCompletionTokens: 5,
		Messages:            []openai.ChatCompletionMessage{{Role: "user", Content: "hello"}},
	}
}

// TestOpenAIClient calls the entry with an unmodified OpenAI client library.
func TestOpenAIClient(t *testing.T) {
	f := newFixture(t, fixtureOpts{})
	f.awaitBackends(t)
	client := newClient(f, keyAlpha)

	t.Run("complete", func(t *testing.T) {
		resp, err := client.CreateChatCompletion(f.ctx, chatRequest("small"))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.Usage.CompletionTokens, qt.Equals, 5)
	})
	t.Run("streamed without usage", func(t *testing.T) {
		_, usage := readStream(t, f, client, chatRequest("small"))
		qt.Check(t, usage, qt.IsNil)
	})
	t.Run("streamed with usage", func(t *testing.T) {
		req := chatRequest("small")
		req.StreamOptions = &openai.StreamOptions{IncludeUsage: true}
		text, usage := readStream(t, f, client, req)
		qt.Assert(t, usage, qt.IsNotNil)
		qt.Check(t, usage.CompletionTokens, qt.Equals, 5)
		qt.Check(t, text, qt.Not(qt.Equals), "")
	})
	t.Run("completion", func(t *testing.T) {
		_, err := client.CreateCompletion(f.ctx, openai.CompletionRequest{Model: "small", Prompt: "hello", MaxTokens: 2})
		qt.Assert(t, err, qt.IsNil)
	})
	t.Run("embeddings", func(t *testing.T) {
		_, err := client.CreateEmbeddings(f.ctx, openai.EmbeddingRequest{Model: "small", Input: []string{"a", "b"}})
		qt.Assert(t, err, qt.IsNil)
	})
	t.Run("models", func(t *testing.T) {
		list, err := client.ListModels(f.ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(list.Models), qt.Equals, 2)
	})
	t.Run("error object", func(t *testing.T) {
		_, err := client.CreateChatCompletion(f.ctx, chatRequest("private"))
		var refused *openai.APIError
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
		qt.Check(t, refused.Code, qt.Equals, any("model_not_found"))
		qt.Check(t, refused.HTTPStatusCode, qt.Equals, http.StatusNotFound)
	})
}

func readStream(t *testing.T, f *fixture, client *openai.Client, req openai.ChatCompletionRequest) (string, *openai.Usage) {
	t.Helper()
	stream, err := client.CreateChatCompletionStream(f.ctx, req)
	qt.Assert(t, err, qt.IsNil)
	defer stream.Close()
	var text strings.Builder
	var usage *openai.Usage
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text.String(), usage
		}
		qt.Assert(t, err, qt.IsNil)
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
}

// TestServicePassesBytesThrough checks that method, path, headers and a binary body are
// forwarded unchanged in both directions, without hop-by-hop headers and the key.
func TestServicePassesBytesThrough(t *testing.T) {
	f := newFixture(t, fixtureOpts{})
	body := make([]byte, 256)
	for i := range body {
		body[i] = byte(i)
	}
	for _, method := range []string{"GET", "PUT", "POST", "PATCH", "DELETE", "REPORT"} {
		r := newRequest(t, f, method, "/roster/echo/a%2Fb?x=1&key=gone", keyAlpha, "")
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
		r.Header.Set("X-Custom", "kept")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "dropped")
		resp, err := http.DefaultClient.Do(r)
		qt.Assert(t, err, qt.IsNil)
		got, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		_ = resp.Body.Close()
		qt.Check(t, got, qt.DeepEquals, body)
		qt.Check(t, resp.Header.Get(aubstandin.HeaderEchoMethod), qt.Equals, method)
		qt.Check(t, resp.Header.Get(aubstandin.HeaderEchoPath), qt.Equals, "/roster/echo/a%2Fb?x=1")
		qt.Check(t, resp.Header.Get(aubstandin.HeaderEchoPrefix+"X-Custom"), qt.Equals, "kept")
		qt.Check(t, resp.Header.Get(aubstandin.HeaderEchoPrefix+"X-Hop"), qt.Equals, "")
		qt.Check(t, resp.Header.Get(aubstandin.HeaderEchoPrefix+"X-Workspace"), qt.Equals, "alpha")
		for name, values := range resp.Header {
			qt.Check(t, strings.Contains(name+strings.Join(values, ""), keyAlpha), qt.IsFalse, qt.Commentf("%s shows the key", name))
		}
	}
}

// TestCallerDisconnectAbortsEngine checks that the engine stops generating when the
// caller disconnects.
func TestCallerDisconnectAbortsEngine(t *testing.T) {
	f := newFixture(t, fixtureOpts{engine: aubstandin.EngineOpts{InterToken: 20 * time.Millisecond}})
	f.awaitBackends(t)
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	req := chatRequest("small")
	req.MaxCompletionTokens = 64
	stream, err := newClient(f, keyAlpha).CreateChatCompletionStream(ctx, req)
	qt.Assert(t, err, qt.IsNil)
	_, err = stream.Recv()
	qt.Assert(t, err, qt.IsNil)
	cancel()
	eventually(t, "engine aborted", func() bool { return f.engines[0].Stats().Aborted == 1 })
}

// TestWithdrawnKeyEndsStream checks that a running stream is aborted when its key is
// removed from the configuration.
func TestWithdrawnKeyEndsStream(t *testing.T) {
	f := newFixture(t, fixtureOpts{engine: aubstandin.EngineOpts{InterToken: 100 * time.Millisecond}})
	f.awaitBackends(t)
	req := chatRequest("small")
	req.MaxCompletionTokens = 64
	stream, err := newClient(f, keyAlpha).CreateChatCompletionStream(f.ctx, req)
	qt.Assert(t, err, qt.IsNil)
	defer stream.Close()
	_, err = stream.Recv()
	qt.Assert(t, err, qt.IsNil)
	cfg := newConfig(t, 2)
	f.config.set(aubquery.NewConfig(aubquery.ConfigObjects{Version: 2, Workspaces: cfg.Workspaces(), Models: cfg.Models()}))
	for err == nil {
		_, err = stream.Recv()
	}
	qt.Check(t, errors.Is(err, io.EOF), qt.IsFalse, qt.Commentf("the stream ended as if it were complete"))
	eventually(t, "engine aborted", func() bool { return f.engines[0].Stats().Aborted == 1 })
}

// TestIdempotencyKey checks that concurrent repeats of a call with an idempotency key
// run it once and get the same response, and that another body is refused.
func TestIdempotencyKey(t *testing.T) {
	f := newFixture(t, fixtureOpts{})
	var wg sync.WaitGroup
	bodies := make([]string, 8)
	for i := range bodies {
		wg.Go(func() { bodies[i] = confirmWithRetries(t, f, "swap-1", "duty") })
	}
	wg.Wait()
	for _, body := range bodies {
		qt.Check(t, body, qt.Equals, bodies[0])
	}
	qt.Check(t, totalExecutions(f), qt.Equals, 1)

	other := newRequest(t, f, "POST", "/roster/swaps/confirm", keyAlpha, "other duty")
	other.Header.Set("Idempotency-Key", "swap-1")
	qt.Check(t, statusOf(t, other), qt.Equals, http.StatusUnprocessableEntity)
	qt.Check(t, totalExecutions(f), qt.Equals, 1)
}

// confirmWithRetries repeats a call while its idempotency key is in progress.
func confirmWithRetries(t *testing.T, f *fixture, key, body string) string {
	for {
		r := newRequest(t, f, "POST", "/roster/swaps/confirm", keyAlpha, body)
		r.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Error(err)
			return ""
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusConflict {
			return string(data)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestClaimsWithoutQuorum checks that a call with an idempotency key is refused as not
// run while there is no quorum, and runs after the quorum has returned.
func TestClaimsWithoutQuorum(t *testing.T) {
	f := newFixture(t, fixtureOpts{})
	f.proposer.setPartitioned(true)
	r := newRequest(t, f, "POST", "/roster/swaps/confirm", keyAlpha, "duty")
	r.Header.Set("Idempotency-Key", "swap-2")
	resp, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	var problem aubapi.Problem
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&problem), qt.IsNil)
	qt.Check(t, problem.Execution, qt.Equals, aubapi.ExecutionNotRun)
	qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Check(t, totalExecutions(f), qt.Equals, 0)

	f.proposer.setPartitioned(false)
	confirmWithRetries(t, f, "swap-2", "duty")
	qt.Check(t, totalExecutions(f), qt.Equals, 1)
}

// TestBackendServerCrash checks that after a crash idempotent requests run on another
// backend server, and that a non-idempotent call is neither retried nor refused as
// not run.
func TestBackendServerCrash(t *testing.T) {
	f := newFixture(t, fixtureOpts{engines: 2})
	f.awaitBackends(t)
	f.engines[0].Crash()
	for i := range 10 {
		_, err := newClient(f, keyAlpha).CreateChatCompletion(f.ctx, chatRequest("small"))
		qt.Check(t, err, qt.IsNil, qt.Commentf("request %d", i))
	}

	f.service.SetFaults(aubstandin.Faults{PoisonPrompt: "fatal"})
	resp, err := http.DefaultClient.Do(newRequest(t, f, "POST", "/roster/swaps/confirm", keyAlpha, "fatal swap"))
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	var problem aubapi.Problem
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&problem), qt.IsNil)
	qt.Check(t, problem.Execution, qt.Equals, aubapi.ExecutionMayHaveRun)
	qt.Check(t, totalExecutions(f), qt.Equals, 1)
}

// TestPoisonRequest checks that a request that crashes its backend server crashes two
// at most, and that other requests in flight with it still succeed.
func TestPoisonRequest(t *testing.T) {
	f := newFixture(t, fixtureOpts{engines: 3, engine: aubstandin.EngineOpts{InterToken: 5 * time.Millisecond}})
	f.awaitBackends(t)
	for _, engine := range f.engines {
		engine.SetFaults(aubstandin.Faults{PoisonPrompt: "fatal"})
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			req := chatRequest("small")
			req.MaxCompletionTokens = 40
			req.Messages[0].Content = fmt.Sprintf("innocent %d", i)
			if _, err := newClient(f, keyAlpha).CreateChatCompletion(f.ctx, req); err != nil {
				t.Errorf("innocent request %d: %v", i, err)
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	fatal := chatRequest("small")
	fatal.Messages[0].Content = "fatal"
	for range 5 {
		_, err := newClient(f, keyAlpha).CreateChatCompletion(f.ctx, fatal)
		qt.Check(t, err, qt.IsNotNil)
	}
	wg.Wait()
	crashes := 0
	for _, engine := range f.engines {
		crashes += engine.Stats().Crashes
	}
	qt.Check(t, crashes <= 2, qt.IsTrue, qt.Commentf("%d backend servers crashed", crashes))
	qt.Check(t, statusOf(t, newRequest(t, f, "POST", chatPath, keyAlpha, requestJSON(t, fatal))), qt.Equals, http.StatusUnprocessableEntity)
}

// TestPoisonPromptPart checks that a message which crashes backend servers in requests of
// which no two are alike is stopped, and that sound requests are served.
func TestPoisonPromptPart(t *testing.T) {
	f := newFixture(t, fixtureOpts{engines: 6})
	f.awaitBackends(t)
	for _, engine := range f.engines {
		engine.SetFaults(aubstandin.Faults{PoisonPrompt: "fatal"})
	}
	send := func(system string, i int) error {
		req := chatRequest("small")
		req.Messages = []openai.ChatCompletionMessage{
			{Role: "system", Content: "shared"}, {Role: "system", Content: system}, {Role: "user", Content: fmt.Sprintf("question %d", i)},
		}
		_, err := newClient(f, keyAlpha).CreateChatCompletion(f.ctx, req)
		return err
	}
	for i := range 10 {
		qt.Check(t, send("fatal", i), qt.IsNotNil)
	}
	crashes := 0
	for _, engine := range f.engines {
		crashes += engine.Stats().Crashes
	}
	qt.Check(t, crashes <= 3, qt.IsTrue, qt.Commentf("%d backend servers crashed", crashes))
	for i := range 10 {
		qt.Check(t, send("sound", i), qt.IsNil)
	}
}

func requestJSON(t *testing.T, v any) string {
	data, err := json.Marshal(v)
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

func statusOf(t *testing.T, r *http.Request) int {
	resp, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	return resp.StatusCode
}

func totalExecutions(f *fixture) int {
	total := 0
	for _, n := range f.service.Stats().Executions {
		total += n
	}
	return total
}

// TestFailedRetryKeepsThatTheCallMayHaveRun guards against "not run" for a call that may have run, because no backend
// server was left for its retry.
func TestFailedRetryKeepsThatTheCallMayHaveRun(t *testing.T) {
	f := newFixture(t, fixtureOpts{})
	f.awaitBackends(t)
	f.engines[0].SetFaults(aubstandin.Faults{CutAnswers: 1, ForgetAnswers: true})
	resp, err := http.DefaultClient.Do(newRequest(t, f, http.MethodPost, chatPath, keyAlpha, chatBody("small", "")))
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	var problem aubapi.Problem
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&problem), qt.IsNil)
	qt.Check(t, problem.Execution, qt.Equals, aubapi.ExecutionMayHaveRun, qt.Commentf("%+v", problem))
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway)
}
