package jujubestep

import (
	"strconv"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// part is a step part in progress.
type part struct {
	key      model.PartKey
	attempt  int64
	content  model.Fingerprint
	accepted model.StepAccepted
	model    model.ModelName
	scorer   model.ServiceName
	bound    model.WeightVersion
	// floor is the lowest version a sample may contain now; every stream of an open group is at or above it.
	floor     model.WeightVersion
	maxTokens int
	deadline  time.Time
	// holdUntil delays first starts until the engines have told which streams they hold.
	holdUntil time.Time
	// groups are in the order of the request; confirmed groups have no samples any more.
	groups []*group
	total  int
	// handed are the groups at cursor positions [confirmed, confirmed+len(handed)). Neither their order nor their
	// content changes, because the trainer may have taken them, until a pull whose cursor says that it hasn't finds some
	// of them too old.
	handed    []*group
	confirmed int
	failed    []model.FailedGroup
	samples   int
	bytes     int
	ran       bool
	// ended is when the part expired, completed or was superseded; zero while it is in progress.
	ended     time.Time
	expired   bool
	discarded map[Cause]int
	lengths   lengths
	// second counts the running second runs.
	second int
}

type groupState int

const (
	groupOpen groupState = iota
	groupHanded
	groupConfirmed
	groupFailed
)

// group is a group of samples; it is delivered as a whole or not at all.
type group struct {
	number  int
	prompt  string
	content string
	samples []*sample
	state   groupState
}

// sample is one sample of a group: at most two running streams, or one winner.
type sample struct {
	part  *part
	group *group
	index int
	// streams are starting or running; empty when there is a winner.
	streams []*stream
	winner  *stream
	// tries numbers the streams of the sample; it never goes back.
	tries     int
	failures  int
	notBefore time.Time
	// avoid holds the engines of the latest failures, at most maxAvoid.
	avoid []model.EndpointID
}

// maxAvoid bounds the engines that a sample avoids; with more, a model with few engines would have none left.
const maxAvoid = 3

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
	second   bool
	// resumed streams repeat their first tokens at once, so that they say nothing of the generation rate.
	resumed bool
	started time.Time
	// heard is the time of the latest report.
	heard time.Time
	// labels cover [0, tokens) without gap or overlap, adjacent ranges have different versions.
	labels []model.Label
	tokens int
	// generated is the highest token index reported, labelled or not.
	generated int
	// oldest is the lowest version in labels, zero without labels.
	oldest model.WeightVersion
	// Scores: asked while a request is out; scored once the score is known.
	asked      bool
	scored     bool
	score      float64
	scoreFails int
	scoreAfter time.Time
}

// open counts the groups that still need work or wait to be handed out.
func (p *part) open() int {
	count := 0
	for _, g := range p.groups {
		if g.state == groupOpen {
			count++
		}
	}
	return count
}

func (p *part) ranState() model.Ran {
	if p.ran {
		return model.RanYes
	}
	return model.RanNo
}

// missing counts the samples without a finished stream.
func (g *group) missing() int {
	count := 0
	for _, sm := range g.samples {
		if sm.winner == nil {
			count++
		}
	}
	return count
}

// complete tells whether each sample is finished, and scored if the trainer has a scorer.
func (g *group) complete(scorer model.ServiceName) bool {
	for _, sm := range g.samples {
		if sm.winner == nil || scorer != "" && !sm.winner.scored {
			return false
		}
	}
	return true
}

func (g *group) oldest() model.WeightVersion {
	oldest := g.samples[0].winner.oldest
	for _, sm := range g.samples {
		oldest = min(oldest, sm.winner.oldest)
	}
	return oldest
}

// all returns the streams whose text is kept.
func (sm *sample) all() []*stream {
	if sm.winner != nil {
		return []*stream{sm.winner}
	}
	return sm.streams
}

// contentTag identifies what a stream generates. It is part of the stream id because engines don't tell the prompt of the
// streams they hold, and a stream of another prompt must not be resumed.
func contentTag(name model.ModelName, prompt string, maxTokens int) string {
	return strconv.FormatUint(uint64(model.NewFingerprint(string(name), prompt, strconv.Itoa(maxTokens))), 36)
}
