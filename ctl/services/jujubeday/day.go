// Package jujubeday draws what the instances' logs say of a time: how long steps waited, what was refused, how full the
// engines were, and which weight versions they had.
package jujubeday

import (
	"cmp"
	"io"
	"slices"
	"time"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/ctl/services/jujubelines"
)

// Step is what became of a submission.
type Step struct {
	ID    string
	Model string
	Items int
	// Read is when the first instance read it; FirstStart and LastEnd are those of its items' runs, zero for none.
	Read, FirstStart, LastEnd time.Time
	// Runs counts the runs that were started, Broken those that ended otherwise than complete.
	Runs, Broken int
}

// Span is a run's time on an engine.
type Span struct {
	Engine     string
	Start, End time.Time
}

// VersionSeen is a weight version that an engine was known to have when a run was started.
type VersionSeen struct {
	At      time.Time
	Engine  string
	Version float64
}

// Day is what a page shows.
type Day struct {
	First, Last time.Time
	Steps       []*Step
	Spans       []Span
	Versions    []VersionSeen
	// Refused are the times of refused submissions and plain requests, Restarts those of instances' starts.
	Refused, Restarts []time.Time

	steps map[string]*Step
	// runs are those that haven't ended, by instance and number.
	runs map[runKey]Span
}

type runKey struct {
	instance string
	run      float64
}

// New returns a day without lines.
func New() *Day {
	return &Day{steps: make(map[string]*Step), runs: make(map[runKey]Span)}
}

// Read takes an instance's log.
func (d *Day) Read(name string, input io.Reader) error {
	return jujubelines.Read(name, input, func(_ []byte, line jujubelines.Line) { d.take(line) })
}

func (d *Day) take(line jujubelines.Line) {
	if line.Time.IsZero() {
		return
	}
	if d.First.IsZero() || line.Time.Before(d.First) {
		d.First = line.Time
	}
	if line.Time.After(d.Last) {
		d.Last = line.Time
	}
	switch line.Event {
	case jujubeevent.SubmissionRead:
		d.read(line)
	case jujubeevent.ItemStarted:
		d.start(line)
	case jujubeevent.ItemEnded:
		d.end(line, line.Text("Outcome"))
	case jujubeevent.ItemStopped:
		d.end(line, "Stopped")
	case jujubeevent.SubmissionRefused, jujubeevent.RouteRefused:
		d.Refused = append(d.Refused, line.Time)
	case jujubeevent.InstanceStarted:
		d.Restarts = append(d.Restarts, line.Time)
	}
}

func (d *Day) step(id string) *Step {
	if d.steps[id] == nil {
		d.steps[id] = &Step{ID: id}
	}
	return d.steps[id]
}

func (d *Day) read(line jujubelines.Line) {
	step := d.step(line.Text("Submission"))
	if step.Read.IsZero() || line.Time.Before(step.Read) {
		step.Read = line.Time
	}
	step.Model, step.Items = line.Text("Model"), int(line.Number("Items"))
}

func (d *Day) start(line jujubelines.Line) {
	step := d.step(line.Text("Submission"))
	step.Runs++
	if step.FirstStart.IsZero() || line.Time.Before(step.FirstStart) {
		step.FirstStart = line.Time
	}
	engine := line.Text("Endpoint")
	d.runs[runKey{line.Instance, line.Number("Run")}] = Span{Engine: engine, Start: line.Time}
	d.Versions = append(d.Versions, VersionSeen{line.Time, engine, line.Number("KnownVersion")})
}

func (d *Day) end(line jujubelines.Line, outcome string) {
	key := runKey{line.Instance, line.Number("Run")}
	if span, ok := d.runs[key]; ok {
		delete(d.runs, key)
		span.End = line.Time
		d.Spans = append(d.Spans, span)
	}
	id := line.Text("Submission")
	if id == "" {
		return
	}
	step := d.step(id)
	if outcome != "Complete" {
		step.Broken++
	}
	if line.Time.After(step.LastEnd) {
		step.LastEnd = line.Time
	}
}

// Close ends what the logs don't end and puts the steps in the order of time. Runs without an end count up to the last
// line, as their process ended.
func (d *Day) Close() {
	for _, span := range d.runs {
		span.End = d.Last
		d.Spans = append(d.Spans, span)
	}
	clear(d.runs)
	d.Steps = d.Steps[:0]
	for _, step := range d.steps {
		if !step.Read.IsZero() {
			d.Steps = append(d.Steps, step)
		}
	}
	slices.SortFunc(d.Steps, func(a, b *Step) int { return cmp.Or(a.Read.Compare(b.Read), cmp.Compare(a.ID, b.ID)) })
}
