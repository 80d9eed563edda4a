package jujubeengine

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Values of the Reason field of model.EngineDone.
const (
	ReasonStop      = "Stop"
	ReasonLength    = "Length"
	ReasonCancelled = "Cancelled"
)

// phase is the state of a stream.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	// phasePaused is a stream whose grace period has expired: it keeps its tokens but is neither queued nor running.
	phasePaused
	phaseFinished
	// phaseDropped is a stream that the engine no longer holds, because of a crash, a restart of the stream or its expiry.
	// Connections that still refer to it report an unknown stream.
	phaseDropped
)

// stream is one generation request and its output so far. It is protected by the engine's mutex.
type stream struct {
	request model.EngineRequest
	seed    uint64
	// targetLength is the number of tokens at which the stream is finished.
	targetLength int
	// arrival orders streams of the same priority in the queue.
	arrival int64
	phase   phase
	// prefillRemaining is the remaining time of the prefill, in engine time.
	prefillRemaining time.Duration
	// tokenProgress is the fraction of the next token that is already generated.
	tokenProgress float64
	produced      int
	// segments cover the tokens [0, produced) without gaps, one per weight version in turn.
	segments []segment
	reason   string
	// connectionID is the number of the connection that the stream is sent on; zero for none.
	connectionID int64
	// detachedAt is the time when the last connection closed.
	detachedAt time.Time
	deadline   time.Time
	// changedCh is closed and replaced when there is something new to send.
	changedCh chan struct{}
}

// segment is a run of tokens of one weight version; it ends before the index end.
type segment struct {
	version model.WeightVersion
	end     int
}

func newStream(request model.EngineRequest, settings Settings, now time.Time) *stream {
	seed := streamSeed(request.Stream)
	s := &stream{
		request: request, seed: seed, changedCh: make(chan struct{}),
		targetLength: sampleLength(seed, settings.MedianTokens, settings.SigmaTokens),
		reason:       ReasonStop,
	}
	if s.targetLength > request.MaxTokens {
		s.targetLength, s.reason = request.MaxTokens, ReasonLength
	}
	if request.Timeout > 0 {
		s.deadline = now.Add(request.Timeout.Std())
	}
	return s
}

// streamSeed derives a seed from the id without its last element, the attempt, so that all attempts at a sample have the
// same length.
func streamSeed(id model.StreamID) uint64 {
	name := string(id)
	if slash := strings.LastIndexByte(name, '/'); slash >= 0 {
		name = name[:slash]
	}
	return uint64(model.NewFingerprint(name))
}

// sampleLength draws an output length from a log-normal distribution; the same seed always gives the same length.
func sampleLength(seed uint64, median, sigma float64) int {
	random := rand.New(rand.NewPCG(seed, 0))
	return max(1, int(math.Round(median*math.Exp(sigma*random.NormFloat64()))))
}

// TokenText returns the text of one token. It contains the weight version, so that a reader can check the version labels
// of chunks against their texts.
func TokenText(id model.StreamID, index int, version model.WeightVersion) string {
	return tokenText(streamSeed(id), index, version)
}

func tokenText(seed uint64, index int, version model.WeightVersion) string {
	const syllables = "bakadefigohujiloma"
	hash := (seed ^ uint64(index+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	start := 2 * int((hash>>33)%uint64(len(syllables)/2))
	return syllables[start:start+2] + "." + strconv.FormatInt(int64(version), 10) + " "
}

// appendTokens adds generated tokens of a weight version; a different version than the last one starts a new segment.
func (s *stream) appendTokens(count int, version model.WeightVersion) {
	s.produced += count
	if last := len(s.segments) - 1; last >= 0 && s.segments[last].version == version {
		s.segments[last].end = s.produced
		return
	}
	s.segments = append(s.segments, segment{version: version, end: s.produced})
}

// nextChunk returns the chunk that starts at an index. A chunk with fewer tokens than size is returned only before a change
// of version or at the end of the stream.
func (s *stream) nextChunk(from, size int) (model.Chunk, bool) {
	for _, segment := range s.segments {
		if segment.end <= from {
			continue
		}
		to := min(segment.end, from+size)
		if to-from < size && segment.end == s.produced && s.phase != phaseFinished {
			return model.Chunk{}, false
		}
		var text strings.Builder
		for index := from; index < to; index++ {
			text.WriteString(tokenText(s.seed, index, segment.version))
		}
		return model.Chunk{From: from, To: to, Text: text.String(), Version: segment.version}, true
	}
	return model.Chunk{}, false
}

// notify wakes the connections that wait for new output.
func (s *stream) notify() {
	close(s.changedCh)
	s.changedCh = make(chan struct{})
}
