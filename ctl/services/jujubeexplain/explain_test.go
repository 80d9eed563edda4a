package jujubeexplain_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jujubepier.example/ctl/services/jujubeexplain"
)

// Logs of two instances: the first is the instance's own file, the second comes from a collector that writes the instance
// before each line. The first ends with a truncated line, the second holds a line that is no log line.
const (
	instanceLog = `
{"Event":2101,"Submission":"sub1","Items":2,"Error":"","msg":"SubmissionAccepted","time":"2026-12-04T10:00:00.000Z"}
{"Event":2112,"To":"front-b-1","Offered":2,"Taken":2,"Error":"","msg":"ItemsOffered","time":"2026-12-04T10:00:00.020Z"}
{"Event":1004,"Request":"req1","Endpoint":"pump-2","Error":"connection reset","msg":"RequestFailed","time":"2026-12-04T10:00:01.000Z"}
{"Event":1003,"Request":"req1","Error":"no endpoint is left","Tries":1,"Took":"20ms","msg":"RouteRefused","time":"2026-12-04T10:00:01.020Z"}
{"Event":1001,"Request":"req2","Endpoint":"pump-1","msg":"RouteDispatched","time":"2026-12-04T10:00:02.000Z"}
{"Event":8001,"Instance":"front-a-1","msg":"InstanceStarted","time":"2026-12-04T10:00:03.100Z"}
{"Event":5102,"Topic":"op","Away":"2.5s","msg":"StoreAvailable","time":"2026-12-04T10:00:09.000Z"}
{"Event":2105,"Subm`
	collectedLog = `
 12.5 front-b-1 {"Event":2105,"Submission":"sub1","Item":"item1","Run":7,"Endpoint":"engine-3","msg":"ItemStarted","time":"2026-12-04T10:00:00.400Z"}
 12.5 front-b-1 {"Event":2105,"Submission":"sub1","Item":"item2","Run":8,"Endpoint":"engine-3","msg":"ItemStarted","time":"2026-12-04T10:00:00.401Z"}
 12.6 front-b-1 {"Event":2106,"Run":7,"Reason":"no event in time","msg":"ItemStopped","time":"2026-12-04T10:00:01.900Z"}
 12.6 front-b-1 {"Event":2105,"Submission":"sub1","Item":"item1","Run":9,"Endpoint":"engine-4","msg":"ItemStarted","time":"2026-12-04T10:00:01.901Z"}
 12.6 front-b-1 {"Event":2107,"Submission":"sub1","Item":"item1","Run":9,"Endpoint":"engine-4","Outcome":"Complete","Took":"6.9s","Error":"","msg":"ItemEnded","time":"2026-12-04T10:00:08.801Z"}
 12.7 front-b-1 {"Event":2115,"Submission":"sub2","Item":"item3","Run":10,"Request":"call3","Score":"","Failures":2,"Tries":4,"Error":"no endpoint gave an answer","Took":"1.5s","msg":"ItemScored","time":"2026-12-04T10:00:08.900Z"}
 12.7 front-b-1 {"Event":2115,"Submission":"sub2","Item":"item3","Run":11,"Request":"call3","Score":"s","Failures":0,"Tries":2,"Error":"","Took":"1.25s","msg":"ItemScored","time":"2026-12-04T10:00:11.000Z"}
not a log line
`
)

func readLogs(t *testing.T, id string) (*jujubeexplain.Explanation, error) {
	t.Helper()
	reader := jujubeexplain.NewReader(id)
	assert.NilError(t, reader.Read("front-a-1", strings.NewReader(instanceLog)))
	assert.NilError(t, reader.Read("collected", strings.NewReader(collectedLog)))
	return reader.Explain()
}

// TestCauses checks the kind, the number of lines and the causes for an id of each kind.
func TestCauses(t *testing.T) {
	for id, want := range map[string]struct {
		kind   jujubeexplain.Kind
		lines  int
		causes []string
	}{
		"req1": {jujubeexplain.Request, 2, []string{
			"10:00:01.000 front-a-1: an attempt at pump-2 failed: connection reset",
			"10:00:01.020 front-a-1: the request was refused after 1 attempts: no endpoint is left",
		}},
		"req2": {jujubeexplain.Request, 1, []string{
			"10:00:03.100 front-a-1: the instance restarted 1.1s after its last line about this id; work in flight on it was lost",
		}},
		"item3": {jujubeexplain.Item, 2, []string{
			"10:00:08.900 front-b-1: scoring call call3 of item item3 returned no score after 4 attempts, 2 of them failed by the servers: no endpoint gave an answer",
			"10:00:11.000 front-b-1: scoring call call3 of item item3 took 1.25s",
			"10:00:09.000 front-a-1: the store had been unavailable for 2.5s; nothing is accepted or listed during an outage",
		}},
		"item1": {jujubeexplain.Item, 4, []string{
			"10:00:01.900 front-b-1: run 7 was stopped: no event in time",
			"10:00:08.801 front-b-1: run 9 of item item1 at engine-4 took 6.9s",
			"10:00:09.000 front-a-1: the store had been unavailable for 2.5s; nothing is accepted or listed during an outage",
		}},
		"sub1": {jujubeexplain.Submission, 5, []string{
			"10:00:00.400 front-b-1: the first item started 400ms after the submission: no engine had the weights, or all engines were full",
			"10:00:08.801 front-b-1: run 9 of item item1 at engine-4 took 6.9s",
			"10:00:09.000 front-a-1: the store had been unavailable for 2.5s; nothing is accepted or listed during an outage",
		}},
		"engine-3": {jujubeexplain.Endpoint, 2, nil},
	} {
		story, err := readLogs(t, id)
		assert.NilError(t, err)
		assert.Equal(t, story.Kind, want.kind, id)
		assert.Equal(t, len(story.Lines), want.lines, id)
		assert.DeepEqual(t, story.Causes, want.causes)
	}
}

// TestUnknownID checks that an id that occurs in no line causes an error instead of an empty result.
func TestUnknownID(t *testing.T) {
	_, err := readLogs(t, "nobody")
	assert.ErrorType(t, err, jujubeexplain.ErrUnknownID{})
	assert.ErrorContains(t, err, "contains the id nobody")
}
