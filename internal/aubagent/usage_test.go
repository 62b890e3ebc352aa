package aubagent_test

import (
	"bytes"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubagent"
)

func TestHideUsage(t *testing.T) {
	tests := []struct {
		name  string
		data  string
		event string
	}{
		{name: "no usage", data: `{"id":"1","choices":[{}]}`, event: "data: {\"id\":\"1\",\"choices\":[{}]}\n\n"},
		{name: "null usage", data: `{"choices":[{}],"usage":null}`, event: "data: {\"choices\":[{}],\"usage\":null}\n\n"},
		{name: "only usage", data: `{"choices":[],"usage":{"prompt_tokens":1}}`},
		{
			name:  "usage and a token",
			data:  `{"choices":[{"delta":{"content":"a"}}],"usage":{"prompt_tokens":1}}`,
			event: "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
		},
		{name: "invalid JSON", data: `oops`, event: "data: oops\n\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, string(aubagent.HideUsage([]byte(test.data))), qt.Equals, test.event)
		})
	}
}

// FuzzHideUsage checks that an engine's event stays one event, with valid JSON if it
// was valid, and that only valid JSON is dropped completely.
func FuzzHideUsage(f *testing.F) {
	f.Add([]byte(`{"choices":[{"delta":{"content":"a"}}],"usage":{"prompt_tokens":1}}`))
	f.Add([]byte(`{"usage":{},"usage":1}`))
	f.Add([]byte(`[1]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		event := aubagent.HideUsage(data)
		if event == nil {
			qt.Assert(t, json.Valid(data), qt.IsTrue)
			return
		}
		qt.Assert(t, bytes.HasPrefix(event, []byte("data: ")), qt.IsTrue)
		qt.Assert(t, bytes.HasSuffix(event, []byte("\n\n")), qt.IsTrue)
		if json.Valid(data) {
			qt.Assert(t, json.Valid(event[len("data: "):]), qt.IsTrue)
		}
	})
}
