// Package jujubeyaml decodes YAML into structs and reports every problem with its line and column. The decoder of go-yaml
// stops at the first problem, so that an operator would have to repeat the check after each correction.
package jujubeyaml

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// Problem is one error in a YAML text.
type Problem struct {
	Line   int
	Column int
	// Key is the path of the value, such as Trainers.pump.Share, or empty for the text as a whole.
	Key    string
	Reason string
}

// Position is the position of a key in the text.
type Position struct {
	Line   int
	Column int
}

// Positions maps the path of each key in the text to its position.
type Positions map[string]Position

// Find returns the position of a path, or of its nearest ancestor in the text.
func (p Positions) Find(path string) Position {
	for {
		if position, ok := p[path]; ok {
			return position
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return Position{Line: 1, Column: 1}
		}
		path = path[:dot]
	}
}

type decoder struct {
	positions Positions
	problems  []Problem
}

// Decode decodes one YAML mapping into the struct that target points to. Keys are the names of the struct's fields. A field
// with the tag `key:"required"` must be present; other fields without a key keep their value.
func Decode(data []byte, target any) (Positions, []Problem) {
	d := &decoder{positions: Positions{}}
	if problem, ok := checkNesting(data); !ok {
		return d.positions, []Problem{problem}
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		var yamlErr yaml.Error
		if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil && yamlErr.GetToken().Position != nil {
			position := yamlErr.GetToken().Position
			return d.positions, []Problem{{Line: position.Line, Column: position.Column, Reason: yamlErr.GetMessage()}}
		}
		return d.positions, []Problem{{Line: 1, Column: 1, Reason: err.Error()}}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return d.positions, []Problem{{Line: 1, Column: 1, Reason: "must hold exactly one YAML document"}}
	}
	d.decode(file.Docs[0].Body, "", reflect.ValueOf(target).Elem())
	return d.positions, d.problems
}

// report adds a problem at the position of a node.
func (d *decoder) report(node ast.Node, path, format string, args ...any) {
	problem := Problem{Line: 1, Column: 1, Key: path, Reason: fmt.Sprintf(format, args...)}
	if token := node.GetToken(); token != nil && token.Position != nil {
		problem.Line, problem.Column = token.Position.Line, token.Position.Column
	}
	d.problems = append(d.problems, problem)
}

func (d *decoder) decode(node ast.Node, path string, value reflect.Value) {
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType, ast.TagType:
		d.report(node, path, "anchors, aliases, merge keys and tags are not allowed")
		return
	case ast.NullType:
		d.report(node, path, "has no value")
		return
	}
	_, isText := value.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case !isText && value.Kind() == reflect.Struct:
		d.decodeStruct(node, path, value)
	case value.Kind() == reflect.Map:
		d.decodeMap(node, path, value)
	case value.Kind() == reflect.Slice:
		d.decodeSlice(node, path, value)
	default:
		d.decodeScalar(node, path, value)
	}
}

// walkMapping records the position of each key of a mapping and calls visit for it. It reports whether node is a mapping.
func (d *decoder) walkMapping(node ast.Node, path string, visit func(key ast.MapKeyNode, name, path string, value ast.Node)) bool {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		d.report(node, path, "must be a mapping")
		return false
	}
	for entries := mapping.MapRange(); entries.Next(); {
		key := entries.Key()
		if key.Type() != ast.StringType {
			d.report(key, path, "key %s must be a string", key.String())
			continue
		}
		name := key.GetToken().Value
		childPath := joinPath(path, name)
		position := key.GetToken().Position
		d.positions[childPath] = Position{Line: position.Line, Column: position.Column}
		visit(key, name, childPath, entries.Value())
	}
	return true
}

