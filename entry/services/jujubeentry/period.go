package jujubeentry

import (
	"time"

	"jujubepier.example/core/services/jujubecore"
)

// fixedPeriodInstances is the largest number of instances with which the configured periods apply. With more instances the
// periods grow, so that each instance stays within its share of the control traffic, 4 KB/s.
const fixedPeriodInstances = 16

const (
	// meanLoadReadInterval is the mean time between two load reads by an instance. A read transfers about 0.36 KB.
	meanLoadReadInterval = 500 * time.Millisecond
	// rolloutReadPeriod is the load read period of the leader during a rollout. It is well below the report age above which
	// an engine gets no order (jujubeweight.Settings.MaxReportAge, 2 s). A longer period delays the next orders,
	// because the leader learns later that an engine has loaded the version: with 2 s a rollout on 600 engines takes 29 s and
	// misses the target of 27 s.
	rolloutReadPeriod = time.Second
)

// IsLoadReadDue reports whether an endpoint's load should be read now. Endpoints also report their load with each response; with
// many instances an endpoint that has done so recently isn't read. A poll round may be up to half a period early, otherwise
// jitter of the ticker would make every other round skip the read.
func IsLoadReadDue(now time.Time, minPeriod time.Duration, lastRead time.Time, endpoint jujubecore.PolledEndpoint, polled, live int) bool {
	tolerance := minPeriod / 2
	since := now.Sub(lastRead)
	if live <= fixedPeriodInstances {
		return since >= minPeriod-tolerance
	}
	if endpoint.Urgent {
		return since >= max(minPeriod, rolloutReadPeriod)-tolerance
	}
	period := max(minPeriod, meanLoadReadInterval*time.Duration(polled))
	return since >= period-tolerance && now.Sub(endpoint.ReportedAt) >= period
}

const (
	// timePerListEntry is the time that each entry of the instance list adds to the read period. An entry has 130 bytes, so
	// reads of the list take 1 KB/s.
	timePerListEntry = 130 * time.Millisecond
	// maxListGap is the longest time between two consecutive reads of the list by any of the instances. The gossip update that
	// follows a read reaches all instances within 0.5 s. Instances must stop sending work to a leaving endpoint within 3 s;
	// with one read lost, 1.5 s of these remain.
	maxListGap = 500 * time.Millisecond
)

// ListReadDelay returns the time until this instance's next read of the instance list. With many instances the period grows with
// the list, since it is enough that one instance reads that an endpoint is leaving; the others learn it from gossip. The
// reads of the instances are staggered evenly over the period by rank.
func ListReadDelay(now time.Time, minPeriod time.Duration, entries, live, rank int) time.Duration {
	period := max(minPeriod, min(timePerListEntry*time.Duration(entries), maxListGap*time.Duration(live)))
	if live <= fixedPeriodInstances || period == minPeriod {
		return minPeriod
	}
	slot := period * time.Duration(rank) / time.Duration(live)
	delay := period - (time.Duration(now.UnixNano())-slot)%period
	if delay < period/2 {
		// The rank has changed or this was the first read after the start, so this period's read has just been made.
		delay += period
	}
	return delay
}
