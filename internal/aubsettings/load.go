package aubsettings

import (
	"encoding"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/samber/oops"
	"go.yaml.in/yaml/v3"
)

// Load reads and checks a settings file. Faults of the file are returned as a
// *FaultsError that lists all of them.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, oops.In("settings").Wrapf(err, "read settings file %s", file)
	}
	return Parse(file, data)
}

// Parse decodes and checks the text of a settings file on top of the defaults; file is
// the name used in errors.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return s, &FaultsError{File: file, Faults: []Fault{{Line: 1, Path: "file", Message: err.Error()}}}
	}
	d := decoder{nodes: map[string]*yaml.Node{}}
	if len(doc.Content) > 0 {
		d.decode(doc.Content[0], reflect.ValueOf(&s).Elem(), "", "")
	}
	d.requireValues(reflect.ValueOf(s), "")
	d.checkCombinations(s)
	if len(d.faults) > 0 {
		return s, &FaultsError{File: file, Faults: d.faults}
	}
	return s, nil
}

// decoder fills a settings struct from a YAML document by reflection and collects the
// faults.
type decoder struct {
	faults []Fault
	// nodes holds the YAML node of every setting in the file, by path.
	nodes map[string]*yaml.Node
}

// decode decodes a node into v. allowed is the tag of the same name.
func (d *decoder) decode(n *yaml.Node, v reflect.Value, path, allowed string) {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	d.nodes[path] = n
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, path)
	case reflect.Slice:
		d.decodeSlice(n, v, path)
	case reflect.Map:
		d.decodeMap(n, v, path)
	default:
		d.decodeScalar(n, v, path, allowed)
	}
}

func (d *decoder) decodeText(n *yaml.Node, u encoding.TextUnmarshaler, path string) {
	if n.Kind != yaml.ScalarNode {
		d.addFault(n, path, "allowed: a single value")
		return
	}
	if err := u.UnmarshalText([]byte(n.Value)); err != nil {
		d.addFault(n, path, err.Error())
	}
}

func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.addFault(n, path, "allowed: a group of settings")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		field, ok := fieldByName(v.Type(), key.Value)
		fieldPath := joinPath(path, key.Value)
		switch {
		case !ok:
			d.addFault(key, fieldPath, "unknown setting; allowed: "+strings.Join(fieldNames(v.Type()), ", "))
		case seen[key.Value]:
			d.addFault(key, fieldPath, "the setting stands twice")
		default:
			seen[key.Value] = true
			d.decode(n.Content[i+1], v.FieldByIndex(field.Index), fieldPath, field.Tag.Get("allowed"))
		}
	}
}

func (d *decoder) decodeSlice(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		d.addFault(n, path, "allowed: a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		d.decode(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i), "")
	}
	v.Set(list)
}

// decodeMap decodes a group whose keys are texts of the file's choice.
func (d *decoder) decodeMap(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.addFault(n, path, "allowed: names with values")
		return
	}
	entries := reflect.MakeMap(v.Type())
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		entryPath := joinPath(path, key.Value)
		if entries.MapIndex(reflect.ValueOf(key.Value)).IsValid() {
			d.addFault(key, entryPath, "the setting stands twice")
			continue
		}
		value := reflect.New(v.Type().Elem()).Elem()
		d.decode(n.Content[i+1], value, entryPath, "")
		entries.SetMapIndex(reflect.ValueOf(key.Value), value)
	}
	v.Set(entries)
}

func (d *decoder) decodeScalar(n *yaml.Node, v reflect.Value, path, allowed string) {
	if n.Kind != yaml.ScalarNode {
		d.addFault(n, path, "allowed: a single value")
		return
	}
	if allowed != "" && !slices.Contains(strings.Fields(allowed), n.Value) {
		d.addFault(n, path, "allowed: "+strings.Join(strings.Fields(allowed), ", "))
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		d.addFault(n, path, "allowed: "+typeName(v.Type()))
		return
	}
	if v.CanInt() && v.Int() < 0 || v.CanFloat() && v.Float() < 0 {
		d.addFault(n, path, "allowed: 0 or more")
	}
}

// requireValues adds a fault for every required setting that is empty. It does not
// look into lists.
func (d *decoder) requireValues(v reflect.Value, path string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		fieldPath := joinPath(path, field.Tag.Get("yaml"))
		if field.Tag.Get("required") == "true" && v.Field(i).IsZero() {
			d.addFaultAt(fieldPath, "the setting is required")
		}
		if v.Field(i).Kind() == reflect.Struct {
			d.requireValues(v.Field(i), fieldPath)
		}
	}
}

func (d *decoder) addFault(n *yaml.Node, path, message string) {
	d.faults = append(d.faults, Fault{Line: n.Line, Path: path, Value: n.Value, Message: message})
}

// fieldByName returns the field of a struct whose yaml tag is the name.
func fieldByName(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("yaml") == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("yaml"))
	}
	return names
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a text"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
