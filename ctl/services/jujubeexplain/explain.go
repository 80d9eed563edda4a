// Package jujubeexplain finds what the instances' logs say of a request, an item, a submission or an endpoint.
package jujubeexplain

import (
	"bytes"
	"fmt"
	"io"
	"slices"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/ctl/services/jujubelines"
)

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
	Lines []jujubelines.Line
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
	lines []jujubelines.Line
	// background are starts of instances and returns of the store, which name no id but explain what others do.
	background []jujubelines.Line
	// runs are the item's runs, by instance and number, whose later lines name only the run.
	runs map[string]bool
	kind Kind
	read int
}

// NewReader returns a reader without lines.
func NewReader(id string) *Reader { return &Reader{id: id, runs: map[string]bool{}} }

// Read takes a log.
func (r *Reader) Read(name string, input io.Reader) error {
	return jujubelines.Read(name, input, func(text []byte, line jujubelines.Line) {
		r.read++
		isNamed := bytes.Contains(text, []byte(`"`+r.id+`"`)) && r.names(line)
		switch {
		case isNamed || r.runs[runKey(line)]:
			r.lines = append(r.lines, line)
		case line.Event == jujubeevent.InstanceStarted || line.Event == jujubeevent.StoreAvailable:
			r.background = append(r.background, line)
		}
	})
}

// names tells whether a line has the id in one of its fields, and remembers the line's run.
func (r *Reader) names(line jujubelines.Line) bool {
	for _, kind := range kinds {
		if line.Fields[string(kind)] != r.id {
			continue
		}
		if r.kind == "" {
			r.kind = kind
		}
		if key := runKey(line); key != "" && kind == Item {
			r.runs[key] = true
		}
		return true
	}
	return false
}

func runKey(line jujubelines.Line) string {
	run, ok := line.Fields["Run"]
	if !ok {
		return ""
	}
	return fmt.Sprint(line.Instance, " ", run)
}

// Story returns the lines in the order of time and what explains them.
func (r *Reader) Story() (*Story, error) {
	if len(r.lines) == 0 {
		return nil, ErrUnknownID{r.id, r.read}
	}
	slices.SortStableFunc(r.lines, func(a, b jujubelines.Line) int { return a.Time.Compare(b.Time) })
	story := &Story{ID: r.id, Kind: r.kind, Lines: r.lines}
	story.explain()
	story.explainBackground(r.background)
	return story, nil
}
