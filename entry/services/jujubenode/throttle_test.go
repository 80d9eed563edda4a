package jujubenode_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/entry/services/jujubenode"
)

// rateWindow is the time over which the platform counts the requests to an endpoint that names a rate.
const rateWindow = 4 * time.Second

// maxInWindow is the number of requests that an endpoint with the given rate may get in a rateWindow.
func maxInWindow(perSecond float64) int { return int(1.5*perSecond*rateWindow.Seconds()) + 5 }

// limitedEndpoints answers plain requests, names rates and records when each endpoint got a request.
type limitedEndpoints struct {
	mu    sync.Mutex
	calls map[model.EndpointID][]time.Time
	rates map[model.EndpointID]float64
	nodes map[model.InstanceID]*jujubenode.Node
}

// limitedCaller is the EndpointCaller of one instance.
type limitedCaller struct {
	endpoints *limitedEndpoints
	instance  model.InstanceID
}

func (c limitedCaller) Call(_ context.Context, call jujubenode.Call) (jujubenode.Response, error) {
	e := c.endpoints
	e.mu.Lock()
	e.calls[call.Endpoint] = append(e.calls[call.Endpoint], time.Now())
	perSecond, limited := e.rates[call.Endpoint]
	node := e.nodes[c.instance]
	e.mu.Unlock()
	node.ObserveRate(call.Endpoint, call.Incarnation, jujubenode.NamedRate{Limited: limited, PerSecond: perSecond})
	return jujubenode.Response{Status: 200, Stamp: "stamp"}, nil
}

func (c limitedCaller) Stream(ctx context.Context, call jujubenode.Call) (jujubenode.StreamResponse, error) {
	response, err := c.Call(ctx, call)
	return jujubenode.StreamResponse{Response: response}, err
}

// maxCalls returns the largest number of requests that an endpoint got in a rateWindow that begins after from.
func (e *limitedEndpoints) maxCalls(id model.EndpointID, from time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, start := range e.calls[id] {
		if start.Before(from) {
			continue
		}
		count := 0
		for _, at := range e.calls[id][i:] {
			if at.Sub(start) <= rateWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestNamedRateIsShared guards against instances that each use, or ignore, the rate of requests that an endpoint names for all
// of them: under a steady load of callers at all instances, one endpoint names a rate of 2 a second and the other one none.
func TestNamedRateIsShared(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, cluster *testCluster) {
		most := sendSteadily(t, cluster, func(map[model.InstanceID]func()) {})
		assert.Assert(t, most <= maxInWindow(2), "%d requests in %v, allowed %d", most, rateWindow, maxInWindow(2))
		assert.Assert(t, most >= 4, "only %d requests in %v", most, rateWindow)
	}, "a", "b", "c")
}

// TestNamedRateOutlivesGateway guards against a rate that is exceeded, and against callers that are refused, when the instance that
// issues the permits is killed under the same load.
func TestNamedRateOutlivesGateway(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, cluster *testCluster) {
		most := sendSteadily(t, cluster, func(kill map[model.InstanceID]func()) {
			time.Sleep(2 * time.Second)
			kill["a"]()
		})
		assert.Assert(t, most <= maxInWindow(2), "%d requests in %v, allowed %d", most, rateWindow, maxInWindow(2))
	}, "a", "b", "c")
}

