package jujubenode_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/entry/services/jujubenode"
)

// testCancelTime is the time after the acknowledgement of a submission's end from which on none of its items may reach an engine.
const testCancelTime = 3 * time.Second

// TestNothingStartsFromAnOldView guards against an instance that sends items of a submission that has ended long ago, because nothing
// tells it so: its reads of the submissions hang or fail, and the instances that would read for it are silent.
func TestNothingStartsFromAnOldView(t *testing.T) {
	hang := func(ctx context.Context, call string) error {
		if call != "submissions" {
			return nil
		}
		return loseResponse(ctx, call)
	}
	refuse := func(_ context.Context, call string) error {
		if call != "submissions" {
			return nil
		}
		return jujubenode.ErrStore{Call: call, Status: http.StatusServiceUnavailable, Reason: "refused for this instance only"}
	}
	for name, fault := range map[string]struct {
		directReaders int
		hold          func(ctx context.Context, call string) error
		// holdRelay is the hold of the first instance, which is the relay if there are few direct readers.
		holdRelay func(ctx context.Context, call string) error
		// reachable is the instance that replies to the others.
		reachable model.InstanceID
		dialDelay time.Duration
	}{
		"direct reads hang":                           {directReaders: jujubenode.DefaultDirectReaders, hold: hang},
		"direct reads are refused":                    {directReaders: jujubenode.DefaultDirectReaders, hold: refuse},
		"the relay is silent":                         {directReaders: 1, hold: hang, holdRelay: hang},
		"another one is as slow, and replies":         {directReaders: jujubenode.DefaultDirectReaders, hold: hang, holdRelay: hang, reachable: "i0"},
		"a run waits for its connection after that":   {directReaders: jujubenode.DefaultDirectReaders, hold: hang, dialDelay: 1400 * time.Millisecond},
		"a relayed run waits for its connection, too": {directReaders: 1, hold: hang, holdRelay: hang, dialDelay: 1400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster, nodes, stores := startWired(t, fault.directReaders)
			if fault.directReaders == 1 {
				waitForRelay(t, stores[1])
			}
			assert.NilError(t, nodes[1].Submit(t.Context(), route, newSubmission("s", 200)))
			waitFor(t, "items run", func() bool { return nodes[1].RunsInFlight() > 0 })
			stores[0].setHold(fault.holdRelay)
			stores[1].setHold(fault.hold)
			for id, links := range cluster.peerLinks {
				if id != fault.reachable {
					links.set(linksHang)
				}
			}
			cluster.wired.mu.Lock()
			cluster.wired.connect = func(ctx context.Context, from model.InstanceID) (net.Conn, error) {
				if from == "i1" {
					sleepOrDone(ctx, fault.dialDelay)
				}
				return cluster.wired.listener.dial(ctx)
			}
			cluster.wired.mu.Unlock()
			assert.NilError(t, nodes[2].EndSubmission(t.Context(), "s"))
			bound := time.Now().Add(testCancelTime)
			time.Sleep(testCancelTime + 3*time.Second)
			late := append(cluster.wired.after("i1", "s", bound), cluster.wired.after("i0", "s", bound)...)
			assert.Check(t, len(late) == 0, "%d items reached an engine later than %s after the end of their submission, the first ones: %q", len(late), testCancelTime, late[:min(3, len(late))])

			for _, links := range cluster.peerLinks {
				links.set(linksWork)
			}
			stores[0].setHold(nil)
			stores[1].setHold(nil)
			waitFor(t, "a submission is accepted", func() bool { return nodes[1].Submit(t.Context(), route, newSubmission("next", 2)) == nil })
			assert.Equal(t, len(readAll(t, nodes[1], "next")), 2)
		})
	}
}

// TestNothingStartsByAnOldDesiredState guards against an instance that sends items by a desired state that may have been replaced long
// ago, as its reads of that alone hang.
func TestNothingStartsByAnOldDesiredState(t *testing.T) {
	t.Parallel()
	cluster, nodes, stores := startWired(t, jujubenode.DefaultDirectReaders)
	assert.NilError(t, nodes[1].Submit(t.Context(), route, newSubmission("s", 400)))
	waitFor(t, "items run", func() bool { return nodes[1].RunsInFlight() > 0 })
	stores[1].setHold(func(ctx context.Context, call string) error {
		if call != topicDesired.Name {
			return nil
		}
		return loseResponse(ctx, call)
	})
	for _, links := range cluster.peerLinks {
		links.set(linksHang)
	}
	bound := time.Now().Add(testCancelTime)
	time.Sleep(testCancelTime + 2*time.Second)
	assert.Equal(t, len(cluster.wired.after("i1", "s", bound)), 0)
	assert.Assert(t, metricOf(t, nodes[1], "jujube_node_starts_held_seconds") > 1)
	stores[1].setHold(nil)
	waitFor(t, "items start again", func() bool { return len(cluster.wired.after("i1", "s", bound)) > 0 })
	assert.Equal(t, metricOf(t, nodes[1], "jujube_node_starts_held_seconds"), 0.0)
	assert.Assert(t, metricOf(t, nodes[1], `jujube_node_send_checks_total{kind="Run",verdict="Current"}`) > 0)
}

