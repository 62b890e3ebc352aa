package aubentry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndale/auburndale/internal/aubbudget"
	"github.com/auburndale/auburndale/internal/aubpoison"
)

const (
	// prefixBlockBytes is the length of a block of the prompt; each has a prefix hash.
	prefixBlockBytes = 256
	// PrefixBlockTokens is the approximate number of tokens in a block of the prompt.
	PrefixBlockTokens = 64
	// maxPrefixHashes bounds the prefix hashes of one prompt.
	maxPrefixHashes = 64
	// templateTokensPerMessage bounds the tokens that a chat template adds to a message.
	templateTokensPerMessage = 16
	// modelBodyDepth is the depth down to which a body is decoded: fields and messages. elementCost is what each
	// of them takes in the maps and lists that hold it, in bytes.
	modelBodyDepth = 2
	elementCost    = 256
	// maxChoices bounds the choices (OpenAI's n) of one request.
	maxChoices = 16
)

// modelBody is an OpenAI request body with the fields that the entry reads. All
// others are forwarded unchanged.
type modelBody struct {
	fields map[string]json.RawMessage

	Model        string
	Stream       bool
	IncludeUsage bool
	// MaxTokens is the caller's bound on output tokens; 0 if none.
	MaxTokens int64
	Choices   int64
	// Prompt is the raw JSON of the field messages, prompt or input.
	Prompt       []byte
	MessageCount int64
	// partFingerprints are those of all messages but the last, up to maxPartFingerprints.
	partFingerprints []string
}

// maxPartFingerprints limits the messages of one request that have fingerprints.
const maxPartFingerprints = 32

