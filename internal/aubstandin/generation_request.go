package aubstandin

import (
	"encoding/json"
	"errors"
	"strings"
)

type generationKind int

const (
	kindChat generationKind = iota
	kindText
	kindEmbedding
)

// defaultOutputTokens is the length of an answer without a limit in its request.
const defaultOutputTokens = 16

// generationRequest is a decoded chat, completion or embedding request.
type generationRequest struct {
	Model         string          `json:"model"`
	Messages      []chatMessage   `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Input         json.RawMessage `json:"input"`
	Stream        bool            `json:"stream"`
	MaxTokens     int             `json:"max_tokens"`
	MaxCompletion int             `json:"max_completion_tokens"`
	Options       streamOptions   `json:"stream_options"`

	kind generationKind
	// prompt is the full prompt text.
	prompt string
	// inputs are the texts of an embedding request.
	inputs []string
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

var errNoPrompt = errors.New("request has no prompt")

func decodeGenerationRequest(kind generationKind, body []byte) (generationRequest, error) {
	g := generationRequest{kind: kind}
	if err := json.Unmarshal(body, &g); err != nil {
		return generationRequest{}, err
	}
	switch kind {
	case kindChat:
		g.prompt = chatText(g.Messages)
	case kindText:
		g.prompt = strings.Join(decodeTexts(g.Prompt), "\n")
	case kindEmbedding:
		g.inputs = decodeTexts(g.Input)
		g.prompt = strings.Join(g.inputs, "\n")
		g.Stream = false
	}
	if g.prompt == "" {
		return generationRequest{}, errNoPrompt
	}
	return g, nil
}

func (g generationRequest) outputTokens() int {
	for _, n := range []int{g.MaxCompletion, g.MaxTokens} {
		if n > 0 {
			return n
		}
	}
	return defaultOutputTokens
}

// chatText returns the prompt text of a chat.
func chatText(messages []chatMessage) string {
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(chatLine(m.Role, strings.Join(decodeTexts(m.Content), "\n")))
	}
	return text.String()
}

// decodeTexts decodes a JSON string or a list of strings; it returns any other
// JSON value as its raw text.
func decodeTexts(raw json.RawMessage) []string {
	if len(raw) == 0 {
		return nil
	}
	var single string
	if json.Unmarshal(raw, &single) == nil {
		return []string{single}
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return list
	}
	return []string{string(raw)}
}
