// Package jujubeexplain finds what the instances' logs say of a request, an item, a submission or an endpoint.
package jujubeexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jujubepier.example/core/modules/jujubeevent"
)

// maxLine bounds a log line; the longest are those of member changes, with a state for each instance.
const maxLine = 1 << 20

// Line is a log line that concerns the id.
type Line struct {
	Time time.Time
	// Instance is what the collector put before the line, or else the file's name.
	Instance string
	Event    jujubeevent.Number
	Name     string
	// Fields are the others, without those above.
	Fields map[string]any
}

// Kind tells what an id names.
type Kind string

// Kinds of ids, by the field that they stand in.
const (
	Request    Kind = "Request"
	Submission Kind = "Submission"
	Item       Kind = "Item"
	Endpoint   Kind = "Endpoint"
	Instance   Kind = "Instance"
)

var kinds = []Kind{Request, Submission, Item, Endpoint, Instance}

// Story is what the logs say of an id.
type Story struct {
	ID    string
	Kind  Kind
	Lines []Line
	// Causes are what explains a failure or a delay, in the order of time.
	Causes []string
}

// ErrUnknownID is an id that no line names.
type ErrUnknownID struct {
	ID string
	// Lines is how many lines were read.
	Lines int
}

// Error names the id.
func (e ErrUnknownID) Error() string {
	return fmt.Sprintf("no line of %d names %s", e.Lines, e.ID)
}

// Reader gathers the lines that name an id from several logs.
type Reader struct {
	id    string
	lines []Line
	// background are starts of instances and returns of the store, which name no id but explain what others do.
	background []Line
	// runs are the item's runs, by instance and number, whose later lines name only the run.
	runs map[string]bool
	kind Kind
	read int
}

// NewReader returns a reader without lines.
func NewReader(id string) *Reader { return &Reader{id: id, runs: map[string]bool{}} }

// Read takes a log. Lines that aren't JSON, such as the last one of a process that was killed, are passed over.
func (r *Reader) Read(name string, input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		r.read++
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		isBackground := bytes.Contains(text, []byte(`"msg":"InstanceStarted"`)) || bytes.Contains(text, []byte(`"msg":"StoreAvailable"`))
		isNamed := bytes.Contains(text, []byte(`"`+r.id+`"`))
		if !isNamed && !isBackground && len(r.runs) == 0 {
			continue
		}
		line, ok := decodeLine(text[start:])
		if !ok {
			continue
		}
		line.Instance = name
		if words := strings.Fields(string(text[:start])); len(words) > 0 {
			line.Instance = words[len(words)-1]
		}
		if isNamed && r.names(line) || r.runs[line.runKey()] {
			r.lines = append(r.lines, line)
		} else if isBackground {
			r.background = append(r.background, line)
		}
	}
	return errors.Wrapf(scanner.Err(), "read %s", name)
}

// names tells whether a line has the id in one of its fields, and remembers the line's run.
func (r *Reader) names(line Line) bool {
	for _, kind := range kinds {
		if line.Fields[string(kind)] != r.id {
			continue
		}
		if r.kind == "" {
			r.kind = kind
		}
		if key := line.runKey(); key != "" && kind == Item {
			r.runs[key] = true
		}
		return true
	}
	return false
}

func (l Line) runKey() string {
	run, ok := l.Fields["Run"]
	if !ok {
		return ""
	}
	return fmt.Sprint(l.Instance, " ", run)
}

func decodeLine(text []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false
	}
	var line Line
	number, _ := fields["Event"].(float64)
	line.Event = jujubeevent.Number(number)
	line.Name, _ = fields["msg"].(string)
	at, _ := fields["time"].(string)
	line.Time, _ = time.Parse(time.RFC3339Nano, at) // a line without a time sorts first
	for _, key := range []string{"Event", "msg", "time", "level"} {
		delete(fields, key)
	}
	line.Fields = fields
	return line, line.Event != 0
}

// Story returns the lines in the order of time and what explains them.
func (r *Reader) Story() (*Story, error) {
	if len(r.lines) == 0 {
		return nil, ErrUnknownID{r.id, r.read}
	}
	slices.SortStableFunc(r.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	story := &Story{ID: r.id, Kind: r.kind, Lines: r.lines}
	story.explain()
	story.explainBackground(r.background)
	return story, nil
}
