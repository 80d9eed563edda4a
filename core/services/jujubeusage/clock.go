package jujubeusage

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/modules/jujubeclock"
)

const (
	// maxOffset is the deviation of the own time of day from the median above which the median is used.
	maxOffset = 500 * time.Millisecond
	// maxReadings is the number of readings kept for each instance. The delay of a heartbeat lets its sender's clock seem slow, so
	// the highest of the last readings is the best one.
	maxReadings = 4
	// minReadings is the number of readings from which on an instance counts; a single one may be that of a late heartbeat.
	minReadings = 2
)

// Clock estimates the true time from the times of day of the live instances, so that a clock that jumps moves no counts. It isn't
// safe for concurrent use.
type Clock struct {
	// readings holds the last times of day of each instance, as the time of day at which this machine was booted.
	readings *jujubetable.Table[model.InstanceID, []time.Duration]
	// booted is the true time at which this machine was booted. A step of the own time of day has no effect until the next estimate.
	booted time.Duration
}

// NewClock returns a clock that knows no other instance.
func NewClock() *Clock {
	return &Clock{readings: jujubetable.New[model.InstanceID, []time.Duration]()}
}

// bootTime returns the time of day at which the machine was booted, as the time since the start of 1970.
func bootTime(timeOfDay time.Time, at jujubeclock.Instant) time.Duration {
	return time.Duration(timeOfDay.UnixNano() - int64(at))
}

// Observe records another instance's time of day that arrived at an instant.
func (c *Clock) Observe(id model.InstanceID, timeOfDay time.Time, at jujubeclock.Instant) {
	known, _ := c.readings.Get(id)
	known = append(slices.Clone(known), bootTime(timeOfDay, at))
	c.readings.Put(id, known[max(0, len(known)-maxReadings):])
}

// Update estimates the true time anew and returns the correction of the own time of day; others are the other live instances. An
// instance that has hardly been heard from doesn't count.
func (c *Clock) Update(timeOfDay time.Time, at jujubeclock.Instant, others []model.InstanceID) (correction time.Duration) {
	own := bootTime(timeOfDay, at)
	all := []time.Duration{own}
	for _, id := range others {
		if known, _ := c.readings.Get(id); len(known) >= minReadings {
			all = append(all, slices.Max(known))
		}
	}
	slices.Sort(all)
	upper := all[len(all)/2]
	median := upper - (upper-all[(len(all)-1)/2])/2
	if correction = median - own; correction.Abs() <= maxOffset {
		correction = 0
	}
	c.booted = own + correction
	return correction
}

// HasAll reports whether the times of day of all given instances are known.
func (c *Clock) HasAll(ids []model.InstanceID) bool {
	return !slices.ContainsFunc(ids, func(id model.InstanceID) bool {
		known, _ := c.readings.Get(id)
		return len(known) < minReadings
	})
}

// At returns the true time of an instant, by the last estimate.
func (c *Clock) At(instant jujubeclock.Instant) time.Time {
	return time.Unix(0, int64(c.booted)+int64(instant))
}

// Retain forgets all instances but the given ones.
func (c *Clock) Retain(ids []model.InstanceID) {
	retained := newSet(ids)
	for id := range c.readings.All() {
		if !retained[id] {
			c.readings.Delete(id)
		}
	}
}
