package jujubeentry

import (
	"time"

	"jujubepier.example/core/services/jujubecore"
)

// manyInstances is the number of instances from which on the periods grow, so that each stays within its share of the
// control traffic, 4 KB/s. Up to it, the configured periods hold.
const manyInstances = 16

const (
	// readPause is the mean time between two load reads of an instance. A read takes about 0.36 KB.
	readPause = 500 * time.Millisecond
	// rolloutPeriod is well below the age from which on an engine gets no order (jujubeweight.Settings.OrderAge, 3 s).
	// With 2 s, 600 engines take 29 s instead of the 27 s of the target, since the end of each load is seen late.
	rolloutPeriod = time.Second
)

// IsReadDue tells whether an endpoint's load is read now. Loads also come with each answer; with many instances an
// endpoint that has reported in this way isn't read. A round that comes a little early counts, or each other one would.
func IsReadDue(now time.Time, least time.Duration, last time.Time, endpoint jujubecore.PolledEndpoint, polled, live int) bool {
	early := least / 2
	since := now.Sub(last)
	if live <= manyInstances {
		return since >= least-early
	}
	if endpoint.Urgent {
		return since >= max(least, rolloutPeriod)-early
	}
	period := max(least, readPause*time.Duration(polled))
	return since >= period-early && now.Sub(endpoint.ReportedAt) >= period
}

const (
	// rowTime is the time over which a row of the instance list, 130 bytes, is spread: 1 KB/s.
	rowTime = 130 * time.Millisecond
	// listGap is the longest time between two reads by any of the instances. A read is followed by a rumour, which
	// reaches all within 0.5 s; with one read lost this leaves 1.5 s of the 3 s in which an endpoint that leaves must get
	// no more work.
	listGap = 500 * time.Millisecond
)

// ListPause is the time until the next read of the instance list. The time between two reads of one instance grows with
// the list, since only one has to see an endpoint leave; the rumour tells the others. The instances take their turns in
// the order of their ranks.
func ListPause(now time.Time, least time.Duration, rows, live, rank int) time.Duration {
	period := max(least, min(rowTime*time.Duration(rows), listGap*time.Duration(live)))
	if live <= manyInstances || period == least {
		return least
	}
	turn := period * time.Duration(rank) / time.Duration(live)
	pause := period - (time.Duration(now.UnixNano())-turn)%period
	if pause < period/2 {
		// Another rank, or the first read after the start: the present turn has just been used.
		pause += period
	}
	return pause
}
