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

const defaultOutputTokens = 16

// generation is one decoded request.
type generation struct {
	Model         string          `json:"model"`
	Messages      []chatMessage   `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Input         json.RawMessage `json:"input"`
	Stream        bool            `json:"stream"`
	MaxTokens     int             `json:"max_tokens"`
	MaxCompletion int             `json:"max_completion_tokens"`
	Options       streamOptions   `json:"stream_options"`

	kind   generationKind
	prompt string
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

func decodeGeneration(kind generationKind, body []byte) (generation, error) {
	g := generation{kind: kind}
	if err := json.Unmarshal(body, &g); err != nil {
		return generation{}, err
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
		return generation{}, errNoPrompt
	}
	return g, nil
}

func (g generation) outputTokens() int {
	for _, n := range []int{g.MaxCompletion, g.MaxTokens} {
		if n > 0 {
			return n
		}
	}
	return defaultOutputTokens
}

func chatText(messages []chatMessage) string {
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(chatLine(m.Role, strings.Join(decodeTexts(m.Content), "\n")))
	}
	return text.String()
}

// decodeTexts returns a string, each string of a list, or the raw JSON of anything else.
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
