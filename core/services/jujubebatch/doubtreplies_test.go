package jujubebatch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
)

// TestDoubtReplies guards against doubts that are abandoned although an instance that replied before may know the answer by now, and against
// ones that never end.
func TestDoubtReplies(t *testing.T) {
	missing := jujubebatch.Span{Begin: 5, End: 9}
	past, behind := jujubebatch.Span{Begin: 9, End: 12}, jujubebatch.Span{End: 7}
	live := func(ids ...model.InstanceID) func(s *jujubebatch.DoubtReplies) {
		return func(s *jujubebatch.DoubtReplies) { s.SetLive(ids) }
	}
	reply := func(id model.InstanceID, read jujubebatch.Span) func(s *jujubebatch.DoubtReplies) {
		return func(s *jujubebatch.DoubtReplies) { s.Record(id, read, missing) }
	}
	for name, c := range map[string]struct {
		events     []func(s *jujubebatch.DoubtReplies)
		isComplete bool
	}{
		"no other instance":               {[]func(s *jujubebatch.DoubtReplies){live()}, false},
		"all have missed them":            {[]func(s *jujubebatch.DoubtReplies){live("b", "c"), reply("b", past), reply("c", past)}, true},
		"one hasn't replied":              {[]func(s *jujubebatch.DoubtReplies){live("b", "c"), reply("b", past)}, false},
		"one may read them yet":           {[]func(s *jujubebatch.DoubtReplies){live("b", "c"), reply("b", past), reply("c", behind)}, false},
		"it has missed them, too":         {[]func(s *jujubebatch.DoubtReplies){live("b"), reply("b", behind), reply("b", past)}, true},
		"a lost one may have told":        {[]func(s *jujubebatch.DoubtReplies){live("b", "c"), reply("b", past), live("b")}, false},
		"it hasn't":                       {[]func(s *jujubebatch.DoubtReplies){live("b", "c"), reply("b", past), live("b"), reply("b", past)}, true},
		"a new one hasn't replied":        {[]func(s *jujubebatch.DoubtReplies){live("b"), reply("b", past), live("b", "c")}, false},
		"further records have expired":    {[]func(s *jujubebatch.DoubtReplies){live("b"), reply("b", past), (*jujubebatch.DoubtReplies).Restart}, false},
		"a lost one had replied, as well": {[]func(s *jujubebatch.DoubtReplies){live("b", "c"), reply("c", past), reply("b", past), live("b")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s jujubebatch.DoubtReplies
			for _, event := range c.events {
				event(&s)
			}
			assert.Equal(t, s.IsComplete(), c.isComplete)
		})
	}
}
