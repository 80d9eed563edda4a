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

// textVersions returns the weight versions that generated the text which the item's next run would continue.
func (it *item) textVersions() []model.WeightVersion {
	if it.progress != nil {
		return it.progress.Versions
	}
	return it.versions
}

// fitsEngine reports whether an engine may continue the item's text, or the item has none. If the whole text has to come from one
// weight version, the engine has to have that one.
func (it *item) fitsEngine(e *engine, singleVersion bool) bool {
	if !it.fitsText(e.SoftwareVersion) {
		return false
	}
	versions := it.textVersions()
	return !singleVersion || len(versions) == 0 || len(versions) == 1 && versions[0] == e.Versions[it.submission.Model]
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
	if !it.isModified() {
		return
	}
	it.events, it.versions, it.softwareVersion, it.loggedEvents = nil, nil, "", 0
	it.progress, it.textBlockedSince = nil, time.Time{}
}

// shouldDropText reports whether an item whose text no engine can continue now should start anew on another one, and why: at once
// if no engine remains that may continue it, else after the time in which the text can be generated again.
func (s *Scheduler) shouldDropText(now time.Time, item *item, service model.ServiceName, singleVersion bool, fleet fleetIntervals) (reason string, ok bool) {
	software, ok := item.textSoftware()
	switch {
	case !ok:
		return "", false
	case software == "":
		return "its software version is unknown", true
	case !s.servesText(service, item, singleVersion):
		return "no engine of its software and weight versions remains", true
	}
	if item.textBlockedSince.IsZero() {
		item.textBlockedSince = now
	}
	interval := fleet.goodBaseline
	if interval == 0 {
		interval = defaultEventInterval
	}
	return "no engine of its software and weight versions had room in time",
		now.Sub(item.textBlockedSince) >= min(maxTextWait, time.Duration(item.textLength())*interval)
}

// servesText reports whether an engine remains that could continue an item's text.
func (s *Scheduler) servesText(service model.ServiceName, item *item, singleVersion bool) bool {
	for _, e := range s.engines.All() {
		if e.Service == service && !e.Leaving && e.Versions[item.submission.Model] >= item.submission.MinVersion && item.fitsEngine(e, singleVersion) {
			return true
		}
	}
	return false
}
