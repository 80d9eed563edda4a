// Package jujubestep schedules the samples of trainers' step parts: which streams to start, which to discard, and which
// groups a pull returns.
package jujubestep

import (
	"cmp"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Settings are the limits and periods of the package; zero fields get the defaults given here.
type Settings struct {
	// Owner is part of each stream id, so that two owners of the same attempt never start the same id. The program sets it to
	// the instance and its incarnation; it must not contain a slash.
	Owner string
	// MaxParts (256), MaxSamples (16,384) and MaxPromptBytes (64 MiB) limit the memory of one instance.
	MaxParts       int
	MaxSamples     int
	MaxPromptBytes int
	// MaxTokens (1 Mi) limits the length of one sample.
	MaxTokens int
	// MaxStarting (256) limits the streams that were requested and aren't running yet.
	MaxStarting int
	// RetryDelay (100 ms) doubles with each failure of a sample up to MaxRetryDelay (5 s).
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	// ResumeWait (300 ms) is how long a part with an attempt above 1 waits for engines to report the streams they hold.
	ResumeWait time.Duration
	// StallTimeout (30 s) is how long a running stream may report nothing before it is treated as lost. It must exceed the
	// time for which engines stop generating while they load weights.
	StallTimeout time.Duration
	// PartRetention (60 s) is how long a part that has ended still responds to pulls.
	PartRetention time.Duration
	// KnownAttemptRetention (10 min) is how long the highest attempt of a part is remembered. MaxKnownAttempts (4,096, and
	// always more than MaxParts) limits the number of remembered attempts.
	KnownAttemptRetention time.Duration
	MaxKnownAttempts      int
	// HedgeShare (0.05) limits the hedged runs of a part to this share of its samples; one is always allowed.
	HedgeShare float64
	// HedgeFactor (2) is the factor by which a stream's remaining time must exceed the expected time of a new run.
	HedgeFactor float64
	// HedgeMinSamples (8) is how many finished samples of the part an estimate requires; in small parts, a quarter of the
	// samples suffices.
	HedgeMinSamples int
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
	s.PartRetention = cmp.Or(s.PartRetention, time.Minute)
	s.KnownAttemptRetention = cmp.Or(s.KnownAttemptRetention, 10*time.Minute)
	s.MaxKnownAttempts = max(cmp.Or(s.MaxKnownAttempts, 4096), s.MaxParts+1)
	s.HedgeShare = cmp.Or(s.HedgeShare, 0.05)
	s.HedgeFactor = cmp.Or(s.HedgeFactor, 2)
	s.HedgeMinSamples = cmp.Or(s.HedgeMinSamples, 8)
	return s
}

// Steps holds the step parts of one entry instance. It is not safe for concurrent use.
type Steps struct {
	settings Settings
	limits   model.Limits
	// parts is keyed by PartKey.String(). Trainer names have no slash, so keys don't collide.
	parts *jujubetable.Table[string, *part]
	// streams holds exactly the streams of the samples in parts whose text may still be needed.
	streams map[model.StreamID]*stream
	// trainerVersions holds the highest version that each configured trainer has reported.
	trainerVersions map[model.TrainerID]model.WeightVersion
	// expectedOverlaps holds, for each trainer, how many of its next versions are expected to arrive while its samples are
	// being generated. It is set to maxExpectedOverlaps when one did and decremented when one didn't. Trainers without an
	// entry are expected to overlap.
	expectedOverlaps map[model.TrainerID]int
	// knownAttempts holds the highest attempt of each part, also those accepted by other instances; knownAttemptOrder lists
	// its keys, oldest first.
	knownAttempts     map[string]knownAttempt
	knownAttemptOrder []string
	// starting counts the streams in state streamStarting; sampleCount and promptBytes are totals over unfinished parts.
	starting    int
	sampleCount int
	promptBytes int
	// roundRobin rotates which part is served first, so that no part uses up all starts.
	roundRobin     int
	pendingActions []Action
}

type knownAttempt struct {
	attempt    int64
	recordedAt time.Time
}

// New returns a Steps without parts.
func New(settings Settings) *Steps {
	return &Steps{
		settings:         settings.withDefaults(),
		parts:            jujubetable.New[string, *part](),
		streams:          make(map[model.StreamID]*stream),
		trainerVersions:  make(map[model.TrainerID]model.WeightVersion),
		expectedOverlaps: make(map[model.TrainerID]int),
		knownAttempts:    make(map[string]knownAttempt),
	}
}

// SetLimits applies new limits. Parts keep the model and scorer they were accepted with; a changed staleness bound applies to
// them immediately. Parts of a removed trainer continue with their last limits.
func (s *Steps) SetLimits(limits model.Limits) {
	s.limits = limits
	for _, p := range s.parts.All() {
		if trainer, ok := limits.Trainers[p.key.Trainer]; ok {
			p.stalenessBound = trainer.StalenessBound
			s.updateMinVersion(p)
		}
	}
	for trainer := range s.trainerVersions {
		if _, ok := limits.Trainers[trainer]; !ok {
			delete(s.trainerVersions, trainer)
			delete(s.expectedOverlaps, trainer)
		}
	}
}

// SetTrainerVersion records a trainer's version and discards what has become too old. Lower versions, from delayed messages,
// are ignored.
func (s *Steps) SetTrainerVersion(_ time.Time, trainer model.TrainerID, version model.WeightVersion) {
	if _, ok := s.limits.Trainers[trainer]; !ok || version <= s.trainerVersions[trainer] {
		return
	}
	s.updateExpectedOverlaps(trainer)
	s.trainerVersions[trainer] = version
	for _, p := range s.parts.All() {
		if p.key.Trainer == trainer {
			s.updateMinVersion(p)
		}
	}
}

// maxExpectedOverlaps is how many versions in a row must arrive between a trainer's steps before overlap is no longer
// expected.
const maxExpectedOverlaps = 3

// updateExpectedOverlaps records, when a trainer has a new version, whether samples were being generated for it.
func (s *Steps) updateExpectedOverlaps(trainer model.TrainerID) {
	if s.trainerVersions[trainer] == 0 {
		return
	}
	for _, p := range s.parts.All() {
		if p.key.Trainer == trainer && p.endedAt.IsZero() && p.openGroups() > 0 {
			s.expectedOverlaps[trainer] = maxExpectedOverlaps
			return
		}
	}
	s.expectedOverlaps[trainer] = max(0, s.expectedOverlaps[trainer]-1)
}

// isOverlapping reports whether a new version is expected while samples of the trainer are being generated.
func (s *Steps) isOverlapping(trainer model.TrainerID) bool {
	remaining, known := s.expectedOverlaps[trainer]
	return !known || remaining > 0
}

// updateMinVersion recomputes the lowest version that the part accepts, and discards streams below it.
func (s *Steps) updateMinVersion(p *part) {
	p.minVersion = max(s.trainerVersions[p.key.Trainer]-p.stalenessBound, 0)
	for _, g := range p.groups {
		if g.state != groupOpen {
			continue
		}
		for _, sm := range g.samples {
			for _, st := range slices.Clone(sm.keptStreams()) {
				if st.oldestVersion != 0 && st.oldestVersion < p.minVersion {
					s.discardStream(p, st, CauseStale)
				}
			}
		}
	}
}

// Parts returns the status of all parts in key order.
func (s *Steps) Parts() []model.PartStatus {
	var all []model.PartStatus
	for _, p := range s.parts.All() {
		status := model.PartStatus{
			Key: p.key, Attempt: p.attempt, Groups: p.groupCount, Delivered: p.confirmed + len(p.unconfirmed),
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

// HasOpenParts reports whether any group still has to be delivered or confirmed. Parts that have ended are retained for the time
// Retain; a shutdown needn't wait for them.
func (s *Steps) HasOpenParts() bool {
	for _, p := range s.parts.All() {
		for _, g := range p.groups {
			if g.state != groupConfirmed && g.state != groupFailed {
				return true
			}
		}
	}
	return false
}

func (s *Steps) emit(action Action) { s.pendingActions = append(s.pendingActions, action) }

// recordAttempt raises the highest known attempt of a part. When the table is full, the oldest entry without a part is
// evicted.
func (s *Steps) recordAttempt(now time.Time, key string, attempt int64) {
	known, ok := s.knownAttempts[key]
	if ok && known.attempt >= attempt {
		return
	}
	if !ok {
		if len(s.knownAttemptOrder) >= s.settings.MaxKnownAttempts {
			// MaxKnownAttempts exceeds MaxParts, so there is an entry without a part.
			index := slices.IndexFunc(s.knownAttemptOrder, func(old string) bool {
				_, held := s.parts.Get(old)
				return !held
			})
			delete(s.knownAttempts, s.knownAttemptOrder[index])
			s.knownAttemptOrder = slices.Delete(s.knownAttemptOrder, index, index+1)
		}
		s.knownAttemptOrder = append(s.knownAttemptOrder, key)
	}
	s.knownAttempts[key] = knownAttempt{attempt: attempt, recordedAt: now}
}

// expireKnownAttempts removes attempts that were recorded KnownAttemptRetention ago and belong to no part.
func (s *Steps) expireKnownAttempts(now time.Time) {
	s.knownAttemptOrder = slices.DeleteFunc(s.knownAttemptOrder, func(key string) bool {
		_, held := s.parts.Get(key)
		if held || now.Sub(s.knownAttempts[key].recordedAt) < s.settings.KnownAttemptRetention {
			return false
		}
		delete(s.knownAttempts, key)
		return true
	})
}
