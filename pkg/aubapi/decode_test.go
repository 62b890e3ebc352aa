package aubapi_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

const validYAML = `number: 7
workspaces:
  - name: zilina
    rate: 1000
    burst: 5000
models:
  - name: small
    memory_bytes: 1024
    workspaces: [zilina, "*"]
remove:
  - {kind: key, name: old}
`

func TestDecodeTicketBothFormats(t *testing.T) {
	fromYAML, err := aubapi.DecodeTicket([]byte(validYAML), aubapi.FormatYAML)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fromYAML.Number, qt.Equals, uint64(7))
	qt.Assert(t, fromYAML.Models[0].Workspaces, qt.DeepEquals, []string{"zilina", "*"})

	data, err := json.MarshalIndent(fromYAML, "", "\t")
	qt.Assert(t, err, qt.IsNil)
	fromJSON, err := aubapi.DecodeTicket(data, aubapi.FormatJSON)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fromJSON, qt.DeepEquals, fromYAML)
}

func TestDecodeTicketFaults(t *testing.T) {
	cases := []struct {
		name   string
		text   string
		format aubapi.Format
		want   []string
	}{
		{"empty", "", aubapi.FormatYAML, []string{"the document is empty"}},
		{"empty JSON", "", aubapi.FormatJSON, []string{"line 1: unexpected EOF"}},
		{"unknown name", "number: 1\nkeyz: []\n", aubapi.FormatYAML, []string{
			"keyz: line 2: unknown name; allowed are number, workspaces, keys, models, adapters, routes, remove",
		}},
		{
			"unknown names and wrong types, all listed",
			"number: one\nworkspaces:\n- name: 5\n  rte: 7\n  rate: 1.5\n", aubapi.FormatYAML,
			[]string{
				"number: line 1: must be a whole number of 64 bits, not negative",
				"workspaces[0].name: line 3: must be a text",
				"workspaces[0].rte: line 4: unknown name; allowed are name, rate, burst, weight, cut_off, cut_off_bound_seconds",
				"workspaces[0].rate: line 5: must be a whole number of 64 bits",
			},
		},
		{"unknown name in JSON", "{\"number\": 1,\n \"models\": [\n{\"nme\": \"a\"}]}", aubapi.FormatJSON, []string{
			"models[0].nme: line 3: unknown name; allowed are name, memory_bytes, workspaces, max_output_tokens, bytes_per_token, copies",
		}},
		{"name in another case in JSON", `{"Number": 1}`, aubapi.FormatJSON, []string{
			"Number: line 1: unknown name; allowed are number, workspaces, keys, models, adapters, routes, remove",
		}},
		{"repeated name", `{"number": 1, "number": 2}`, aubapi.FormatJSON, []string{"number: line 1: stands here twice"}},
		{"float", `{"number": 1e3}`, aubapi.FormatJSON, []string{"number: line 1: must be a whole number of 64 bits, not negative"}},
		{"too large", `{"number": 18446744073709551616}`, aubapi.FormatJSON, []string{"number: line 1: must be a whole number of 64 bits, not negative"}},
		{"negative", `{"number": -1}`, aubapi.FormatJSON, []string{"number: line 1: must be a whole number of 64 bits, not negative"}},
		{"null list", `{"models": null}`, aubapi.FormatJSON, []string{"models: line 1: must be a list"}},
		{"two documents", "number: 1\n---\nnumber: 2\n", aubapi.FormatYAML, []string{"there is more after the first document; allowed is one ticket"}},
		{"two values", "{}\n{}", aubapi.FormatJSON, []string{"line 2: there is more after the first value; allowed is one ticket"}},
		{"alias", "models: &m []\nadapters: *m\n", aubapi.FormatYAML, []string{
			"models: line 1: anchors and aliases are not allowed", "adapters: line 2: anchors and aliases are not allowed",
		}},
		{"merge", "<<: {number: 1}\n", aubapi.FormatYAML, []string{
			"<<: line 1: unknown name; allowed are number, workspaces, keys, models, adapters, routes, remove",
		}},
		{"deep nesting", strings.Repeat("[", 100), aubapi.FormatJSON, []string{"line 1: nested deeper than 16"}},
		{"list", "- 1\n", aubapi.FormatYAML, []string{"line 1: must be an object"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := aubapi.DecodeTicket([]byte(c.text), c.format)
			var decodeErr *aubapi.DecodeError
			qt.Assert(t, err, qt.ErrorAs, &decodeErr)
			got := make([]string, 0, len(decodeErr.Faults))
			for _, f := range decodeErr.Faults {
				got = append(got, f.String())
			}
			qt.Assert(t, got, qt.DeepEquals, c.want)
		})
	}
}

func TestDecodeTicketRefusesOversize(t *testing.T) {
	_, err := aubapi.DecodeTicket(make([]byte, aubapi.MaxTicketBytes+1), aubapi.FormatYAML)
	qt.Assert(t, err, qt.ErrorMatches, "the document has 2097153 bytes; allowed are 2097152")
}

// A ticket that can be decoded must stay the same after encoding and decoding it again.
func FuzzDecodeTicketYAML(f *testing.F) {
	f.Add([]byte(validYAML))
	f.Add([]byte("number: !!int 0x10\nkeys: []\n"))
	f.Add([]byte("models:\n  - memory_bytes: 0"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := aubapi.DecodeTicket(data, aubapi.FormatYAML)
		if err != nil {
			return
		}
		reencoded, err := yaml.Marshal(ticket)
		qt.Assert(t, err, qt.IsNil)
		redecoded, err := aubapi.DecodeTicket(reencoded, aubapi.FormatYAML)
		qt.Assert(t, err, qt.IsNil)
		assertSameJSON(t, redecoded, ticket)
	})
}

// A ticket that can be decoded must equal the result of encoding/json.
func FuzzDecodeTicketJSON(f *testing.F) {
	f.Add([]byte(`{"number":7,"workspaces":[{"name":"w","rate":1,"burst":2}],"remove":[{"kind":"key","name":"k"}]}`))
	f.Add([]byte(`{"number":1e3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := aubapi.DecodeTicket(data, aubapi.FormatJSON)
		if err != nil {
			return
		}
		var direct aubapi.Ticket
		qt.Assert(t, json.Unmarshal(data, &direct), qt.IsNil)
		assertSameJSON(t, ticket, direct)
	})
}

func assertSameJSON(t *testing.T, got, want aubapi.Ticket) {
	t.Helper()
	a, err := json.Marshal(got)
	qt.Assert(t, err, qt.IsNil)
	b, err := json.Marshal(want)
	qt.Assert(t, err, qt.IsNil)
	// An absent list and an empty one are equivalent.
	qt.Assert(t, strings.ReplaceAll(string(a), ":[]", ":null"), qt.Equals, strings.ReplaceAll(string(b), ":[]", ":null"))
}
