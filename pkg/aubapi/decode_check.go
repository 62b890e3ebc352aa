package aubapi

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// nodeChecker checks whether a node can be decoded into a type and collects all faults.
type nodeChecker struct {
	faults []Fault
}

// checkNode returns a fault for every place where the node can't be decoded into the
// type of want.
func checkNode(node *yaml.Node, want any) []Fault {
	c := &nodeChecker{}
	c.check("", node, reflect.TypeOf(want))
	return c.faults
}

func (c *nodeChecker) addFault(path string, node *yaml.Node, format string, args ...any) {
	reason := fmt.Sprintf("line %d: %s", node.Line, fmt.Sprintf(format, args...))
	c.faults = append(c.faults, Fault{Path: path, Reason: reason})
}

func (c *nodeChecker) check(path string, node *yaml.Node, want reflect.Type) {
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		c.addFault(path, node, "anchors and aliases are not allowed")
		return
	}
	switch want.Kind() {
	case reflect.Struct:
		c.checkStruct(path, node, want)
	case reflect.Slice:
		c.checkList(path, node, want)
	default:
		c.checkScalar(path, node, want)
	}
}

func (c *nodeChecker) checkStruct(path string, node *yaml.Node, want reflect.Type) {
	if node.Kind != yaml.MappingNode {
		c.addFault(path, node, "must be an object")
		return
	}
	fields := fieldsOf(want)
	seen := make(map[string]bool, len(fields))
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		field, ok := fields[name.Value]
		child := joinPath(path, name.Value)
		switch {
		case name.Kind != yaml.ScalarNode || name.Anchor != "" || !ok:
			c.addFault(child, name, "unknown name; allowed are %s", strings.Join(fieldNames(want), ", "))
		case seen[name.Value]:
			c.addFault(child, name, "stands here twice")
		default:
			c.check(child, value, field)
		}
		seen[name.Value] = true
	}
}

func (c *nodeChecker) checkList(path string, node *yaml.Node, want reflect.Type) {
	if node.Kind != yaml.SequenceNode {
		c.addFault(path, node, "must be a list")
		return
	}
	for i, item := range node.Content {
		c.check(path+"["+strconv.Itoa(i)+"]", item, want.Elem())
	}
}

func (c *nodeChecker) checkScalar(path string, node *yaml.Node, want reflect.Type) {
	tag, rule := scalarRule(want)
	if node.Kind != yaml.ScalarNode || node.Tag != tag {
		c.addFault(path, node, "must be %s", rule)
		return
	}
	if err := node.Decode(reflect.New(want).Interface()); err != nil {
		c.addFault(path, node, "must be %s", rule)
	}
}

// scalarRule returns the YAML tag that a value of the type must have and the text for
// faults.
func scalarRule(want reflect.Type) (tag, rule string) {
	switch want.Kind() {
	case reflect.Bool:
		return "!!bool", "true or false"
	case reflect.Int, reflect.Int64:
		return "!!int", "a whole number of 64 bits"
	case reflect.Uint64:
		return "!!int", "a whole number of 64 bits, not negative"
	default:
		return "!!str", "a text"
	}
}

// fieldsOf returns the types of the fields by their name in YAML.
func fieldsOf(want reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, want.NumField())
	for i, name := range fieldNames(want) {
		fields[name] = want.Field(i).Type
	}
	return fields
}

// fieldNames returns the names of the fields in YAML, in order of declaration.
func fieldNames(want reflect.Type) []string {
	names := make([]string, 0, want.NumField())
	for i := range want.NumField() {
		name, _, _ := strings.Cut(want.Field(i).Tag.Get("yaml"), ",")
		names = append(names, name)
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
