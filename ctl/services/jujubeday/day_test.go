package jujubeday_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/ctl/services/jujubeday"
)

const log = `
{"Event":8001,"Instance":"a","msg":"InstanceStarted","time":"2026-12-04T10:00:00Z"}
{"Event":2103,"Submission":"s1","Items":2,"Model":"m<0>","msg":"SubmissionRead","time":"2026-12-04T10:00:01Z"}
{"Event":2105,"Submission":"s1","Item":"i1","Run":1,"Endpoint":"e1","KnownVersion":3,"msg":"ItemStarted","time":"2026-12-04T10:00:01.5Z"}
{"Event":2105,"Submission":"s1","Item":"i2","Run":2,"Endpoint":"e2","KnownVersion":4,"msg":"ItemStarted","time":"2026-12-04T10:00:02Z"}
{"Event":2106,"Run":2,"Reason":"no event in time","msg":"ItemStopped","time":"2026-12-04T10:00:03Z"}
{"Event":2107,"Submission":"s1","Item":"i1","Run":1,"Endpoint":"e1","Outcome":"Complete","msg":"ItemEnded","time":"2026-12-04T10:00:04.5Z"}
{"Event":2105,"Submission":"s1","Item":"i2","Run":3,"Endpoint":"e1","KnownVersion":4,"msg":"ItemStarted","time":"2026-12-04T10:00:05Z"}
{"Event":2102,"Submission":"s2","Error":"the log doesn't answer","msg":"SubmissionRefused","time":"2026-12-04T10:00:06Z"}
`

// TestDay checks the counts and times of a summary in which one run is stopped and one has no end.
func TestDay(t *testing.T) {
	day := jujubeday.New()
	assert.NilError(t, day.Read("a", strings.NewReader(log)))
	day.CloseOpenRuns()
	assert.Equal(t, len(day.Steps), 1)
	step := day.Steps[0]
	assert.Equal(t, step.Runs, 3)
	assert.Equal(t, step.FirstStart.Sub(step.Read), 500*time.Millisecond)
	assert.Equal(t, step.LastEnd.Sub(step.Read), 3500*time.Millisecond)
	assert.Equal(t, len(day.Refused), 1)
	assert.Equal(t, len(day.Restarts), 1)
	var total time.Duration
	for _, span := range day.Spans {
		total += span.End.Sub(span.Start)
	}
	assert.Equal(t, total, 5*time.Second, "a run of 3 s, a stopped run of 1 s, and an open run of 1 s up to the last line")
}

// TestPage checks that names from the logs are escaped and that the plots are inlined without an XML declaration.
func TestPage(t *testing.T) {
	day := jujubeday.New()
	assert.NilError(t, day.Read("a", strings.NewReader(log)))
	day.CloseOpenRuns()
	var page bytes.Buffer
	assert.NilError(t, day.WritePage(&page))
	assert.Equal(t, strings.Count(page.String(), "<svg"), 5)
	assert.Assert(t, strings.Contains(page.String(), "m&lt;0&gt;"), "names are escaped")
	assert.Assert(t, !strings.Contains(page.String(), "<?xml"))
}

// TestNoRuns checks that a page can be rendered for logs without any run.
func TestNoRuns(t *testing.T) {
	day := jujubeday.New()
	assert.NilError(t, day.Read("a", strings.NewReader(`{"Event":8001,"msg":"InstanceStarted","time":"2026-12-04T10:00:00Z"}`)))
	day.CloseOpenRuns()
	assert.NilError(t, day.WritePage(&bytes.Buffer{}))
}
