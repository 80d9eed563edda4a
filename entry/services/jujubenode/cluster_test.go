package jujubenode_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubeduty"
	"jujubepier.example/core/services/jujubeorganisation"
	"jujubepier.example/entry/services/jujubenode"
)

var topicDesired = jujubenode.Topic{Name: "desired", Keyed: true}

// testCluster is a store, engines and the instances that were started.
type testCluster struct {
	t       *testing.T
	store   *fakeStore
	engines *fakeEngines
	// wired, unless it is nil, runs the items instead of engines.
	wired *wiredEngines
	// network, unless it is nil, connects instances to each other, the store and the wired engines.
	network *faultyNetwork
	// callers sends the plain requests of the instances that start; by default these go to engines.
	callers jujubenode.EndpointCaller
	// platform receives the reports of usage, which are a duty if it isn't nil.
	platform jujubenode.PlatformCaller
	// holdAtStart is the hold of the stores of instances that start.
	holdAtStart func(ctx context.Context, call string) error
	// links are the links of instances to the endpoints; those of other instances work.
	links map[model.InstanceID]*testLinks
	// peerLinks are the links of other instances to an instance; those of instances without an entry always work.
	peerLinks map[model.InstanceID]*testLinks
	// plainAddresses are the addresses of the plain endpoints, by default ones that nothing listens on.
	plainAddresses []string
	// directReaders is the setting DirectReaders; sameDataCentre puts all instances into one data centre.
	directReaders  int
	sameDataCentre bool
	// endpointLeaveTime is the setting EndpointLeaveTime; with zero, the endpoints' entries have no topic of their own.
	endpointLeaveTime time.Duration
	// extraEngines is the number of engines in addition to the first two.
	extraEngines int
	// software is the version of the engines' software that instances which start read.
	software model.SoftwareVersion
	// clockLag is how far the clocks of instances that start are behind.
	clockLag time.Duration
	// bootClock is that of instances that start, nil for the machine's; organisations are those of the desired state, nil for none.
	bootClock     func() jujubeclock.Instant
	organisations *jujubeorganisation.Directory
	// receivedMu guards received, the values of the records with the key "secret" by the instances that have read them.
	receivedMu      sync.Mutex
	receivedSecrets map[model.InstanceID]string
	// startMu guards addresses and leaveFuncs, as instances may start at the same time.
	startMu sync.Mutex
	// addresses are the peer addresses of the instances.
	addresses map[model.InstanceID]string
	// leaveFuncs shut down the instances gracefully.
	leaveFuncs map[model.InstanceID]func()
}

// publish writes a record to the topic with the desired state.
func (c *testCluster) publish(key, value string) {
	c.t.Helper()
	_, err := c.store.Append(c.t.Context(), topicDesired, 0, []jujubenode.Record{{Key: key, Value: []byte(value)}}, jujubenode.NoCondition)
	assert.NilError(c.t, err)
}

// leave shuts down an instance gracefully and waits.
func (c *testCluster) leave(id model.InstanceID) { c.leaveFuncs[id]() }

func newTestCluster(t *testing.T) *testCluster {
	store := newFakeStore()
	_, err := store.Append(t.Context(), topicDesired, 0, []jujubenode.Record{{Key: "desired", Value: []byte("1")}}, jujubenode.NoCondition)
	assert.NilError(t, err)
	return &testCluster{t: t, software: "v1", directReaders: jujubenode.DefaultDirectReaders, store: store, engines: &fakeEngines{runs: map[jujubebatch.ItemID]int{}}, leaveFuncs: map[model.InstanceID]func(){}, receivedSecrets: map[model.InstanceID]string{}, addresses: map[model.InstanceID]string{}}
}

var route = &jujubedesired.Route{
	Name: "r", Host: "h", PathPrefix: "/p/", Kind: jujubedesired.Rollout, MaxAttempts: 3, Retention: time.Minute,
	Targets: []jujubedesired.Target{{Service: "s", Weight: 1}},
}

var scoringRoute = &jujubedesired.Route{
	Name: "scoring", Host: "h", PathPrefix: "/score/", Kind: jujubedesired.Safe, MaxAttempts: 2, Timeout: 3 * time.Second,
	TargetLatency: time.Second, Targets: []jujubedesired.Target{{Service: "plain", Weight: 1}},
}

var unsafeRoute = &jujubedesired.Route{
	Name: "unsafe", Host: "h", PathPrefix: "/once/", Kind: jujubedesired.Unsafe, MaxAttempts: 2, Timeout: 3 * time.Second,
	TargetLatency: time.Second, Targets: []jujubedesired.Target{{Service: "plain", Weight: 1}},
}

