package jujubeclaim

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/modules/jujubeerror"
)

// row is a key that was let run here or that a predecessor handed over.
type row struct {
	body model.Fingerprint
	// finished is set with the first outcome, which is never replaced by another.
	finished bool
	imported bool
	outcome  Outcome
}

// owner identifies one incarnation of an instance.
type owner struct {
	instance    model.InstanceID
	incarnation model.Incarnation
}

// Claims holds the keys of one incarnation and those that were handed over to it. It has one owner and is not safe for
// concurrent use.
//
// A key runs at most once because only the incarnation in its prefix returns Run, only while the key is absent from its
// table, and no key leaves the table before it can't run any more.
type Claims struct {
	self     owner
	settings Settings
	frozen   bool
	// latest is the highest time seen. Expiry is judged by it, so that a clock that is set back revives no key.
	latest time.Time
	rows   map[model.IdempotencyKey]*row
	// issued lists the keys by the second of their issue, in which order they leave the table.
	issued *jujubetable.Table[int64, []model.IdempotencyKey]
	// current is the newest known incarnation of each other instance, zero when it is gone.
	current    map[model.InstanceID]model.Incarnation
	successors map[owner]successor
	own        int
	imported   int
	running    int
	answers    int
}

// successor took over the keys of an incarnation at a time.
type successor struct {
	instance model.InstanceID
	at       time.Time
}

// New returns the empty key table of an incarnation.
func New(instance model.InstanceID, incarnation model.Incarnation, settings Settings) *Claims {
	return &Claims{
		self:       owner{instance, incarnation},
		settings:   settings.withDefaults(),
		rows:       make(map[model.IdempotencyKey]*row),
		issued:     jujubetable.New[int64, []model.IdempotencyKey](),
		current:    make(map[model.InstanceID]model.Incarnation),
		successors: make(map[owner]successor),
	}
}

func (c *Claims) advance(now time.Time) {
	if now.After(c.latest) {
		c.latest = now
	}
}

// KeyPrefix returns the prefix of the keys that callers may use from now on.
func (c *Claims) KeyPrefix(now time.Time) string {
	c.advance(now)
	return Prefix{c.self.instance, c.self.incarnation, c.latest.Unix()}.String()
}

// Begin decides about a copy of a request.
func (c *Claims) Begin(now time.Time, key model.IdempotencyKey, body model.Fingerprint) Decision {
	c.advance(now)
	prefix, ok := ParseKey(key)
	if !ok {
		return Decision{Kind: Refuse, Code: jujubeerror.CodeBadRequest, Outcome: Outcome{Ran: model.RanNo, Code: jujubeerror.CodeBadRequest}}
	}
	if r, ok := c.rows[key]; ok {
		return decideKnown(key, r, body)
	}
	if c.expired(prefix) {
		return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyExpired}
	}
	from := owner{prefix.Instance, prefix.Incarnation}
	if from != c.self {
		return c.decideForeign(from)
	}
	switch {
	case prefix.Issued > c.latest.Unix():
		// No such prefix was issued, but the clock may have been set back before a start with the same incarnation.
		return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyExpired}
	case c.frozen:
		// True without an entry: an absent key didn't run here, and this incarnation runs nothing any more.
		return Decision{Kind: Refuse, Code: jujubeerror.CodeLeaving, Outcome: Outcome{Ran: model.RanNo, Code: jujubeerror.CodeLeaving}}
	case c.own >= c.settings.MaxKeys:
		// Not a refusal with NotRun: it could not be remembered, and a later copy may run.
		return Decision{Kind: Unknown, Code: jujubeerror.CodeOverloaded, RetryAfter: c.settings.RetryAfter}
	}
	c.insert(key, prefix, &row{body: body})
	return Decision{Kind: Run, Key: key}
}

// decideKnown gives the same answer to each copy of a key.
func decideKnown(key model.IdempotencyKey, r *row, body model.Fingerprint) Decision {
	switch {
	case r.body != body:
		return Decision{Kind: Conflict, Key: key, Code: jujubeerror.CodeKeyConflict}
	case !r.finished:
		return Decision{Kind: InProgress, Key: key, Code: jujubeerror.CodeInProgress}
	case r.outcome.Ran == model.RanNo:
		return Decision{Kind: Refuse, Key: key, Outcome: r.outcome, Code: r.outcome.Code, RetryAfter: r.outcome.RetryAfter}
	default:
		return Decision{Kind: Repeat, Key: key, Outcome: r.outcome}
	}
}