// metricOf returns the value of a metric that an instance has exposed.
func metricOf(t *testing.T, node *jujubenode.Node, name string) float64 {
	var text strings.Builder
	node.WriteMetrics(&text)
	_, line, ok := strings.Cut(text.String(), name+" ")
	assert.Assert(t, ok, "%s isn't exposed", name)
	line, _, _ = strings.Cut(line, "\n")
	value, err := strconv.ParseFloat(line, 64)
	assert.NilError(t, err)
	return value
}

// TestNoRequestByAnOldView guards against a caller's request that an instance serves by a desired state which may have been replaced long
// ago, or sends to an endpoint that may have left long ago, as its reads of these hang, and against refusals while no instance reaches the
// store.
func TestNoRequestByAnOldView(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, node *jujubenode.Node) error{
		"desired state": func(ctx context.Context, node *jujubenode.Node) error {
			_, err := node.MatchRoute(ctx, "h", "/score/x")
			return err
		},
		"endpoints": func(ctx context.Context, node *jujubenode.Node) error {
			_, err := node.Forward(ctx, scoringRoute, jujubenode.PlainRequest{ID: "r", Method: "GET", URI: "/score/x", Host: "h", Deadline: time.Now().Add(time.Second)})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testOldView(t, call)
		})
	}
}

func testOldView(t *testing.T, call func(ctx context.Context, node *jujubenode.Node) error) {
	cluster, nodes, stores := startWired(t, jujubenode.DefaultDirectReaders)
	cluster.engines.respond = func(context.Context, jujubenode.Call) (jujubenode.Response, error) {
		return jujubenode.Response{Status: http.StatusOK, Stamp: "stamp"}, nil
	}
	serves := func() error { return call(t.Context(), nodes[1]) }
	assert.NilError(t, serves())
	stores[1].setHold(loseResponse)
	for _, links := range cluster.peerLinks {
		links.set(linksHang)
	}
	time.Sleep(testCancelTime + 500*time.Millisecond)
	refused, ok := jujubeerror.IsErrRefused(serves())
	assert.Assert(t, ok && refused.Ran == model.RanNo && refused.RetryAfter > 0)
	for _, links := range cluster.peerLinks {
		links.set(linksWork)
	}
	stores[1].setHold(nil)
	waitFor(t, "requests are served again", func() bool { return serves() == nil })
	for _, store := range stores {
		store.setBlocked(true)
	}
	time.Sleep(testCancelTime + time.Second)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		assert.NilError(t, serves())
	}
}

// TestItemsStartWhileTheStoreIsAway guards against instances that stop starting items when none of them reaches the store: no
// submission can end then.
func TestItemsStartWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	cluster, nodes, stores := startWired(t, jujubenode.DefaultDirectReaders)
	assert.NilError(t, nodes[1].Submit(t.Context(), route, newSubmission("s", 400)))
	waitFor(t, "items run", func() bool { return nodes[1].RunsInFlight() > 0 })
	for _, store := range stores {
		store.setBlocked(true)
	}
	away := time.Now()
	time.Sleep(2 * testCancelTime)
	assert.Assert(t, len(cluster.wired.after("i1", "s", away.Add(testCancelTime+time.Second))) > 0)
}

// startWired starts three instances with wired engines. The links to the first and the last one can be cut.
func startWired(t *testing.T, directReaders int) (*testCluster, []*jujubenode.Node, []*blockableStore) {
	cluster := newTestCluster(t)
	cluster.directReaders, cluster.sameDataCentre, cluster.extraEngines = directReaders, true, 4
	cluster.endpointLeaveTime = testCancelTime
	cluster.wired = newWiredEngines(t, 21, 100*time.Millisecond)
	cluster.peerLinks = map[model.InstanceID]*testLinks{"i0": {}, "i2": {}}
	var nodes []*jujubenode.Node
	var stores []*blockableStore
	for i := range 3 {
		node, store, _ := cluster.start(model.InstanceID(fmt.Sprint("i", i)))
		nodes, stores = append(nodes, node), append(stores, store)
	}
	for _, node := range nodes {
		waitFor(t, "all instances are alive", func() bool { return len(node.Addresses("dc")) == len(nodes) })
	}
	return cluster, nodes, stores
}

// sleepOrDone sleeps until the context ends. It waits for no timer that has expired: with the race detector, Go 1.26 may crash in a
// select on one in a synctest bubble.
func sleepOrDone(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
