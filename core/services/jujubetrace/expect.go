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

// countField is the last part of a path that stands for the length of a list or map.
const countField = "#"

// condition is a field that must have a value, or lie within bounds.
type condition struct {
	path   string
	fields []string
	equal  any
	// bounds is set for an object with Min, Max or Not.
	bounds map[string]any
}

func newCondition(target reflect.Type, path string, wanted json.RawMessage) (condition, error) {
	c := condition{path: path, fields: strings.Split(path, "."), equal: decodeAny(wanted)}
	if err := checkPath(target, c.fields); err != nil {
		return c, errors.Wrap(err, path)
	}
	object, _ := c.equal.(map[string]any)
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

// checkPath refuses the name of a field that the type doesn't have. Below an interface any name is taken.
func checkPath(t reflect.Type, fields []string) error {
	for _, name := range fields {
		for t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
		switch {
		case t == reflect.TypeFor[json.RawMessage]() || t == reflect.TypeFor[[]byte]() || t.Kind() == reflect.Interface:
			return nil
		case name == countField && (t.Kind() == reflect.Slice || t.Kind() == reflect.Map):
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

// isMet tells whether an encoded value meets the condition.
func (c condition) isMet(tree any) bool {
	value := lookUp(tree, c.fields)
	if c.bounds == nil {
		return sameValue(value, c.equal)
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
			if sameValue(value, bound) {
				return false
			}
		}
	}
	return true
}

func lookUp(tree any, fields []string) any {
	for _, name := range fields {
		switch node := tree.(type) {
		case map[string]any:
			if name == countField {
				return json.Number(strconv.Itoa(len(node)))
			}
			tree = node[name]
		case []any:
			if name == countField {
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

func sameValue(a, b any) bool {
	first, isDuration := toDuration(a)
	second, areBoth := toDuration(b)
	if isDuration && areBoth {
		return first == second
	}
	left, _ := json.Marshal(a)
	right, _ := json.Marshal(b)
	return bytes.Equal(left, right)
}

// compare orders two durations or two numbers.
func compare(a, b any) (order int, comparable bool) {
	first, isDuration := toDuration(a)
	second, areBoth := toDuration(b)
	if isDuration && areBoth {
		return cmp.Compare(first, second), true
	}
	left, isNumber := toNumber(a)
	right, areBoth := toNumber(b)
	return cmp.Compare(left, right), isNumber && areBoth
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

// Result is the outcome of one expectation.
type Result struct {
	File string
	Line int
	Text string
	Held bool
	// Detail tells when the expectation was met, or why it wasn't.
	Detail string
}

// String gives one line of the report.
func (r Result) String() string {
	word := "ok  "
	if !r.Held {
		word = "FAIL"
	}
	return fmt.Sprintf("%s %s:%d %s: %s", word, r.File, r.Line, r.Text, r.Detail)
}

// check collects what an expectation has seen so far.
type check struct {
	line  *Line
	count int
	first time.Duration
	// near holds the latest value that was compared and didn't match.
	near any
}

// describe gives the expectation in the report's words.
func (c *check) describe() string {
	l := c.line
	word, until := "expect "+l.Expect, l.At.Std()+l.Within.Std()
	switch {
	case l.Never != "":
		word, until = "never "+l.Never, l.Until.Std()
	case l.Status != nil:
		word = "status"
	}
	text := fmt.Sprintf("%s to %s %s %s", l.At.Std(), until, l.Instance, word)
	for _, wanted := range l.wanted {
		text += " " + wanted.path + "=" + string(l.Where[wanted.path])
	}
	return text
}

// covers tells whether the expectation applies to an instance at an offset.
func (c *check) covers(instance string, at time.Duration) bool {
	end := c.line.At.Std() + c.line.Within.Std()
	if c.line.Never != "" {
		end = c.line.Until.Std()
	}
	return at >= c.line.At.Std() && at <= end && (c.line.Instance == "" || string(c.line.Instance) == instance)
}

// see compares a value with the expectation.
func (c *check) see(at time.Duration, tree any) {
	for _, wanted := range c.line.wanted {
		if !wanted.isMet(tree) {
			c.near = map[string]any{wanted.path: lookUp(tree, wanted.fields)}
			return
		}
	}
	if c.count == 0 {
		c.first = at
	}
	c.count++
}

func (c *check) result(file string) Result {
	r := Result{File: file, Line: c.line.number, Text: c.describe(), Held: c.count > 0}
	switch {
	case c.line.Never != "":
		r.Held = c.count == 0
	case c.line.Count != nil && c.line.Status == nil:
		r.Held = c.count == *c.line.Count
	}
	switch {
	case c.count > 0 && c.line.Status != nil:
		r.Detail = "holds at " + c.first.String()
	case c.count > 0:
		r.Detail = fmt.Sprintf("%d, first at %s", c.count, c.first)
	case c.near != nil:
		near, _ := json.Marshal(c.near)
		r.Detail = "none; the last one has " + string(near)
	default:
		r.Detail = "none"
	}
	return r
}
