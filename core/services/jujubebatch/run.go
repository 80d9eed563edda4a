package jujubebatch

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeplacement"
)

// RunID numbers the runs and scoring calls of one instance.
type RunID int64

// Action is one of StartRun, CancelRun, AppendEntry, OfferItems, ConfirmItems, StartScoring and TextDropped.
type Action interface{ isAction() }

// StartRun requests an item's events from an engine, beginning after event After.
type StartRun struct {
	Run    RunID
	Engine model.EndpointID
	// Incarnation is the engine's incarnation that this instance last read.
	Incarnation model.Incarnation
	Address     string
	Submission  SubmissionID
	// By is the instance that accepted the submission.
	By   model.InstanceID
	Item ItemID
	Host string
	Path string
	// Organisation is that of the submission. IsEnforced is true if the desired state has organisations.
	Organisation model.OrganisationName
	IsEnforced   bool
	// Content is where the rest of the request is stored, and InlineContent is the rest itself if another instance delegated
	// the item and sent it.
	Content       Place
	InlineContent Content
	// Progress is a checkpoint that has to be read from the log and passed to RestoreProgress; nil for none.
	Progress *Progress
	// After is the id of the last event that this instance has, 0 for none.
	After int
	// ExpectVersion makes the engine refuse the run unless it has this version; 0 for any.
	ExpectVersion model.WeightVersion
	// KnownVersion is the engine's version on which the decision was based.
	KnownVersion model.WeightVersion
	// SoftwareVersion is the engine's, and TextSoftware that of the text which the run continues; empty without a text.
	SoftwareVersion, TextSoftware model.SoftwareVersion
	// InFlight counts this instance's runs on the engine, Assigned the items assigned to it.
	InFlight int
	Assigned int
	// EventInterval is the engine's recent event interval, for the log line of the run's start.
	EventInterval time.Duration
	// PromptTokens is the number of the prompt's tokens, as far as the caller names its parts, and KeptTokens how many of them the
	// engine was assumed to keep.
	PromptTokens, KeptTokens int
	// ExpectedEvents is how many events the run is expected to emit, ExpectedFinish the time in which it is expected to end, and
	// Placement why it has this engine.
	ExpectedEvents int
	ExpectedFinish time.Duration
	Placement      jujubeplacement.Reason
}

// CancelRun closes the connection of a run or scoring call.
type CancelRun struct {
	Run    RunID
	Reason string
	// Move is why the run continues on another engine; empty if it doesn't.
	Move MoveReason
	// Silent is true if the engine has sent no event in time.
	Silent bool
}

// MoveReason is why a run continues on another engine.
type MoveReason string

// Reasons for a move.
const (
	// FasterEngine means that the run is expected to end much earlier on the other engine.
	FasterEngine MoveReason = "FasterEngine"
	// FreeSlot means that the run waits for a slot and the other engine has a free one.
	FreeSlot MoveReason = "FreeSlot"
	// SlowEngine and WeakerHardware are those without Settings.UnevenEngines.
	SlowEngine     MoveReason = "SlowEngine"
	WeakerHardware MoveReason = "WeakerHardware"
)

func newMove(r *run, reason MoveReason) CancelRun {
	texts := map[MoveReason]string{
		FasterEngine: "it is expected to end earlier on a faster engine", FreeSlot: "it waits for a slot, and another engine has one",
		SlowEngine: "the engine is slow", WeakerHardware: "a long run on weaker hardware",
	}
	return CancelRun{Run: r.id, Reason: texts[reason], Move: reason}
}

// AppendEntry requests an append to the submission's partition.
type AppendEntry struct {
	Submission SubmissionID
	Entry      Entry
}

func (StartRun) isAction()    {}
func (CancelRun) isAction()   {}
func (AppendEntry) isAction() {}

// EndKind is how a run ended.
type EndKind string

