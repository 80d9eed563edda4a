package jujubetrace

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// lengthField is the last element of a path that selects the length of a list or map.
const lengthField = "#"

// condition requires the field at a path to equal a value or to lie within bounds.
type condition struct {
	path     string
	fields   []string
	expected any
	// bounds is set if the expected value is an object with Min, Max or Not.
	bounds map[string]any
}

func newCondition(target reflect.Type, path string, value json.RawMessage) (condition, error) {
	c := condition{path: path, fields: strings.Split(path, "."), expected: decodeUntyped(value)}
	if err := checkPath(target, c.fields); err != nil {
		return c, errors.Wrap(err, path)
	}
	object, _ := c.expected.(map[string]any)
	for _, name := range []string{"Min", "Max", "Not"} {
		if _, ok := object[name]; ok {
			c.bounds = object
		}
	}
	for name := range c.bounds {
		if name != "Min" && name != "Max" && name != "Not" {
			return c, errors.Errorf("%s: unknown bound %q", path, name)
		}
	}
	return c, nil
}

// checkPath rejects a path with a field that the type doesn't have. Below an interface or raw JSON, any name is valid.
func checkPath(t reflect.Type, fields []string) error {
	for _, name := range fields {
		for t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
		switch {
		case t == reflect.TypeFor[json.RawMessage]() || t == reflect.TypeFor[[]byte]() || t.Kind() == reflect.Interface:
			return nil
		case name == lengthField && (t.Kind() == reflect.Slice || t.Kind() == reflect.Map):
			return nil
		case t.Kind() == reflect.Map:
			t = t.Elem()
		case t.Kind() == reflect.Slice:
			if _, err := strconv.Atoi(name); err != nil {
				return errors.Errorf("%q isn't an index", name)
			}
			t = t.Elem()
		case t.Kind() == reflect.Struct:
			field, ok := fieldType(t, name)
			if !ok {
				return errors.Errorf("unknown field %q", name)
			}
			t = field
		default:
			return errors.Errorf("%s has no field %q", t, name)
		}
	}
	return nil
}

// isMet reports whether an encoded value fulfils the condition.
func (c condition) isMet(tree any) bool {
	value := lookup(tree, c.fields)
	if c.bounds == nil {
		return equalValues(value, c.expected)
	}
	for name, bound := range c.bounds {
		order, comparable := compare(value, bound)
		switch name {
		case "Min":
			if !comparable || order < 0 {
				return false
			}
		case "Max":
			if !comparable || order > 0 {
				return false
			}
		case "Not":
			if equalValues(value, bound) {
				return false
			}
		}
	}
	return true
}

func lookup(tree any, fields []string) any {
	for _, name := range fields {
		switch node := tree.(type) {
		case map[string]any:
			if name == lengthField {
				return json.Number(strconv.Itoa(len(node)))
			}
			tree = node[name]
		case []any:
			if name == lengthField {
				return json.Number(strconv.Itoa(len(node)))
			}
			index, err := strconv.Atoi(name)
			if err != nil || index < 0 || index >= len(node) {
				return nil
			}
			tree = node[index]
		default:
			return nil
		}
	}
	return tree
}

func equalValues(a, b any) bool {
	first, isDuration := toDuration(a)
	second, ok := toDuration(b)
	if isDuration && ok {
		return first == second
	}
	left, _ := json.Marshal(a)
	right, _ := json.Marshal(b)
	return bytes.Equal(left, right)
}

// compare orders two durations or two numbers. comparable is false for other values.
func compare(a, b any) (order int, comparable bool) {
	first, isDuration := toDuration(a)
	second, ok := toDuration(b)
	if isDuration && ok {
		return cmp.Compare(first, second), true
	}
	left, isNumber := toNumber(a)
	right, ok := toNumber(b)
	return cmp.Compare(left, right), isNumber && ok
}

func toDuration(value any) (time.Duration, bool) {
	text, ok := value.(string)
	d, err := time.ParseDuration(text)
	return d, ok && err == nil
}

func toNumber(value any) (float64, bool) {
	number, ok := value.(json.Number)
	f, err := number.Float64()
	return f, ok && err == nil
}

// Result is the result of one expectation.
type Result struct {
	File string
	Line int
	// Text is the expectation as formatted for the report.
	Text string
	Held bool
	// Detail is when the expectation was first met, or why it wasn't.
	Detail string
}

// String formats the result as one line of the report.
func (r Result) String() string {
	verdict := "ok  "
	if !r.Held {
		verdict = "FAIL"
	}
	return fmt.Sprintf("%s %s:%d %s: %s", verdict, r.File, r.Line, r.Text, r.Detail)
}

// check counts the values that have matched an expectation so far.
type check struct {
	line       *Line
	matches    int
	firstMatch time.Duration
	// lastMismatch maps the path of the condition that failed last to the value found there.
	lastMismatch any
}

// describe formats the expectation for the report.
func (c *check) describe() string {
	l := c.line
	kind, until := "expect "+l.Expect, l.At.Std()+l.Within.Std()
	switch {
	case l.Never != "":
		kind, until = "never "+l.Never, l.Until.Std()
	case l.Status != nil:
		kind = "status"
	}
	text := fmt.Sprintf("%s to %s %s %s", l.At.Std(), until, l.Instance, kind)
	for _, cond := range l.conditions {
		text += " " + cond.path + "=" + string(l.Where[cond.path])
	}
	return text
}

// covers reports whether the expectation applies to an instance at an offset from Start.
func (c *check) covers(instance string, at time.Duration) bool {
	end := c.line.At.Std() + c.line.Within.Std()
	if c.line.Never != "" {
		end = c.line.Until.Std()
	}
	return at >= c.line.At.Std() && at <= end && (c.line.Instance == "" || string(c.line.Instance) == instance)
}

// observe compares an encoded value with the expectation and counts a match.
func (c *check) observe(at time.Duration, tree any) {
	for _, cond := range c.line.conditions {
		if !cond.isMet(tree) {
			c.lastMismatch = map[string]any{cond.path: lookup(tree, cond.fields)}
			return
		}
	}
	if c.matches == 0 {
		c.firstMatch = at
	}
	c.matches++
}

func (c *check) result(file string) Result {
	r := Result{File: file, Line: c.line.lineNumber, Text: c.describe(), Held: c.matches > 0}
	switch {
	case c.line.Never != "":
		r.Held = c.matches == 0
	case c.line.Count != nil && c.line.Status == nil:
		r.Held = c.matches == *c.line.Count
	}
	switch {
	case c.matches > 0 && c.line.Status != nil:
		r.Detail = "holds at " + c.firstMatch.String()
	case c.matches > 0:
		r.Detail = fmt.Sprintf("%d, first at %s", c.matches, c.firstMatch)
	case c.lastMismatch != nil:
		mismatch, _ := json.Marshal(c.lastMismatch)
		r.Detail = "none; the last one has " + string(mismatch)
	default:
		r.Detail = "none"
	}
	return r
}
