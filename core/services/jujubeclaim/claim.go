package jujubeclaim

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/modules/jujubeerror"
)

// claim is the state of a key that was admitted to run here or that a predecessor handed over.
type claim struct {
	body model.Fingerprint
	// finished is set with the first outcome, which no other outcome replaces.
	finished bool
	imported bool
	outcome  Outcome
}

// owner identifies one incarnation of an instance.
type owner struct {
	instance    model.InstanceID
	incarnation model.Incarnation
}

// Claims is the table of the keys of one incarnation and of the keys that were handed over to it. It has one owner and is
// not safe for concurrent use.
//
// A key runs at most once because only the incarnation in its prefix returns Run, only while the key is absent from its
// table, and because no key is removed from the table while it could still run.
type Claims struct {
	self     owner
	settings Settings
	frozen   bool
	// latestTime is the latest time that was passed in. Expiry is based on it, so that keys stay expired when the clock is
	// set back.
	latestTime time.Time
	claims     map[model.IdempotencyKey]*claim
	// keysByIssueSecond holds the keys by the second of their issue. They are removed from the table in this order.
	keysByIssueSecond *jujubetable.Table[int64, []model.IdempotencyKey]
	// currentIncarnations is the newest known incarnation of each other instance; absent if the instance is gone.
	currentIncarnations map[model.InstanceID]model.Incarnation
	successors          map[owner]successor
	ownCount            int
	importedCount       int
	inProgressCount     int
	responseBytes       int
}

// successor is the instance that took over the keys of an incarnation.
type successor struct {
	instance   model.InstanceID
	recordedAt time.Time
}

// New returns the empty key table of an incarnation.
func New(instance model.InstanceID, incarnation model.Incarnation, settings Settings) *Claims {
	return &Claims{
		self:                owner{instance, incarnation},
		settings:            settings.withDefaults(),
		claims:              make(map[model.IdempotencyKey]*claim),
		keysByIssueSecond:   jujubetable.New[int64, []model.IdempotencyKey](),
		currentIncarnations: make(map[model.InstanceID]model.Incarnation),
		successors:          make(map[owner]successor),
	}
}

// advanceClock raises latestTime to now if now is later.
func (c *Claims) advanceClock(now time.Time) {
	if now.After(c.latestTime) {
		c.latestTime = now
	}
}

// KeyPrefix returns the prefix that callers use for new keys from now on.
func (c *Claims) KeyPrefix(now time.Time) string {
	c.advanceClock(now)
	return Prefix{c.self.instance, c.self.incarnation, c.latestTime.Unix()}.String()
}

// Decide decides what to do with a request or a repetition of it.
func (c *Claims) Decide(now time.Time, key model.IdempotencyKey, body model.Fingerprint) Decision {
	c.advanceClock(now)
	prefix, ok := ParseKey(key)
	if !ok {
		return Decision{Kind: Refuse, Code: jujubeerror.CodeBadRequest, Outcome: Outcome{Ran: model.RanNo, Code: jujubeerror.CodeBadRequest}}
	}
	if claim, ok := c.claims[key]; ok {
		return decideKnown(key, claim, body)
	}
	if c.isExpired(prefix) {
		return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyExpired}
	}
	from := owner{prefix.Instance, prefix.Incarnation}
	if from != c.self {
		return c.decideForeign(from)
	}
	switch {
	case prefix.Issued > c.latestTime.Unix():
		// This process did not issue the prefix, but an earlier process with the same incarnation may have done so if the
		// clock was set back between the two starts.
		return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyExpired}
	case c.frozen:
		// RanNo holds without storing the key: an absent key didn't run here, and a frozen incarnation runs nothing more.
		return Decision{Kind: Refuse, Code: jujubeerror.CodeLeaving, Outcome: Outcome{Ran: model.RanNo, Code: jujubeerror.CodeLeaving}}
	case c.ownCount >= c.settings.MaxKeys:
		// Not a refusal with NotRun: the table is full, so that it can't be recorded, and a later repetition may run.
		return Decision{Kind: Unknown, Code: jujubeerror.CodeOverloaded, RetryAfter: c.settings.RetryAfter}
	}
	c.insert(key, prefix, &claim{body: body})
	return Decision{Kind: Run, Key: key}
}

// decideKnown decides for a key in the table. All repetitions of a request get the same response.
func decideKnown(key model.IdempotencyKey, claim *claim, body model.Fingerprint) Decision {
	switch {
	case claim.body != body:
		return Decision{Kind: Conflict, Key: key, Code: jujubeerror.CodeKeyConflict}
	case !claim.finished:
		return Decision{Kind: InProgress, Key: key, Code: jujubeerror.CodeInProgress}
	case claim.outcome.Ran == model.RanNo:
		return Decision{Kind: Refuse, Key: key, Outcome: claim.outcome, Code: claim.outcome.Code, RetryAfter: claim.outcome.RetryAfter}
	default:
		return Decision{Kind: Repeat, Key: key, Outcome: claim.outcome}
	}
}

