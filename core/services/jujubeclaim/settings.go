// Package jujubeclaim decides whether a non-idempotent request may run, so that each idempotency key runs at most once.
package jujubeclaim

import (
	"strconv"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubedefault"
)

// Settings are the bounds of the key table; zero fields take the value of DefaultSettings.
type Settings struct {
	// Validity is how long after its issue a key prefix may start requests.
	Validity time.Duration
	// Margin is how long after the validity an outcome is still remembered.
	Margin time.Duration
	// MaxKeys bounds the own keys, and separately the imported ones.
	MaxKeys int
	// MaxAnswer bounds one remembered answer and MaxAnswerBytes all of them.
	MaxAnswer      int
	MaxAnswerBytes int
	// RetryAfter is given with answers that may change.
	RetryAfter time.Duration
}

// DefaultSettings returns settings for an entry instance whose control state stays below 32 MB.
func DefaultSettings() Settings {
	return Settings{
		Validity:       10 * time.Minute,
		Margin:         time.Minute,
		MaxKeys:        65536,
		MaxAnswer:      64 << 10,
		MaxAnswerBytes: 8 << 20,
		RetryAfter:     time.Second,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	jujubedefault.Set(&s.Validity, d.Validity)
	jujubedefault.Set(&s.Margin, d.Margin)
	jujubedefault.Set(&s.MaxKeys, d.MaxKeys)
	jujubedefault.Set(&s.MaxAnswer, d.MaxAnswer)
	jujubedefault.Set(&s.MaxAnswerBytes, d.MaxAnswerBytes)
	jujubedefault.Set(&s.RetryAfter, d.RetryAfter)
	return s
}

// MaxKey bounds the length of a key, and so the memory of the table.
const MaxKey = 160

// Prefix is what the owner issued a key with.
type Prefix struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// Issued is in Unix seconds of the owner's clock.
	Issued int64
}

// String gives the text that callers append a tilde and their own part to.
func (p Prefix) String() string {
	return string(p.Instance) + "~" + strconv.FormatInt(int64(p.Incarnation), 10) + "~" + strconv.FormatInt(p.Issued, 10)
}

// ParseKey returns the prefix of a key. Only the exact text that String gives is accepted, so that two spellings of a
// number can't make two keys.
func ParseKey(key model.IdempotencyKey) (Prefix, bool) {
	parts := strings.SplitN(string(key), "~", 4)
	if len(key) > MaxKey || len(parts) != 4 || parts[0] == "" || parts[3] == "" {
		return Prefix{}, false
	}
	incarnation, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return Prefix{}, false
	}
	issued, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return Prefix{}, false
	}
	prefix := Prefix{model.InstanceID(parts[0]), model.Incarnation(incarnation), issued}
	return prefix, strings.HasPrefix(string(key), prefix.String()+"~")
}

// Kind tells what to do with a request.
type Kind string

// Kinds of decisions.
const (
	// Run: dispatch the request and report the outcome with Finish.
	Run Kind = "Run"
	// InProgress: wait until Outcome gives the outcome of Decision.Key, then answer with it.
	InProgress Kind = "InProgress"
	// Repeat: answer with Decision.Outcome, the first one; its Ran is RanYes or RanUnknown.
	Repeat Kind = "Repeat"
	// Forward: ask Decision.Owner. The receiver of a forwarded request doesn't forward it again but answers Unknown.
	Forward Kind = "Forward"
	// Unknown: the key may have run somewhere; Code and RetryAfter say why and whether a repeat may help.
	Unknown Kind = "Unknown"
	// Refuse: the key didn't run and never will.
	Refuse Kind = "Refuse"
	// Conflict: the key was used for a request with another body.
	Conflict Kind = "Conflict"
)

// Outcome is what became of a request that Begin let run.
type Outcome struct {
	// Ran is RanNo only when no byte of the request can have reached an endpoint.
	Ran model.Ran
	// Code and RetryAfter are those of the refusal, when the answer isn't the endpoint's.
	Code       string
	RetryAfter time.Duration
	// Answer is the endpoint's answer in the adapter's encoding. It is dropped when it is too large to be remembered;
	// Truncated then tells that Ran is known and the body isn't.
	Answer    []byte
	Truncated bool
}

// Decision answers Begin.
type Decision struct {
	Kind Kind
	// Key names the request to wait for, with InProgress.
	Key model.IdempotencyKey
	// Owner is set with Forward.
	Owner model.InstanceID
	// Outcome is set with Repeat, and with Refuse for a key whose first copy was not run.
	Outcome Outcome
	// Code is one of the codes of jujubeerror, with Unknown, Refuse and Conflict.
	Code       string
	RetryAfter time.Duration
}

// Entry is a key in a hand-over.
type Entry struct {
	Key     model.IdempotencyKey
	Body    model.Fingerprint
	Outcome Outcome
}

// Stats describes the table.
type Stats struct {
	Keys        int
	Imported    int
	InProgress  int
	AnswerBytes int
}
