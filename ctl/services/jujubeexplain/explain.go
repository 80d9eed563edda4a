// Package jujubeexplain collects the log lines about a request, an item, a submission, an endpoint or an instance and
// derives the causes of failures and delays from them.
package jujubeexplain

import (
	"bytes"
	"fmt"
	"io"
	"slices"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/ctl/services/jujubelines"
)

// Kind is the type of object that an id identifies.
type Kind string

// Kinds of ids. Each value is the name of the log field that holds such an id.
const (
	Request    Kind = "Request"
	Submission Kind = "Submission"
	Item       Kind = "Item"
	Endpoint   Kind = "Endpoint"
	Instance   Kind = "Instance"
)

var kinds = []Kind{Request, Submission, Item, Endpoint, Instance}

// Explanation holds the log lines about an id and the causes that were derived from them.
type Explanation struct {
	ID    string
	Kind  Kind
	Lines []jujubelines.Line
	// Causes holds a text for each line that explains a failure or a delay: those from lines about the id in the order of
	// time, then those from other lines.
	Causes []string
}

// ErrUnknownID is returned for an id that occurs in no log line.
type ErrUnknownID struct {
	ID string
	// Lines is the number of lines that were read.
	Lines int
}

// Error names the id and the number of lines that were searched.
func (e ErrUnknownID) Error() string {
	return fmt.Sprintf("none of %d log lines contains the id %s", e.Lines, e.ID)
}

// Reader collects the lines about an id from several logs.
type Reader struct {
	id    string
	lines []jujubelines.Line
	// background holds the lines about starts of instances and about the store becoming available again. They don't name
	// the id but explain interruptions and delays.
	background []jujubelines.Line
	// itemRuns holds the runs of the item, by instance and run number, because some lines about a run name only its number.
	itemRuns  map[string]bool
	kind      Kind
	lineCount int
}

// NewReader returns a reader that collects the lines about an id.
func NewReader(id string) *Reader { return &Reader{id: id, itemRuns: map[string]bool{}} }

// Read adds the lines of a log. name is the instance of the lines that don't name one.
func (r *Reader) Read(name string, input io.Reader) error {
	return jujubelines.Read(name, input, func(text []byte, line jujubelines.Line) {
		r.lineCount++
		containsID := bytes.Contains(text, []byte(`"`+r.id+`"`)) && r.hasID(line)
		switch {
		case containsID || r.itemRuns[runKey(line)]:
			r.lines = append(r.lines, line)
		case line.Event == jujubeevent.InstanceStarted || line.Event == jujubeevent.StoreAvailable:
			r.background = append(r.background, line)
		}
	})
}

// hasID reports whether one of the line's fields holds the id. The first match sets the kind of the id, and the run of a
// line about an item is added to itemRuns.
func (r *Reader) hasID(line jujubelines.Line) bool {
	for _, kind := range kinds {
		if line.Fields[string(kind)] != r.id {
			continue
		}
		if r.kind == "" {
			r.kind = kind
		}
		if key := runKey(line); key != "" && kind == Item {
			r.itemRuns[key] = true
		}
		return true
	}
	return false
}

// runKey identifies a run across instances, which number their runs independently. It is empty for a line without a run.
func runKey(line jujubelines.Line) string {
	run, ok := line.Fields["Run"]
	if !ok {
		return ""
	}
	return fmt.Sprint(line.Instance, " ", run)
}

// Explain returns the collected lines in the order of time with their causes, or ErrUnknownID if there are none.
func (r *Reader) Explain() (*Explanation, error) {
	if len(r.lines) == 0 {
		return nil, ErrUnknownID{r.id, r.lineCount}
	}
	slices.SortStableFunc(r.lines, func(a, b jujubelines.Line) int { return a.Time.Compare(b.Time) })
	explanation := &Explanation{ID: r.id, Kind: r.kind, Lines: r.lines}
	explanation.findCauses()
	explanation.addBackgroundCauses(r.background)
	return explanation, nil
}
