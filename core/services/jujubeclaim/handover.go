package jujubeclaim

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Freeze stops the admission of requests and returns the keys of this incarnation in order, for a successor. Keys in
// progress are returned with RanUnknown, because they may have reached an endpoint. Another Freeze after they have finished
// returns their outcome, which replaces RanUnknown in the successor's table.
func (c *Claims) Freeze(now time.Time) []Entry {
	c.advanceClock(now)
	c.frozen = true
	entries := make([]Entry, 0, c.ownCount)
	for _, keys := range c.keysByIssueSecond.All() {
		sorted := slices.Sorted(slices.Values(keys))
		for _, key := range sorted {
			claim := c.claims[key]
			if claim.imported {
				continue
			}
			outcome := claim.outcome
			if !claim.finished {
				outcome = Outcome{Ran: model.RanUnknown}
			}
			entries = append(entries, Entry{Key: key, Body: claim.body, Outcome: outcome})
		}
	}
	return entries
}

// IsFrozen reports whether Freeze was called.
func (c *Claims) IsFrozen() bool { return c.frozen }

// Import adds the frozen keys of an incarnation to the table. It may be repeated, for instance after a lost
// acknowledgement: a known outcome is kept, only RanUnknown is replaced. Entries with another prefix, or in excess of the
// limit, are dropped; requests with these keys are then answered with Unknown.
func (c *Claims) Import(now time.Time, from model.InstanceID, incarnation model.Incarnation, entries []Entry) {
	c.advanceClock(now)
	source := owner{from, incarnation}
	if source == c.self {
		return
	}
	for _, entry := range entries {
		prefix, ok := ParseKey(entry.Key)
		if !ok || (owner{prefix.Instance, prefix.Incarnation}) != source {
			continue
		}
		if claim, known := c.claims[entry.Key]; known {
			if claim.imported && claim.body == entry.Body && claim.outcome.Ran == model.RanUnknown {
				c.responseBytes -= len(claim.outcome.Answer)
				claim.outcome = c.retainResponse(entry.Outcome)
			}
			continue
		}
		retention := int64((c.settings.Validity + c.settings.Margin) / time.Second)
		if c.importedCount >= c.settings.MaxKeys || prefix.Issued+retention <= c.latestTime.Unix() {
			continue
		}
		c.insert(entry.Key, prefix, &claim{body: entry.Body, finished: true, imported: true, outcome: c.retainResponse(entry.Outcome)})
	}
}

// MarkGone records that an instance no longer exists, so that requests with its keys are answered with Unknown instead of
// being forwarded.
func (c *Claims) MarkGone(instance model.InstanceID, incarnation model.Incarnation) {
	if c.currentIncarnations[instance] == incarnation {
		delete(c.currentIncarnations, instance)
	}
}
