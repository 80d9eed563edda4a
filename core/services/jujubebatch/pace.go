package jujubebatch

import (
	"slices"
	"time"
)

const (
	// paceWeight is the share of a new measurement in an engine's recent pace: about five events settle it.
	paceWeight = 0.25
	// paceMemory is how long a recent pace is trusted without a new one. A slow engine gets no work, so it has to be tried
	// again after a while.
	paceMemory = 4 * time.Second
	// usualWeight is the share of a new measurement in an engine's usual pace: some 30 events settle it, two or three
	// items.
	usualWeight = 0.05
	// usualEvents is how many events have to be timed before an engine's usual pace is used.
	usualEvents = 8
	// usualSpan is how many times the usual pace an event may take to count for it. Longer ones show a disturbance, such as
	// a load of weights, and not the hardware; a full batch adds an eighth.
	usualSpan = 1.6
	// sluggishFactor is how many times the fleet's usual pace that of an engine of weaker hardware is. Full batches add an
	// eighth, and the weaker hardware of the sites is slower by three tenths.
	sluggishFactor = 1.18
)

// enginePace is the time that an engine needs for an event.
type enginePace struct {
	// recent averages the latest events; zero while unknown.
	recent   time.Duration
	recentAt time.Time
	// usual averages the events of the engine's undisturbed work; zero before the first event.
	usual  time.Duration
	events int
}

// measure takes the time from one event of a run to the next.
func (p *enginePace) measure(now time.Time, gap time.Duration) {
	p.recentAt = now
	if p.recent == 0 {
		p.recent = gap
	} else {
		p.recent += time.Duration(paceWeight * float64(gap-p.recent))
	}
	switch {
	case p.usual == 0:
		p.usual = gap
	case float64(gap) > usualSpan*float64(p.usual):
		return
	case p.events < usualEvents:
		p.usual += (gap - p.usual) / time.Duration(p.events+1)
	default:
		p.usual += time.Duration(usualWeight * float64(gap-p.usual))
	}
	p.events++
}

// isKnown tells whether enough events were timed.
func (p *enginePace) isKnown() bool { return p.events >= usualEvents }

// fleetPace is what the engines need for an event, as far as this instance has seen; zero while too few are known.
type fleetPace struct {
	// typical is the median of the recent paces.
	typical time.Duration
	// good is the lower quartile of the usual paces: that of an engine of the better hardware.
	good time.Duration
}

// minPaced is how many engines have to be timed before they are compared.
const minPaced = 3

func (b *Batches) measureFleet(now time.Time) fleetPace {
	var recent, usual []time.Duration
	for _, e := range b.engines.All() {
		if now.Sub(e.pace.recentAt) > paceMemory {
			e.pace.recent = 0
		}
		if e.pace.recent > 0 {
			recent = append(recent, e.pace.recent)
		}
		if e.pace.isKnown() {
			usual = append(usual, e.pace.usual)
		}
	}
	return fleetPace{quantile(recent, 0.5), quantile(usual, 0.25)}
}

// quantile returns zero for fewer than minPaced values.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) < minPaced {
		return 0
	}
	slices.Sort(values)
	return values[int(share*float64(len(values)))]
}

// isSlow tells whether an engine needs much longer for an event now than the others do.
func (b *Batches) isSlow(e *engine, pace fleetPace) bool {
	return pace.typical > 0 && e.pace.recent > time.Duration(b.settings.SlowFactor*float64(pace.typical))
}

// isSluggish tells whether an engine has weaker hardware than others.
func (p fleetPace) isSluggish(e *engine) bool {
	return p.good > 0 && e.pace.isKnown() && float64(e.pace.usual) > sluggishFactor*float64(p.good)
}