func (d *decoder) decodeStruct(node ast.Node, path string, value reflect.Value) {
	ok := d.walkMapping(node, path, func(key ast.MapKeyNode, name, childPath string, child ast.Node) {
		field, ok := value.Type().FieldByName(name)
		if !ok || !field.IsExported() {
			d.report(key, childPath, "unknown key; known are %s", strings.Join(listFields(value.Type()), ", "))
			return
		}
		d.decode(child, childPath, value.FieldByIndex(field.Index))
	})
	if !ok {
		return
	}
	for _, field := range reflect.VisibleFields(value.Type()) {
		childPath := joinPath(path, field.Name)
		if _, isPresent := d.positions[childPath]; !isPresent && field.Tag.Get("key") == "required" {
			parent := d.positions.Find(path)
			d.problems = append(d.problems, Problem{Line: parent.Line, Column: parent.Column, Key: childPath, Reason: "is required"})
		}
	}
}

func (d *decoder) decodeMap(node ast.Node, path string, value reflect.Value) {
	entries := reflect.MakeMap(value.Type())
	d.walkMapping(node, path, func(_ ast.MapKeyNode, name, childPath string, child ast.Node) {
		entry := reflect.New(value.Type().Elem()).Elem()
		d.decode(child, childPath, entry)
		entries.SetMapIndex(reflect.ValueOf(name).Convert(value.Type().Key()), entry)
	})
	value.Set(entries)
}

func (d *decoder) decodeSlice(node ast.Node, path string, value reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.report(node, path, "must be a list")
		return
	}
	elements := reflect.MakeSlice(value.Type(), len(sequence.Values), len(sequence.Values))
	for i, child := range sequence.Values {
		childPath := joinPath(path, strconv.Itoa(i))
		if token := child.GetToken(); token != nil && token.Position != nil {
			d.positions[childPath] = Position{Line: token.Position.Line, Column: token.Position.Column}
		}
		d.decode(child, childPath, elements.Index(i))
	}
	value.Set(elements)
}

func (d *decoder) decodeScalar(node ast.Node, path string, value reflect.Value) {
	scalar, ok := node.(ast.ScalarNode)
	if !ok {
		d.report(node, path, "must be a scalar")
		return
	}
	text := scalar.GetToken().Value
	if literal, ok := node.(*ast.LiteralNode); ok {
		text = literal.Value.Value
	}
	if value.Kind() == reflect.String && node.Type() != ast.StringType && node.Type() != ast.LiteralType {
		if _, isText := value.Addr().Interface().(encoding.TextUnmarshaler); !isText {
			d.report(node, path, "must be a string; quote %q to use it as text", text)
			return
		}
	}
	if err := SetText(value, text); err != nil {
		d.report(node, path, "%s", err)
	}
}

// SetText parses a scalar from its text. A duration needs a unit.
func SetText(value reflect.Value, text string) error {
	if target, ok := value.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return errors.Wrapf(target.UnmarshalText([]byte(text)), "%q", text)
	}
	if value.Type() == reflect.TypeFor[time.Duration]() {
		duration, err := time.ParseDuration(text)
		if err != nil {
			return errors.Errorf("%q must be a duration with a unit, such as 30s", text)
		}
		value.SetInt(int64(duration))
		return nil
	}
	switch value.Kind() {
	case reflect.String:
		value.SetString(text)
	case reflect.Bool:
		parsed, err := strconv.ParseBool(text)
		if err != nil {
			return errors.Errorf("%q must be true or false", text)
		}
		value.SetBool(parsed)
	case reflect.Int, reflect.Int64:
		parsed, err := strconv.ParseInt(text, 10, value.Type().Bits())
		if err != nil {
			return errors.Errorf("%q must be a whole number without a unit", text)
		}
		value.SetInt(parsed)
	case reflect.Float64:
		parsed, err := strconv.ParseFloat(text, 64)
		if err != nil || parsed != parsed || parsed > 1e18 || parsed < -1e18 {
			return errors.Errorf("%q must be a number without a unit", text)
		}
		value.SetFloat(parsed)
	default:
		return errors.Errorf("values of type %s are not supported", value.Type())
	}
	return nil
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func listFields(structure reflect.Type) []string {
	var names []string
	for _, field := range reflect.VisibleFields(structure) {
		if field.IsExported() {
			names = append(names, field.Name)
		}
	}
	slices.Sort(names)
	return names
}
