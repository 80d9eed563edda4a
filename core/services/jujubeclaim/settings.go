// Package jujubeclaim decides whether a non-idempotent request may run, so that each idempotency key runs at most once.
package jujubeclaim

import (
	"strconv"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubedefault"
)

// Settings holds the limits of the key table. Zero fields take the value of DefaultSettings.
type Settings struct {
	// Validity is how long after its issue a key prefix may be used to start requests.
	Validity time.Duration
	// Margin is how long an outcome is kept after the end of the validity.
	Margin time.Duration
	// MaxKeys limits the number of keys of this incarnation, and separately that of imported keys.
	MaxKeys int
	// MaxResponseBytes limits the size of a stored response and MaxTotalResponseBytes the total of all of them.
	MaxResponseBytes      int
	MaxTotalResponseBytes int
	// RetryAfter is returned with decisions that may change.
	RetryAfter time.Duration
}

// DefaultSettings returns settings that keep the control state of an entry instance below 32 MB.
func DefaultSettings() Settings {
	return Settings{
		Validity:              10 * time.Minute,
		Margin:                time.Minute,
		MaxKeys:               65536,
		MaxResponseBytes:      64 << 10,
		MaxTotalResponseBytes: 8 << 20,
		RetryAfter:            time.Second,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	jujubedefault.Set(&s.Validity, d.Validity)
	jujubedefault.Set(&s.Margin, d.Margin)
	jujubedefault.Set(&s.MaxKeys, d.MaxKeys)
	jujubedefault.Set(&s.MaxResponseBytes, d.MaxResponseBytes)
	jujubedefault.Set(&s.MaxTotalResponseBytes, d.MaxTotalResponseBytes)
	jujubedefault.Set(&s.RetryAfter, d.RetryAfter)
	return s
}

// MaxKeyLength limits the length of a key, and thereby the memory use of the table.
const MaxKeyLength = 160

// Prefix identifies the incarnation that issued a key and the time of the issue.
type Prefix struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	// Issued is the time of the issue in Unix seconds, by the issuer's clock.
	Issued int64
}

// String returns the text to which callers append a tilde and their own part.
func (p Prefix) String() string {
	return string(p.Instance) + "~" + strconv.FormatInt(int64(p.Incarnation), 10) + "~" + strconv.FormatInt(p.Issued, 10)
}

// ParseKey returns the prefix of a key. Only the exact text that String returns is accepted, so that two spellings of a
// number can't yield two keys.
func ParseKey(key model.IdempotencyKey) (Prefix, bool) {
	parts := strings.SplitN(string(key), "~", 4)
	if len(key) > MaxKeyLength || len(parts) != 4 || parts[0] == "" || parts[3] == "" {
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

// Kind determines what to do with a request.
type Kind string

// Kinds of decisions.
const (
	// Run: dispatch the request and report the outcome with Finish.
	Run Kind = "Run"
	// InProgress: wait until Claims.Outcome returns the outcome of Decision.Key, then answer with it.
	InProgress Kind = "InProgress"
	// Repeat: answer with Decision.Outcome, the first outcome; its Ran is RanYes or RanUnknown.
	Repeat Kind = "Repeat"
	// Forward: forward the request to Decision.Owner. The receiver of a forwarded request doesn't forward it again but
	// answers Unknown.
	Forward Kind = "Forward"
	// Unknown: the key may have run on some instance; Code is the reason, and RetryAfter is set if a retry may help.
	Unknown Kind = "Unknown"
	// Refuse: the key didn't run and never will.
	Refuse Kind = "Refuse"
	// Conflict: the key was used for a request with another body.
	Conflict Kind = "Conflict"
)

// Outcome is the outcome of a request for which Decide returned Run.
type Outcome struct {
	// Ran is RanNo only if no byte of the request can have reached an endpoint.
	Ran model.Ran
	// Code and RetryAfter are those of the refusal, if the response isn't the endpoint's.
	Code       string
	RetryAfter time.Duration
	// Answer is the endpoint's response in the adapter's encoding. If it is too large to be stored, it is dropped and
	// Truncated is set: Ran is then known, but the body isn't.
	Answer    []byte
	Truncated bool
}

// Decision is the result of Decide.
type Decision struct {
	Kind Kind
	// Key is the key of the request to wait for, with InProgress.
	Key model.IdempotencyKey
	// Owner is set with Forward.
	Owner model.InstanceID
	// Outcome is set with Repeat, and with Refuse, where its Ran is RanNo.
	Outcome Outcome
	// Code is one of the codes of jujubeerror; it is set with Unknown, Refuse and Conflict.
	Code       string
	RetryAfter time.Duration
}

// Entry is a key and its outcome in a hand-over.
type Entry struct {
	Key     model.IdempotencyKey
	Body    model.Fingerprint
	Outcome Outcome
}

// Stats holds the sizes of a key table.
type Stats struct {
	Keys        int
	Imported    int
	InProgress  int
	AnswerBytes int
}
