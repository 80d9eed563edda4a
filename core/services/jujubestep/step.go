// Package jujubestep decides about step parts: which streams to start, which to discard, and which groups a pull gets.
package jujubestep

import (
	"cmp"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Settings are the constants of the package; zero fields get the defaults named here.
type Settings struct {
	// Owner is part of each stream id, so that two owners of the same attempt never start the same id. The program
	// sets the instance and its incarnation; it has no slash.
	Owner string
	// MaxParts (256), MaxSamples (16,384) and MaxPromptBytes (64 MiB) bound the memory of one instance.
	MaxParts       int
	MaxSamples     int
	MaxPromptBytes int
	// MaxTokens (1 Mi) bounds the length of one sample.
	MaxTokens int
	// MaxStarting (256) bounds the streams that were asked for and aren't running yet.
	MaxStarting int
	// RetryDelay (100 ms) doubles with each failure of a sample up to MaxRetryDelay (5 s).
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	// ResumeWait (300 ms) is how long a part with an attempt above 1 waits for streams that engines hold.
	ResumeWait time.Duration
	// StallTimeout (30 s) is how long a running stream may report nothing before it counts as lost. It must exceed the
	// time for which engines stop generating while they load weights.
	StallTimeout time.Duration
	// Retain (60 s) is how long a part that has ended still answers pulls.
	Retain time.Duration
	// FenceRetain (10 min) is how long the highest attempt of a part is remembered; at most MaxFences (4,096, and
	// always more than MaxParts) are.
	FenceRetain time.Duration
	MaxFences   int
	// SecondRunShare (0.05) bounds the second runs of a part by its number of samples; one is always allowed.
	SecondRunShare float64
	// SecondRunFactor (2) is how many times a new run's time the remaining time must exceed.
	SecondRunFactor float64
	// SecondRunBasis (8) is how many finished samples of the part are needed for an estimate; a quarter of the part
	// is enough in small parts.
	SecondRunBasis int
}

func (s Settings) withDefaults() Settings {
	s.MaxParts = cmp.Or(s.MaxParts, 256)
	s.MaxSamples = cmp.Or(s.MaxSamples, 16384)
	s.MaxPromptBytes = cmp.Or(s.MaxPromptBytes, 64<<20)
	s.MaxTokens = cmp.Or(s.MaxTokens, 1<<20)
	s.MaxStarting = cmp.Or(s.MaxStarting, 256)
	s.RetryDelay = cmp.Or(s.RetryDelay, 100*time.Millisecond)
	s.MaxRetryDelay = cmp.Or(s.MaxRetryDelay, 5*time.Second)
	s.ResumeWait = cmp.Or(s.ResumeWait, 300*time.Millisecond)
	s.StallTimeout = cmp.Or(s.StallTimeout, 30*time.Second)
	s.Retain = cmp.Or(s.Retain, time.Minute)
	s.FenceRetain = cmp.Or(s.FenceRetain, 10*time.Minute)
	s.MaxFences = max(cmp.Or(s.MaxFences, 4096), s.MaxParts+1)
	s.SecondRunShare = cmp.Or(s.SecondRunShare, 0.05)
	s.SecondRunFactor = cmp.Or(s.SecondRunFactor, 2)
	s.SecondRunBasis = cmp.Or(s.SecondRunBasis, 8)
	return s
}

// Steps holds the step parts of one entry instance. Its owner serialises the calls.
type Steps struct {
	settings Settings
	limits   model.Limits
	// parts is keyed by PartKey.String(); trainers' names have no slash, so that keys don't collide.
	parts *jujubetable.Table[string, *part]
	// streams holds exactly the streams of the samples in parts whose text may still be needed.
	streams map[model.StreamID]*stream
	// versions is the highest version each configured trainer has reported.
	versions map[model.TrainerID]model.WeightVersion
	// overlaps counts down how many more versions of a trainer are expected to come while its samples are being made: it
	// is set when one did and falls with each one that didn't. A trainer without an entry is taken to be one that does.
	overlaps map[model.TrainerID]int
	// fences is the highest attempt seen for a part, also from other instances; fenceOrder lists its keys, oldest first.
	fences     map[string]fence
	fenceOrder []string
	// starting counts the streams in state streamStarting; samples and promptBytes add up over unfinished parts.
	starting    int
	samples     int
	promptBytes int
	// turn rotates which part is served first, so that no part takes all starts.
	turn    int
	pending []Action
}

type fence struct {
	attempt int64
	at      time.Time
}

// New returns empty tables.
func New(settings Settings) *Steps {
	return &Steps{
		settings: settings.withDefaults(),
		parts:    jujubetable.New[string, *part](),
		streams:  make(map[model.StreamID]*stream),
		versions: make(map[model.TrainerID]model.WeightVersion),
		overlaps: make(map[model.TrainerID]int),
		fences:   make(map[string]fence),
	}
}

// SetLimits puts new limits in force. Parts keep the model and scorer they were accepted with; a changed staleness
// bound applies to them at once. Parts of a trainer that was removed continue with their last limits.
func (s *Steps) SetLimits(limits model.Limits) {
	s.limits = limits
	for _, p := range s.parts.All() {
		if trainer, ok := limits.Trainers[p.key.Trainer]; ok {
			p.bound = trainer.StalenessBound
			s.refresh(p)
		}
	}
	for trainer := range s.versions {
		if _, ok := limits.Trainers[trainer]; !ok {
			delete(s.versions, trainer)
			delete(s.overlaps, trainer)
		}
	}
}

// SetTrainerVersion records a trainer's version and discards what became too old. Versions only grow: lower ones, of
// late messages, have no effect.
func (s *Steps) SetTrainerVersion(_ time.Time, trainer model.TrainerID, version model.WeightVersion) {
	if _, ok := s.limits.Trainers[trainer]; !ok || version <= s.versions[trainer] {
		return
	}
	s.learnOverlap(trainer)
	s.versions[trainer] = version
	for _, p := range s.parts.All() {
		if p.key.Trainer == trainer {
			s.refresh(p)
		}
	}
}

// overlapKept is how many versions in a row must come between a trainer's steps until it is expected to go on like that.
const overlapKept = 3

// learnOverlap records, at a new version of a trainer, whether samples were being made for it.
func (s *Steps) learnOverlap(trainer model.TrainerID) {
	if s.versions[trainer] == 0 {
		return
	}
	for _, p := range s.parts.All() {
		if p.key.Trainer == trainer && p.ended.IsZero() && p.open() > 0 {
			s.overlaps[trainer] = overlapKept
			return
		}
	}
	s.overlaps[trainer] = max(0, s.overlaps[trainer]-1)
}

// isOverlapping tells whether a new version is expected while samples of the trainer are being made.
func (s *Steps) isOverlapping(trainer model.TrainerID) bool {
	left, known := s.overlaps[trainer]
	return !known || left > 0
}

// refresh applies the trainer's version and bound to a part.
func (s *Steps) refresh(p *part) {
	p.floor = max(s.versions[p.key.Trainer]-p.bound, 0)
	for _, g := range p.groups {
		if g.state != groupOpen {
			continue
		}
		for _, sm := range g.samples {
			for _, st := range slices.Clone(sm.all()) {
				if st.oldest != 0 && st.oldest < p.floor {
					s.discard(p, st, CauseStale)
				}
			}
		}
	}
}

// Parts returns the state of all parts in key order.
func (s *Steps) Parts() []model.PartStatus {
	var all []model.PartStatus
	for _, p := range s.parts.All() {
		status := model.PartStatus{
			Key: p.key, Attempt: p.attempt, Groups: p.total, Delivered: p.confirmed + len(p.handed),
			Discarded: make(map[string]int, len(p.discarded)),
		}
		for cause, count := range p.discarded {
			status.Discarded[string(cause)] = count
		}
		for _, g := range p.groups {
			for _, sm := range g.samples {
				status.Running += len(sm.streams)
			}
		}
		all = append(all, status)
	}
	return all
}

// HasOpen tells whether a trainer still has to take or confirm groups. Parts that have ended are retained for a while; a
// shutdown needn't wait for that.
func (s *Steps) HasOpen() bool {
	for _, p := range s.parts.All() {
		for _, g := range p.groups {
			if g.state != groupConfirmed && g.state != groupFailed {
				return true
			}
		}
	}
	return false
}

func (s *Steps) emit(action Action) { s.pending = append(s.pending, action) }

// raiseFence remembers the highest attempt of a part. When the table is full, the oldest entry without a part is evicted.
func (s *Steps) raiseFence(now time.Time, key string, attempt int64) {
	known, ok := s.fences[key]
	if ok && known.attempt >= attempt {
		return
	}
	if !ok {
		if len(s.fenceOrder) >= s.settings.MaxFences {
			// Parts are fewer than fences, so that there is one without a part.
			at := slices.IndexFunc(s.fenceOrder, func(old string) bool {
				_, held := s.parts.Get(old)
				return !held
			})
			delete(s.fences, s.fenceOrder[at])
			s.fenceOrder = slices.Delete(s.fenceOrder, at, at+1)
		}
		s.fenceOrder = append(s.fenceOrder, key)
	}
	s.fences[key] = fence{attempt: attempt, at: now}
}

// expireFences removes attempts that were last raised long ago and belong to no part.
func (s *Steps) expireFences(now time.Time) {
	s.fenceOrder = slices.DeleteFunc(s.fenceOrder, func(key string) bool {
		_, held := s.parts.Get(key)
		if held || now.Sub(s.fences[key].at) < s.settings.FenceRetain {
			return false
		}
		delete(s.fences, key)
		return true
	})
}
