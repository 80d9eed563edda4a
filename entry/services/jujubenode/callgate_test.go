package jujubenode_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/entry/services/jujubenode"
)

// TestUnwantedCallIsntSent guards against a caller's request, a stream or a scoring call that is sent to an endpoint which has begun to
// leave or has started again while the connection was opened, or that may have left since its entry was read. It counts as no attempt, and
// goes to another endpoint.
func TestUnwantedCallIsntSent(t *testing.T) {
	request := func(id string) jujubenode.PlainRequest {
		return jujubenode.PlainRequest{ID: model.RequestID(id), Method: "POST", URI: "/score/x", Host: "h", Deadline: time.Now().Add(10 * time.Second)}
	}
	once := func(route *jujubedesired.Route) *jujubedesired.Route {
		single := *route
		single.MaxAttempts, single.TargetLatency = 1, time.Minute
		return &single
	}
	calls := map[string]func(node *jujubenode.Node) error{
		"safe request": func(node *jujubenode.Node) error {
			_, err := node.Forward(t.Context(), once(scoringRoute), request("safe"))
			return err
		},
		"unsafe request": func(node *jujubenode.Node) error {
			_, err := node.Forward(t.Context(), once(unsafeRoute), request("unsafe"))
			return err
		},
		"stream": func(node *jujubenode.Node) error {
			_, _, err := node.ForwardStream(t.Context(), once(unsafeRoute), jujubenode.StreamRequest{PlainRequest: request("stream")}, nil)
			return err
		},
		"scoring call": func(node *jujubenode.Node) error {
			defer readAll(t, node, "s")
			return node.Submit(t.Context(), route, newScoredSubmission("s", 1))
		},
	}
	for _, change := range []string{"leaving", "restarted", "outdated"} {
		for name, call := range calls {
			t.Run(name+" to an endpoint "+change, func(t *testing.T) {
				t.Parallel()
				c := newCalledCluster(t)
				cluster := c.testCluster
				var first sync.Once
				var opened, denied atomic.Int32
				c.links["a"].setOnOpen(func(address string) {
					opened.Add(1)
					first.Do(func() {
						id := "plain0"
						if address == cluster.plainAddresses[1] {
							id = "plain1"
							denied.Store(1)
						}
						if change == "outdated" {
							c.makeViewsOld()
							return
						}
						cluster.publish(change, id)
						cluster.publish("secret", "after the change")
						waitFor(t, "the change is read", func() bool { return cluster.received("a", "after the change") })
					})
				})
				err := call(c.node)
				if refused, ok := jujubeerror.IsErrRefused(err); ok && change == "outdated" && refused.Ran == model.RanNo {
					err = call(c.node) // the entries weren't read in time
				}
				assert.NilError(t, err)
				assert.Assert(t, opened.Load() >= 2, "the first connection isn't used")
				assert.Equal(t, c.arrivals[0].Load()+c.arrivals[1].Load(), int32(1))
				assert.Assert(t, change != "leaving" || opened.Load() == 2 && c.arrivals[denied.Load()].Load() == 0)
			})
		}
	}
}

// calledCluster is an instance with two plain endpoints and another instance beside it.
type calledCluster struct {
	*testCluster
	node  *jujubenode.Node
	store *blockableStore
	// arrivals count the requests that reached the endpoints, and clockLead is how far the boot clock has advanced beside the time.
	arrivals  [2]atomic.Int32
	clockLead atomic.Int64
}

func newCalledCluster(t *testing.T) *calledCluster {
	c := &calledCluster{testCluster: newTestCluster(t)}
	for i := range c.arrivals {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { c.arrivals[i].Add(1) }))
		t.Cleanup(server.Close)
		c.plainAddresses = append(c.plainAddresses, strings.TrimPrefix(server.URL, "http://"))
	}
	c.links, c.peerLinks = map[model.InstanceID]*testLinks{"a": {}}, map[model.InstanceID]*testLinks{"b": {}}
	c.bootClock = func() jujubeclock.Instant { return jujubeclock.Now().Add(time.Duration(c.clockLead.Load())) }
	c.endpointLeaveTime = testCancelTime
	c.node, c.store, _ = c.start("a")
	c.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(c.node.Addresses("dc-a")) == 2 })
	return c
}

// makeViewsOld makes all views too old to send a request by them.
func (c *calledCluster) makeViewsOld() {
	c.clockLead.Store(int64(testCancelTime - jujubehttp.SendMargin))
}
