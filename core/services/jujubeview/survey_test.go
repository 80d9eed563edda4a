package jujubeview_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/services/jujubeview"
)

var part = jujubeview.Part{Topic: "submissions"}

// answer is what an instance replies to a question of a time.
type answer struct {
	from     model.InstanceID
	askedAt  time.Duration
	next     int64
	viewAge  time.Duration
	hasView  bool
	isGone   bool
	isSilent bool
}

// TestSurvey guards against a view that counts as vouched for although an instance wasn't asked, or knows more.
func TestSurvey(t *testing.T) {
	const now = 10 * time.Second
	b, c := answer{from: "b", askedAt: 9 * time.Second, next: 7}, answer{from: "c", askedAt: 8 * time.Second, next: 5}
	reader := answer{from: "c", askedAt: 9 * time.Second, next: 7, viewAge: 300 * time.Millisecond, hasView: true}
	for name, test := range map[string]struct {
		answers []answer
		// others are those that the reader of the report knows.
		others      []model.InstanceID
		next        int64
		vouchedAt   time.Duration
		requestedAt time.Duration
		holder      model.InstanceID
	}{
		"all confirm":                      {[]answer{b, c}, []model.InstanceID{"b", "c"}, 7, 8 * time.Second, 0, ""},
		"one knows more":                   {[]answer{b, c}, []model.InstanceID{"b", "c"}, 6, never, 0, "b"},
		"one is silent":                    {[]answer{b, {from: "c", isSilent: true}}, []model.InstanceID{"b"}, 7, never, 0, ""},
		"one wasn't asked":                 {[]answer{b}, []model.InstanceID{"b", "c"}, 7, never, 0, ""},
		"one is gone":                      {[]answer{b, {from: "c", askedAt: 9500 * time.Millisecond, isGone: true}}, []model.InstanceID{"b", "c"}, 7, 9 * time.Second, 0, ""},
		"one reads":                        {[]answer{b, reader}, []model.InstanceID{"b", "c", "d"}, 7, never, 8700 * time.Millisecond, ""},
		"one reads, and knows more":        {[]answer{b, reader}, []model.InstanceID{"b", "c"}, 6, never, 0, "b"},
		"the survey knows more instances":  {[]answer{b, c, {from: "d", isSilent: true}}, []model.InstanceID{"b", "c"}, 7, never, 0, ""},
		"asked again, and it's silent now": {[]answer{c, b, {from: "c", askedAt: 7 * time.Second, next: 5}}, []model.InstanceID{"b", "c"}, 7, 8 * time.Second, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			survey, asked := jujubeview.NewSurvey(), []model.InstanceID{}
			for _, a := range test.answers {
				asked = append(asked, a.from)
				switch {
				case a.isGone:
					survey.RecordGone(at(a.askedAt), a.from)
				case !a.isSilent:
					survey.Record(at(a.askedAt), a.from, []jujubeview.Known{{Part: part, Next: a.next, Age: a.viewAge, HasView: a.hasView}})
				}
			}
			report := survey.Report(at(now), asked)
			view := report.Update(jujubeview.View{RequestedAt: at(0)}, part, test.next, at(now), test.others)
			assert.Equal(t, view, jujubeview.View{RequestedAt: at(test.requestedAt), VouchedAt: max(at(test.vouchedAt), 0)})
			holder, lacks := report.Lacks(part, test.next)
			assert.Equal(t, lacks, test.holder != "")
			assert.Assert(t, !lacks || holder == test.holder)
			unread := report.Update(jujubeview.View{}, part, test.next, at(now), test.others)
			assert.Equal(t, unread, jujubeview.View{})
		})
	}
}

