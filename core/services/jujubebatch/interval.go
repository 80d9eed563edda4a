package jujubebatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// recentWeight is the weight of a new sample in an engine's recent interval, which settles after about five events.
	recentWeight = 0.25
	// recentTTL is how long a recent interval is used without a new sample. A slow engine gets no items and so no samples;
	// after this time it is tried again.
	recentTTL = 4 * time.Second
	// baselineWeight is the weight of a new sample in an engine's baseline, which settles after some 30 events, that is two
	// or three items.
	baselineWeight = 0.05
	// minBaselineEvents is how many samples an engine's baseline needs before it is used.
	minBaselineEvents = 8
	// baselineCutoff is the multiple of the baseline above which a sample is ignored. Longer intervals reflect a
	// disturbance, such as a weight load, instead of the hardware; a full batch adds only an eighth.
	baselineCutoff = 1.6
	// slowHardwareFactor is the multiple of the fleet's good baseline above which the hardware of an engine counts as slow.
	// Full batches add an eighth, and slow hardware adds three tenths.
	slowHardwareFactor = 1.18
)

// engineIntervals are averages of the time between two events of a run on an engine.
type engineIntervals struct {
	// recent is the moving average of the latest events; zero while unknown.
	recent   time.Duration
	recentAt time.Time
	// baseline is the moving average without disturbances; zero before the first sample.
	baseline time.Duration
	events   int
}

// observe adds the time between two consecutive events of a run.
func (i *engineIntervals) observe(now time.Time, interval time.Duration) {
	i.recentAt = now
	if i.recent == 0 {
		i.recent = interval
	} else {
		i.recent += time.Duration(recentWeight * float64(interval-i.recent))
	}
	switch {
	case i.baseline == 0:
		i.baseline = interval
	case float64(interval) > baselineCutoff*float64(i.baseline):
		return
	case i.events < minBaselineEvents:
		i.baseline += (interval - i.baseline) / time.Duration(i.events+1)
	default:
		i.baseline += time.Duration(baselineWeight * float64(interval-i.baseline))
	}
	i.events++
}

// hasBaseline reports whether there are enough samples for a baseline.
func (i *engineIntervals) hasBaseline() bool { return i.events >= minBaselineEvents }

// fleetIntervals compare the engines that this instance has observations of; zero while they are too few.
type fleetIntervals struct {
	// medianRecent is the median of the recent intervals.
	medianRecent time.Duration
	// goodBaseline is the lower quartile of the baselines, which represents the faster hardware.
	goodBaseline time.Duration
	// fastBaseline is the lower tenth of the baselines. Hardware may differ so much that few engines are several times as fast as
	// the others.
	fastBaseline time.Duration
	// typicalBaseline is the median of the baselines, however few. It is assumed for engines without one.
	typicalBaseline time.Duration
}

// fastInterval returns the event interval of the faster engines.
func (f fleetIntervals) fastInterval() time.Duration {
	return cmp.Or(f.fastBaseline, f.typicalBaseline, defaultEventInterval)
}

// minMeasuredEngines is how many engines need samples before they are compared.
const minMeasuredEngines = 3

// measureFleet compares the engines. The result stays the same until an interval changes or expires.
func (s *Scheduler) measureFleet(now time.Time) fleetIntervals {
	if s.isFleetMeasured && (s.measuredUntil.IsZero() || !now.After(s.measuredUntil)) {
		return s.measuredFleet
	}
	s.isFleetMeasured, s.measuredUntil = true, time.Time{}
	var recent, baselines []time.Duration
	for _, e := range s.engines.All() {
		if now.Sub(e.intervals.recentAt) > recentTTL {
			e.intervals.recent = 0
		}
		if e.intervals.recent > 0 {
			recent = append(recent, e.intervals.recent)
			if expiry := e.intervals.recentAt.Add(recentTTL); s.measuredUntil.IsZero() || expiry.Before(s.measuredUntil) {
				s.measuredUntil = expiry
			}
		}
		if e.intervals.hasBaseline() {
			baselines = append(baselines, e.intervals.baseline)
		}
	}
	fleet := fleetIntervals{medianRecent: quantile(recent, 0.5), goodBaseline: quantile(baselines, 0.25), fastBaseline: quantile(baselines, 0.1)}
	if len(baselines) > 0 {
		slices.Sort(baselines)
		fleet.typicalBaseline = baselines[len(baselines)/2]
	}
	return fleet
}

// quantile returns zero for fewer than minMeasuredEngines values.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) < minMeasuredEngines {
		return 0
	}
	slices.Sort(values)
	return values[int(share*float64(len(values)))]
}

// isSlow reports whether an engine's recent interval is much longer than the fleet's median.
func (s *Scheduler) isSlow(e *engine, fleet fleetIntervals) bool {
	return fleet.medianRecent > 0 && e.intervals.recent > time.Duration(s.settings.SlowFactor*float64(fleet.medianRecent))
}

// hasSlowHardware reports whether an engine's baseline indicates that its hardware is slower than that of others.
func (f fleetIntervals) hasSlowHardware(e *engine) bool {
	return f.goodBaseline > 0 && e.intervals.hasBaseline() && float64(e.intervals.baseline) > slowHardwareFactor*float64(f.goodBaseline)
}
