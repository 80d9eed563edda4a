// Package jujubeusage counts the requests of each organisation by time windows, and combines the counts of all instances to one
// report for each window.
package jujubeusage

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Window is the number of a time window: window k begins k times its length after the start of 1970, in true time.
type Window int64

// Counts holds the number of requests of each organisation that has any.
type Counts map[model.OrganisationName]int64

// Sum returns the number of all requests.
func (c Counts) Sum() int64 {
	sum := int64(0)
	for _, count := range c {
		sum += count
	}
	return sum
}

// add adds other counts.
func (c Counts) add(other Counts) {
	for organisation, count := range other {
		c[organisation] += count
	}
}

// raise raises each count to that of other counts.
func (c Counts) raise(other Counts) {
	for organisation, count := range other {
		c[organisation] = max(c[organisation], count)
	}
}

// WindowCounts holds the counts of one window.
type WindowCounts struct {
	Window Window
	Counts Counts
}

// Settings are the periods of the reports.
type Settings struct {
	// Length is that of a window.
	Length time.Duration
	// Late is the time after a window's end at which its report is due.
	Late time.Duration
}

const (
	// fixAfter is the time after a window's end at which its report is fixed although an instance hasn't declared the window final.
	// With the default settings it leaves 4 s of the 10 s until the report is due.
	fixAfter = 6 * time.Second
	// sendFor is how long after it was due a report is still sent.
	sendFor = 60 * time.Second
	// retention is how long windows are kept after their end. It is far longer than reports are sent, because the instances' views
	// of the true time differ.
	retention = 10 * time.Minute
)

// windowOf returns the window of a time.
func (s Settings) windowOf(at time.Time) Window {
	number := at.UnixNano() / int64(s.Length)
	if at.UnixNano()%int64(s.Length) < 0 {
		number--
	}
	return Window(number)
}

// end returns the end of a window.
func (s Settings) end(w Window) time.Time { return time.Unix(0, (int64(w)+1)*int64(s.Length)) }

// sendUntil returns until when the report of a window is sent.
func (s Settings) sendUntil(w Window) time.Time { return s.end(w).Add(s.Late + sendFor) }

// firstSendable returns the first window whose report may still be sent.
func (s Settings) firstSendable(now time.Time) Window { return s.windowOf(now.Add(-s.Late - sendFor)) }

// oldest returns the oldest window that is kept.
func (s Settings) oldest(now time.Time) Window { return s.windowOf(now.Add(-s.Late - retention)) }

// newSet returns the instances as a set.
func newSet(ids []model.InstanceID) map[model.InstanceID]bool {
	set := make(map[model.InstanceID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}
