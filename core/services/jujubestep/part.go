package jujubestep

import (
	"strconv"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// part is a step part held by this instance.
type part struct {
	key            model.PartKey
	attempt        int64
	fingerprint    model.Fingerprint
	accepted       model.StepAccepted
	model          model.ModelName
	scorer         model.ServiceName
	stalenessBound model.WeightVersion
	// minVersion is the lowest version that a sample may contain now; every stream of an open group is at or above it.
	minVersion model.WeightVersion
	maxTokens  int
	deadline   time.Time
	// resumeUntil delays first starts until the engines have reported which streams they hold.
	resumeUntil time.Time
	// groups are in the order of the request. Confirmed groups no longer have samples.
	groups     []*group
	groupCount int
	// unconfirmed holds the delivered groups at cursor positions [confirmed, confirmed+len(unconfirmed)). Their order and
	// content don't change, because the trainer may have received them. The exception is a pull whose cursor shows that it
	// hasn't: groups that have become too old are then reopened.
	unconfirmed  []*group
	confirmed    int
	failedGroups []model.FailedGroup
	sampleCount  int
	promptBytes  int
	hasRun       bool
	// endedAt is when the part expired, completed or was superseded; zero while it is in progress.
	endedAt   time.Time
	expired   bool
	discarded map[Cause]int
	lengths   lengthStats
	// hedgedRuns is the number of hedged runs in progress.
	hedgedRuns int
}

type groupState int

const (
	groupOpen groupState = iota
	groupDelivered
	groupConfirmed
	groupFailed
)

// group is a group of samples; it is delivered as a whole or not at all.
type group struct {
	number     int
	prompt     string
	contentTag string
	samples    []*sample
	state      groupState
}

// sample is one sample of a group. It has at most two active streams, or one winner.
type sample struct {
	part  *part
	group *group
	index int
	// streams are starting or running; empty once there is a winner.
	streams []*stream
	winner  *stream
	// streamCount numbers the streams of the sample; it never decreases.
	streamCount int
	failures    int
	notBefore   time.Time
	// avoidEndpoints holds the engines of the latest failures, at most maxAvoidEndpoints.
	avoidEndpoints []model.EndpointID
}

// maxAvoidEndpoints bounds the engines that a sample avoids; with more, a model with few engines would have none left.
const maxAvoidEndpoints = 3

type streamState int

const (
	streamStarting streamState = iota
	streamRunning
	streamFinished
)

// stream is one generation of a sample.
type stream struct {
	id       model.StreamID
	sample   *sample
	state    streamState
	endpoint model.EndpointID
	hedged   bool
	// resumed streams repeat their first tokens immediately, so their rate is not the generation rate.
	resumed   bool
	startedAt time.Time
	// lastReportAt is the time of the latest progress report.
	lastReportAt time.Time
	// labels cover [0, tokens) without gap or overlap; adjacent ranges have different versions.
	labels []model.Label
	tokens int
	// generated is the highest token index reported, labelled or not.
	generated int
	// oldestVersion is the lowest version in labels; zero without labels.
	oldestVersion model.WeightVersion
	// scoreRequested is true while a score request is in flight; scored is true once the score is known.
	scoreRequested bool
	scored         bool
	score          float64
	scoreFailures  int
	scoreRetryAt   time.Time
}

// openGroups counts the groups that are neither delivered nor failed.
func (p *part) openGroups() int {
	count := 0
	for _, g := range p.groups {
		if g.state == groupOpen {
			count++
		}
	}
	return count
}

func (p *part) ranState() model.Ran {
	if p.hasRun {
		return model.RanYes
	}
	return model.RanNo
}

// unfinishedSamples counts the samples without a finished stream.
func (g *group) unfinishedSamples() int {
	count := 0
	for _, sm := range g.samples {
		if sm.winner == nil {
			count++
		}
	}
	return count
}

// isComplete reports whether each sample is finished, and scored if the trainer has a scorer.
func (g *group) isComplete(scorer model.ServiceName) bool {
	for _, sm := range g.samples {
		if sm.winner == nil || scorer != "" && !sm.winner.scored {
			return false
		}
	}
	return true
}

func (g *group) oldestVersion() model.WeightVersion {
	oldest := g.samples[0].winner.oldestVersion
	for _, sm := range g.samples {
		oldest = min(oldest, sm.winner.oldestVersion)
	}
	return oldest
}

// keptStreams returns the streams whose text is retained: the winner, or else the active streams.
func (sm *sample) keptStreams() []*stream {
	if sm.winner != nil {
		return []*stream{sm.winner}
	}
	return sm.streams
}

// contentTag identifies what a stream generates. It is part of the stream id because engines don't report the prompts of the
// streams they hold, and a stream of another prompt must not be resumed.
func contentTag(name model.ModelName, prompt string, maxTokens int) string {
	return strconv.FormatUint(uint64(model.NewFingerprint(string(name), prompt, strconv.Itoa(maxTokens))), 36)
}
