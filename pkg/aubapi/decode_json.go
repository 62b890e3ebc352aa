package aubapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxJSONDepth is the maximum nesting of a JSON document.
const maxJSONDepth = 16

// jsonParser converts JSON tokens to YAML nodes, so that checkNode serves both formats.
type jsonParser struct {
	data    []byte
	decoder *json.Decoder
	// line is the line number at offset; both advance as tokens are read.
	line   int
	offset int64
}

func parseJSON(data []byte) (*yaml.Node, error) {
	p := &jsonParser{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1}
	p.decoder.UseNumber()
	node, err := p.parseValue(0)
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", p.currentLine(), normalizeEOF(err))
	}
	if _, err := p.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("line %d: there is more after the first value; allowed is one ticket", p.currentLine())
	}
	return node, nil
}

// normalizeEOF turns io.EOF into io.ErrUnexpectedEOF: the document ended inside a value.
func normalizeEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// currentLine returns the line number after the last token.
func (p *jsonParser) currentLine() int {
	end := p.decoder.InputOffset()
	p.line += bytes.Count(p.data[p.offset:end], []byte("\n"))
	p.offset = end
	return p.line
}

func (p *jsonParser) parseValue(depth int) (*yaml.Node, error) {
	if depth > maxJSONDepth {
		return nil, fmt.Errorf("nested deeper than %d", maxJSONDepth)
	}
	token, err := p.decoder.Token()
	if err != nil {
		return nil, err
	}
	line := p.currentLine()
	if delim, ok := token.(json.Delim); ok {
		return p.parseCollection(delim, line, depth)
	}
	return scalarNode(token, line), nil
}

func (p *jsonParser) parseCollection(opening json.Delim, line, depth int) (*yaml.Node, error) {
	node := &yaml.Node{Kind: yaml.SequenceNode, Tag: "!!seq", Line: line}
	if opening == '{' {
		node.Kind, node.Tag = yaml.MappingNode, "!!map"
	}
	for p.decoder.More() {
		child, err := p.parseValue(depth + 1)
		if err != nil {
			return nil, err
		}
		node.Content = append(node.Content, child)
	}
	_, err := p.decoder.Token()
	return node, err
}

func scalarNode(token json.Token, line int) *yaml.Node {
	node := &yaml.Node{Kind: yaml.ScalarNode, Line: line}
	switch v := token.(type) {
	case string:
		node.Tag, node.Value, node.Style = "!!str", v, yaml.DoubleQuotedStyle
	case bool:
		node.Tag, node.Value = "!!bool", strconv.FormatBool(v)
	case json.Number:
		node.Tag, node.Value = numberTag(v), v.String()
	default:
		node.Tag, node.Value = "!!null", "null"
	}
	return node
}

func numberTag(n json.Number) string {
	if strings.ContainsAny(n.String(), ".eE") {
		return "!!float"
	}
	return "!!int"
}