// sendSteadily sends requests through three instances for 6 s while the disturbance runs, of which instance a, the gateway, may be
// killed. It returns the largest number of requests that plain0 got in a rateWindow from 500 ms on. All have to be answered.
func sendSteadily(t *testing.T, cluster *testCluster, disturb func(kill map[model.InstanceID]func())) int {
	endpoints := &limitedEndpoints{
		calls: map[model.EndpointID][]time.Time{}, rates: map[model.EndpointID]float64{"plain0": 2}, nodes: map[model.InstanceID]*jujubenode.Node{},
	}
	kill := map[model.InstanceID]func(){}
	for _, id := range []model.InstanceID{"a", "b", "c"} {
		cluster.callers = limitedCaller{endpoints, id}
		endpoints.nodes[id], _, kill[id] = cluster.startUnready(id)
	}
	for _, node := range endpoints.nodes {
		waitFor(t, "the instance is ready", node.IsReady)
	}
	startedAt := time.Now()
	var callers sync.WaitGroup
	errs := make(chan error, 1000)
	for id, node := range endpoints.nodes {
		duration := 6 * time.Second
		if id == "a" {
			duration = 1500 * time.Millisecond
		}
		callers.Go(func() {
			for i := 0; time.Since(startedAt) < duration; i++ {
				_, err := node.Forward(t.Context(), scoringRoute, jujubenode.PlainRequest{
					ID: model.RequestID(fmt.Sprintf("%s-%d", id, i)), Method: "GET", URI: "/score/x", Host: "h", Deadline: time.Now().Add(10 * time.Second),
				})
				if err != nil {
					errs <- err
				}
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	disturb(kill)
	callers.Wait()
	close(errs)
	for err := range errs {
		t.Errorf("refused: %v", err)
	}
	return endpoints.maxCalls("plain0", startedAt.Add(500*time.Millisecond))
}

// TestRateIsLearnedFromOthers guards against instances that learn a named rate only from responses of their own: the first one
// tells the gateway, and the gateway's heartbeats the others, also that the limit has ended.
func TestRateIsLearnedFromOthers(t *testing.T) {
	cluster := newTestCluster(t)
	nodes := map[model.InstanceID]*jujubenode.Node{}
	for _, id := range []model.InstanceID{"a", "b", "c"} {
		nodes[id], _, _ = cluster.start(id)
	}
	countLimited := func(id model.InstanceID) string {
		var text strings.Builder
		nodes[id].WriteMetrics(&text)
		_, line, _ := strings.Cut(text.String(), "jujube_node_limited_endpoints ")
		count, _, _ := strings.Cut(line, "\n")
		return count
	}
	nodes["b"].ObserveRate("plain0", 1, jujubenode.NamedRate{Malformed: errors.New("malformed")})
	nodes["b"].ObserveRate("plain0", 0, jujubenode.NamedRate{Limited: true, PerSecond: 3}) // of the previous incarnation
	assert.Equal(t, countLimited("b"), "0")
	nodes["b"].ObserveRate("plain0", 1, jujubenode.NamedRate{Limited: true, PerSecond: 3})
	assert.Equal(t, countLimited("b"), "1")
	nodes["b"].ObserveRate("plain0", 1, jujubenode.NamedRate{Malformed: errors.New("malformed")})
	assert.Equal(t, countLimited("b"), "1")
	waitFor(t, "the gateway and the third instance learn the rate", func() bool { return countLimited("a") == "1" && countLimited("c") == "1" })
	nodes["b"].ObserveRate("plain0", 1, jujubenode.NamedRate{})
	waitFor(t, "the gateway learns the end", func() bool { return countLimited("a") == "0" })
}

// TestRefusedAtUsedUpRates guards against requests that are held, or said to have run, when all endpoints of their service name a
// rate that is used up.
func TestRefusedAtUsedUpRates(t *testing.T) {
	cluster := newTestCluster(t)
	endpoints := &limitedEndpoints{
		calls: map[model.EndpointID][]time.Time{}, rates: map[model.EndpointID]float64{"plain0": 0, "plain1": 0}, nodes: map[model.InstanceID]*jujubenode.Node{},
	}
	cluster.callers = limitedCaller{endpoints, "a"}
	node, _, _ := cluster.start("a")
	endpoints.nodes["a"] = node
	forward := func() error {
		_, err := node.Forward(t.Context(), scoringRoute, jujubenode.PlainRequest{
			ID: "r", Method: "GET", URI: "/score/x", Host: "h", Deadline: time.Now().Add(10 * time.Second),
		})
		return err
	}
	for range 10 {
		_ = forward() // until both endpoints have answered
	}
	startedAt := time.Now()
	refused, ok := jujubeerror.IsErrRefused(forward())
	assert.Assert(t, ok)
	assert.Equal(t, refused.Code, jujubeerror.CodeOverloaded)
	assert.Equal(t, refused.Ran, model.RanNo)
	assert.Assert(t, refused.RetryAfter > 0)
	assert.Assert(t, time.Since(startedAt) < 5*time.Second)
	endpoints.mu.Lock()
	defer endpoints.mu.Unlock()
	assert.Equal(t, len(endpoints.calls["plain0"])+len(endpoints.calls["plain1"]), 2)
}

// TestNoSecondCopyAtNamedRate guards against second copies of slow requests that use up the rate of an endpoint in need.
func TestNoSecondCopyAtNamedRate(t *testing.T) {
	cluster := newTestCluster(t)
	var mu sync.Mutex
	calls := map[model.EndpointID]int{}
	cluster.engines.respond = func(_ context.Context, call jujubenode.Call) (jujubenode.Response, error) {
		mu.Lock()
		calls[call.Endpoint]++
		mu.Unlock()
		if call.Endpoint == "plain1" {
			time.Sleep(150 * time.Millisecond)
		}
		return jujubenode.Response{Status: 200, Stamp: "stamp"}, nil
	}
	node, _, _ := cluster.start("a")
	node.ObserveRate("plain0", 1, jujubenode.NamedRate{Limited: true, PerSecond: 1000})
	quick := *scoringRoute
	quick.TargetLatency = 50 * time.Millisecond
	const requests = 20
	for i := range requests {
		_, err := node.Forward(t.Context(), &quick, jujubenode.PlainRequest{
			ID: model.RequestID(fmt.Sprint(i)), Method: "GET", URI: "/score/x", Host: "h", Deadline: time.Now().Add(10 * time.Second),
		})
		assert.NilError(t, err)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, calls["plain1"] > 0)
	assert.Equal(t, calls["plain0"]+calls["plain1"], requests)
}
