package jujubebatch

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Engines of several software versions may serve at the same time. They don't check which one began a text, so a text is
// continued only by engines of the version that is known to have begun it; otherwise its item starts anew.

const (
	// maxTextWait bounds how long an item waits for an engine of its text's software version while others have room.
	maxTextWait = time.Second
	// defaultEventInterval is used until the intervals of the engines are known.
	defaultEventInterval = 50 * time.Millisecond
)

// textSoftware returns the software version of the text that the item's next run would continue, which is that of the
// checkpoint if there is one; ok is false without a text.
func (it *item) textSoftware() (version model.SoftwareVersion, ok bool) {
	if it.progress != nil {
		return it.progress.SoftwareVersion, true
	}
	return it.softwareVersion, len(it.events) > 0
}

// textLength returns the number of events of the text that the item's next run would continue.
func (it *item) textLength() int {
	if it.progress != nil {
		return it.progress.Count
	}
	return len(it.events)
}

// fitsText reports whether an engine of a software version may continue the item's text, or the item has none.
func (it *item) fitsText(version model.SoftwareVersion) bool {
	text, ok := it.textSoftware()
	return !ok || text == version && version != ""
}

// TextDropped reports that an item starts anew, because no engine may continue its text.
type TextDropped struct {
	Submission SubmissionID
	Item       ItemID
	// Events is the length of the text, and SoftwareVersion is what generated it; empty if that is unknown.
	Events          int
	SoftwareVersion model.SoftwareVersion
	Reason          string
}

func (TextDropped) isAction() {}

// dropUnfitText drops the text of an item, if it has one, and reports it.
func (s *Scheduler) dropUnfitText(item *item, reason string) {
	if software, ok := item.textSoftware(); ok {
		s.actions = append(s.actions, TextDropped{item.submission.ID, item.ID, item.textLength(), software, reason})
	}
	item.dropText()
}

// SetRegistryRead records that all entries of engines up to a time have been observed.
func (s *Scheduler) SetRegistryRead(at time.Time) { s.registryReadAt = at }

// isConfirmed reports whether a run is known to be on a process of its software version. The engine may have started again, and
// registered with another version, before the run's connection was opened; when that has been read, the run ends.
func (s *Scheduler) isConfirmed(r *run) bool { return !r.confirmableAt.After(s.registryReadAt) }

// dropUnconfirmedText drops the text of an item whose run has ended, if it isn't known which software version generated its events.
func (s *Scheduler) dropUnconfirmedText(r *run) {
	if !r.awaitsFirstEvent && !s.isConfirmed(r) {
		s.dropUnfitText(r.item, "its software version isn't confirmed")
	}
}

// dropText makes the item start anew.
func (it *item) dropText() {
	it.events, it.versions, it.softwareVersion, it.loggedEvents = nil, nil, "", 0
	it.progress, it.textBlockedSince = nil, time.Time{}
}

// shouldDropText reports whether an item whose text no engine can continue now should start anew on another one, and why: at once
// if no engine of the text's software version remains, else after the time in which the text can be generated again.
func (s *Scheduler) shouldDropText(now time.Time, item *item, service model.ServiceName, fleet fleetIntervals) (reason string, ok bool) {
	software, ok := item.textSoftware()
	switch {
	case !ok:
		return "", false
	case software == "":
		return "its software version is unknown", true
	case !s.servesSoftware(service, software, item.submission):
		return "no engine of its software version remains", true
	}
	if item.textBlockedSince.IsZero() {
		item.textBlockedSince = now
	}
	interval := fleet.goodBaseline
	if interval == 0 {
		interval = defaultEventInterval
	}
	return "no engine of its software version had room in time",
		now.Sub(item.textBlockedSince) >= min(maxTextWait, time.Duration(item.textLength())*interval)
}

// servesSoftware reports whether an engine of a software version remains that could run items of the submission.
func (s *Scheduler) servesSoftware(service model.ServiceName, version model.SoftwareVersion, submission *submission) bool {
	for _, e := range s.engines.All() {
		if e.Service == service && !e.Leaving && e.SoftwareVersion == version &&
			e.Versions[submission.Model] >= submission.MinVersion {
			return true
		}
	}
	return false
}