// modelFields are the known fields of an OpenAI request body.
type modelFields struct {
	Model               string            `json:"model"`
	Stream              bool              `json:"stream"`
	StreamOptions       *streamOptions    `json:"stream_options"`
	MaxTokens           *int64            `json:"max_tokens"`
	MaxCompletionTokens *int64            `json:"max_completion_tokens"`
	N                   *int64            `json:"n"`
	Messages            []json.RawMessage `json:"messages"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// readBody reads the request body; one larger than limit bytes is refused.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *refusal) {
	data, err := aubbudget.ReadBody(http.MaxBytesReader(w, r.Body, limit), min(r.ContentLength, limit))
	if err != nil {
		aubbudget.FromContext(r.Context()).Refuse(w.Header())
	}
	var tooLarge *http.MaxBytesError
	var exhausted *aubbudget.ExhaustedError
	var late *aubbudget.BodyTimeoutError
	switch {
	case errors.As(err, &exhausted) && exhausted.IsPermanent:
		return nil, refuse(problemBodyTooLarge)
	case errors.As(err, &exhausted):
		return nil, refuse(problemMemoryExhausted)
	case errors.As(err, &late):
		return nil, refuse(problemBodyTimeout)
	case errors.As(err, &tooLarge):
		return nil, refuse(problemBodyTooLarge).WithDetail("At most %d bytes are allowed.", limit)
	case err != nil:
		return nil, refuse(problemMalformedBody).WithDetail("The body ended early.")
	}
	return data, nil
}

// chargeDecoding charges what a body takes once it is decoded: a copy, and its fields and messages.
func chargeDecoding(r *http.Request, data []byte) *refusal {
	cost := int64(len(data) + countElements(data, modelBodyDepth)*elementCost)
	var exhausted *aubbudget.ExhaustedError
	switch err := aubbudget.FromContext(r.Context()).Grow(cost); {
	case errors.As(err, &exhausted) && exhausted.IsPermanent:
		return refuse(problemBodyTooLarge).WithDetail("The body has too many fields or messages.")
	case err != nil:
		return refuse(problemMemoryExhausted)
	}
	return nil
}

// countElements returns an upper bound on the number of fields and list elements of a JSON document down to the depth.
func countElements(data []byte, depth int) int {
	count, level, isText := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch b := data[i]; {
		case isText && b == '\\':
			i++
		case b == '"':
			isText = !isText
		case isText:
		case b == '{' || b == '[':
			level++
			if level <= depth {
				count++
			}
		case b == '}' || b == ']':
			level--
		case b == ',' && level <= depth:
			count++
		}
	}
	return count
}

// parseModelBody reads the fields that determine routing and cost.
func parseModelBody(data []byte) (modelBody, *refusal) {
	var b modelBody
	if err := json.Unmarshal(data, &b.fields); err != nil {
		return b, refuse(problemMalformedBody).WithDetail("The body must be one JSON object.")
	}
	f, err := decodeKnownFields(b.fields)
	if err != nil {
		return b, refuse(problemInvalidRequest).WithDetail("A field has the wrong type.")
	}
	if f.Model == "" {
		return b, refuse(problemInvalidRequest).WithDetail("The field model is required.")
	}
	b.Model, b.Stream = f.Model, f.Stream
	b.IncludeUsage = f.StreamOptions != nil && f.StreamOptions.IncludeUsage
	b.MessageCount = int64(len(f.Messages))
	for i, message := range f.Messages {
		if i < min(len(f.Messages)-1, maxPartFingerprints) {
			b.partFingerprints = append(b.partFingerprints, aubpoison.PartFingerprint(string(message)))
		}
	}
	if b.Prompt = b.firstField("messages", "prompt", "input"); len(b.Prompt) == 0 {
		return b, refuse(problemInvalidRequest).WithDetail("The request carries no prompt.")
	}
	return b, b.readOutputBounds(f)
}

// decodeKnownFields decodes the known fields by their exact names from the fields that
// are forwarded, so that the entry and the engine see the same values even if a body has
// duplicate names or names in another case.
func decodeKnownFields(fields map[string]json.RawMessage) (modelFields, error) {
	var f modelFields
	known := make(map[string]json.RawMessage)
	for _, name := range []string{"model", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "messages"} {
		if v, ok := fields[name]; ok {
			known[name] = v
		}
	}
	data, err := json.Marshal(known)
	if err != nil {
		return f, err
	}
	return f, json.Unmarshal(data, &f)
}

// readOutputBounds sets the number of choices and the bound on output tokens.
func (b *modelBody) readOutputBounds(f modelFields) *refusal {
	b.Choices = 1
	if f.N != nil {
		b.Choices = *f.N
	}
	if b.Choices < 1 || b.Choices > maxChoices {
		return refuse(problemInvalidRequest).WithDetail("The field n must be from 1 to %d.", maxChoices)
	}
	for _, bound := range []*int64{f.MaxTokens, f.MaxCompletionTokens} {
		if bound == nil {
			continue
		}
		if *bound < 1 {
			return refuse(problemInvalidRequest).WithDetail("The bound on output tokens must be 1 or more.")
		}
		b.MaxTokens = *bound
	}
	return nil
}

// firstField returns the first of the named fields that is neither missing nor null.
func (b *modelBody) firstField(names ...string) []byte {
	for _, name := range names {
		if v := b.fields[name]; len(v) > 0 && !bytes.Equal(v, []byte("null")) {
			return v
		}
	}
	return nil
}

// encode returns the body for the engine. It bounds the output to maxTokens (0 for
// no bound) and requests the usage of a stream.
func (b *modelBody) encode(maxTokens int64) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(b.fields)+2)
	for name, v := range b.fields {
		fields[name] = v
	}
	if maxTokens > 0 {
		delete(fields, "max_completion_tokens")
		fields["max_tokens"] = json.RawMessage(jsonInt(maxTokens))
	}
	if b.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(fields)
}

// promptTokens returns an upper bound on the number of tokens in the prompt.
func (b *modelBody) promptTokens(bytesPerToken int64) int64 {
	divisor := max(bytesPerToken, 1)
	return (int64(len(b.Prompt))+divisor-1)/divisor + b.MessageCount*templateTokensPerMessage
}

// prefixHashes returns a hash for each block of the prompt, over the model name and
// the prompt up to the end of the block. Prompts with a common prefix share the
// hashes of the blocks in it.
func (b *modelBody) prefixHashes() []uint64 {
	n := min(len(b.Prompt)/prefixBlockBytes, maxPrefixHashes)
	hashes := make([]uint64, 0, n)
	digest := xxhash.New()
	_, _ = digest.WriteString(b.Model)
	for i := range n {
		_, _ = digest.Write(b.Prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

func jsonInt(n int64) []byte {
	data, _ := json.Marshal(n)
	return data
}
