package jujubenode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubeduty"
	"jujubepier.example/core/services/jujubeusage"
	"jujubepier.example/entry/services/jujubenode"
)

// fakePlatform is the platform's API. It checks what all calls have to keep.
type fakePlatform struct {
	t  *testing.T
	mu sync.Mutex
	// cutOff is the instance whose calls aren't connected.
	cutOff model.InstanceID
	// outcomes are those of the next calls; afterwards all are done.
	outcomes []jujubeduty.Outcome
	calls    []jujubenode.DutyCall
	contents map[jujubeusage.Window]string
	counts   jujubeusage.Counts
}

func (p *fakePlatform) ReportUsage(_ context.Context, call jujubenode.DutyCall, report jujubeusage.Report) (jujubeduty.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if call.Holder == p.cutOff {
		return jujubeduty.Unsent, nil
	}
	content, err := json.Marshal(report)
	assert.Check(p.t, err)
	for _, before := range p.calls {
		assert.Check(p.t, before.Token < call.Token || before == call, "%+v after %+v", call, before)
	}
	p.calls = append(p.calls, call)
	known, ok := p.contents[report.Window]
	assert.Check(p.t, !ok || known == string(content), "two reports of window %d", report.Window)
	if p.contents[report.Window] = string(content); !ok {
		for organisation, count := range report.Counts {
			p.counts[organisation] += count
		}
	}
	if len(p.outcomes) > 0 {
		outcome := p.outcomes[0]
		p.outcomes = p.outcomes[1:]
		return outcome, nil
	}
	return jujubeduty.Done, nil
}

func (p *fakePlatform) OrderServers(context.Context, jujubenode.DutyCall, jujubeduty.ServerOrder) (jujubeduty.Outcome, error) {
	return jujubeduty.Done, nil
}

func (p *fakePlatform) Connect(context.Context) error { return nil }

// cutPlatform is the platform's API for the instance whose link to it is cut.
type cutPlatform struct{ *fakePlatform }

func (cutPlatform) Connect(context.Context) error { return errors.New("no connection") }

// platformFor returns the platform's API as an instance reaches it.
func (c *testCluster) platformFor(id model.InstanceID) jujubenode.PlatformCaller {
	if p, ok := c.platform.(*fakePlatform); ok && p.cutOff == id {
		return cutPlatform{p}
	}
	return c.platform
}

// count returns the number of reported requests of an organisation.
func (p *fakePlatform) count(organisation model.OrganisationName) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[organisation]
}

// usageServers run plain requests. A request's organisation says what happens to its attempts.
type usageServers struct {
	mu       sync.Mutex
	attempts map[model.RequestID]int
}

func (s *usageServers) Call(ctx context.Context, call jujubenode.Call) (jujubenode.Response, error) {
	s.mu.Lock()
	s.attempts[call.ID]++
	isFirst := s.attempts[call.ID] == 1
	s.mu.Unlock()
	ok := jujubenode.Response{Status: http.StatusOK, Stamp: "s"}
	switch {
	case call.Organisation == "not-run" || call.Organisation == "second-runs" && isFirst:
		return jujubenode.Response{}, jujubenode.ErrCall{Ran: model.RanNo, Reason: "refused"}
	case call.Organisation == "unknown":
		return jujubenode.Response{}, jujubenode.ErrCall{Ran: model.RanUnknown, Reason: "lost"}
	case call.Organisation == "failed":
		ok.Status = http.StatusInternalServerError
	case call.Organisation == "hedged" && isFirst:
		<-ctx.Done()
		return jujubenode.Response{}, jujubenode.ErrCall{Ran: model.RanUnknown, Reason: "slow"}
	}
	return ok, nil
}

func (s *usageServers) Stream(ctx context.Context, call jujubenode.Call) (jujubenode.StreamResponse, error) {
	response, err := s.Call(ctx, call)
	return jujubenode.StreamResponse{Response: response, Events: &twoEvents{next: call.After + 1, last: call.After + 2}}, err
}

type twoEvents struct{ next, last int }

func (e *twoEvents) Next() (jujubenode.StreamEvent, error) {
	if e.next > e.last {
		return jujubenode.StreamEvent{}, io.EOF
	}
	e.next++
	return jujubenode.StreamEvent{Number: e.next - 1, Data: []byte("x")}, nil
}

func (e *twoEvents) Close() {}

type discardSink struct{}

func (discardSink) Start(int, http.Header) {}
func (discardSink) Event([]byte) error     { return nil }

