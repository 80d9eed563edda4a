package jujubeorganisation

import (
	"strings"
	"time"

	"jujubepier.example/core/modules/jujubeclock"
)

const (
	// maxHeaderBytes bounds the value of the Authorization header.
	maxHeaderBytes = 512
	// scheme is the authentication scheme of API keys; schemes are compared without regard to case.
	scheme = "Bearer"
	// revokeMargin is how much earlier than the bound a view counts as too old.
	revokeMargin = 500 * time.Millisecond
)

// MaxDenialAge is the greatest age of the view from which a key or a route is denied: less than half of the time in which an addition
// has to be in force.
const MaxDenialAge = time.Second

// Problem is why a request has no known key.
type Problem string

// Problems of a request's credentials.
const (
	NoProblem  Problem = ""
	KeyMissing Problem = "KeyMissing"
	// KeyMalformed means that the Authorization header is repeated, too long, or isn't a bearer token.
	KeyMalformed Problem = "KeyMalformed"
	KeyUnknown   Problem = "KeyUnknown"
)

// Authenticate returns the organisation whose key the values of a request's Authorization header contain.
func (d *Directory) Authenticate(authorization []string) (Organisation, Problem) {
	switch {
	case len(authorization) == 0:
		return Organisation{}, KeyMissing
	case len(authorization) > 1 || len(authorization[0]) > maxHeaderBytes:
		return Organisation{}, KeyMalformed
	}
	name, key, _ := strings.Cut(authorization[0], " ")
	key = strings.TrimLeft(key, " ")
	if !strings.EqualFold(name, scheme) || !isToken(key) {
		return Organisation{}, KeyMalformed
	}
	organisation, ok := d.Find(NewDigest(key))
	if !ok {
		return Organisation{}, KeyUnknown
	}
	return organisation, NoProblem
}

// IsSendable reports whether a request's header can contain a key.
func IsSendable(key string) bool {
	return isToken(key) && len(scheme)+1+len(key) <= maxHeaderBytes
}

// isToken reports whether a text consists of one or more visible ASCII characters.
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// View is what an instance knows of the organisations.
type View struct {
	// Directory is nil if the desired state has no organisations.
	Directory *Directory
	// Read is the time of the last complete read of the desired state, whether it brought a new version or not. The clock runs on
	// while the machine is suspended; otherwise a machine that resumes would take an old view for a recent one.
	Read jujubeclock.ReadTime
	// IsUncertain is true if a version between the one in force and the last one may have been missed; nothing is decided then.
	IsUncertain bool
}

// Decision is what to do with a request.
type Decision string

// Decisions on a request. Accept and Deny are final.
const (
	Accept Decision = "Accept"
	Deny   Decision = "Deny"
	// Wait means that the view is too old or uncertain to decide, and that the next read of the desired state may be awaited.
	Wait Decision = "Wait"
	// Refuse means that the view is too old or uncertain to decide.
	Refuse Decision = "Refuse"
)

// Verdict is the decision on a request with its inputs.
type Verdict struct {
	Decision Decision
	// Organisation is the key's, if there is no problem.
	Organisation Organisation
	Problem      Problem
	// Age is the age of the view that counted for the decision.
	Age time.Duration
}

// Decide decides on a request that has been received. bound is the time after which a revoked key isn't accepted, zero for no bound;
// mayWait is false once the request has waited as long as it may.
//
// The request was sent before now. So if a version was acknowledged longer than the bound before the request was sent, a view whose
// read was requested less than the bound before now includes that version.
//
// Without a directory every request is accepted, except that the bound holds for those that carry a key: organisations may have been
// published since.
func (v View) Decide(now jujubeclock.Instant, authorization []string, bound time.Duration, mayWait bool) Verdict {
	var verdict Verdict
	if v.Directory != nil {
		verdict.Organisation, verdict.Problem = v.Directory.Authenticate(authorization)
	} else if bound <= 0 || len(authorization) == 0 {
		return Verdict{Decision: Accept, Age: now.Sub(v.Read.RequestedAt)}
	}
	if verdict.Problem == NoProblem {
		verdict.Age, verdict.Decision = now.Sub(v.Read.RequestedAt), Accept
		if !v.IsUncertain && (bound <= 0 || verdict.Age < bound-revokeMargin) {
			return verdict
		}
	} else {
		verdict.Age, verdict.Decision = now.Sub(v.Read.ReadAt), Deny
		if !v.IsUncertain && verdict.Age <= MaxDenialAge {
			return verdict
		}
	}
	verdict.Decision = Refuse
	if mayWait {
		verdict.Decision = Wait
	}
	return verdict
}