// Ways in which a run ends.
const (
	// RunComplete means that the stream was received to its end.
	RunComplete EndKind = "Complete"
	// RunRefused means that the engine hasn't run the request, as it is full or loads weights. The item is retried.
	RunRefused EndKind = "Refused"
	// RunMisdirected means that the address belongs to another endpoint.
	RunMisdirected EndKind = "Misdirected"
	// RunBroken means that the connection failed or the stream is malformed.
	RunBroken EndKind = "Broken"
	// RunFailed means that the engine responded with an internal error.
	RunFailed EndKind = "Failed"
	// RunUnsent means that nothing was sent to the engine.
	RunUnsent EndKind = "Unsent"
	// RunThrottled means that nothing was sent, because the engine's rate of requests is used up.
	RunThrottled EndKind = "Throttled"
	// RunRejected means that no engine can serve the request, so that the item is errored and not retried.
	RunRejected EndKind = "Rejected"
)

// run is one attempt to run an item on an engine.
type run struct {
	id     RunID
	item   *item
	engine model.EndpointID
	// softwareVersion is the engine's when the run started.
	softwareVersion model.SoftwareVersion
	// confirmableAt is from when on a read of the registry shows that the run is on the process that the engine's entry describes;
	// zero if that needn't be shown.
	confirmableAt time.Time
	startedAt     time.Time
	// lastEventAt is the time of the latest event, or of the start before the first one.
	lastEventAt time.Time
	// awaitsFirstEvent is true until the first event.
	awaitsFirstEvent bool
	cancelled        bool
	// isRepeatedFailure is true once the run has got an earlier run's internal error once more.
	isRepeatedFailure bool
}

// RestoreProgress adds the events of StartRun.Progress to a run that hasn't been sent yet. It returns the id of the last event
// that the run then has; ok is false if the run is over.
func (s *Scheduler) RestoreProgress(id RunID, events []string) (after int, ok bool) {
	r, ok := s.runs.Get(id)
	if !ok {
		return 0, false
	}
	item := r.item
	p := item.progress
	item.progress = nil
	switch {
	case p != nil && len(events) == p.Count && len(events) > len(item.events) && p.SoftwareVersion == r.softwareVersion:
		item.events, item.versions, item.loggedEvents = events, slices.Clone(p.Versions), len(events)
		item.softwareVersion = p.SoftwareVersion
	case !item.fitsText(r.softwareVersion):
		s.dropUnfitText(item, "the engine has another software version")
	}
	return len(item.events), true
}

// HandleRunAccepted handles an engine's acceptance of a run with a weight version. It returns false if the run has to be
// cancelled.
func (s *Scheduler) HandleRunAccepted(_ time.Time, id RunID, version model.WeightVersion) bool {
	r, ok := s.runs.Get(id)
	if !ok {
		return false
	}
	s.SetVersion(r.engine, r.item.submission.Model, version)
	r.item.confirmPrompt()
	return version >= r.item.submission.MinVersion
}

// HandleRunConnected records from when on a read of the registry shows which process a run is on.
func (s *Scheduler) HandleRunConnected(id RunID, confirmableAt time.Time) {
	if r, ok := s.runs.Get(id); ok {
		r.confirmableAt = confirmableAt
	}
}

// HandleRunFailure handles an engine's internal error, with the signature of the response. An engine may send a response twice; the second
// one is then taken for that to the item's next run on the connection.
func (s *Scheduler) HandleRunFailure(id RunID, signature string) {
	r, ok := s.runs.Get(id)
	if !ok || signature == "" {
		return
	}
	r.isRepeatedFailure = slices.Contains(r.item.failureSignatures, signature)
	r.item.failureSignatures = append(r.item.failureSignatures, signature)
}

// RestartText makes the item of a run start anew.
func (s *Scheduler) RestartText(id RunID, reason string) {
	if r, ok := s.runs.Get(id); ok {
		s.dropUnfitText(r.item, reason)
	}
}

