// Package jujubeattempt combines the outcomes of the attempts of one call.
package jujubeattempt

import model "jujubepier.example/core/models/jujubemodel"

// Tally counts the attempts of a call by what is known of their effect. The zero value is that of a call without an attempt. It isn't safe
// for concurrent use.
type Tally struct {
	// Begun counts all attempts, including those without an outcome.
	Begun int
	// NotRun counts the attempts that have had no effect and will never have one, Ran those that have had it. Together they are at most Begun:
	// the effect of the others isn't known.
	NotRun, Ran int
}

// Begin records that an attempt begins.
func (t *Tally) Begin() { t.Begun++ }

// End records the outcome of an attempt.
func (t *Tally) End(ran model.Ran) {
	switch ran {
	case model.RanNo:
		t.NotRun++
	case model.RanYes:
		t.Ran++
	}
}

// Outcome returns what is known of the call's effect. It is RanNo only if each attempt that has begun is known to have had no effect.
func (t Tally) Outcome() model.Ran {
	switch {
	case t.Ran > 0:
		return model.RanYes
	case t.NotRun == t.Begun:
		return model.RanNo
	}
	return model.RanUnknown
}

// MayHaveRun reports whether the call may have had an effect, or may still have one.
func (t Tally) MayHaveRun() bool { return t.Outcome() != model.RanNo }
