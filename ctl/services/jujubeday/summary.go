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

// ObservedVersion is the weight version that an instance had recorded for an engine when it started a run there.
type ObservedVersion struct {
	At      time.Time
	Engine  string
	Version float64
}

// Summary is the summary of the log lines that were read, which WritePage renders.
type Summary struct {
	First, Last time.Time
	Steps       []*Step
	Spans       []Span
	Versions    []ObservedVersion
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
func New() *Summary {
	return &Summary{steps: make(map[string]*Step), openRuns: make(map[runKey]Span)}
}

// Read adds the lines of an instance's log. name is the instance of the lines that don't name one.
func (s *Summary) Read(name string, input io.Reader) error {
	return jujubelines.Read(name, input, func(_ []byte, line jujubelines.Line) { s.addLine(line) })
}

func (s *Summary) addLine(line jujubelines.Line) {
	if line.Time.IsZero() {
		return
	}
	if s.First.IsZero() || line.Time.Before(s.First) {
		s.First = line.Time
	}
	if line.Time.After(s.Last) {
		s.Last = line.Time
	}
	switch line.Event {
	case jujubeevent.SubmissionRead:
		s.recordSubmission(line)
	case jujubeevent.ItemStarted:
		s.startRun(line)
	case jujubeevent.ItemEnded:
		s.endRun(line, line.Text("Outcome"))
	case jujubeevent.ItemStopped:
		s.endRun(line, "Stopped")
	case jujubeevent.SubmissionRefused, jujubeevent.RouteRefused:
		s.Refused = append(s.Refused, line.Time)
	case jujubeevent.InstanceStarted:
		s.Restarts = append(s.Restarts, line.Time)
	}
}

func (s *Summary) step(id string) *Step {
	if s.steps[id] == nil {
		s.steps[id] = &Step{ID: id}
	}
	return s.steps[id]
}

func (s *Summary) recordSubmission(line jujubelines.Line) {
	step := s.step(line.Text("Submission"))
	if step.Read.IsZero() || line.Time.Before(step.Read) {
		step.Read = line.Time
	}
	step.Model, step.Items = line.Text("Model"), int(line.Number("Items"))
}

func (s *Summary) startRun(line jujubelines.Line) {
	step := s.step(line.Text("Submission"))
	step.Runs++
	if step.FirstStart.IsZero() || line.Time.Before(step.FirstStart) {
		step.FirstStart = line.Time
	}
	engine := line.Text("Endpoint")
	s.openRuns[runKey{line.Instance, line.Number("Run")}] = Span{Engine: engine, Start: line.Time}
	s.Versions = append(s.Versions, ObservedVersion{line.Time, engine, line.Number("KnownVersion")})
}

func (s *Summary) endRun(line jujubelines.Line, outcome string) {
	key := runKey{line.Instance, line.Number("Run")}
	if span, ok := s.openRuns[key]; ok {
		delete(s.openRuns, key)
		span.End = line.Time
		s.Spans = append(s.Spans, span)
	}
	id := line.Text("Submission")
	if id == "" {
		return
	}
	step := s.step(id)
	if outcome != "Complete" {
		step.Broken++
	}
	if line.Time.After(step.LastEnd) {
		step.LastEnd = line.Time
	}
}

// CloseOpenRuns must be called after the last Read. It ends the runs that have no end in the logs, because their process
// ended, at the time of the last line, and sorts the steps by time.
func (s *Summary) CloseOpenRuns() {
	for _, span := range s.openRuns {
		span.End = s.Last
		s.Spans = append(s.Spans, span)
	}
	clear(s.openRuns)
	s.Steps = s.Steps[:0]
	for _, step := range s.steps {
		if !step.Read.IsZero() {
			s.Steps = append(s.Steps, step)
		}
	}
	slices.SortFunc(s.Steps, func(a, b *Step) int { return cmp.Or(a.Read.Compare(b.Read), cmp.Compare(a.ID, b.ID)) })
}