// start runs an instance and waits until it is ready; the returned function kills it and waits.
func (c *testCluster) start(id model.InstanceID) (*jujubenode.Node, *blockableStore, func()) {
	c.t.Helper()
	node, store, stop := c.startUnready(id)
	waitFor(c.t, "the instance is ready", node.IsReady)
	return node, store, stop
}

// startUnready runs an instance with two engines, one in the data centre of instance a and one in that of b.
func (c *testCluster) startUnready(id model.InstanceID) (*jujubenode.Node, *blockableStore, func()) {
	c.t.Helper()
	listener, err := c.listen(id)
	assert.NilError(c.t, err)
	peerAddress := listener.Addr().String()
	if links, ok := c.peerLinks[id]; ok {
		peerAddress = links.proxy(c.t, peerAddress)
	}
	c.startMu.Lock()
	c.addresses[id] = peerAddress
	c.startMu.Unlock()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	store := &blockableStore{Store: c.store, hold: c.holdAtStart}
	var dialPeer jujubenode.DialFunc
	if c.network != nil {
		machine := c.network.machines[id]
		store.Store, dialPeer = machineStore{c.store, machine}, machine.dialPeer
	}
	dataCentre := model.DataCentre("dc-" + id)
	if c.sameDataCentre {
		dataCentre = "dc-a"
	}
	callers := c.callers
	if callers == nil {
		callers = c.engines
	}
	var engineClient jujubenode.EngineClient = c.engines
	if c.wired != nil {
		engineClient = c.wired.client(id, c.engines)
	}
	var duties []jujubeduty.Duty
	if c.platform != nil {
		duties = []jujubeduty.Duty{jujubeduty.UsageReport}
	}
	var node *jujubenode.Node
	links, ok := c.links[id]
	if !ok {
		links = &testLinks{}
	}
	closeIdle := func() {}
	if len(c.plainAddresses) > 0 {
		overHTTP := newHTTPCaller(c.t, func(ctx context.Context, address string) (net.Conn, error) { return node.ConnectEndpoint(ctx, address) })
		callers, closeIdle = overHTTP, overHTTP.client.CloseIdleConnections
	}
	node = jujubenode.New(jujubenode.Options{
		Identity: jujubenode.Identity{Instance: id, DataCentre: dataCentre, CallerAddress: string(id) + ":1", PeerAddress: peerAddress},
		Settings: jujubenode.Settings{
			DrainTime: 2 * time.Second, LeaseTime: time.Second, AddressValidity: time.Second, ReadsPerSecond: 2000, WritesPerSecond: 600, MaxRecordBytes: 1 << 16, MaxAppendBytes: 1 << 20,
			DirectReaders: c.directReaders, UnevenEngines: true, RevokeTime: testRevokeTime, CancelTime: testCancelTime, DesiredTime: testCancelTime, EndpointLeaveTime: c.endpointLeaveTime, Duties: duties, UsageWindow: time.Second, UsageLate: 10 * time.Second,
		},
		PlatformCaller: c.platformFor(id),
		Store:          store, EngineClient: engineClient, EndpointCaller: callers, DialEndpoint: links.dial, DialPeer: dialPeer, CloseIdleConnections: closeIdle, Started: time.Now().Add(-c.clockLag), BootClock: c.bootClock,
	}, logger)
	apply := func(now time.Time, record jujubenode.Record) {
		if record.Key == "secret" {
			c.receivedMu.Lock()
			defer c.receivedMu.Unlock()
			c.receivedSecrets[id] += string(record.Value) + "\n"
			return
		}
		if record.Key == "weights" {
			node.SetTargetVersion(now, "m", 2)
			return
		}
		if record.Key == "leaving" || record.Key == "restarted" {
			plain := jujubebatch.Engine{ID: model.EndpointID(record.Value), Incarnation: 1, Service: "plain", Address: c.plainAddresses[record.Value[len("plain")]-'0'], DataCentre: "dc-a", Slots: 6, Leaving: record.Key == "leaving"}
			if !plain.Leaving {
				plain.Incarnation++
			}
			node.PutEndpoint(now, plain)
			return
		}
		version, err := strconv.ParseInt(string(record.Value), 10, 64)
		assert.Check(c.t, err)
		routes := []jujubedesired.Route{*route, *scoringRoute, *unsafeRoute}
		if version >= 2 {
			added, addedRollout := *scoringRoute, *route
			added.PathPrefix, addedRollout.PathPrefix = "/added/", "/new/"
			routes = append(routes, added, addedRollout)
		}
		node.SetDesired(now, &jujubedesired.State{Version: version, Routes: routes, Organisations: c.organisations})
		plainAddresses := c.plainAddresses
		if len(plainAddresses) == 0 {
			plainAddresses = []string{"127.0.0.1:1", "127.0.0.1:1"}
		}
		for i, address := range plainAddresses {
			node.PutEndpoint(now, jujubebatch.Engine{
				ID: model.EndpointID(fmt.Sprintf("plain%d", i)), Incarnation: 1, Service: "plain", Address: address, DataCentre: "dc-a", Slots: 6,
			})
		}
		engines := map[model.EndpointID]model.DataCentre{"e1": "dc-a", "e2": "dc-b"}
		for i := range c.extraEngines {
			engines[model.EndpointID(fmt.Sprintf("more%d", i))] = "dc-c"
		}
		for engine, dataCentre := range engines {
			node.PutEndpoint(now, jujubebatch.Engine{
				ID: engine, Incarnation: 1, Service: "s", SoftwareVersion: c.software, Address: "127.0.0.1:1", DataCentre: dataCentre, Slots: 8,
				Versions: map[model.ModelName]model.WeightVersion{"m": 1},
			})
		}
	}
	node.Follow(jujubenode.Feed{Topic: topicDesired, HasDesired: true, Apply: apply, Redact: redactSecret, Reset: func(now time.Time, records []jujubenode.Record) {
		for _, record := range records {
			apply(now, record)
		}
	}})
	if c.endpointLeaveTime > 0 {
		node.Follow(jujubenode.Feed{
			Topic: jujubenode.Topic{Name: "servers", Keyed: true}, HasEndpoints: true,
			Apply: func(time.Time, jujubenode.Record) {}, Reset: func(time.Time, []jujubenode.Record) {},
		})
	}
	runErr := make(chan error, 1)
	ctx, leave := context.WithCancel(context.Background())
	go func() { runErr <- node.Run(ctx, listener) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			node.Kill()
			assert.NilError(c.t, <-runErr)
		}
	}
	c.startMu.Lock()
	c.leaveFuncs[id] = func() {
		stopped = true
		leave()
		assert.NilError(c.t, <-runErr)
	}
	c.startMu.Unlock()
	c.t.Cleanup(stop)
	c.t.Cleanup(leave)
	return node, store, stop
}

