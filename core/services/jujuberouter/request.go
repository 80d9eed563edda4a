// Package jujuberouter chooses an endpoint for each request, queues requests and applies limits.
//
// Each model or service has a queue with three priority classes: interactive before trainer before background. A lower class
// that was skipped maxSkips times in a row while it had an eligible request goes next, so no class starves. Within a class, lower
// levels go first, and trainers and organisations of one level share by weight; an organisation of which much less is served than of
// all goes before. Under overload the order stays oldest first, and requests that can't meet their deadline at the
// current dequeue rate are refused at once. Newest first would also clear the queue of requests that can't meet their deadline, but
// it starves the oldest samples of a step, and the whole step waits for those.
package jujuberouter

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubedefault"
	"jujubepier.example/core/services/jujubeprompt"
)

// CodeCancelled is the code of the final decision on a waiting request that its caller cancelled.
const CodeCancelled = "Cancelled"

// Request asks for an endpoint.
type Request struct {
	// ID is unique among the requests that wait or are in flight.
	ID      model.RequestID
	Kind    model.EndpointKind
	Model   model.ModelName
	Service model.ServiceName
	Caller  model.CallerID
	Trainer model.TrainerID
	// Organisation is the caller's; empty for none. Waiting requests of different organisations are served in turn.
	Organisation model.OrganisationName `json:",omitempty"`
	// Level orders waiting requests of one priority; those of a lower level are served first.
	Level    int `json:",omitempty"`
	Priority model.Priority
	Arrived  time.Time
	// Deadline defaults to Settings.MaxWait from now when zero.
	Deadline time.Time
	// Prefix is the cache key of the prompt's prefix; zero for none.
	Prefix uint64
	// Prompt lists the parts of the prompt with their tokens; it takes precedence over Prefix.
	Prompt jujubeprompt.Prompt `json:",omitempty"`
	// Tokens is the maximum number of tokens to generate; zero when unknown.
	Tokens int
	// MinVersion excludes engines that reported an older version or none.
	MinVersion model.WeightVersion
	// PreferVersion restricts the choice to endpoints with this version or a later one while one of them has capacity.
	PreferVersion model.WeightVersion
	// SoftwareVersion restricts the choice to endpoints of this version; empty for no restriction.
	SoftwareVersion model.SoftwareVersion `json:",omitempty"`
	// Exclude lists endpoints that must not be chosen.
	Exclude []model.EndpointID
	// Only restricts the choice to the listed endpoints, which need not be watched ones.
	Only        []model.EndpointID
	Fingerprint model.Fingerprint
	// Held is true for a stream that the endpoint in Only already runs. It occupies a slot there whether this instance reads it
	// or not, so it is dispatched regardless of this instance's shares and of MinVersion. It still counts towards the shares.
	Held bool
	// SecondCopy is true for a copy of a request that is in flight at another endpoint. While requests are held, it is dispatched
	// regardless of the waiting ones, as the caller waits for it already.
	SecondCopy bool `json:",omitempty"`
	// Retry marks a retry, which is charged to the retry budget.
	Retry bool
}

// Outcome describes how a dispatched request ended. If none of OK, Failed and ConnectionRefused is set, the endpoint's health is
// unaffected.
type Outcome struct {
	OK                bool
	Tokens            int
	Failed            bool
	ConnectionRefused bool
	Load              *model.LoadReport
}

// DecisionKind is what to do with a request.
type DecisionKind string

// Kinds of decisions. Dispatch and Refuse are final.
const (
	Dispatch DecisionKind = "Dispatch"
	Wait     DecisionKind = "Wait"
	Refuse   DecisionKind = "Refuse"
)

// isUnrestricted reports whether a request may use all endpoints of its pool.
func (r *Request) isUnrestricted() bool {
	return len(r.Only) == 0 && len(r.Exclude) == 0 && r.SoftwareVersion == ""
}

