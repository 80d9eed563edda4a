package jujubethrottle

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Class determines how a request gets a permit.
type Class int

const (
	// Interactive requests are those of callers and the runs of items. A denied Background
	// request of their instance doesn't hold them back.
	Interactive Class = iota
	// Background requests are scoring calls and polls of an engine's state.
	Background
	// Control requests may overdraw the bucket: an order decides on many later requests.
	Control
	numClasses
)

const (
	// controlOverdraft is the number of permits that Control requests may use in advance.
	controlOverdraft = 1
	// minRate is the lowest rate in requests a second. An endpoint that names a lower one still gets a request now and then,
	// whose response shows when the limit ends.
	minRate = 0.25
	// burstTime is the time for whose requests unused permits accumulate. Instances may disagree for about a second on which
	// of them is the gateway, and then two buckets are used.
	burstTime = 250 * time.Millisecond
	// permitTTL is how long permits may be used. At high rates an instance gets its share of the permits of this time at once, so
	// that not every request needs a call to the gateway.
	permitTTL = 250 * time.Millisecond
	// maxInvitation bounds the time until a denied request may ask again. These times are one permit apart, so that not all
	// instances ask for the next permit at once.
	maxInvitation = 500 * time.Millisecond
	// maxBatch bounds the permits that an instance gets at once, whatever rate an endpoint names.
	maxBatch = 64
	// gatewayBackoff is how long a gateway that didn't respond isn't asked again.
	gatewayBackoff = 1500 * time.Millisecond
)

// Decision is whether a request may be sent to an endpoint.
type Decision string

// Values of Decision.
const (
	// Permitted requests are sent; a permit was used if the endpoint is limited.
	Permitted Decision = "Permitted"
	// Denied requests aren't sent; no permit is available before RetryAt.
	Denied Decision = "Denied"
	// Ask means that the endpoint's gateway has to be asked for a permit.
	Ask Decision = "Ask"
)

// Verdict is a decision with the time of the next permit.
type Verdict struct {
	Decision Decision
	// RetryAt is when another permit may be available; zero if one is available now or that isn't known.
	RetryAt time.Time
}

// permits is what an instance has received from the gateway of an endpoint.
type permits struct {
	// left is the number of unused permits, which are valid until expiry.
	left   int
	expiry time.Time
	// deniedUntil is when the gateway may have a permit again, by class.
	deniedUntil [numClasses]time.Time
	// silentUntil is until when the gateway, which didn't respond, isn't asked again.
	silentUntil time.Time
}

// issuer issues the permits of an endpoint.
type issuer struct {
	bucket bucket
	// invitedUntil is the latest time at which a denied request may ask again.
	invitedUntil time.Time
}

// Check decides on a request to an endpoint whose gateway is the given instance; isGateway is true if that is this instance.
func (t *Throttle) Check(now time.Time, id model.EndpointID, class Class, isGateway bool) Verdict {
	l, ok := t.limits.Get(id)
	switch {
	case !ok || !l.limited:
		return Verdict{Decision: Permitted}
	case isGateway:
		return l.issued.take(now, l.perSecond, class)
	case now.Before(l.permits.silentUntil):
		return t.takeShare(now, l)
	case l.permits.left > 0 && now.Before(l.permits.expiry):
		l.permits.left--
		return Verdict{Decision: Permitted}
	case now.Before(l.permits.deniedUntil[class]):
		return Verdict{Decision: Denied, RetryAt: l.permits.deniedUntil[class]}
	}
	return Verdict{Decision: Ask}
}

// takeShare decides by this instance's own share of the rate.
func (t *Throttle) takeShare(now time.Time, l *limit) Verdict {
	return l.share.take(now, max(l.perSecond, minRate)/float64(t.liveCount), 0)
}

// Request asks an endpoint's gateway for a permit. Its notice is what the asking instance knows.
type Request struct {
	Notice Notice
	Class  Class
}

// Reply is the gateway's reply to a Request. Its notice is what the gateway knows.
type Reply struct {
	Notice Notice
	// Permits is the number of requests that may be sent within permitTTL; zero if the request is denied.
	Permits int
	// RetryAfter is how long no other permit will be available; zero if one is available now.
	RetryAfter model.Duration
}

// NewRequest returns the request for a permit.
func (t *Throttle) NewRequest(now time.Time, id model.EndpointID, class Class) Request {
	return Request{Notice: t.notice(now, id), Class: class}
}