// TestGoneWitnesses guards against instances of one data centre that take those of another one for gone, because the links between them
// refuse connections.
func TestGoneWitnesses(t *testing.T) {
	members := []jujubeview.Member{{ID: "a1", DataCentre: "a"}, {ID: "a2", DataCentre: "a"}, {ID: "b1", DataCentre: "b"}, {ID: "b2", DataCentre: "b"}, {ID: "c1", DataCentre: "c"}}
	for _, c := range []struct {
		self, gone int
		members    []jujubeview.Member
		want       []model.InstanceID
	}{
		{0, 2, members, []model.InstanceID{"b2"}},
		{0, 1, members, []model.InstanceID{"b1", "b2", "c1"}},
		{0, 4, members, []model.InstanceID{"a2", "b1", "b2"}},
		{0, 1, members[:2], nil},
	} {
		assert.DeepEqual(t, jujubeview.GoneWitnesses(members[c.self], members[c.gone], c.members), c.want)
	}
}

// TestNoWorkWhileAnotherKnowsTheRecord guards against work that is sent longer than the greatest age of a view after a record that the
// view doesn't have was acknowledged by any of the instances, whatever is read, answered and delayed meanwhile.
func TestNoWorkWhileAnotherKnowsTheRecord(t *testing.T) {
	gate := jujubeview.Gate{Bound: bound}
	rapid.Check(t, func(t *rapid.T) {
		ids := []model.InstanceID{"b", "c", "d"}
		next := map[model.InstanceID]int64{}
		readAt := map[model.InstanceID]jujubeclock.Instant{}
		survey, report := jujubeview.NewSurvey(), jujubeview.Report{}
		now, reportAt := at(0), at(0)
		var ackedAt []jujubeclock.Instant // by offset
		view, own := jujubeview.View{RequestedAt: now}, int64(0)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "instance")
			switch rapid.SampledFrom([]string{"append", "read", "ask", "ask", "report", "use", "fetch", "wait", "wait"}).Draw(t, "step") {
			case "append":
				ackedAt = append(ackedAt, now)
				next[id] = int64(len(ackedAt))
			case "read":
				next[id], readAt[id] = int64(len(ackedAt)), now
			case "ask":
				age, hasView := now.Sub(readAt[id]), readAt[id] != 0
				survey.Record(now, id, []jujubeview.Known{{Part: part, Next: next[id], Age: age, HasView: hasView}})
			case "report":
				report, reportAt = survey.Report(now, ids), now
			case "use":
				view = report.Update(view, part, own, reportAt, ids)
			case "fetch":
				if holder, lacks := report.Lacks(part, own); lacks {
					own = next[holder]
				}
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			}
			if int(own) < len(ackedAt) && gate.Check(now, view).Allows() && now.Sub(ackedAt[own]) > gate.MaxAge() {
				t.Fatal(fmt.Sprintf("record %d was acknowledged %s ago, and %s allows work", own, now.Sub(ackedAt[own]), gate.Check(now, view)))
			}
		}
	})
}

// BenchmarkUpdate measures a report and the update of a view with it.
func BenchmarkUpdate(b *testing.B) {
	for _, instances := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			survey, ids := jujubeview.NewSurvey(), []model.InstanceID{}
			for i := range instances {
				ids = append(ids, model.InstanceID(fmt.Sprint("i", i)))
				survey.Record(at(0), ids[i], []jujubeview.Known{{Part: part, Next: int64(i)}})
			}
			view := jujubeview.View{RequestedAt: at(0)}
			for b.Loop() {
				report := survey.Report(at(time.Second), ids)
				view = report.Update(view, part, int64(instances), at(time.Second), ids)
			}
			assert.Assert(b, view.VouchedAt != 0)
		})
	}
}

// TestGoneHolder guards against records that an instance can't get, as the first one that had them is gone, although another one has them.
func TestGoneHolder(t *testing.T) {
	part := jujubeview.Part{Topic: "submissions"}
	survey := jujubeview.NewSurvey()
	answer := []jujubeview.Known{{Part: part, Next: 9}}
	survey.Record(at(0), "a", answer)
	survey.RecordGone(at(time.Second), "a")
	survey.Record(at(time.Second), "b", answer)
	holder, lacks := survey.Report(at(time.Second), []model.InstanceID{"a", "b"}).Lacks(part, 3)
	assert.Assert(t, lacks && holder == "b", holder)
}
