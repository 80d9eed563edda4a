package jujuberouter

import "time"

const (
	// usualPace is the pace of an endpoint whose work takes as long as usual.
	usualPace = 100
	// maxPaceAge is the age from which on a pace says nothing any more. Servers measure it ten times a second, and each measurement
	// is independent of the one before.
	maxPaceAge = 100 * time.Millisecond
	// maxPace bounds the effect of a single figure.
	maxPace = 1000
)

// PaceAt returns the expected time that work takes, in percent of the usual time, from a figure of a given age; 0 for no figure. It
// approaches 100 with the age, as the figure may have been replaced by another one.
func PaceAt(pace int, age time.Duration) float64 {
	if pace <= 0 || age < 0 || age >= maxPaceAge {
		return usualPace
	}
	kept := 1 - float64(age)/float64(maxPaceAge)
	return usualPace + kept*float64(min(pace, maxPace)-usualPace)
}
