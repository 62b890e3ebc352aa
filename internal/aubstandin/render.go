package aubstandin

import (
	"encoding/json"
	"net/http"

	"github.com/auburndale/auburndale/internal/aubengine"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
)

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(aubengine.ErrorBody{Error: aubengine.ErrorDetail{
		Message: message,
		Type:    "invalid_request_error",
		Code:    code,
	}})
}

// abortConnection closes the connection without a further response byte. It panics to end the handler.
func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

type usage struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type embedding struct {
	Object    string    `json:"object"`
	Index     int       `json:"index"`
	Embedding []float64 `json:"embedding"`
}

type embeddingList struct {
	Object string      `json:"object"`
	Model  string      `json:"model"`
	Data   []embedding `json:"data"`
	Usage  usage       `json:"usage"`
}

// renderer encodes the answer of one generation in the formats of the OpenAI API.
type renderer struct {
	id      string
	created int64
	req     generationRequest
}

// marshalCompletion encodes a chunk of a stream or a complete response.
func (r renderer) marshalCompletion(choices []choice, u *usage, chunk bool) []byte {
	body, err := json.Marshal(completion{
		ID:      r.id,
		Object:  r.object(chunk),
		Created: r.created,
		Model:   r.req.Model,
		Choices: choices,
		Usage:   u,
	})
	if err != nil {
		return nil
	}
	return body
}

// object returns the object type of a chunk or a complete response.
func (r renderer) object(chunk bool) string {
	switch {
	case r.req.kind == kindText:
		return "text_completion"
	case chunk:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

func (r renderer) tokenEvent(text string) []byte {
	return formatEvent(r.marshalCompletion([]choice{r.choice(text, nil, true)}, nil, true))
}

func (r renderer) finishEvent() []byte {
	finishReason := "length"
	return formatEvent(r.marshalCompletion([]choice{r.choice("", &finishReason, true)}, nil, true))
}

func (r renderer) usageEvent(u usage) []byte {
	return formatEvent(r.marshalCompletion([]choice{}, &u, true))
}

func (r renderer) completeBody(text string, u usage) []byte {
	finishReason := "length"
	return r.marshalCompletion([]choice{r.choice(text, &finishReason, false)}, &u, false)
}

func (r renderer) choice(text string, finishReason *string, chunk bool) choice {
	c := choice{FinishReason: finishReason}
	switch {
	case r.req.kind == kindText:
		c.Text = &text
	case chunk:
		c.Delta = &message{Role: "assistant", Content: text}
	default:
		c.Message = &message{Role: "assistant", Content: text}
	}
	return c
}

// formatEvent frames data as a server-sent event.
func formatEvent(data []byte) []byte {
	framed := make([]byte, 0, len(data)+len("data: \n\n"))
	framed = append(framed, "data: "...)
	framed = append(framed, data...)
	return append(framed, "\n\n"...)
}