// decideForeign finds who can answer for a key of another incarnation. It never claims that the key didn't run.
func (c *Claims) decideForeign(from owner) Decision {
	if next, ok := c.successors[from]; ok {
		if next.instance == c.self.instance {
			return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyOwnerGone}
		}
		return Decision{Kind: Forward, Owner: next.instance}
	}
	current, ok := c.current[from.instance]
	switch {
	case from.instance == c.self.instance:
		return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyOwnerGone}
	case ok && current == from.incarnation:
		return Decision{Kind: Forward, Owner: from.instance}
	case !ok || current < from.incarnation:
		// The membership may not have reported the instance or this incarnation yet.
		return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyOwnerGone, RetryAfter: c.settings.RetryAfter}
	default:
		return Decision{Kind: Unknown, Code: jujubeerror.CodeKeyOwnerGone}
	}
}

func (c *Claims) expired(prefix Prefix) bool {
	return prefix.Issued+int64(c.settings.Validity/time.Second) <= c.latest.Unix()
}

func (c *Claims) insert(key model.IdempotencyKey, prefix Prefix, r *row) {
	c.rows[key] = r
	keys, _ := c.issued.Get(prefix.Issued)
	c.issued.Put(prefix.Issued, append(keys, key))
	if r.imported {
		c.imported++
	} else {
		c.own++
	}
	if !r.finished {
		c.running++
	}
}

// Finish records the outcome of a key that Begin let run. Only the first outcome counts.
func (c *Claims) Finish(now time.Time, key model.IdempotencyKey, outcome Outcome) {
	c.advance(now)
	r, ok := c.rows[key]
	if !ok || r.finished {
		return
	}
	c.running--
	r.finished = true
	r.outcome = c.keep(outcome)
}

// keep drops an answer for which there is no room. An outcome that doesn't say whether the request ran is Unknown.
func (c *Claims) keep(outcome Outcome) Outcome {
	if outcome.Ran == "" {
		outcome.Ran = model.RanUnknown
	}
	if len(outcome.Answer) > c.settings.MaxAnswer || c.answers+len(outcome.Answer) > c.settings.MaxAnswerBytes {
		outcome.Answer, outcome.Truncated = nil, true
	}
	c.answers += len(outcome.Answer)
	return outcome
}

// Outcome returns the outcome of a key once it has one; it is what the copies that got InProgress wait for.
func (c *Claims) Outcome(key model.IdempotencyKey) (Outcome, bool) {
	r, ok := c.rows[key]
	if !ok || !r.finished {
		return Outcome{}, false
	}
	return r.outcome, true
}

// SetIncarnation records the newest incarnation of an instance; a lower one than known is ignored.
func (c *Claims) SetIncarnation(instance model.InstanceID, incarnation model.Incarnation) {
	if incarnation >= c.current[instance] {
		c.current[instance] = incarnation
	}
}

// SetSuccessor records which instance holds the frozen keys of an incarnation.
func (c *Claims) SetSuccessor(from model.InstanceID, incarnation model.Incarnation, to model.InstanceID) {
	c.successors[owner{from, incarnation}] = successor{to, c.latest}
}

// Tick removes the keys whose prefix expired more than the margin ago. A key in progress stays until it finishes.
func (c *Claims) Tick(now time.Time) {
	c.advance(now)
	remembered := int64((c.settings.Validity + c.settings.Margin) / time.Second)
	for second, keys := range c.issued.All() {
		if second+remembered > c.latest.Unix() {
			break
		}
		var kept []model.IdempotencyKey
		for _, key := range keys {
			if r := c.rows[key]; !r.finished {
				kept = append(kept, key)
			} else {
				c.remove(key, r)
			}
		}
		if len(kept) == 0 {
			c.issued.Delete(second)
		} else {
			c.issued.Put(second, kept)
		}
	}
	// The order of this loop has no effect on its result.
	for from, next := range c.successors {
		if c.latest.Sub(next.at) > c.settings.Validity+c.settings.Margin {
			delete(c.successors, from)
		}
	}
}

func (c *Claims) remove(key model.IdempotencyKey, r *row) {
	delete(c.rows, key)
	c.answers -= len(r.outcome.Answer)
	if r.imported {
		c.imported--
	} else {
		c.own--
	}
}

// Stats describes the table.
func (c *Claims) Stats() Stats {
	return Stats{Keys: c.own, Imported: c.imported, InProgress: c.running, AnswerBytes: c.answers}
}
