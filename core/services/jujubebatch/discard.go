package jujubebatch

import "time"

const (
	// discardedTextDelay is doubled with each further text of an item that can't be stored, since the next one may be as large.
	discardedTextDelay = time.Second
	// maxDiscardedTextDoublings limits the delay to 16 s, so that an item is retried before it is abandoned at the end of its
	// route's retention, which may be after some 40 s.
	maxDiscardedTextDoublings = 4
)

// DiscardText drops a text that can't be stored. Its item is run again, with a longer delay each time.
func (s *Scheduler) DiscardText(now time.Time, entry Entry) {
	text := entry.Result
	if text == nil {
		text = entry.Unscored
	}
	if text == nil {
		return
	}
	submission, ok := s.submissions.Get(text.Submission)
	if !ok {
		return
	}
	item, ok := submission.find(text.Item)
	if !ok || item.hasResult {
		return
	}
	s.cancelScoring(item, "the text can't be stored")
	item.dropText()
	item.resultQueued = false
	state := item.modify()
	state.unscored, state.unscoredLogged = nil, false
	state.notBefore = now.Add(discardedTextDelay << min(state.discardedTexts, maxDiscardedTextDoublings))
	state.discardedTexts++
}
