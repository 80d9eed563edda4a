// Package jujubeyaml decodes YAML into structs and reports every problem with its line and column. The decoder of
// go-yaml stops at the first one, which makes an operator repeat the check once for each mistake.
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

// Problem is one mistake in a YAML text.
type Problem struct {
	Line   int
	Column int
	// Key is the path of the value, such as Trainers.pump.Share; empty for the whole text.
	Key    string
	Reason string
}

// Position is where a key stands.
type Position struct {
	Line   int
	Column int
}

// Positions maps the path of each key that the text holds to its place.
type Positions map[string]Position

// Find returns the place of a path or of its nearest ancestor in the text.
func (p Positions) Find(path string) Position {
	for {
		if position, ok := p[path]; ok {
			return position
		}
		at := strings.LastIndexByte(path, '.')
		if at < 0 {
			return Position{Line: 1, Column: 1}
		}
		path = path[:at]
	}
}

type decoder struct {
	positions Positions
	problems  []Problem
}

// Decode reads one YAML mapping into the struct that target points to. Keys are the names of the struct's fields; a
// field tagged `key:"required"` must be present. Fields without a key keep their value.
func Decode(data []byte, target any) (Positions, []Problem) {
	d := &decoder{positions: Positions{}}
	if problem, ok := checkNesting(data); !ok {
		return d.positions, []Problem{problem}
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		var located yaml.Error
		if errors.As(err, &located) && located.GetToken() != nil && located.GetToken().Position != nil {
			place := located.GetToken().Position
			return d.positions, []Problem{{Line: place.Line, Column: place.Column, Reason: located.GetMessage()}}
		}
		return d.positions, []Problem{{Line: 1, Column: 1, Reason: err.Error()}}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return d.positions, []Problem{{Line: 1, Column: 1, Reason: "must hold exactly one YAML document"}}
	}
	d.decode(file.Docs[0].Body, "", reflect.ValueOf(target).Elem())
	return d.positions, d.problems
}

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

// readEntries calls visit for each key of a mapping and records the keys' places.
func (d *decoder) readEntries(node ast.Node, path string, visit func(key ast.MapKeyNode, name, path string, value ast.Node)) bool {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		d.report(node, path, "must be a mapping")
		return false
	}
	for entries := mapping.MapRange(); entries.Next(); {
		key := entries.Key()
		if key.Type() != ast.StringType {
			d.report(key, path, "key %s must be plain text", key.String())
			continue
		}
		name := key.GetToken().Value
		child := joinPath(path, name)
		place := key.GetToken().Position
		d.positions[child] = Position{Line: place.Line, Column: place.Column}
		visit(key, name, child, entries.Value())
	}
	return true
}

func (d *decoder) decodeStruct(node ast.Node, path string, value reflect.Value) {
	ok := d.readEntries(node, path, func(key ast.MapKeyNode, name, child string, entry ast.Node) {
		field, ok := value.Type().FieldByName(name)
		if !ok || !field.IsExported() {
			d.report(key, child, "unknown key; known are %s", strings.Join(listFields(value.Type()), ", "))
			return
		}
		d.decode(entry, child, value.FieldByIndex(field.Index))
	})
	if !ok {
		return
	}
	for _, field := range reflect.VisibleFields(value.Type()) {
		child := joinPath(path, field.Name)
		if _, present := d.positions[child]; !present && field.Tag.Get("key") == "required" {
			place := d.positions.Find(path)
			d.problems = append(d.problems, Problem{Line: place.Line, Column: place.Column, Key: child, Reason: "is required"})
		}
	}
}

func (d *decoder) decodeMap(node ast.Node, path string, value reflect.Value) {
	rows := reflect.MakeMap(value.Type())
	d.readEntries(node, path, func(_ ast.MapKeyNode, name, child string, entry ast.Node) {
		row := reflect.New(value.Type().Elem()).Elem()
		d.decode(entry, child, row)
		rows.SetMapIndex(reflect.ValueOf(name).Convert(value.Type().Key()), row)
	})
	value.Set(rows)
}

func (d *decoder) decodeSlice(node ast.Node, path string, value reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.report(node, path, "must be a list")
		return
	}
	rows := reflect.MakeSlice(value.Type(), len(sequence.Values), len(sequence.Values))
	for i, entry := range sequence.Values {
		child := joinPath(path, strconv.Itoa(i))
		if token := entry.GetToken(); token != nil && token.Position != nil {
			d.positions[child] = Position{Line: token.Position.Line, Column: token.Position.Column}
		}
		d.decode(entry, child, rows.Index(i))
	}
	value.Set(rows)
}

func (d *decoder) decodeScalar(node ast.Node, path string, value reflect.Value) {
	scalar, ok := node.(ast.ScalarNode)
	if !ok {
		d.report(node, path, "must be a single value")
		return
	}
	text := scalar.GetToken().Value
	if literal, ok := node.(*ast.LiteralNode); ok {
		text = literal.Value.Value
	}
	if value.Kind() == reflect.String && node.Type() != ast.StringType && node.Type() != ast.LiteralType {
		if _, isText := value.Addr().Interface().(encoding.TextUnmarshaler); !isText {
			d.report(node, path, "must be text; quote %q if it is meant", text)
			return
		}
	}
	if err := SetText(value, text); err != nil {
		d.report(node, path, "%s", err)
	}
}

// SetText sets a scalar from its text: durations need a unit.
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
