package jujubeexplain

import (
	"fmt"
	"time"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/ctl/services/jujubelines"
)

const (
	// slowStart is the time from a submission's acceptance to an item's start beyond which engines were missing: planning and
	// lending take some 10 ms.
	slowStart = 100 * time.Millisecond
	// slowRun is a run that a step with the usual limit of 7.5 s can't wait for.
	slowRun = 6500 * time.Millisecond
	// slowScoring is a scoring call that costs its step more than a trainer's reading twice a second does.
	slowScoring = time.Second
	// restartTime is how long after the last line about an id its instance's start may explain why there is no other: a
	// process is started again within two seconds of its end, and reads the log in one.
	restartTime = 3 * time.Second
	// listTime is how long before the store's return a result may wait for it, beside the time that the store was away.
	listTime = 10 * time.Second
)

func (s *Story) add(line jujubelines.Line, format string, values ...any) {
	s.Causes = append(s.Causes, fmt.Sprintf("%s %s: ", line.Time.Format("15:04:05.000"), line.Instance)+fmt.Sprintf(format, values...))
}

// explain goes through the lines as docs/OPERATIONS.md does.
func (s *Story) explain() {
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
			s.add(line, "the submission was refused: %v", field("Error"))
		case jujubeevent.ItemStarted:
			if !isStarted && !accepted.IsZero() && line.Time.Sub(accepted) > slowStart {
				s.add(line, "the first item started %v after the submission: no engine had the weights, or all were full",
					line.Time.Sub(accepted).Round(time.Millisecond))
			}
			isStarted = true
		case jujubeevent.ItemEnded:
			took, err := time.ParseDuration(fmt.Sprint(field("Took")))
			switch outcome := field("Outcome"); {
			case outcome != "Complete":
				s.add(line, "run %v of item %v at %v ended as %v: %v", field("Run"), field("Item"), field("Endpoint"), outcome, field("Error"))
			case err == nil && took > slowRun:
				s.add(line, "run %v of item %v at %v took %v", field("Run"), field("Item"), field("Endpoint"), took.Round(time.Millisecond))
			}
		case jujubeevent.ItemStopped:
			s.add(line, "run %v was given up: %v", field("Run"), field("Reason"))
		case jujubeevent.ItemScored:
			took, err := time.ParseDuration(fmt.Sprint(field("Took")))
			switch {
			case field("Score") == "":
				s.add(line, "scoring call %v of item %v brought no score after %v tries, %v of them failed by the servers: %v",
					field("Request"), field("Item"), field("Tries"), field("Failures"), field("Error"))
			case err == nil && took > slowScoring:
				s.add(line, "scoring call %v of item %v took %v", field("Request"), field("Item"), took.Round(time.Millisecond))
			}
		case jujubeevent.ProgressLost:
			s.add(line, "item %v began again, its written part couldn't be read: %v", field("Item"), field("Error"))
		case jujubeevent.RequestFailed:
			s.add(line, "a try at %v failed: %v", field("Endpoint"), field("Error"))
		case jujubeevent.RouteRefused:
			s.add(line, "the caller was refused after %v tries: %v", field("Tries"), field("Error"))
		case jujubeevent.EndpointGone:
			s.add(line, "the endpoint's entry had gone")
		case jujubeevent.InstanceStopped:
			s.add(line, "the instance stopped: %v", field("Reason"))
		}
	}
}

// explainBackground adds that the instance of the last line started again with the work in flight, and that results
// waited for the store.
func (s *Story) explainBackground(background []jujubelines.Line) {
	first, last := s.Lines[0], s.Lines[len(s.Lines)-1]
	isOpen := last.Event == jujubeevent.RouteDispatched || last.Event == jujubeevent.ItemStarted
	isStored := s.Kind == Submission || s.Kind == Item
	var back jujubelines.Line
	var longest time.Duration
	for _, line := range background {
		since := line.Time.Sub(last.Time)
		if isOpen && line.Event == jujubeevent.InstanceStarted && line.Instance == last.Instance && since > 0 && since < restartTime {
			s.add(line, "the instance restarted %v after its last line about this; work in flight on it was lost", since.Round(time.Millisecond))
		}
		away, err := time.ParseDuration(fmt.Sprint(line.Fields["Away"]))
		if isStored && line.Event == jujubeevent.StoreAvailable && err == nil && away > longest &&
			line.Time.After(first.Time) && line.Time.Add(-away).Before(last.Time.Add(listTime)) {
			longest, back = away, line
		}
	}
	if longest > 0 {
		s.add(back, "the store had been unavailable for %v; nothing is accepted or listed meanwhile", longest.Round(time.Millisecond))
	}
}