// send sends a request of an organisation.
func send(t *testing.T, node *jujubenode.Node, organisation model.OrganisationName, number int) {
	t.Helper()
	request := jujubenode.PlainRequest{
		ID: model.RequestID(fmt.Sprint(organisation, number)), Method: "GET", URI: "/x", Host: "h", Organisation: organisation, Deadline: time.Now().Add(5 * time.Second),
	}
	route := *scoringRoute
	switch organisation {
	case "unknown":
		_, _ = node.Forward(t.Context(), unsafeRoute, request)
	case "stream", "continued":
		stream := jujubenode.StreamRequest{PlainRequest: request}
		route.Resumable, route.Targets = true, []jujubedesired.Target{{Service: "s", Weight: 1}}
		if organisation == "continued" {
			stream.After, stream.Origin = 2, "stream0"
		}
		_, _, err := node.ForwardStream(t.Context(), &route, stream, discardSink{})
		assert.NilError(t, err)
	default:
		_, _ = node.Forward(t.Context(), &route, request)
	}
}

func newUsageCluster(t *testing.T) (*testCluster, *fakePlatform) {
	platform := &fakePlatform{t: t, contents: map[jujubeusage.Window]string{}, counts: jujubeusage.Counts{}}
	cluster := newTestCluster(t)
	cluster.platform, cluster.callers = platform, &usageServers{attempts: map[model.RequestID]int{}}
	return cluster, platform
}

// TestUsageOfInstanceThatLeft guards against the loss of the counts of an instance whose heartbeat is removed before another one starts.
func TestUsageOfInstanceThatLeft(t *testing.T) {
	cluster, platform := newUsageCluster(t)
	a, _, _ := cluster.start("a")
	send(t, a, "answered", 0)
	cluster.leave("a")
	assert.Equal(t, platform.count("answered"), int64(0), "it was reported before the instance left")
	cluster.start("b")
	waitFor(t, "the report", func() bool { return platform.count("answered") == 1 })
}

// TestUsageIsReported guards against requests that are missing in the reports, or are in them twice: the instances that counted them
// leave, are killed and restarted, the holder is fenced, and calls get no response.
func TestUsageIsReported(t *testing.T) {
	cluster, platform := newUsageCluster(t)
	platform.outcomes = []jujubeduty.Outcome{jujubeduty.Unknown, jujubeduty.Throttled, jujubeduty.Fenced}
	a, _, stopA := cluster.start("a")
	b, _, _ := cluster.start("b")
	c, _, stopC := cluster.start("c")
	expected := map[model.OrganisationName]int64{
		"answered": 9, "hedged": 3, "not-run": 0, "second-runs": 3, "unknown": 3, "failed": 3, "stream": 3, "continued": 0, "": 0, "late": 3,
	}
	for i, node := range []*jujubenode.Node{a, b, c} {
		for j := range 3 {
			send(t, node, "answered", 10*i+j)
		}
		for _, organisation := range []model.OrganisationName{"hedged", "not-run", "second-runs", "unknown", "failed", "stream", "continued", ""} {
			send(t, node, organisation, i)
		}
	}
	cluster.leave("b")
	waitFor(t, "the first report", func() bool { return platform.count("answered") == expected["answered"] })
	time.Sleep(time.Second) // a heartbeat with all counts
	for i := range 3 {
		send(t, c, "late", i)
	}
	time.Sleep(time.Second)
	stopA()
	stopC()
	cluster.start("a")
	cluster.start("c")
	for organisation, count := range expected {
		waitFor(t, string(organisation), func() bool { return platform.count(organisation) >= count })
	}
	time.Sleep(2 * time.Second)
	for organisation, count := range expected {
		assert.Equal(t, platform.count(organisation), count, "%s", organisation)
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	assert.Assert(t, platform.calls[3].Token > platform.calls[2].Token, "a call with a token that was refused")
}

// TestCutOffHolderYields guards against reports that are never sent because the holder's link to the platform's API is cut.
func TestCutOffHolderYields(t *testing.T) {
	cluster, platform := newUsageCluster(t)
	platform.cutOff = "a"
	a, _, _ := cluster.start("a")
	waitFor(t, "the instance leads", func() bool { holder, _ := cluster.store.lastLeaseClaim(); return holder == "a" })
	cluster.start("b")
	send(t, a, "answered", 0)
	waitFor(t, "the report", func() bool { return platform.count("answered") == 1 })
}

// TestNoUsageWithoutDuties guards against heartbeats that change where no duty is set.
func TestNoUsageWithoutDuties(t *testing.T) {
	cluster := newTestCluster(t)
	a, _, _ := cluster.start("a")
	a.CountUsage("o", time.Now())
	waitFor(t, "heartbeats", func() bool {
		cluster.store.mu.Lock()
		defer cluster.store.mu.Unlock()
		for _, record := range cluster.store.logs["instances/0"] {
			assert.Assert(t, !strings.Contains(string(record.Value), "Usage") && !strings.Contains(string(record.Value), "TimeOfDay"), "%s", record.Value)
		}
		return len(cluster.store.logs["instances/0"]) > 2
	})
}
