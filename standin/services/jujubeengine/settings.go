package jujubeengine

import (
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
)

// Settings of an engine. Durations are in the engine's own time, which TimeScale speeds up, but for Step and Heartbeat.
type Settings struct {
	Listen     string
	ID         model.EndpointID
	DataCentre model.DataCentre
	Model      model.ModelName
	// InitialVersion serves after each start, also after a crash.
	InitialVersion model.WeightVersion
	// Slots is how many streams run at once.
	Slots int
	// MaxWaiting bounds the queue; a request beyond it is refused as overloaded.
	MaxWaiting int
	// TokensPerSecond is the rate of a stream that runs alone.
	TokensPerSecond float64
	// BatchSlowdown makes the rate TokensPerSecond / (1 + BatchSlowdown * (running - 1)).
	BatchSlowdown float64
	// PrefillTokensPerSecond is the rate at which prompts are read; a token is four bytes of prompt.
	PrefillTokensPerSecond float64
	// ChunkTokens is the number of tokens in a chunk, but for the last one and at a change of version.
	ChunkTokens int
	// MedianTokens and SigmaTokens are the parameters of the log-normal distribution of output lengths.
	MedianTokens float64
	SigmaTokens  float64
	// CachePrefixes bounds the prefix cache.
	CachePrefixes int
	// CacheEventLag is the age at which a cache event can be read.
	CacheEventLag time.Duration
	// CacheEventLoss is the share of cache events that can never be read.
	CacheEventLoss float64
	// LoadLag is the age of the reports of GET /v1/load.
	LoadLag time.Duration
	// Grace is how long a stream goes on after its connection broke.
	Grace time.Duration
	// Keep is how long a stream without a connection is held, from the break of its connection or its end.
	Keep time.Duration
	// SwapTime is the time that a swap takes; with StoreURL it comes on top of the fetch.
	SwapTime time.Duration
	// StoreURL is where weights are fetched from (http://host:port); empty for none.
	StoreURL string
	// CheckFence refuses orders whose fencing number is lower than the highest seen, and versions below the current one.
	CheckFence bool
	// CrashDowntime is the time from a crash to the next incarnation.
	CrashDowntime time.Duration
	// OnCrash replaces the crash and restart within the process, for engines that are processes of their own.
	OnCrash func()
	// TimeScale divides all the engine's times: at 10 a second takes 100 ms.
	TimeScale float64
	// Step is the interval at which generation advances.
	Step time.Duration
	// ListURL is the instance list to register at (http://host:port); empty for none.
	ListURL   string
	Heartbeat time.Duration
}

// DefaultSettings returns the settings of a middling engine. Callers set at least ID and Model.
func DefaultSettings() Settings {
	return Settings{
		Listen: "127.0.0.1:0", ID: "engine-1", DataCentre: "dc-a", Model: "model", InitialVersion: 1,
		Slots: 32, MaxWaiting: 1024, TokensPerSecond: 60, BatchSlowdown: 0.02, PrefillTokensPerSecond: 4000,
		ChunkTokens: 8, MedianTokens: 300, SigmaTokens: 0.8, CachePrefixes: 256,
		CacheEventLag: 500 * time.Millisecond, CacheEventLoss: 0.02, LoadLag: 500 * time.Millisecond,
		Grace: 10 * time.Second, Keep: 2 * time.Minute, SwapTime: 5 * time.Second, CheckFence: true,
		CrashDowntime: 5 * time.Second, TimeScale: 1, Step: 10 * time.Millisecond, Heartbeat: time.Second,
	}
}

func (s Settings) check() error {
	switch {
	case s.ID == "" || s.Model == "":
		return errors.New("ID and Model must be set")
	case s.Slots <= 0 || s.ChunkTokens <= 0 || s.TokensPerSecond <= 0 || s.PrefillTokensPerSecond <= 0:
		return errors.New("Slots, ChunkTokens and the token rates must be positive")
	case s.TimeScale <= 0 || s.Step <= 0 || s.Heartbeat <= 0:
		return errors.New("TimeScale, Step and Heartbeat must be positive")
	}
	return nil
}

// scaled converts a time of the engine to one of the clock.
func (s Settings) scaled(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / s.TimeScale)
}

// Faults of an engine (PUT /faults). They stay over a crash within the process.
type Faults struct {
	// CrashMarker crashes the engine when a stream whose prompt contains it gets a slot; empty for none.
	CrashMarker string
	// FailSwaps is the number of next swaps that fail at their end.
	FailSwaps int
	// HangSwaps keeps swaps from ending while it is set.
	HangSwaps bool
	// LoseOrderAnswers is the number of next orders that take effect but whose connection is closed without an answer.
	LoseOrderAnswers int
	// OmitVersions leaves the version out of chunks.
	OmitVersions bool
	// CutConnections is the number of next generate connections that are closed once CutAfterTokens were sent on them.
	CutConnections int
	CutAfterTokens int
	// Freeze stops generation, swaps and heartbeats and holds all calls while it is set.
	Freeze bool
	// SlowFactor divides the token rates; below 1 has no effect.
	SlowFactor float64
}
