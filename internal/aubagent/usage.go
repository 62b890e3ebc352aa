package aubagent

import (
	"bytes"
	"encoding/json"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// usage holds the token counts that an engine reports.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// endFrame returns the end frame of a complete response.
func (u usage) endFrame() *aubwire.FrameEnd {
	return &aubwire.FrameEnd{
		PromptTokens: u.PromptTokens,
		OutputTokens: u.CompletionTokens,
		CachedTokens: u.Details.CachedTokens,
	}
}

// chunk holds the fields that the agent reads from one streamed event or from a
// complete response.
type chunk struct {
	ID      string            `json:"id"`
	Choices []json.RawMessage `json:"choices"`
	Usage   *usage            `json:"usage"`
	Error   json.RawMessage   `json:"error"`
}

// parseChunk decodes a chunk; it reports false for data that can't be decoded.
func parseChunk(data []byte) (chunk, bool) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return chunk{}, false
	}
	return c, true
}

// hideUsage returns the event without its usage, and nil if it holds nothing else.
func hideUsage(raw, data []byte, c chunk) []byte {
	if c.Usage == nil {
		return raw
	}
	if len(c.Choices) == 0 {
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return raw
	}
	delete(fields, "usage")
	stripped, err := json.Marshal(fields)
	if err != nil {
		return raw
	}
	return bytes.Join([][]byte{[]byte("data: "), stripped, []byte("\n\n")}, nil)
}
