package aubapi

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Format is the encoding of a document.
type Format string

// Encodings of documents.
const (
	FormatJSON Format = "json"
	FormatYAML Format = "yaml"
)

// MaxTicketBytes is the maximum size of an encoded ticket.
const MaxTicketBytes = 2 << 20

// DecodeError lists all faults of a document that can't be decoded.
type DecodeError struct {
	Faults []Fault
}

// Error implements error.
func (e *DecodeError) Error() string {
	texts := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		texts = append(texts, f.String())
	}
	return strings.Join(texts, "; ")
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Reason
	}
	return f.Path + ": " + f.Reason
}

// FormatOf returns the format of a media type. An empty media type means YAML, of
// which JSON is a subset.
func FormatOf(contentType string) (Format, bool) {
	if contentType == "" {
		return FormatYAML, true
	}
	media, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		return "", false
	}
	switch media {
	case "application/json", "text/json":
		return FormatJSON, true
	case "application/yaml", "application/x-yaml", "text/yaml", "text/x-yaml":
		return FormatYAML, true
	default:
		return "", false
	}
}

// DecodeTicket decodes one ticket. It is strict: it refuses unknown and repeated
// names, values of the wrong type, anchors, aliases and further documents. Errors are
// of type *DecodeError; faults in a value have its line and path.
func DecodeTicket(data []byte, format Format) (Ticket, error) {
	if len(data) > MaxTicketBytes {
		return Ticket{}, decodeError("", fmt.Sprintf("the document has %d bytes; allowed are %d", len(data), MaxTicketBytes))
	}
	node, err := parseDocument(data, format)
	if err != nil {
		return Ticket{}, decodeError("", err.Error())
	}
	var t Ticket
	if faults := checkNode(node, t); len(faults) > 0 {
		return Ticket{}, &DecodeError{Faults: faults}
	}
	if err := node.Decode(&t); err != nil {
		return Ticket{}, decodeError("", err.Error())
	}
	return t, nil
}

func decodeError(path, reason string) error {
	return &DecodeError{Faults: []Fault{{Path: path, Reason: reason}}}
}

func parseDocument(data []byte, format Format) (*yaml.Node, error) {
	if format == FormatJSON {
		return parseJSON(data)
	}
	return parseYAML(data)
}

func parseYAML(data []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := decoder.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, errors.New("the document is empty")
		}
		return nil, err
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return nil, errors.New("there is more after the first document; allowed is one ticket")
	}
	if len(doc.Content) != 1 {
		return nil, errors.New("the document is empty")
	}
	return doc.Content[0], nil
}
