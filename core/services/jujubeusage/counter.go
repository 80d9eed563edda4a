package jujubeusage

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/modules/jujubeclock"
)

// maxNoteCounts bounds the counts of a note, so that a heartbeat stays below the store's limit for a record of 64 KB. Later windows
// are stated once the reports of the first ones are fixed.
const maxNoteCounts = 1200

// Note is what an instance states about its counts; its heartbeat contains it.
type Note struct {
	// First is the first window in which the instance counted.
	First Window
	// Final is the last window whose counts are final; so are those of all windows before it. It is 0 for none.
	Final Window
	// Windows holds the counts of the windows whose reports aren't fixed, in order. Windows without requests are absent.
	Windows []WindowCounts `json:",omitempty"`
}

// pendingCount is a request whose window hasn't been determined yet.
type pendingCount struct {
	organisation model.OrganisationName
	startedAt    jujubeclock.Instant
}

// Counter counts the requests of one instance. It isn't safe for concurrent use.
type Counter struct {
	settings Settings
	started  jujubeclock.Instant
	// first is the first window in which this instance, or an earlier process of it, counted; 0 while that isn't known.
	first Window
	// final is the last window that was declared final; 0 for none. Once the counter is settled it never decreases, and the counts
	// of no window up to it change.
	final Window
	// settled is true once the true time is known.
	settled bool
	// Each request is, in one window, in one of pending, counted and restored only: those since the last note, those of earlier notes, and those
	// that earlier processes of this instance have written.
	pending  []pendingCount
	counted  *jujubetable.Table[Window, Counts]
	restored *jujubetable.Table[Window, Counts]
	// open holds, for each request without an outcome, from when on a server may have begun it.
	open     *jujubetable.Table[int64, jujubeclock.Instant]
	lastOpen int64
}

// NewCounter returns the counter of a process that starts at an instant.
func NewCounter(started jujubeclock.Instant, settings Settings) *Counter {
	return &Counter{
		settings: settings, started: started, counted: jujubetable.New[Window, Counts](), restored: jujubetable.New[Window, Counts](),
		open: jujubetable.New[int64, jujubeclock.Instant](),
	}
}

// Restore continues from the note of an earlier process of this instance. It may be called with several notes until this process has
// written its first one: the counts of a process only grow, so the highest ones are the latest.
func (c *Counter) Restore(note Note) {
	var newest Window
	for _, window := range note.Windows {
		countsOf(c.restored, window.Window).raise(window.Counts)
	}
	for window := range c.restored.All() {
		newest = window
	}
	// The log has the last statements of much earlier processes, too. The own time of day isn't reliable yet.
	for window := range c.restored.All() {
		if window < newest-Window(retention/c.settings.Length) {
			c.restored.Delete(window)
		}
	}
	if c.first == 0 || note.First < c.first {
		c.first = note.First
	}
	c.final = max(c.final, note.Final)
}

func countsOf(table *jujubetable.Table[Window, Counts], window Window) Counts {
	counts, ok := table.Get(window)
	if !ok {
		counts = Counts{}
		table.Put(window, counts)
	}
	return counts
}

// Begin records a request that a server may begin from now on, and returns a number for End.
func (c *Counter) Begin(now jujubeclock.Instant) int64 {
	c.lastOpen++
	c.open.Put(c.lastOpen, now)
	return c.lastOpen
}

// End records that a request has an outcome, and has been counted if a server began it.
func (c *Counter) End(number int64) { c.open.Delete(number) }

// Count counts a request that a server began at an instant.
func (c *Counter) Count(organisation model.OrganisationName, startedAt jujubeclock.Instant) {
	c.pending = append(c.pending, pendingCount{organisation, startedAt})
}

// assign assigns the pending counts to windows. A request stays in its window, also if the estimate of the true time changes: the
// note may be in a report already. If the window is final, the first one that isn't takes the count.
func (c *Counter) assign(trueTime func(jujubeclock.Instant) time.Time) {
	for _, pending := range c.pending {
		window := max(c.settings.windowOf(trueTime(pending.startedAt)), c.final+1)
		countsOf(c.counted, window)[pending.organisation]++
	}
	c.pending = nil
}

// Note declares the windows final that are, and returns the note to write. Until the true time is known (settled), no further window
// becomes final, and the requests of this process aren't stated. isFixed reports whether the report of a window has been read from the log: its counts aren't stated any more.
func (c *Counter) Note(now jujubeclock.Instant, trueTime func(jujubeclock.Instant) time.Time, settled bool, isFixed func(Window) bool) Note {
	sums := jujubetable.New[Window, Counts]()
	current := c.settings.windowOf(trueTime(now))
	if settled {
		c.settle(current, trueTime)
		c.assign(trueTime)
		c.declareFinal(current-1, trueTime)
		c.drop(c.settings.firstSendable(trueTime(now)), isFixed)
	}
	for _, table := range []*jujubetable.Table[Window, Counts]{c.counted, c.restored} {
		for window, counts := range table.All() {
			countsOf(sums, window).add(counts)
		}
	}
	note := Note{First: c.first, Final: c.final}
	if note.First == 0 {
		note.First = current
	}
	size := 0
	for window, counts := range sums.All() {
		if size += len(counts); size > maxNoteCounts && len(note.Windows) > 0 {
			note.Final = min(note.Final, window-1)
			break
		}
		note.Windows = append(note.Windows, WindowCounts{window, counts})
	}
	return note
}

// settle records that the true time is known from now on.
func (c *Counter) settle(current Window, trueTime func(jujubeclock.Instant) time.Time) {
	if c.settled {
		return
	}
	c.settled = true
	if first := c.settings.windowOf(trueTime(c.started)); c.first == 0 || first < c.first {
		c.first = first
	}
	// The clock of an earlier process may have been wrong.
	c.final = min(c.final, current)
}

func (c *Counter) declareFinal(last Window, trueTime func(jujubeclock.Instant) time.Time) {
	for _, since := range c.open.All() {
		last = min(last, c.settings.windowOf(trueTime(since))-1)
	}
	c.final = max(c.final, last)
}

// drop forgets the final windows whose reports are fixed, and those whose reports aren't sent any more.
func (c *Counter) drop(firstSendable Window, isFixed func(Window) bool) {
	for _, table := range []*jujubetable.Table[Window, Counts]{c.counted, c.restored} {
		for window := range table.All() {
			if window <= c.final && isFixed(window) || window < firstSendable {
				table.Delete(window)
			}
		}
	}
}
