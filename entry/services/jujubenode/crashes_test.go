package jujubenode_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubequarantine"
	"jujubepier.example/entry/services/jujubenode"
)

// crashingServers end the first server that runs a request, for good.
type crashingServers struct {
	mu   sync.Mutex
	runs int
}

func (s *crashingServers) start(t *testing.T) (address string) {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		s.mu.Lock()
		s.runs++
		s.mu.Unlock()
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (s *crashingServers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// sendContent sends a request with content of its own.
func sendContent(t *testing.T, node *jujubenode.Node, id, content string) error {
	t.Helper()
	_, err := node.Forward(t.Context(), scoringRoute, jujubenode.PlainRequest{
		ID: model.RequestID(id), Method: "POST", URI: "/score/x", Host: "h", Body: []byte(content), Deadline: time.Now().Add(1500 * time.Millisecond),
	})
	return err
}

func isQuarantined(err error) bool {
	refused, ok := jujubeerror.IsErrRefused(err)
	return ok && refused.Code == jujubeerror.CodeQuarantined && refused.Ran == model.RanNo && refused.RetryAfter > 0
}

// TestCrashesOverCarriedConnections guards against a request that goes on ending endpoints because it reaches them through another
// instance, while the store refuses it as well.
func TestCrashesOverCarriedConnections(t *testing.T) {
	cluster := newTestCluster(t)
	servers := &crashingServers{}
	for range 9 {
		cluster.plainAddresses = append(cluster.plainAddresses, servers.start(t))
	}
	cluster.links = map[model.InstanceID]*testLinks{"a": {}}
	a, storeOfA, _ := cluster.start("a")
	b, _, _ := cluster.start("b")
	c, _, _ := cluster.start("c")
	waitFor(t, "all instances are alive", func() bool { return len(a.Addresses("dc")) == 3 })
	cluster.links["a"].set(linksRefuse)
	storeOfA.setBlocked(true)
	for i := range 3 {
		_ = sendContent(t, a, fmt.Sprint("r", i), "crash")
	}
	waitFor(t, "a refuses it", func() bool { return isQuarantined(sendContent(t, a, "again", "crash")) })
	runs := servers.count()
	assert.Assert(t, runs >= 3 && runs <= 6, "it ran %d times", runs)
	time.Sleep(time.Second) // the rule allows three seconds
	for _, node := range []*jujubenode.Node{b, c} {
		assert.Assert(t, isQuarantined(sendContent(t, node, "there", "crash")))
	}
	assert.Equal(t, servers.count(), runs)
}

// TestCrashesWhileStoreIsAway guards against crashes that the other instances don't learn of because the store is away for all, and
// against records that aren't in the store once it is back.
func TestCrashesWhileStoreIsAway(t *testing.T) {
	cluster := newTestCluster(t)
	servers := &crashingServers{}
	for range 9 {
		cluster.plainAddresses = append(cluster.plainAddresses, servers.start(t))
	}
	a, storeOfA, stopA := cluster.start("a")
	b, storeOfB, stopB := cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 })
	storeOfA.setBlocked(true)
	storeOfB.setBlocked(true)
	for i := 0; !isQuarantined(sendContent(t, a, fmt.Sprint("r", i), "crash")); i++ {
		assert.Assert(t, i < 6)
	}
	runs := servers.count()
	time.Sleep(time.Second)
	assert.Assert(t, isQuarantined(sendContent(t, b, "there", "crash")))
	storeOfA.setBlocked(false)
	storeOfB.setBlocked(false)
	waitFor(t, "the crashes are in the store", func() bool {
		page, err := cluster.store.Newest(t.Context(), jujubenode.Topic{Name: "quarantine", Keyed: true}, "")
		return err == nil && len(page.Records) >= 3
	})
	stopA()
	stopB()
	c, _, _ := cluster.start("c")
	assert.Assert(t, isQuarantined(sendContent(t, c, "afterwards", "crash")))
	assert.Equal(t, servers.count(), runs)
}

