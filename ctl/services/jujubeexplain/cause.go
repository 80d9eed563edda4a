package jujubeexplain

import (
	"fmt"
	"time"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/ctl/services/jujubelines"
)

const (
	// slowStart is the delay between a submission's acceptance and the first item's start above which no engine was
	// available: planning and delegation take about 10 ms.
	slowStart = 100 * time.Millisecond
	// slowRun is the duration above which a run is too slow for a step with the usual deadline of 7.5 s.
	slowRun = 6500 * time.Millisecond
	// slowScoring is the duration above which a scoring call delays its step by more than a trainer's polling interval,
	// which is half a second.
	slowScoring = time.Second
	// maxRestartTime is the longest time between the last line about an id and a start of its instance that explains why no
	// further line follows: a process is restarted within two seconds of its end and reads the log in one second.
	maxRestartTime = 3 * time.Second
	// maxListDelay is the longest time between the last line about an id and the start of an outage of the store that still
	// delayed the listing of its result.
	maxListDelay = 10 * time.Second
)

// addCause appends a cause, prefixed with the time and the instance of the line that shows it.
func (s *Explanation) addCause(line jujubelines.Line, format string, values ...any) {
	s.Causes = append(s.Causes, fmt.Sprintf("%s %s: ", line.Time.Format("15:04:05.000"), line.Instance)+fmt.Sprintf(format, values...))
}

// findCauses adds a cause for each line that shows a failure or a delay. It follows the steps of docs/OPERATIONS.md.
func (s *Explanation) findCauses() {
	var accepted time.Time
	isStarted := false
	for _, line := range s.Lines {
		field := func(name string) any { return line.Fields[name] }
		switch line.Event {
		case jujubeevent.SubmissionAccepted, jujubeevent.SubmissionRead:
			if accepted.IsZero() {
				accepted = line.Time
			}
		case jujubeevent.SubmissionRefused:
			s.addCause(line, "the submission was refused: %v", field("Error"))
		case jujubeevent.ItemStarted:
			if !isStarted && !accepted.IsZero() && line.Time.Sub(accepted) > slowStart {
				s.addCause(line, "the first item started %v after the submission: no engine had the weights, or all engines were full",
					line.Time.Sub(accepted).Round(time.Millisecond))
			}
			isStarted = true
		case jujubeevent.ItemEnded:
			duration, err := time.ParseDuration(fmt.Sprint(field("Took")))
			switch outcome := field("Outcome"); {
			case outcome != "Complete":
				s.addCause(line, "run %v of item %v at %v ended as %v: %v", field("Run"), field("Item"), field("Endpoint"), outcome, field("Error"))
			case err == nil && duration > slowRun:
				s.addCause(line, "run %v of item %v at %v took %v", field("Run"), field("Item"), field("Endpoint"), duration.Round(time.Millisecond))
			}
		case jujubeevent.ItemStopped:
			s.addCause(line, "run %v was stopped: %v", field("Run"), field("Reason"))
		case jujubeevent.ItemScored:
			duration, err := time.ParseDuration(fmt.Sprint(field("Took")))
			switch {
			case field("Score") == "":
				s.addCause(line, "scoring call %v of item %v returned no score after %v attempts, %v of them failed by the servers: %v",
					field("Request"), field("Item"), field("Tries"), field("Failures"), field("Error"))
			case err == nil && duration > slowScoring:
				s.addCause(line, "scoring call %v of item %v took %v", field("Request"), field("Item"), duration.Round(time.Millisecond))
			}
		case jujubeevent.ProgressLost:
			s.addCause(line, "item %v restarted from the beginning, its progress could not be read: %v", field("Item"), field("Error"))
		case jujubeevent.RequestFailed:
			s.addCause(line, "an attempt at %v failed: %v", field("Endpoint"), field("Error"))
		case jujubeevent.RouteRefused:
			s.addCause(line, "the request was refused after %v attempts: %v", field("Tries"), field("Error"))
		case jujubeevent.EndpointGone:
			s.addCause(line, "the endpoint's entry was removed")
		case jujubeevent.InstanceStopped:
			s.addCause(line, "the instance stopped: %v", field("Reason"))
		}
	}
}

// addBackgroundCauses adds causes from lines that don't name the id: restarts of the instance of the last line while work
// was in flight on it, and the longest outage of the store that results had to wait for.
func (s *Explanation) addBackgroundCauses(background []jujubelines.Line) {
	first, last := s.Lines[0], s.Lines[len(s.Lines)-1]
	isOpen := last.Event == jujubeevent.RouteDispatched || last.Event == jujubeevent.ItemStarted
	isStored := s.Kind == Submission || s.Kind == Item
	var storeAvailable jujubelines.Line
	var longest time.Duration
	for _, line := range background {
		sinceLast := line.Time.Sub(last.Time)
		if isOpen && line.Event == jujubeevent.InstanceStarted && line.Instance == last.Instance && sinceLast > 0 && sinceLast < maxRestartTime {
			s.addCause(line, "the instance restarted %v after its last line about this id; work in flight on it was lost",
				sinceLast.Round(time.Millisecond))
		}
		outage, err := time.ParseDuration(fmt.Sprint(line.Fields["Away"]))
		if isStored && line.Event == jujubeevent.StoreAvailable && err == nil && outage > longest &&
			line.Time.After(first.Time) && line.Time.Add(-outage).Before(last.Time.Add(maxListDelay)) {
			longest, storeAvailable = outage, line
		}
	}
	if longest > 0 {
		s.addCause(storeAvailable, "the store had been unavailable for %v; nothing is accepted or listed during an outage",
			longest.Round(time.Millisecond))
	}
}
