package jujubeprompt

import "time"

const (
	// sampleWeight is the weight of a new sample in the averages, which settle after some 200 samples.
	sampleWeight = 0.01
	// minSamples is how many samples a slope or a mean needs before it is used.
	minSamples = 200
	// maxDeviation bounds an estimated rate to this multiple, or part, of its default.
	maxDeviation = 4
)

// Estimator estimates the rates from what an instance observes of its runs.
type Estimator struct {
	slowdown, prefill slope
	// events are those of a run, hintedEvents those of a run for which a number of tokens was expected.
	events, hintedEvents, expected, whole mean
}

// ObserveInterval adds the time between two events of a run, as a multiple of what is usual on the server, with the number of other
// requests that run there.
func (e *Estimator) ObserveInterval(relative float64, others int) {
	e.slowdown.add(float64(others), relative)
}

// ObserveFirstEvent adds the time to the first event of a run beyond the server's interval between events, with the number of prompt
// tokens that were assumed to be prefilled.
func (e *Estimator) ObserveFirstEvent(beyond time.Duration, prefilled int) {
	e.prefill.add(float64(prefilled), float64(beyond))
}

// ObserveRun adds a complete run with its number of events and the expected number of tokens; zero if none was expected.
func (e *Estimator) ObserveRun(expectedTokens, events int) {
	e.events.add(float64(events))
	if expectedTokens > 0 {
		e.hintedEvents.add(float64(events))
		e.expected.add(float64(min(expectedTokens, maxExpectedTokens)))
	}
}

// ObserveRequest adds a request's number of prompt tokens and expected generated tokens.
func (e *Estimator) ObserveRequest(tokens int) { e.whole.add(float64(tokens)) }

// Rates returns the present estimate, with the interval between events that is usual on the servers; zero if it isn't known.
func (e *Estimator) Rates(eventInterval time.Duration) Rates {
	rates := DefaultRates()
	if eventInterval <= 0 {
		eventInterval = DefaultEventInterval
	}
	rates.TokenTime = eventInterval / DefaultEventTokens
	if e.events.isKnown() {
		rates.OutputTokens = max(1, int(e.events.value*DefaultEventTokens))
	}
	if e.expected.isKnown() {
		// Expected tokens are the callers' own measure, so the time of one follows from the events that came of them.
		rates.OutputTokens = max(1, int(e.expected.value))
		rates.TokenTime = max(1, time.Duration(float64(eventInterval)*e.hintedEvents.value/e.expected.value))
	}
	if e.whole.isKnown() {
		rates.RequestTokens = int(e.whole.value)
	}
	if value, ok := e.slowdown.value(); ok {
		rates.Slowdown = bound(value, DefaultSlowdown)
	}
	if value, ok := e.prefill.value(); ok {
		rates.PrefillTime = time.Duration(bound(value, float64(DefaultPrefillTime)))
	}
	return rates
}

// bound keeps an estimate in the order of magnitude of its default. A few disturbed samples can give any slope.
func bound(value, usual float64) float64 {
	return min(max(value, usual/maxDeviation), usual*maxDeviation)
}

// mean is a moving average.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(sample float64) {
	m.samples++
	m.value += max(sampleWeight, 1/float64(m.samples)) * (sample - m.value)
}

func (m *mean) isKnown() bool { return m.samples >= minSamples && m.value > 0 }

// slope is a moving linear regression of y on x.
type slope struct {
	x, y, xx, xy mean
}

func (s *slope) add(x, y float64) {
	s.x.add(x)
	s.y.add(y)
	s.xx.add(x * x)
	s.xy.add(x * y)
}

// value returns the slope; ok is false while there are too few samples or x hardly varies.
func (s *slope) value() (value float64, ok bool) {
	variance := s.xx.value - s.x.value*s.x.value
	if s.x.samples < minSamples || variance <= minVariance*s.xx.value {
		return 0, false
	}
	return (s.xy.value - s.x.value*s.y.value) / variance, true
}

// minVariance is the least variance of x, as a share of its mean square, from which a slope is computed.
const minVariance = 0.05