// TestLiftedQuarantine guards against a quarantine that an operator lifts and that an instance keeps, or restores from crashes that led
// to it: one that runs, and one that starts afterwards.
func TestLiftedQuarantine(t *testing.T) {
	cluster := newTestCluster(t)
	servers := &crashingServers{}
	for range 9 {
		cluster.plainAddresses = append(cluster.plainAddresses, servers.start(t))
	}
	a, _, _ := cluster.start("a")
	b, _, _ := cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 })
	for i := 0; !isQuarantined(sendContent(t, a, fmt.Sprint("r", i), "crash")); i++ {
		assert.Assert(t, i < 6)
	}
	var entries []jujubequarantine.Entry
	waitFor(t, "it is quarantined", func() bool {
		var err error
		entries, err = jujubenode.ListQuarantine(t.Context(), cluster.store)
		return err == nil && len(entries) == 1 && entries[0].State == jujubequarantine.Quarantined
	})
	unknown, err := jujubenode.LiftQuarantine(t.Context(), cluster.store, entries[0].Fingerprint+1)
	assert.Assert(t, err == nil && !unknown)
	lifted, err := jujubenode.LiftQuarantine(t.Context(), cluster.store, entries[0].Fingerprint)
	assert.Assert(t, err == nil && lifted)
	time.Sleep(500 * time.Millisecond)
	c, _, _ := cluster.start("c")
	runs := servers.count()
	for i, node := range []*jujubenode.Node{c, b, a} {
		isNew := servers.count()-runs >= 3 // it has ended three servers again
		assert.Assert(t, isNew || !isQuarantined(sendContent(t, node, fmt.Sprint("lifted", i), "crash")))
	}
	// All tries of a request may go to servers that have ended before.
	for i := 0; servers.count() == runs; i++ {
		assert.Assert(t, i < 20, "it doesn't run")
		assert.Assert(t, !isQuarantined(sendContent(t, a, fmt.Sprint("again", i), "crash")))
	}
}

// TestRefusingLinksAreNoCrash guards against a sound request that is refused because the instance's own links broke off and refused
// connections each time it ran: a host whose process has ended refuses them in the same way.
func TestRefusingLinksAreNoCrash(t *testing.T) {
	cluster, servers := newCutCluster(t, "a")
	servers.delay = 300 * time.Millisecond
	a, _, _ := cluster.start("a")
	cluster.start("b")
	waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 })
	for i := range 4 {
		route := *unsafeRoute
		route.PathPrefix = fmt.Sprintf("/once/%d/", i) // content of its own
		for j := range 6 {
			time.AfterFunc(100*time.Millisecond, func() { cluster.links["a"].set(linksRefuse) })
			err := sendPlain(t, a, &route, fmt.Sprintf("r%d.%d", i, j))
			assert.Assert(t, !isQuarantined(err), "request %d, try %d: %v", i, j, err)
			cluster.links["a"].set(linksWork)
			waitFor(t, "a uses its own links", func() bool { return !isCutOff(a) })
			if err == nil {
				break // over a connection that was carried
			}
		}
	}
}

// TestNoRequestBeforeQuarantineIsRead guards against an instance that has just started and sends requests to endpoints before it knows
// which ones crash them.
func TestNoRequestBeforeQuarantineIsRead(t *testing.T) {
	cluster := newTestCluster(t)
	release := make(chan struct{})
	cluster.holdAtStart = func(ctx context.Context, call string) error {
		if !strings.HasPrefix(call, "quarantine") {
			return nil
		}
		select {
		case <-release:
			return nil
		case <-ctx.Done():
			return loseResponse(ctx, call)
		}
	}
	node, _, _ := cluster.startUnready("a")
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		_, err := node.MatchRoute(t.Context(), "h", "/score/x")
		refused, ok := jujubeerror.IsErrRefused(err)
		assert.Assert(t, ok && refused.Code == jujubeerror.CodeNotReady && refused.Ran == model.RanNo, "%v", err)
	}
	close(release)
	waitFor(t, "the instance is ready", node.IsReady)
	_, err := node.MatchRoute(t.Context(), "h", "/score/x")
	assert.NilError(t, err)
}
