// Package jujubetrace replays recorded traces against jujubecore.Core and checks the expectations in them. Replays are
// deterministic: the same trace results in the same report, byte for byte. docs/traces.md describes the format.
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

// Start is the time that the offsets of a trace are relative to, 2026-01-01T00:00:00Z.
func Start() time.Time { return time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC) }

// Header is the first line of a trace. It configures the replay.
type Header struct {
	Trace string
	Note  string
	// Ticks calls Core.Tick on each instance every 50 ms.
	Ticks bool
	// Delay is the one-way latency of a message between instances; 1 ms if absent.
	Delay model.Duration
	// Document is in force on all instances from the start, as revision 1 at offset 0 of the configuration stream.
	Document  string
	Instances []Instance
}

// Instance configures one core of the replay.
type Instance struct {
	ID         model.InstanceID
	DataCentre model.DataCentre
	Seed       int64
	Policy     string
	// Incarnation defaults to 1.
	Incarnation model.Incarnation
}

// Line is one line after the header: an input or an expectation. Exactly one of Event, Tick, Cut, Pause, Restart, Expect,
// Never and Status is set.
type Line struct {
	At       model.Duration
	Note     string
	Instance model.InstanceID

	Event string
	Data  json.RawMessage
	Tick  bool
	// Cut names two instances that can't reach each other before Until.
	Cut []model.InstanceID
	// Pause suspends the instance until Until; the events that it receives in that time are applied then.
	Pause bool
	// Restart replaces the instance by an empty one with this incarnation.
	Restart model.Incarnation

	// Expect names an action type. From At to At+Within, Count actions of this type must match Where, or at least one if
	// Count is absent.
	Expect string
	Within model.Duration
	Count  *int
	// Never names an action type. From At to Until, no action of this type may match Where.
	Never string
	Until model.Duration
	Where map[string]json.RawMessage
	// Status maps fields of Core.Status to expected values. All of them must match at the same time, at least once from At to
	// At+Within.
	Status map[string]json.RawMessage

	lineNumber int
	event      jujubecore.Event
	conditions []condition
}

// Trace is a parsed trace.
type Trace struct {
	File   string
	Header Header
	Lines  []*Line
}

// ErrTrace is an error in a trace file.
type ErrTrace struct {
	File   string
	Line   int
	Reason string
}

// Error returns the file, the line and the reason.
func (e ErrTrace) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason) }

// IsErrTrace returns the ErrTrace in the chain of an error, and whether there is one.
func IsErrTrace(err error) (ErrTrace, bool) {
	var traceErr ErrTrace
	ok := errors.As(err, &traceErr)
	return traceErr, ok
}

// Parse parses a trace. It rejects unknown names and fields with an ErrTrace that contains the line.
func Parse(file string, data []byte) (*Trace, error) {
	trace := &Trace{File: file}
	hasHeader := false
	for i, text := range bytes.Split(data, []byte("\n")) {
		text = bytes.TrimSpace(text)
		if len(text) == 0 {
			continue
		}
		var err error
		if !hasHeader {
			hasHeader = true
			err = trace.readHeader(text)
		} else {
			err = trace.readLine(i+1, text)
		}
		if err != nil {
			return nil, errors.WithStack(ErrTrace{File: file, Line: i + 1, Reason: err.Error()})
		}
	}
	if !hasHeader {
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
		return errors.New("the header has no instances")
	}
	ids := make(map[model.InstanceID]bool)
	for i := range t.Header.Instances {
		instance := &t.Header.Instances[i]
		if instance.ID == "" || ids[instance.ID] {
			return errors.Errorf("instance ID %q is empty or used twice", instance.ID)
		}
		ids[instance.ID] = true
		instance.Incarnation = max(instance.Incarnation, 1)
	}
	if t.Header.Delay <= 0 {
		t.Header.Delay = model.Duration(time.Millisecond)
	}
	return nil
}

func (t *Trace) readLine(number int, text []byte) error {
	line := &Line{lineNumber: number}
	if err := decode(text, line); err != nil {
		return err
	}
	kinds := 0
	for _, isSet := range []bool{
		line.Event != "", line.Tick, line.Cut != nil, line.Pause, line.Restart != 0,
		line.Expect != "", line.Never != "", line.Status != nil,
	} {
		if isSet {
			kinds++
		}
	}
	if kinds != 1 {
		return errors.Errorf("the line has %d of Event, Tick, Cut, Pause, Restart, Expect, Never and Status", kinds)
	}
	if line.At < 0 {
		return errors.Errorf("At is negative: %s", line.At.Std())
	}
	for _, id := range append(slices.Clone(line.Cut), line.Instance) {
		isListed := slices.ContainsFunc(t.Header.Instances, func(i Instance) bool { return i.ID == id })
		if !isListed && (id != "" || len(line.Cut) == 0 && line.Expect == "" && line.Never == "") {
			return errors.Errorf("instance %q isn't in the header", id)
		}
	}
	if err := line.prepare(); err != nil {
		return err
	}
	t.Lines = append(t.Lines, line)
	return nil
}

// prepare decodes the event of a line, or checks the names of an expectation and parses its conditions.
func (l *Line) prepare() (err error) {
	var target reflect.Type
	switch {
	case l.Event != "":
		l.event, err = DecodeEvent(l.Event, l.Data)
		return err
	case l.Cut != nil && len(l.Cut) != 2:
		return errors.New("Cut must name two instances")
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
		cond, err := newCondition(target, path, l.Where[path])
		if err != nil {
			return err
		}
		l.conditions = append(l.conditions, cond)
	}
	return nil
}

// Replay parses and runs a trace and prints each expectation with its result. It returns ErrExpectationsFailed if one doesn't
// hold.
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
		return errors.WithStack(ErrExpectationsFailed{File: file, Failed: failed, Total: len(results)})
	}
	return nil
}

// ErrExpectationsFailed is returned when expectations of a trace don't hold.
type ErrExpectationsFailed struct {
	File   string
	Failed int
	Total  int
}

// Error returns the file and the numbers of failed and of all expectations.
func (e ErrExpectationsFailed) Error() string {
	return fmt.Sprintf("%s: %d of %d expectations failed", e.File, e.Failed, e.Total)
}