// allowsSoftware reports whether a request may use endpoints of a software version.
func (r *Request) allowsSoftware(version model.SoftwareVersion) bool {
	return r.SoftwareVersion == "" || r.SoftwareVersion == version
}

// Decision is the routing decision on a request, with the inputs that led to it.
type Decision struct {
	Request     model.RequestID
	Kind        DecisionKind
	Endpoint    model.EndpointID
	Address     string
	Incarnation model.Incarnation
	// SoftwareVersion is that of the endpoint; empty if it is unknown.
	SoftwareVersion model.SoftwareVersion `json:",omitempty"`
	Reason          string
	// Code is set for refusals only.
	Code       string
	RetryAfter time.Duration
	Policy     string
	// HeldElsewhere is true when this instance's share of a limit is zero, so that only other instances can serve the request.
	HeldElsewhere bool

	// Considered is the number of endpoints that could accept the request.
	Considered   int
	ExpectedWait time.Duration
	Running      int
	Waiting      int
	// InFlight is the number of this instance's requests on the endpoint before the decision.
	InFlight     int
	CachedPrefix bool
}

// Settings are the router's parameters; zero values are replaced by defaults.
type Settings struct {
	// Instance seeds the choice of watched endpoints, so that instances watch different ones.
	Instance model.InstanceID
	// MaxWatched bounds the watched endpoints per model or service, the subset that this instance normally dispatches to.
	MaxWatched int
	// MaxQueued bounds the number of waiting requests.
	MaxQueued int
	// MaxWait bounds the wait of requests without a deadline.
	MaxWait time.Duration
	// ServiceTime is the assumed service time until the first request has finished.
	ServiceTime time.Duration
	// PrefillSaved is the prefill time saved by a cached prefix. It is fixed because cache events don't contain the
	// prefix's length.
	PrefillSaved time.Duration
	// MaxPrefixes bounds the cached prefixes that are tracked per endpoint.
	MaxPrefixes int
	// CacheGapRetention is how recently a prefix must have been used to be kept after a gap in the cache events.
	CacheGapRetention time.Duration
	// PrefixRetention is how long after its last use a prefix counts as cached; zero for no limit, where cache events tell.
	PrefixRetention time.Duration
	// MaxReportLag bounds the age of a load report by its own timestamp; older timestamps are clamped, as clocks may differ.
	MaxReportLag time.Duration
	// EjectAfterFailures is the number of consecutive failures after which an endpoint is ejected. A refused connection ejects
	// it at once.
	EjectAfterFailures int
	// MinEjectionTime and MaxEjectionTime bound the ejection time, which grows exponentially.
	MinEjectionTime, MaxEjectionTime time.Duration
	// RetryRatio and RetryBurst define the retry budget: retries per request, and the maximum that accumulates.
	RetryRatio, RetryBurst float64
	// RemovedRetention is how long a removed endpoint's incarnation and leaving state are kept.
	RemovedRetention time.Duration
}

func (s Settings) withDefaults() Settings {
	jujubedefault.Set(&s.MaxWatched, 24)
	jujubedefault.Set(&s.MaxQueued, 4096)
	jujubedefault.Set(&s.MaxWait, time.Minute)
	jujubedefault.Set(&s.ServiceTime, 2*time.Second)
	jujubedefault.Set(&s.PrefillSaved, 150*time.Millisecond)
	jujubedefault.Set(&s.MaxPrefixes, 1024)
	jujubedefault.Set(&s.CacheGapRetention, 2*time.Second)
	jujubedefault.Set(&s.MaxReportLag, 2*time.Second)
	jujubedefault.Set(&s.EjectAfterFailures, 3)
	jujubedefault.Set(&s.MinEjectionTime, 500*time.Millisecond)
	jujubedefault.Set(&s.MaxEjectionTime, 15*time.Second)
	jujubedefault.Set(&s.RetryRatio, 0.1)
	jujubedefault.Set(&s.RetryBurst, 10)
	jujubedefault.Set(&s.RemovedRetention, 10*time.Minute)
	return s
}
