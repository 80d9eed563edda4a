package jujubebatch

import (
	"github.com/cespare/xxhash/v2"

	model "jujubepier.example/core/models/jujubemodel"
)

// Origin is where a submission came from.
type Origin struct {
	Host, Path   string
	Organisation model.OrganisationName
}

// Origin returns the origin of a submission; ok is false if it isn't known.
func (s *Scheduler) Origin(id SubmissionID) (origin Origin, ok bool) {
	submission, ok := s.submissions.Get(id)
	if !ok {
		d := s.deferred[id]
		if d == nil {
			return Origin{}, false
		}
		return Origin{Host: d.head.Host, Path: d.head.Path, Organisation: d.head.Organisation}, true
	}
	return Origin{Host: submission.Host, Path: submission.Path, Organisation: submission.Organisation}, true
}

// reuseKey identifies the items that may share a text. Item ids are chosen by callers, so two organisations may use the same one, and
// one of them must not get the other's text.
type reuseKey struct {
	organisation model.OrganisationName
	item         ItemID
}

func (it *item) reuseKey() reuseKey {
	return reuseKey{organisation: it.submission.Organisation, item: it.ID}
}

func (k reuseKey) hash() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(k.organisation)) // a digest's writes can't fail
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(k.item))
	return digest.Sum64()
}

// findReusable returns the state of an item without a result in the latest submission that has it; nil for none.
func (s *Scheduler) findReusable(key reuseKey) *item {
	item := s.latestItems[key.hash()]
	if item == nil || item.reuseKey() != key {
		return nil
	}
	return item
}

// forgetReusable makes later submissions not reuse the text of an item.
func (s *Scheduler) forgetReusable(item *item) {
	if hash := item.reuseKey().hash(); s.latestItems[hash] == item {
		delete(s.latestItems, hash)
	}
}