// decideForeign decides which instance has the outcome of a key of another incarnation. It never states that the key
// didn't run.
func (c *Claims) decideForeign(from owner) Decision {
	if next, ok := c.successors[from]; ok {
		if next.instance == c.self.instance {
			return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyOwnerGone}
		}
		return Decision{Kind: Forward, Owner: next.instance}
	}
	current, ok := c.currentIncarnations[from.instance]
	switch {
	case from.instance == c.self.instance:
		return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyOwnerGone}
	case ok && current == from.incarnation:
		return Decision{Kind: Forward, Owner: from.instance}
	case !ok || current < from.incarnation:
		// The membership may not have reported the instance or that incarnation yet.
		return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyOwnerGone, RetryAfter: c.settings.RetryAfter}
	default:
		return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyOwnerGone}
	}
}

// isExpired reports whether a prefix was issued so long ago that its keys may not start requests any more.
func (c *Claims) isExpired(prefix Prefix) bool {
	return prefix.Issued+int64(c.settings.Validity/time.Second) <= c.latestTime.Unix()
}

func (c *Claims) insert(key model.IdempotencyKey, prefix Prefix, claim *claim) {
	c.claims[key] = claim
	keys, _ := c.keysByIssueSecond.Get(prefix.Issued)
	c.keysByIssueSecond.Put(prefix.Issued, append(keys, key))
	if claim.imported {
		c.importedCount++
	} else {
		c.ownCount++
	}
	if !claim.finished {
		c.inProgressCount++
	}
}

// Finish records the outcome of a key for which Decide returned Run. Only the first outcome counts.
func (c *Claims) Finish(now time.Time, key model.IdempotencyKey, outcome Outcome) {
	c.advanceClock(now)
	claim, ok := c.claims[key]
	if !ok || claim.finished {
		return
	}
	c.inProgressCount--
	claim.finished = true
	claim.outcome = c.retainResponse(outcome)
}

// retainResponse adds the size of an outcome's response to the total, or drops the response if it exceeds a limit. It
// sets an outcome that doesn't state whether the request ran to RanUnknown.
func (c *Claims) retainResponse(outcome Outcome) Outcome {
	if outcome.Ran == "" {
		outcome.Ran = model.RanUnknown
	}
	if len(outcome.Answer) > c.settings.MaxResponseBytes || c.responseBytes+len(outcome.Answer) > c.settings.MaxTotalResponseBytes {
		outcome.Answer, outcome.Truncated = nil, true
	}
	c.responseBytes += len(outcome.Answer)
	return outcome
}

// Outcome returns the outcome of a key once it has one. Requests for which Decide returned InProgress wait for it.
func (c *Claims) Outcome(key model.IdempotencyKey) (Outcome, bool) {
	claim, ok := c.claims[key]
	if !ok || !claim.finished {
		return Outcome{}, false
	}
	return claim.outcome, true
}

// SetIncarnation records the newest incarnation of an instance. A lower one than the known one is ignored.
func (c *Claims) SetIncarnation(instance model.InstanceID, incarnation model.Incarnation) {
	if incarnation >= c.currentIncarnations[instance] {
		c.currentIncarnations[instance] = incarnation
	}
}

// SetSuccessor records which instance holds the frozen keys of an incarnation.
func (c *Claims) SetSuccessor(from model.InstanceID, incarnation model.Incarnation, to model.InstanceID) {
	c.successors[owner{from, incarnation}] = successor{to, c.latestTime}
}

// Expire removes the keys whose prefix expired more than Settings.Margin ago. A key in progress is kept until it finishes.
func (c *Claims) Expire(now time.Time) {
	c.advanceClock(now)
	retention := int64((c.settings.Validity + c.settings.Margin) / time.Second)
	for second, keys := range c.keysByIssueSecond.All() {
		if second+retention > c.latestTime.Unix() {
			break
		}
		var kept []model.IdempotencyKey
		for _, key := range keys {
			if claim := c.claims[key]; !claim.finished {
				kept = append(kept, key)
			} else {
				c.remove(key, claim)
			}
		}
		if len(kept) == 0 {
			c.keysByIssueSecond.Delete(second)
		} else {
			c.keysByIssueSecond.Put(second, kept)
		}
	}
	// The iteration order doesn't affect the result.
	for from, next := range c.successors {
		if c.latestTime.Sub(next.recordedAt) > c.settings.Validity+c.settings.Margin {
			delete(c.successors, from)
		}
	}
}

func (c *Claims) remove(key model.IdempotencyKey, claim *claim) {
	delete(c.claims, key)
	c.responseBytes -= len(claim.outcome.Answer)
	if claim.imported {
		c.importedCount--
	} else {
		c.ownCount--
	}
}

// Stats returns the current sizes of the table.
func (c *Claims) Stats() Stats {
	return Stats{Keys: c.ownCount, Imported: c.importedCount, InProgress: c.inProgressCount, AnswerBytes: c.responseBytes}
}
