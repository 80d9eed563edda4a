// Package jujubeday summarises the logs of instances over a time range and renders the summary as an HTML page: how long
// steps waited, what was refused, how many runs each engine had in flight, and which weight versions the engines had.
package jujubeday

import (
	"cmp"
	"io"
	"slices"
	"time"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/ctl/services/jujubelines"
)

// Step holds the timing and the runs of a submission.
type Step struct {
	ID    string
	Model string
	Items int
	// Read is the time at which the first instance read the submission. FirstStart and LastEnd are the first start and the
	// last end of its items' runs, zero without runs.
	Read, FirstStart, LastEnd time.Time
	// Runs counts the runs that were started, Broken those that ended with another outcome than Complete.
	Runs, Broken int
}

// Span is the time from start to end of a run on an engine.
type Span struct {
	Engine     string
	Start, End time.Time
}

// VersionSeen is the weight version that an instance had recorded for an engine when it started a run there.
type VersionSeen struct {
	At      time.Time
	Engine  string
	Version float64
}

// Day is the summary of the log lines that were read, which WritePage renders.
type Day struct {
	First, Last time.Time
	Steps       []*Step
	Spans       []Span
	Versions    []VersionSeen
	// Refused holds the times of refused submissions and refused plain requests, Restarts the times at which instances
	// started.
	Refused, Restarts []time.Time

	steps map[string]*Step
	// openRuns holds the runs without an end so far, by instance and run number.
	openRuns map[runKey]Span
}

type runKey struct {
	instance string
	run      float64
}

// New returns an empty summary.
func New() *Day {
	return &Day{steps: make(map[string]*Step), openRuns: make(map[runKey]Span)}
}

// Read adds the lines of an instance's log. name is the instance of the lines that don't name one.
func (d *Day) Read(name string, input io.Reader) error {
	return jujubelines.Read(name, input, func(_ []byte, line jujubelines.Line) { d.addLine(line) })
}

func (d *Day) addLine(line jujubelines.Line) {
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
		d.recordSubmission(line)
	case jujubeevent.ItemStarted:
		d.startRun(line)
	case jujubeevent.ItemEnded:
		d.endRun(line, line.Text("Outcome"))
	case jujubeevent.ItemStopped:
		d.endRun(line, "Stopped")
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

func (d *Day) recordSubmission(line jujubelines.Line) {
	step := d.step(line.Text("Submission"))
	if step.Read.IsZero() || line.Time.Before(step.Read) {
		step.Read = line.Time
	}
	step.Model, step.Items = line.Text("Model"), int(line.Number("Items"))
}

func (d *Day) startRun(line jujubelines.Line) {
	step := d.step(line.Text("Submission"))
	step.Runs++
	if step.FirstStart.IsZero() || line.Time.Before(step.FirstStart) {
		step.FirstStart = line.Time
	}
	engine := line.Text("Endpoint")
	d.openRuns[runKey{line.Instance, line.Number("Run")}] = Span{Engine: engine, Start: line.Time}
	d.Versions = append(d.Versions, VersionSeen{line.Time, engine, line.Number("KnownVersion")})
}

func (d *Day) endRun(line jujubelines.Line, outcome string) {
	key := runKey{line.Instance, line.Number("Run")}
	if span, ok := d.openRuns[key]; ok {
		delete(d.openRuns, key)
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

// Close must be called after the last Read. It ends the runs that have no end in the logs, because their process
// ended, at the time of the last line, and sorts the steps by time.
func (d *Day) Close() {
	for _, span := range d.openRuns {
		span.End = d.Last
		d.Spans = append(d.Spans, span)
	}
	clear(d.openRuns)
	d.Steps = d.Steps[:0]
	for _, step := range d.steps {
		if !step.Read.IsZero() {
			d.Steps = append(d.Steps, step)
		}
	}
	slices.SortFunc(d.Steps, func(a, b *Step) int { return cmp.Or(a.Read.Compare(b.Read), cmp.Compare(a.ID, b.ID)) })
}
