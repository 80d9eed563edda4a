package jujubestep

import (
	"cmp"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// Pull confirms the groups below the cursor and delivers complete ones. While groups at the cursor are delivered but not
// confirmed, the response repeats exactly these, because the trainer may have received them; only groups that have become
// too old since are withdrawn. Pull never blocks: waiting for groups is up to the caller.
func (s *Steps) Pull(now time.Time, pull model.Pull) (Delivery, error) {
	key := pull.Key.String()
	p, ok := s.parts.Get(key)
	if highest := s.knownAttempts[key].attempt; pull.Attempt < highest {
		return Delivery{}, newRefusal(jujubeerror.CodeStaleAttempt, model.RanUnknown, 0,
			"attempt %d of part %s, attempt %d is known", pull.Attempt, key, highest)
	}
	if !ok || pull.Attempt != p.attempt {
		return Delivery{}, newRefusal(jujubeerror.CodeUnknownPart, model.RanUnknown, 0,
			"attempt %d of part %s", pull.Attempt, key)
	}
	if s.expirePart(now, p); p.expired {
		return Delivery{}, newRefusal(jujubeerror.CodeDeadline, p.ranState(), 0, "part %s expired at %s", key, p.deadline)
	}
	switch {
	case pull.Cursor < p.confirmed:
		return Delivery{}, newRefusal(jujubeerror.CodeStaleAttempt, p.ranState(), 0,
			"cursor %d of part %s, the groups below %d are confirmed and forgotten", pull.Cursor, key, p.confirmed)
	case pull.Cursor > p.confirmed+len(p.unconfirmed):
		return Delivery{}, newRefusal(jujubeerror.CodeCursorAhead, p.ranState(), 0,
			"cursor %d of part %s, %d groups were handed out", pull.Cursor, key, p.confirmed+len(p.unconfirmed))
	}
	s.SetTrainerVersion(now, p.key.Trainer, pull.Version)
	s.confirmGroups(p, pull.Cursor)
	if s.reopenStaleGroups(p); p.openGroups() > 0 && !p.endedAt.IsZero() {
		p.expired = true
		s.endPart(now, p, CauseExpired, false)
		return Delivery{}, newRefusal(jujubeerror.CodeDeadline, p.ranState(), 0,
			"groups of part %s became too old after its deadline", key)
	}
	if len(p.unconfirmed) == 0 {
		s.deliverGroups(p, pull.MaxGroups)
	}
	count := len(p.unconfirmed)
	if pull.MaxGroups > 0 {
		count = min(count, pull.MaxGroups)
	}
	remaining := p.openGroups() + len(p.unconfirmed) - count
	if remaining == 0 && count == 0 && p.endedAt.IsZero() {
		s.releaseCapacity(now, p)
	}
	delivery := Delivery{model.Pulled{
		Key: p.key, Attempt: p.attempt, Cursor: pull.Cursor, Remaining: remaining, Failed: slices.Clone(p.failedGroups),
	}}
	for _, g := range p.unconfirmed[:count] {
		delivery.Groups = append(delivery.Groups, g.toModel())
	}
	return delivery, nil
}

// confirmGroups drops the groups below the cursor, which the trainer has received.
func (s *Steps) confirmGroups(p *part, cursor int) {
	for _, g := range p.unconfirmed[:cursor-p.confirmed] {
		for _, sm := range g.samples {
			s.releaseStream(p, sm.winner)
		}
		g.state, g.samples, g.prompt = groupConfirmed, nil, ""
	}
	p.unconfirmed = slices.Clone(p.unconfirmed[cursor-p.confirmed:])
	p.confirmed = cursor
}

// reopenStaleGroups reopens unconfirmed groups that have become too old since they were delivered. The cursor shows that the
// trainer hasn't received them: the response was lost.
func (s *Steps) reopenStaleGroups(p *part) {
	p.unconfirmed = slices.DeleteFunc(p.unconfirmed, func(g *group) bool {
		if g.oldestVersion() >= p.minVersion {
			return false
		}
		g.state = groupOpen
		for _, sm := range g.samples {
			if sm.winner.oldestVersion < p.minVersion {
				s.discardStream(p, sm.winner, CauseStale)
			}
		}
		return true
	})
}

// deliverGroups assigns the next cursor positions to complete groups, those with the oldest weights first, because they are
// the next to become too old.
func (s *Steps) deliverGroups(p *part, limit int) {
	var completed []*group
	for _, g := range p.groups {
		if g.state == groupOpen && g.isComplete(p.scorer) && g.oldestVersion() >= p.minVersion {
			completed = append(completed, g)
		}
	}
	slices.SortStableFunc(completed, func(a, b *group) int { return cmp.Compare(a.oldestVersion(), b.oldestVersion()) })
	if limit > 0 && len(completed) > limit {
		completed = completed[:limit]
	}
	for _, g := range completed {
		g.state = groupDelivered
	}
	p.unconfirmed = completed
}

func (g *group) toModel() model.Group {
	result := model.Group{Group: g.number}
	for _, sm := range g.samples {
		st := sm.winner
		result.Samples = append(result.Samples, model.Sample{
			Index: sm.index, Stream: st.id, Tokens: st.tokens, Labels: slices.Clone(st.labels),
			Scored: st.scored, Score: st.score,
		})
	}
	return result
}

// expirePart ends a part whose deadline has passed. A part whose groups are all delivered or failed doesn't expire: its last
// response is repeated until the retention time ends.
func (s *Steps) expirePart(now time.Time, p *part) {
	if !p.endedAt.IsZero() || now.Before(p.deadline) {
		return
	}
	if p.openGroups() == 0 {
		s.releaseCapacity(now, p)
		return
	}
	p.expired = true
	s.endPart(now, p, CauseExpired, false)
}
