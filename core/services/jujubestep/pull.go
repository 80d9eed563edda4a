package jujubestep

import (
	"cmp"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// Pull confirms the groups below the cursor and hands out complete ones. While groups at the cursor were handed out and
// not confirmed, the answer repeats exactly these, even if the trainer's version has made them too old since: the
// trainer may have taken them, so they can't be replaced. The caller's own wait for groups is the adapter's.
func (s *Steps) Pull(now time.Time, pull model.Pull) (Delivery, error) {
	key := pull.Key.String()
	p, ok := s.parts.Get(key)
	if highest := s.fences[key].attempt; pull.Attempt < highest {
		return Delivery{}, refuse(jujubeerror.CodeStaleAttempt, model.RanUnknown, 0,
			"attempt %d of part %s, attempt %d is known", pull.Attempt, key, highest)
	}
	if !ok || pull.Attempt != p.attempt {
		return Delivery{}, refuse(jujubeerror.CodeUnknownPart, model.RanUnknown, 0, "attempt %d of part %s", pull.Attempt, key)
	}
	if s.expire(now, p); p.expired {
		return Delivery{}, refuse(jujubeerror.CodeDeadline, p.ranState(), 0, "part %s expired at %s", key, p.deadline)
	}
	switch {
	case pull.Cursor < p.confirmed:
		return Delivery{}, refuse(jujubeerror.CodeStaleAttempt, p.ranState(), 0,
			"cursor %d of part %s, the groups below %d are confirmed and forgotten", pull.Cursor, key, p.confirmed)
	case pull.Cursor > p.confirmed+len(p.handed):
		return Delivery{}, refuse(jujubeerror.CodeCursorAhead, p.ranState(), 0,
			"cursor %d of part %s, %d groups were handed out", pull.Cursor, key, p.confirmed+len(p.handed))
	}
	s.SetTrainerVersion(now, p.key.Trainer, pull.Version)
	s.confirm(p, pull.Cursor)
	if s.recall(p); p.open() > 0 && !p.ended.IsZero() {
		p.expired = true
		s.end(now, p, CauseExpired, false)
		return Delivery{}, refuse(jujubeerror.CodeDeadline, p.ranState(), 0, "groups of part %s became too old after its deadline", key)
	}
	if len(p.handed) == 0 {
		s.handOut(p, pull.MaxGroups)
	}
	count := len(p.handed)
	if pull.MaxGroups > 0 {
		count = min(count, pull.MaxGroups)
	}
	remaining := p.open() + len(p.handed) - count
	if remaining == 0 && count == 0 && p.ended.IsZero() {
		s.release(now, p)
	}
	answer := Delivery{model.Pulled{
		Key: p.key, Attempt: p.attempt, Cursor: pull.Cursor, Remaining: remaining, Failed: slices.Clone(p.failed),
	}}
	for _, g := range p.handed[:count] {
		answer.Groups = append(answer.Groups, g.copyOut())
	}
	return answer, nil
}

// confirm forgets the groups below the cursor.
func (s *Steps) confirm(p *part, cursor int) {
	for _, g := range p.handed[:cursor-p.confirmed] {
		for _, sm := range g.samples {
			s.forget(p, sm.winner)
		}
		g.state, g.samples, g.prompt = groupConfirmed, nil, ""
	}
	p.handed = slices.Clone(p.handed[cursor-p.confirmed:])
	p.confirmed = cursor
}

// recall takes back groups whose answer was lost and that have become too old since. The cursor says that the trainer
// hasn't taken them.
func (s *Steps) recall(p *part) {
	p.handed = slices.DeleteFunc(p.handed, func(g *group) bool {
		if g.oldest() >= p.floor {
			return false
		}
		g.state = groupOpen
		for _, sm := range g.samples {
			if sm.winner.oldest < p.floor {
				s.discard(p, sm.winner, CauseStale)
			}
		}
		return true
	})
}

// handOut fixes the next places of the cursor order. Groups with the oldest weights come first, because they are the
// next to become too old.
func (s *Steps) handOut(p *part, limit int) {
	var complete []*group
	for _, g := range p.groups {
		if g.state == groupOpen && g.complete(p.scorer) && g.oldest() >= p.floor {
			complete = append(complete, g)
		}
	}
	slices.SortStableFunc(complete, func(a, b *group) int { return cmp.Compare(a.oldest(), b.oldest()) })
	if limit > 0 && len(complete) > limit {
		complete = complete[:limit]
	}
	for _, g := range complete {
		g.state = groupHanded
	}
	p.handed = complete
}

func (g *group) copyOut() model.Group {
	out := model.Group{Group: g.number}
	for _, sm := range g.samples {
		st := sm.winner
		out.Samples = append(out.Samples, model.Sample{
			Index: sm.index, Stream: st.id, Tokens: st.tokens, Labels: slices.Clone(st.labels),
			Scored: st.scored, Score: st.score,
		})
	}
	return out
}

// expire ends a part whose deadline has passed. A part with all groups handed out or failed doesn't expire: its last
// answer is repeated until the retention ends.
func (s *Steps) expire(now time.Time, p *part) {
	if !p.ended.IsZero() || now.Before(p.deadline) {
		return
	}
	if p.open() == 0 {
		s.release(now, p)
		return
	}
	p.expired = true
	s.end(now, p, CauseExpired, false)
}