// HandleRunEvent handles an event of a run. It returns false if the event is out of order or its version isn't allowed; the run
// then has to be cancelled.
func (s *Scheduler) HandleRunEvent(now time.Time, id RunID, number int, data string, version model.WeightVersion) bool {
	r, ok := s.runs.Get(id)
	if !ok {
		return false
	}
	item := r.item
	if number != len(item.events)+1 || version < item.submission.MinVersion {
		return false
	}
	if len(item.events) > 0 && item.softwareVersion != r.softwareVersion {
		return false
	}
	if len(item.versions) > 0 && !slices.Contains(item.versions, version) && s.requiresSingleVersion(item) {
		item.dropText()
		return false
	}
	e, ok := s.engines.Get(r.engine)
	if ok {
		s.observeEvent(now, r, e)
		e.lastEventAt, e.stalls = now, 0
		if !r.awaitsFirstEvent {
			e.intervals.observe(now, now.Sub(r.lastEventAt))
			s.isFleetMeasured = false
			if e.intervals.hasBaseline() {
				e.minSilenceLimit = 0
			}
		}
	}
	r.awaitsFirstEvent, r.lastEventAt, item.hasEmptyEnd = false, now, false
	if len(item.events) == 0 {
		item.softwareVersion = r.softwareVersion
	}
	item.events = append(item.events, data)
	if !slices.Contains(item.versions, version) {
		item.versions = append(item.versions, version)
	}
	return true
}

// requiresSingleVersion reports whether an item's whole text has to come from one weight version.
func (s *Scheduler) requiresSingleVersion(item *item) bool {
	route, ok := s.matchRoute(item)
	return ok && route.SingleVersion
}

// HandleRunEnd handles the end of a run that this instance didn't cancel.
func (s *Scheduler) HandleRunEnd(now time.Time, id RunID, kind EndKind) {
	r, ok := s.runs.Get(id)
	if !ok {
		return
	}
	s.removeRun(r)
	item := r.item
	if item.hasResult || item.resultQueued {
		return
	}
	if kind != RunComplete {
		s.dropUnconfirmedText(r)
	}
	item.notBefore = now.Add(s.settings.RetryDelay)
	if kind == RunComplete && r.awaitsFirstEvent {
		if len(item.events) > 0 && !item.hasEmptyEnd {
			// The text is complete, or the engine gave up. A second run, on another engine if one is free, decides.
			item.hasEmptyEnd = true
			s.avoidEngine(now, r, s.settings.FailureBackoff/4)
			return
		}
		if len(item.events) == 0 {
			kind = RunBroken
		}
	}
	switch kind {
	case RunComplete:
		if len(item.versions) > 1 && s.requiresSingleVersion(item) {
			s.dropUnfitText(item, "its route has come to require a single weight version")
			return
		}
		s.prompts.estimator.ObserveRun(item.ExpectedTokens, len(item.events))
		s.completeText(now, item)
	case RunRejected:
		s.queueResult(item, Errored)
	case RunFailed:
		if r.isRepeatedFailure {
			item.repeatedFailures++
		} else {
			item.failures++
		}
		if route, ok := s.matchRoute(item); ok && s.mayGiveUp(now, item, route) {
			s.queueResult(item, Errored)
		}
	case RunUnsent:
		item.notBefore = now.Add(unsentRetryDelay)
	case RunThrottled:
		item.notBefore = now
	case RunRefused:
		s.MarkLoading(r.engine, item.submission.Model, now.Add(s.settings.LoadingBackoff))
	case RunMisdirected:
		s.avoidEngine(now, r, s.settings.FailureBackoff)
	case RunBroken:
		if r.awaitsFirstEvent {
			item.earlyBreaks++
			item.notBefore = now.Add(s.earlyBreakDelay(item.earlyBreaks))
			s.avoidEngine(now, r, s.settings.FailureBackoff)
		} else {
			item.earlyBreaks = 0
			s.avoidEngine(now, r, s.settings.FailureBackoff/4)
		}
	}
}

// unsentRetryDelay is the delay before an item is started again whose run wasn't sent: its content couldn't be read, or what its start rested
// on has changed or is too old.
const unsentRetryDelay = 200 * time.Millisecond

// maxEarlyBreakDelay limits the delay of an item whose runs break off before their first event, again and again. The cause is
// the engines, not the item: a longer delay would hold back an accepted item that crashed engines happened to run.
const maxEarlyBreakDelay = 500 * time.Millisecond

// earlyBreakDelay returns the delay after a number of such runs on end. It doubles from RetryDelay on.
func (s *Scheduler) earlyBreakDelay(breaks int) time.Duration {
	return min(s.settings.RetryDelay<<min(breaks-1, maxRetryDoublings), maxEarlyBreakDelay)
}
