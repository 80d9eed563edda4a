package jujubebatch

import model "jujubepier.example/core/models/jujubemodel"

// Origin is where a submission came from.
type Origin struct {
	Host, Path   string
	Organisation model.OrganisationName
}

// Origin returns the origin of a submission; ok is false if it isn't known.
func (s *Scheduler) Origin(id SubmissionID) (origin Origin, ok bool) {
	submission, ok := s.submissions.Get(id)
	if !ok {
		return Origin{}, false
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
