// Package jujuberouter chooses an endpoint for each request, queues requests and applies the limits.
//
// Queue: each model or service has three classes, interactive before trainer before background. A lower class that was
// passed over maxPassed times in a row while it had a dispatchable request goes next, so no class starves. Trainers
// within a class share by weight. Under overload the order stays oldest-first, and entries that can't meet their
// deadline at the present drain rate are refused at once. Newest-first was weighed: it also empties the queue of hopeless
// entries, but starves the oldest samples of a step, which the whole step waits for.
package jujuberouter

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubedefault"
)

// CodeCancelled is the code of the final decision of a waiting request that its caller cancelled.
const CodeCancelled = "Cancelled"

// Request asks for an endpoint.
type Request struct {
	// ID is unique among the requests that wait or are in flight.
	ID       model.RequestID
	Kind     model.EndpointKind
	Model    model.ModelName
	Service  model.ServiceName
	Caller   model.CallerID
	Trainer  model.TrainerID
	Priority model.Priority
	Arrived  time.Time
	// Deadline is replaced by Settings.MaxWait from now when zero.
	Deadline time.Time
	// Prefix is the cache key of the prompt; zero for none.
	Prefix uint64
	// Tokens bounds the tokens to generate; zero when unknown.
	Tokens int
	// MinVersion skips engines that reported an older version or none.
	MinVersion model.WeightVersion
	// PreferVersion narrows the choice to endpoints with this version while one of them has room.
	PreferVersion model.WeightVersion
	Exclude       []model.EndpointID
	// Only restricts the choice, also to endpoints that aren't watched.
	Only        []model.EndpointID
	Fingerprint model.Fingerprint
	// Held is true for a stream that the endpoint in Only holds already. It occupies its place there whether this instance
	// reads it or not, so neither the shares of the limits nor MinVersion hold it back; it counts in them.
	Held bool
	// Retry charges the request to the retry budget.
	Retry bool
}

// Outcome tells how a dispatched request ended. With neither OK nor Failed nor ConnectionRefused it says nothing about
// the endpoint's health.
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

// Decision is the answer to a request, with the inputs that led to it.
type Decision struct {
	Request     model.RequestID
	Kind        DecisionKind
	Endpoint    model.EndpointID
	Address     string
	Incarnation model.Incarnation
	Reason      string
	// Code is set for refusals only.
	Code       string
	RetryAfter time.Duration
	Policy     string
	// HeldElsewhere is true when this instance's share of a limit is zero, so that only other instances can serve.
	HeldElsewhere bool

	// Considered is how many endpoints could take the request.
	Considered   int
	ExpectedWait time.Duration
	Running      int
	Waiting      int
	// InFlight counts this instance's requests on the endpoint before the decision.
	InFlight     int
	CachedPrefix bool
}

// Settings are the router's constants; zero values are replaced by the defaults.
type Settings struct {
	// Instance seeds the choice of watched endpoints, so that instances watch different ones.
	Instance model.InstanceID
	// Watch bounds the watched endpoints per model or service.
	Watch int
	// Queue bounds the waiting requests.
	Queue int
	// MaxWait bounds the wait of requests without a deadline.
	MaxWait time.Duration
	// ServiceTime is assumed until the first request has finished.
	ServiceTime time.Duration
	// PrefillSaved is what a cached prefix is worth. It is fixed because cache events don't tell the prefix's length.
	PrefillSaved time.Duration
	// Prefixes bounds the cached prefixes that are remembered per endpoint.
	Prefixes int
	// CacheRecent is how long a used prefix is taken to survive a gap in the cache events.
	CacheRecent time.Duration
	// MaxReportLag bounds the age that a report's own time is trusted for, as clocks may differ.
	MaxReportLag time.Duration
	// Failures in a row put an endpoint aside; a refused connection does so at once.
	Failures int
	// AsideMin and AsideMax bound the exponential time aside.
	AsideMin, AsideMax time.Duration
	// RetryRatio and RetryBurst are the retry budget.
	RetryRatio, RetryBurst float64
	// ForgetRemoved is how long a removed endpoint's incarnation and leaving state are remembered.
	ForgetRemoved time.Duration
}

func (s Settings) withDefaults() Settings {
	jujubedefault.Set(&s.Watch, 24)
	jujubedefault.Set(&s.Queue, 4096)
	jujubedefault.Set(&s.MaxWait, time.Minute)
	jujubedefault.Set(&s.ServiceTime, 2*time.Second)
	jujubedefault.Set(&s.PrefillSaved, 150*time.Millisecond)
	jujubedefault.Set(&s.Prefixes, 1024)
	jujubedefault.Set(&s.CacheRecent, 2*time.Second)
	jujubedefault.Set(&s.MaxReportLag, 2*time.Second)
	jujubedefault.Set(&s.Failures, 3)
	jujubedefault.Set(&s.AsideMin, 500*time.Millisecond)
	jujubedefault.Set(&s.AsideMax, 15*time.Second)
	jujubedefault.Set(&s.RetryRatio, 0.1)
	jujubedefault.Set(&s.RetryBurst, 10)
	jujubedefault.Set(&s.ForgetRemoved, 10*time.Minute)
	return s
}