// listen opens the listener for an instance's peers.
func (c *testCluster) listen(id model.InstanceID) (net.Listener, error) {
	if c.network != nil {
		return c.network.listen(id), nil
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// redactSecret redacts the records with the key "secret".
func redactSecret(record jujubenode.Record) jujubenode.Record {
	record.Value = bytes.ReplaceAll(record.Value, []byte("secret"), []byte("redacted"))
	return record
}

// received reports whether an instance has read a record with the key "secret" whose value contains a text.
func (c *testCluster) received(id model.InstanceID, text string) bool {
	c.receivedMu.Lock()
	defer c.receivedMu.Unlock()
	return strings.Contains(c.receivedSecrets[id], text)
}

// waitFor polls a condition; its limit is far above what any machine needs.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); {
		assert.Assert(t, time.Now().Before(deadline), "%s: not within 20 s", description)
		time.Sleep(5 * time.Millisecond)
	}
}

func newSubmission(id string, items int) *jujubebatch.Submission {
	s := &jujubebatch.Submission{ID: jujubebatch.SubmissionID(id), Host: "h", Path: "/p/" + id, Model: "m", MinVersion: 1}
	for i := range items {
		s.Items = append(s.Items, jujubebatch.Item{ID: jujubebatch.ItemID(fmt.Sprintf("%s-%d", id, i)), Path: "/p/i"})
	}
	s.Contents = indexContents(items)
	return s
}

// indexContents are contents whose bodies are the indexes of the items, of which there are as many.
type indexContents int

func (c indexContents) Bytes() int { return int(c) }

func (indexContents) Content(index int) (jujubebatch.Content, error) {
	return jujubebatch.Content{Body: []byte{byte(index)}, ScoringBody: []byte{byte(100 + index)}}, nil
}

// readAll returns the results once all are listed.
func readAll(t *testing.T, node *jujubenode.Node, id jujubebatch.SubmissionID) []jujubebatch.Result {
	t.Helper()
	var page jujubebatch.Page
	waitFor(t, "all results", func() bool {
		var err error
		page, err = node.ReadResults(t.Context(), id, 0, 0)
		return err == nil && page.Total > 0 && len(page.Results) == page.Total
	})
	return page.Results
}
