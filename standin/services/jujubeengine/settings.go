package jujubeengine

import (
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
)

// Settings configures an engine. Durations are in engine time, which TimeScale accelerates, except Step and Heartbeat,
// which are in real time.
type Settings struct {
	Listen     string
	ID         model.EndpointID
	DataCentre model.DataCentre
	Model      model.ModelName
	// SoftwareVersion is reported to the instance list; empty for none.
	SoftwareVersion model.SoftwareVersion
	// InitialVersion is the weight version served after each start, including a restart after a crash.
	InitialVersion model.WeightVersion
	// Slots is the maximum number of streams that run at the same time.
	Slots int
	// MaxWaiting is the maximum length of the queue; further requests are refused with Overloaded.
	MaxWaiting int
	// TokensPerSecond is the generation rate of a stream that runs alone.
	TokensPerSecond float64
	// BatchSlowdown reduces the rate per stream to TokensPerSecond / (1 + BatchSlowdown * (running - 1)).
	BatchSlowdown float64
	// PrefillTokensPerSecond is the rate at which prompts are processed; four bytes of prompt count as one token.
	PrefillTokensPerSecond float64
	// ChunkTokens is the number of tokens in a chunk. The last chunk and the one before a change of version may be shorter.
	ChunkTokens int
	// MedianTokens and SigmaTokens are the parameters of the log-normal distribution of output lengths.
	MedianTokens float64
	SigmaTokens  float64
	// CachePrefixes is the capacity of the prefix cache; zero disables it.
	CachePrefixes int
	// CacheEventLag is the delay after which a cache event becomes readable.
	CacheEventLag time.Duration
	// CacheEventLoss is the fraction of cache events that are dropped.
	CacheEventLoss float64
	// LoadLag is the age of the state that GET /v1/load reports.
	LoadLag time.Duration
	// Grace is how long a stream continues to generate after its connection broke.
	Grace time.Duration
	// Keep is how long a paused or finished stream stays available for resumption after its connection closed.
	Keep time.Duration
	// SwapTime is the duration of a swap, in addition to the fetch from StoreURL, if set.
	SwapTime time.Duration
	// StoreURL is the weight store to fetch weights from (http://host:port); empty for no fetch.
	StoreURL string
	// CheckFence refuses orders whose fencing token is lower than the highest one received, and orders for a version
	// below the current one or between the current one and the one being loaded.
	CheckFence bool
	// CrashDowntime is the time from a crash to the next incarnation.
	CrashDowntime time.Duration
	// OnCrash, if set, is called instead of the in-process crash and restart, for engines that run as separate processes.
	OnCrash func()
	// TimeScale divides all durations in engine time: at 10, one second takes 100 ms.
	TimeScale float64
	// Step is the interval between updates of the generation.
	Step time.Duration
	// ListURL is the instance list to register with (http://host:port); empty for none.
	ListURL string
	// Heartbeat is the interval between registrations.
	Heartbeat time.Duration
}

// DefaultSettings returns the settings of an average engine. Callers set at least ID and Model.
func DefaultSettings() Settings {
	return Settings{
		Listen: "127.0.0.1:0", ID: "engine-1", DataCentre: "dc-a", Model: "model", SoftwareVersion: "1.0", InitialVersion: 1,
		Slots: 32, MaxWaiting: 1024, TokensPerSecond: 60, BatchSlowdown: 0.02, PrefillTokensPerSecond: 4000,
		ChunkTokens: 8, MedianTokens: 300, SigmaTokens: 0.8, CachePrefixes: 256,
		CacheEventLag: 500 * time.Millisecond, CacheEventLoss: 0.02, LoadLag: 500 * time.Millisecond,
		Grace: 10 * time.Second, Keep: 2 * time.Minute, SwapTime: 5 * time.Second, CheckFence: true,
		CrashDowntime: 5 * time.Second, TimeScale: 1, Step: 10 * time.Millisecond, Heartbeat: time.Second,
	}
}

func (s Settings) validate() error {
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

// scaled converts a duration from engine time to real time.
func (s Settings) scaled(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / s.TimeScale)
}

// Faults are the faults that PUT /faults injects into an engine. They survive a crash within the process.
type Faults struct {
	// CrashMarker crashes the engine when a stream whose prompt contains this text is given a slot; empty for none.
	CrashMarker string
	// FailSwaps is the number of upcoming swaps that fail when they would complete.
	FailSwaps int
	// HangSwaps prevents swaps from completing while it is set.
	HangSwaps bool
	// LoseOrderAnswers is the number of upcoming orders that take effect but whose connection is closed without a response.
	LoseOrderAnswers int
	// OmitVersions omits the weight version from chunks.
	OmitVersions bool
	// CutConnections is the number of upcoming generate connections that are closed after CutAfterTokens tokens.
	CutConnections int
	// CutAfterTokens is the number of tokens sent on a connection before CutConnections closes it.
	CutAfterTokens int
	// Freeze stops generation, swaps and heartbeats and blocks all requests while it is set.
	Freeze bool
	// SlowFactor divides the token rates; values below 1 have no effect.
	SlowFactor float64
}
