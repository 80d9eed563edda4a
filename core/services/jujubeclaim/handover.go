package jujubeclaim

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Freeze ends the running of requests and returns the own keys in order, for a successor. Keys still in progress are
// returned as Unknown: they may have reached an endpoint. Another Freeze after they finished returns their outcome,
// which replaces the Unknown in the successor's table.
func (c *Claims) Freeze(now time.Time) []Entry {
	c.advance(now)
	c.frozen = true
	entries := make([]Entry, 0, c.own)
	for _, keys := range c.issued.All() {
		sorted := slices.Sorted(slices.Values(keys))
		for _, key := range sorted {
			r := c.rows[key]
			if r.imported {
				continue
			}
			outcome := r.outcome
			if !r.finished {
				outcome = Outcome{Ran: model.RanUnknown}
			}
			entries = append(entries, Entry{Key: key, Body: r.body, Outcome: outcome})
		}
	}
	return entries
}

// Frozen tells whether Freeze was called.
func (c *Claims) Frozen() bool { return c.frozen }

// Import takes over the frozen keys of an incarnation. It may be repeated, for instance after a lost acknowledgement:
// a known outcome stays, only Unknown gives way. Entries with another prefix, or above the bound, are dropped; their keys
// are then answered Unknown.
func (c *Claims) Import(now time.Time, from model.InstanceID, incarnation model.Incarnation, entries []Entry) {
	c.advance(now)
	source := owner{from, incarnation}
	if source == c.self {
		return
	}
	for _, entry := range entries {
		prefix, ok := ParseKey(entry.Key)
		if !ok || (owner{prefix.Instance, prefix.Incarnation}) != source {
			continue
		}
		if r, known := c.rows[entry.Key]; known {
			if r.imported && r.body == entry.Body && r.outcome.Ran == model.RanUnknown {
				c.answers -= len(r.outcome.Answer)
				r.outcome = c.keep(entry.Outcome)
			}
			continue
		}
		remembered := int64((c.settings.Validity + c.settings.Margin) / time.Second)
		if c.imported >= c.settings.MaxKeys || prefix.Issued+remembered <= c.latest.Unix() {
			continue
		}
		c.insert(entry.Key, prefix, &row{body: entry.Body, finished: true, imported: true, outcome: c.keep(entry.Outcome)})
	}
}

// SetGone records that an instance no longer exists, so that its keys are answered Unknown without being forwarded.
func (c *Claims) SetGone(instance model.InstanceID, incarnation model.Incarnation) {
	if c.current[instance] == incarnation {
		delete(c.current, instance)
	}
}
