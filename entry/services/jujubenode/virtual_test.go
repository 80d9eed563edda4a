package jujubenode_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
)

// inVirtualTime runs a test with a cluster whose machines are connected in memory. Its time goes on only while all goroutines wait, so
// no limit depends on how fast the machine is.
func inVirtualTime(t *testing.T, run func(t *testing.T, cluster *testCluster), machines ...model.InstanceID) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(10 * time.Second) }) // calls in progress end
		cluster, network := newTestCluster(t), newFaultyNetwork(0, nil)
		for _, id := range machines {
			network.machines[id] = &machine{id: id, network: network}
		}
		t.Cleanup(network.close)
		cluster.network, cluster.bootClock = network, newTestClock().now
		run(t, cluster)
	})
}

// testClock is a boot clock that can be moved on, as a suspension of the machine does; the monotonic clock doesn't notice that.
type testClock struct {
	start     time.Time
	suspended atomic.Int64
}

func newTestClock() *testClock { return &testClock{start: time.Now()} }

func (c *testClock) now() jujubeclock.Instant {
	return jujubeclock.Instant(time.Hour + time.Since(c.start) + time.Duration(c.suspended.Load()))
}

func (c *testClock) suspend(d time.Duration) { c.suspended.Add(int64(d)) }
