package aubagent_test

import (
	"bufio"
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// streamText concatenates the content of a stream's chunks and reports whether the
// end mark follows.
func streamText(t testing.TB, body string) (text string, done bool) {
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		qt.Assert(t, json.Unmarshal([]byte(data), &chunk), qt.IsNil)
		for _, c := range chunk.Choices {
			text += c.Delta.Content
		}
	}
	return text, false
}

// TestStreamedChat checks a streamed response with usage forwarded and hidden.
func TestStreamedChat(t *testing.T) {
	f := newEngineFixture(t, aubstandin.EngineOpts{Items: []aubengine.Item{readyItem("m", gib)}}, fastOpts())
	f.awaitReady(t, "m")

	for _, hide := range []bool{false, true} {
		req := chatRequest("r-"+map[bool]string{true: "h", false: "s"}[hide], "m", "hello", true)
		req.HideUsage = hide
		resp, body, err := f.call(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.Status, qt.Equals, 200)
		qt.Assert(t, resp.Header.Get("Content-Type"), qt.Equals, "text/event-stream")
		text, done := streamText(t, body)
		qt.Assert(t, done, qt.IsTrue)
		qt.Assert(t, text, qt.Equals, aubstandin.AnswerText("m", aubstandin.ChatPrompt("hello"), 8))
		qt.Assert(t, strings.Contains(body, "usage"), qt.Equals, !hide)
		qt.Assert(t, resp.Usage(), qt.Equals, aubexecution.Usage{PromptTokens: 3, OutputTokens: 8})
	}
}

// TestOrderLoadsAndUnloads checks load and unload orders against the memory limit and
// the fence.
func TestOrderLoadsAndUnloads(t *testing.T) {
	f := newEngineFixture(t, aubstandin.EngineOpts{}, fastOpts())
	eventually(t, "agent accepts orders", func() bool {
		return f.sendOrder(t, loadOrder(2, "m", 60*gib)) == aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED
	})
	f.awaitReady(t, "m")
	qt.Assert(t, f.sendOrder(t, loadOrder(2, "n", 60*gib)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY)
	qt.Assert(t, f.sendOrder(t, unloadOrder(3, "m")), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED)
	eventually(t, "memory free", func() bool { return f.agent.Report().GetMemoryUsedBytes() == 0 })
	qt.Assert(t, f.sendOrder(t, loadOrder(2, "n", gib)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
	qt.Assert(t, f.engine.Stats().MemoryPeakBytes, qt.Equals, 60*gib)
}

func (f *fixture) sendOrder(t testing.TB, req *aubwire.OrderRequest) aubwire.OrderOutcome {
	req.AgentIncarnation = f.agent.Incarnation()
	resp, err := f.agent.Order(f.ctx, req)
	qt.Assert(t, err, qt.IsNil)
	return resp.GetOutcome()
}

func loadOrder(fence uint64, name string, bytes int64) *aubwire.OrderRequest {
	return &aubwire.OrderRequest{
		Fence:       fence,
		Action:      aubwire.OrderAction_ORDER_ACTION_LOAD,
		Name:        name,
		MemoryBytes: bytes,
	}
}

func unloadOrder(fence uint64, name string) *aubwire.OrderRequest {
	return &aubwire.OrderRequest{
		Fence:  fence,
		Action: aubwire.OrderAction_ORDER_ACTION_UNLOAD,
		Name:   name,
	}
}