// Issue handles another instance's request for a permit, whose notice has been applied.
func (t *Throttle) Issue(now time.Time, request Request) Reply {
	l, ok := t.limits.Get(request.Notice.Endpoint)
	if !ok || !l.limited {
		return Reply{Notice: t.notice(now, request.Notice.Endpoint), Permits: 1}
	}
	reply := Reply{Notice: t.notice(now, request.Notice.Endpoint)}
	batch := int(max(1, min(maxBatch, l.perSecond*permitTTL.Seconds()/float64(t.liveCount))))
	for reply.Permits < batch {
		verdict := l.issued.take(now, l.perSecond, request.Class)
		reply.RetryAfter = 0
		if !verdict.RetryAt.IsZero() {
			reply.RetryAfter = model.Duration(verdict.RetryAt.Sub(now))
		}
		if verdict.Decision != Permitted {
			break
		}
		reply.Permits++
	}
	return reply
}

// HandleReply applies the gateway's reply to a request for a permit, whose notice has been applied, and decides on the request
// that asked for it.
func (t *Throttle) HandleReply(now time.Time, class Class, reply Reply) Verdict {
	l, ok := t.limits.Get(reply.Notice.Endpoint)
	if !ok || !l.limited {
		return Verdict{Decision: Permitted}
	}
	l.share, l.permits.silentUntil = bucket{}, time.Time{}
	verdict := Verdict{Decision: Permitted}
	if reply.RetryAfter > 0 {
		l.permits.deniedUntil[class] = now.Add(reply.RetryAfter.Std())
	}
	switch {
	case reply.Permits > 1:
		l.permits.left, l.permits.expiry = reply.Permits-1, now.Add(permitTTL)
		return verdict
	case reply.Permits == 0:
		verdict.Decision = Denied
	}
	if reply.RetryAfter > 0 {
		verdict.RetryAt = l.permits.deniedUntil[class]
	}
	return verdict
}

// HandleNoReply records that the gateway didn't respond, and decides on the request that asked for a permit by this instance's
// own share.
func (t *Throttle) HandleNoReply(now time.Time, id model.EndpointID) Verdict {
	l, ok := t.limits.Get(id)
	if !ok || !l.limited {
		return Verdict{Decision: Permitted}
	}
	l.permits.silentUntil = now.Add(gatewayBackoff)
	return t.takeShare(now, l)
}

// take decides on a request of a class and uses a token if it is permitted.
func (i *issuer) take(now time.Time, rate float64, class Class) Verdict {
	rate = max(rate, minRate)
	overdraft := 0.0
	if class == Control {
		overdraft = controlOverdraft
	}
	verdict := i.bucket.take(now, rate, overdraft)
	if verdict.Decision != Permitted {
		return i.invite(now, rate, verdict)
	}
	verdict.RetryAt = i.bucket.check(now, rate, overdraft).RetryAt
	return verdict
}

// invite sets the time at which a denied request may ask again to one permit after that of the denial before it.
func (i *issuer) invite(now time.Time, rate float64, verdict Verdict) Verdict {
	interval := time.Duration(float64(time.Second) / rate)
	if next := i.invitedUntil.Add(interval); next.After(verdict.RetryAt) {
		verdict.RetryAt = next
	}
	if latest := now.Add(max(maxInvitation, interval)); verdict.RetryAt.After(latest) {
		verdict.RetryAt = latest
	}
	i.invitedUntil = verdict.RetryAt
	return verdict
}

// bucket is a token bucket. It begins empty: when it is created, the endpoint has just received requests from all instances.
type bucket struct {
	// tokens may be negative after an overdraft.
	tokens     float64
	refilledAt time.Time
}

// take uses a token if there is one, counting the overdraft.
func (b *bucket) take(now time.Time, rate, overdraft float64) Verdict {
	verdict := b.check(now, rate, overdraft)
	if verdict.Decision == Permitted {
		b.tokens--
	}
	return verdict
}

// check refills the bucket and decides without using a token.
func (b *bucket) check(now time.Time, rate, overdraft float64) Verdict {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(1+rate*burstTime.Seconds(), b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	}
	if b.refilledAt.IsZero() || now.After(b.refilledAt) {
		b.refilledAt = now
	}
	if b.tokens+overdraft >= 1 {
		return Verdict{Decision: Permitted}
	}
	missing := time.Duration((1 - overdraft - b.tokens) / rate * float64(time.Second))
	return Verdict{Decision: Denied, RetryAt: now.Add(missing + time.Millisecond)}
}
