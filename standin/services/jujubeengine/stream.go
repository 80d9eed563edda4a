package jujubeengine

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Reasons of model.EngineDone.
const (
	ReasonStop      = "Stop"
	ReasonLength    = "Length"
	ReasonCancelled = "Cancelled"
)

type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	// phasePaused is a stream whose grace time ran out; it holds its tokens but no place in the queue.
	phasePaused
	phaseFinished
	// phaseLost is a stream that the engine no longer holds, because of a crash, a restart of the stream or its expiry.
	phaseLost
)

// stream is one generation. The engine's mutex guards it.
type stream struct {
	request model.EngineRequest
	seed    uint64
	length  int
	// arrival orders streams of the same priority.
	arrival int64
	phase   phase
	// prefill is the time that is left to read the prompt, in the engine's time.
	prefill time.Duration
	// credit is the part of the next token that is done.
	credit   float64
	produced int
	// segments cover [0, produced); each ends where the next begins.
	segments []segment
	reason   string
	// connection is the number of the connection that the stream is sent on; zero for none.
	connection int64
	detached   time.Time
	deadline   time.Time
	// changed is closed and replaced when there is something to send.
	changed chan struct{}
}

type segment struct {
	version model.WeightVersion
	to      int
}

func newStream(request model.EngineRequest, settings Settings, now time.Time) *stream {
	seed := seedStream(request.Stream)
	s := &stream{
		request: request, seed: seed, changed: make(chan struct{}),
		length: chooseLength(seed, settings.MedianTokens, settings.SigmaTokens),
		reason: ReasonStop,
	}
	if s.length > request.MaxTokens {
		s.length, s.reason = request.MaxTokens, ReasonLength
	}
	if request.Timeout > 0 {
		s.deadline = now.Add(request.Timeout.Std())
	}
	return s
}

// seedStream leaves out the last element of the id, so that each try of a sample has the same length.
func seedStream(id model.StreamID) uint64 {
	name := string(id)
	if at := strings.LastIndexByte(name, '/'); at >= 0 {
		name = name[:at]
	}
	return uint64(model.NewFingerprint(name))
}

func chooseLength(seed uint64, median, sigma float64) int {
	random := rand.New(rand.NewPCG(seed, 0))
	return max(1, int(math.Round(median*math.Exp(sigma*random.NormFloat64()))))
}

// TokenText returns the text of one token. It holds the version, so that a reader can check labels against texts.
func TokenText(id model.StreamID, index int, version model.WeightVersion) string {
	return tokenText(seedStream(id), index, version)
}

func tokenText(seed uint64, index int, version model.WeightVersion) string {
	const syllables = "bakadefigohujiloma"
	mixed := (seed ^ uint64(index+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	at := 2 * int((mixed>>33)%uint64(len(syllables)/2))
	return syllables[at:at+2] + "." + strconv.FormatInt(int64(version), 10) + " "
}

// produce appends tokens of a version.
func (s *stream) produce(count int, version model.WeightVersion) {
	s.produced += count
	if last := len(s.segments) - 1; last >= 0 && s.segments[last].version == version {
		s.segments[last].to = s.produced
		return
	}
	s.segments = append(s.segments, segment{version: version, to: s.produced})
}

// next returns the chunk at an index; an incomplete one only when its version has ended or the stream is finished.
func (s *stream) next(from, size int) (model.Chunk, bool) {
	for _, part := range s.segments {
		if part.to <= from {
			continue
		}
		to := min(part.to, from+size)
		if to-from < size && part.to == s.produced && s.phase != phaseFinished {
			return model.Chunk{}, false
		}
		var text strings.Builder
		for index := from; index < to; index++ {
			text.WriteString(tokenText(s.seed, index, part.version))
		}
		return model.Chunk{From: from, To: to, Text: text.String(), Version: part.version}, true
	}
	return model.Chunk{}, false
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
