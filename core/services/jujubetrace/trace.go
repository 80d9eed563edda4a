// Package jujubetrace replays recorded traces on jujubecore.Core and checks stated outcomes. The same trace gives the same
// report, byte for byte. docs/traces.md describes the format.
package jujubetrace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubecore"
)

// Start is the moment that the offsets of a trace are counted from, 2026-01-01T00:00:00Z.
func Start() time.Time { return time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC) }

// Header is the first line of a trace.
type Header struct {
	Trace string
	Note  string
	// Ticks calls Tick on each instance every 50 ms.
	Ticks bool
	// Delay is the one-way time of a message between instances; 1 ms when absent.
	Delay model.Duration
	// Document is put in force on all instances at the start, as revision 1 at offset 0 of the configuration stream.
	Document  string
	Instances []Instance
}

// Instance describes one core.
type Instance struct {
	ID         model.InstanceID
	DataCentre model.DataCentre
	Seed       int64
	Policy     string
	// Incarnation is 1 when absent.
	Incarnation model.Incarnation
}

// Line is a line after the header. Exactly one of Event, Tick, Cut, Pause, Restart, Expect, Never and Status is set.
type Line struct {
	At       model.Duration
	Note     string
	Instance model.InstanceID

	Event string
	Data  json.RawMessage
	Tick  bool
	// Cut names two instances that can't reach each other until Until.
	Cut []model.InstanceID
	// Pause suspends the instance until Until; what reaches it meanwhile is applied then.
	Pause bool
	// Restart replaces the instance by an empty one with this incarnation.
	Restart model.Incarnation

	// Expect names an action type of which Count actions, or at least one, match Where from At to At+Within.
	Expect string
	Within model.Duration
	Count  *int
	// Never names an action type of which no action matches Where from At to Until.
	Never string
	Until model.Duration
	Where map[string]json.RawMessage
	// Status names fields of Core.Status that hold at some step from At to At+Within.
	Status map[string]json.RawMessage

	number int
	event  jujubecore.Event
	wanted []condition
}

// Trace is a parsed trace.
type Trace struct {
	File   string
	Header Header
	Lines  []*Line
}

// ErrTrace is a fault of a trace file.
type ErrTrace struct {
	File   string
	Line   int
	Reason string
}

// Error gives the place and the reason.
func (e ErrTrace) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason) }

// IsErrTrace returns the trace fault in an error's chain.
func IsErrTrace(err error) (ErrTrace, bool) {
	var fault ErrTrace
	ok := errors.As(err, &fault)
	return fault, ok
}

// Parse reads a trace. Unknown names and fields are refused with their line.
func Parse(file string, data []byte) (*Trace, error) {
	trace := &Trace{File: file}
	headed := false
	for i, text := range bytes.Split(data, []byte("\n")) {
		text = bytes.TrimSpace(text)
		if len(text) == 0 {
			continue
		}
		var err error
		if !headed {
			headed = true
			err = trace.readHeader(text)
		} else {
			err = trace.readLine(i+1, text)
		}
		if err != nil {
			return nil, errors.WithStack(ErrTrace{File: file, Line: i + 1, Reason: err.Error()})
		}
	}
	if !headed {
		return nil, errors.WithStack(ErrTrace{File: file, Line: 1, Reason: "no header"})
	}
	slices.SortStableFunc(trace.Lines, func(a, b *Line) int { return int(a.At - b.At) })
	return trace, nil
}

func (t *Trace) readHeader(text []byte) error {
	if err := decode(text, &t.Header); err != nil {
		return err
	}
	if len(t.Header.Instances) == 0 {
		return errors.New("the header names no instance")
	}
	seen := make(map[model.InstanceID]bool)
	for i := range t.Header.Instances {
		instance := &t.Header.Instances[i]
		if instance.ID == "" || seen[instance.ID] {
			return errors.Errorf("instance %q is empty or named twice", instance.ID)
		}
		seen[instance.ID] = true
		instance.Incarnation = max(instance.Incarnation, 1)
	}
	if t.Header.Delay <= 0 {
		t.Header.Delay = model.Duration(time.Millisecond)
	}
	return nil
}

func (t *Trace) readLine(number int, text []byte) error {
	line := &Line{number: number}
	if err := decode(text, line); err != nil {
		return err
	}
	kinds := 0
	for _, set := range []bool{
		line.Event != "", line.Tick, line.Cut != nil, line.Pause, line.Restart != 0,
		line.Expect != "", line.Never != "", line.Status != nil,
	} {
		if set {
			kinds++
		}
	}
	if kinds != 1 {
		return errors.Errorf("the line has %d of Event, Tick, Cut, Pause, Restart, Expect, Never and Status", kinds)
	}
	if line.At < 0 {
		return errors.Errorf("At is %s", line.At.Std())
	}
	for _, id := range append(slices.Clone(line.Cut), line.Instance) {
		known := slices.ContainsFunc(t.Header.Instances, func(i Instance) bool { return i.ID == id })
		if !known && (id != "" || len(line.Cut) == 0 && line.Expect == "" && line.Never == "") {
			return errors.Errorf("instance %q isn't in the header", id)
		}
	}
	if err := line.resolve(); err != nil {
		return err
	}
	t.Lines = append(t.Lines, line)
	return nil
}

// resolve decodes the event and checks the names of an expectation.
func (l *Line) resolve() (err error) {
	var target reflect.Type
	switch {
	case l.Event != "":
		l.event, err = DecodeEvent(l.Event, l.Data)
		return err
	case l.Cut != nil && len(l.Cut) != 2:
		return errors.New("Cut names two instances")
	case (l.Cut != nil || l.Pause || l.Never != "") && l.Until <= l.At:
		return errors.New("Until must be later than At")
	case l.Status != nil:
		target, l.Where = reflect.TypeFor[model.Status](), l.Status
	case l.Expect != "" || l.Never != "":
		var ok bool
		if target, ok = findType(actionTypes(), l.Expect+l.Never); !ok {
			return errors.Errorf("unknown action %q", l.Expect+l.Never)
		}
	}
	for _, path := range slices.Sorted(maps.Keys(l.Where)) {
		wanted, err := newCondition(target, path, l.Where[path])
		if err != nil {
			return err
		}
		l.wanted = append(l.wanted, wanted)
	}
	return nil
}

// Replay parses and runs a trace and prints each expectation with its outcome.
func Replay(file string, data []byte, output io.Writer) error {
	trace, err := Parse(file, data)
	if err != nil {
		return err
	}
	results, err := Run(trace)
	if err != nil {
		return err
	}
	failed := 0
	var report strings.Builder
	for _, result := range results {
		if !result.Held {
			failed++
		}
		report.WriteString(result.String() + "\n")
	}
	if _, err := io.WriteString(output, report.String()); err != nil {
		return errors.Wrap(err, "print")
	}
	if failed > 0 {
		return errors.WithStack(ErrFailed{File: file, Failed: failed, Total: len(results)})
	}
	return nil
}

// ErrFailed says that expectations of a trace don't hold.
type ErrFailed struct {
	File   string
	Failed int
	Total  int
}

// Error gives the counts.
func (e ErrFailed) Error() string {
	return fmt.Sprintf("%s: %d of %d expectations failed", e.File, e.Failed, e.Total)
}
