// Package jujubenode runs one instance on a platform that keeps all lasting state in a log: it reads the log, runs the
// items of accepted submissions on engines, orders weight versions, and forwards plain requests. Decisions are those of
// the core's packages; this package turns the network into their events and their actions into calls.
package jujubenode

import (
	"context"
	"math/rand"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubefleet"
	"jujubepier.example/core/services/jujubelease"
	"jujubepier.example/core/services/jujuberegistry"
	"jujubepier.example/core/services/jujuberouter"
)

// Topics of the service on the platform's log.
var (
	topicInstances   = Topic{Name: "instances", Keyed: true}
	topicRollout     = Topic{Name: "rollout"}
	topicSubmissions = Topic{Name: "submissions"}
	// topicTexts holds what the records of submissions point at: contents of items and texts of results.
	topicTexts = Topic{Name: "texts"}
)

const (
	// partitions is how many partitions submissions are spread over. One takes 500 appends a second; an instance makes
	// about 20, so two serve 34 instances with a margin of 1.5 and cost each instance two reads at a time.
	partitions = 2
	// tickPeriod is the time between two looks at time limits; other events wake the scheduler at once.
	tickPeriod = 50 * time.Millisecond
	// wakePause gathers events that come together, such as the items of one answer.
	wakePause = 4 * time.Millisecond
	// serviceTime is what the router assumes of a plain request until the first one is answered.
	serviceTime = 30 * time.Millisecond
)

// Identity is what an instance is called and where it is reached.
type Identity struct {
	Instance   model.InstanceID
	DataCentre model.DataCentre
	// CallerAddress is host:port with an IP number, as callers are told it.
	CallerAddress string
	PeerAddress   string
}

// Feed is a keyed topic of the platform that operators or endpoints write to.
type Feed struct {
	Topic Topic
	// Apply takes one record; without a value the key is gone.
	Apply func(now time.Time, record Record)
	// Reset takes all records when earlier ones are not to be had, before any Apply.
	Reset func(now time.Time, records []Record)
	// Endpoints is true for the topic that holds the endpoints' entries.
	Endpoints bool
}

// Engines are the calls to model engines.
type Engines interface {
	// Run streams an item's events into the sink until it ends or the context does.
	Run(ctx context.Context, start jujubebatch.StartRun, content jujubebatch.Content, sink RunSink) (jujubebatch.EndKind, error)
	// Order gives an order on behalf of a holder.
	Order(ctx context.Context, order jujubefleet.Order, holder string) (jujubefleet.Outcome, error)
	// ReadState reads what an engine says of itself.
	ReadState(ctx context.Context, engine jujubefleet.Engine) (jujubefleet.Report, error)
}

// RunSink takes what a run brings; each method returns false when the run has to be given up.
type RunSink interface {
	Accepted(version model.WeightVersion) bool
	Event(number int, data string, version model.WeightVersion) bool
}

// Options are what a node is made of.
type Options struct {
	Identity Identity
	Settings Settings
	Store    Store
	Engines  Engines
	Caller   EndpointCaller
	Started  time.Time
	// StopServing stops taking requests and waits, until the context ends, for those that were taken. A leaving node calls
	// it before it ends, as answers need the node.
	StopServing func(ctx context.Context)
}

// Node is one instance.
type Node struct {
	identity Identity
	settings Settings
	started  time.Time
	// direct is the store as this instance reaches it, store the way that may lead through another instance.
	direct  Store
	store   *relayedStore
	engines Engines
	caller  EndpointCaller
	log     *jujubeevent.Log
	metrics *nodeMetrics
	tomb    *tomb.Tomb
	wake    chan struct{}
	cache   *blobCache
	// loads are the load records that wait to be written.
	loads chan loadNote

	// mu guards all below. Decisions are made under it; no call is made under it.
	mu       sync.Mutex
	desired  *jujubedesired.State
	batches  *jujubebatch.Batches
	fleet    *jujubefleet.Fleet
	lease    *jujubelease.Lease
	registry *jujuberegistry.Registry
	servers  *jujuberegistry.Servers
	births   *jujuberegistry.Births
	router   *jujuberouter.Router[jujuberouter.LeastExpectedWait]
	waiters  map[model.RequestID]chan jujuberouter.Decision
	cancels  map[jujubebatch.RunID]context.CancelFunc
	changed  chan struct{}
	live     []jujuberegistry.Beat
	source   logSource
	// incarnation is the start's time of day, or more if the log knows a later one of this instance.
	incarnation model.Incarnation
	// leading is since when this instance holds the lease; zero when it doesn't.
	leading    time.Time
	leadFence  int64
	state      jujuberegistry.State
	beatNumber int64
	lastBeat   time.Time
	ready      bool
	// leaveAt is when a leaving instance ends; zero before it leaves.
	leaveAt     time.Time
	stopServing func(ctx context.Context)

	followers  []*follower
	partitions []*partition
	instances  *follower
	rollout    *follower
}

// New builds a node; Follow adds the platform's topics, and Run starts it.
func New(options Options, logger *logrus.Logger) *Node {
	lease := jujubelease.Settings{TTL: leaseTTL, Margin: leaseMargin, AppendTimeout: appendTimeout, Conditional: true}
	fleetSettings := jujubefleet.DefaultSettings()
	fleetSettings.LeaseTime = options.Settings.LeaseTime
	incarnation := model.Incarnation(options.Started.UnixMilli())
	id := options.Identity.Instance
	random := rand.New(rand.NewSource(options.Started.UnixNano()))
	n := &Node{
		identity: options.Identity, settings: options.Settings, started: time.Now(), incarnation: incarnation, direct: options.Store,
		engines: options.Engines, caller: options.Caller, stopServing: options.StopServing, log: jujubeevent.NewLog(logger), tomb: new(tomb.Tomb),
		wake:     make(chan struct{}, 1),
		cache:    newBlobCache(),
		loads:    make(chan loadNote, loadQueue),
		batches:  jujubebatch.New(id, jujubebatch.DefaultSettings()),
		fleet:    jujubefleet.New(id, fleetSettings),
		lease:    jujubelease.New("rollout", id, incarnation, lease),
		registry: jujuberegistry.New(jujuberegistry.DefaultSettings()),
		servers:  jujuberegistry.NewServers(jujuberegistry.DefaultSettings()),
		births:   jujuberegistry.NewBirths(),
		router: jujuberouter.New(jujuberouter.LeastExpectedWait{},
			jujuberouter.Settings{Instance: id, ServiceTime: serviceTime}, random),
		waiters: make(map[model.RequestID]chan jujuberouter.Decision),
		cancels: make(map[jujubebatch.RunID]context.CancelFunc),
		changed: make(chan struct{}), state: jujuberegistry.Starting,
	}
	n.store = newRelayedStore(id, options.Store, n.log, n.peerAddresses)
	n.metrics = newNodeMetrics(n)
	n.instances = n.addFollower(topicInstances, 0, n.applyBeat)
	n.instances.reset = n.resetBeats
	n.instances.contact = n.registry.Contact
	n.rollout = n.addFollower(topicRollout, 0, n.applyRollout)
	for i := range partitions {
		n.partitions = append(n.partitions, newPartition(n, i))
	}
	return n
}

// Follow adds a topic of the platform. It is called before Run.
func (n *Node) Follow(feed Feed) {
	f := n.addFollower(feed.Topic, 0, func(now time.Time, _ int64, record Record) { feed.Apply(now, record) })
	f.reset = feed.Reset
	if feed.Endpoints {
		f.contact = n.servers.Contact
	}
}

func (n *Node) addFollower(topic Topic, part int, apply func(time.Time, int64, Record)) *follower {
	f := &follower{node: n, topic: topic, part: part, apply: apply}
	n.followers = append(n.followers, f)
	return f
}

// Run serves, other instances on the listener, until the context ends and the instance has left, or a part of it fails.
func (n *Node) Run(ctx context.Context, peers net.Listener) error {
	n.log.Write(jujubeevent.InstanceStarted, func() logrus.Fields {
		return logrus.Fields{
			"Instance": n.identity.Instance, "Incarnation": n.incarnation, "DataCentre": n.identity.DataCentre,
			"CallerAddress": n.identity.CallerAddress,
		}
	})
	background := n.tomb.Context(nil)
	for _, f := range n.followers {
		n.tomb.Go(func() error { return f.run(background) })
	}
	for _, p := range n.partitions {
		n.tomb.Go(func() error { return p.run(background) })
	}
	n.tomb.Go(func() error { return n.servePeers(background, peers) })
	n.tomb.Go(func() error { return n.store.probe(background) })
	n.tomb.Go(func() error { return n.schedule(background) })
	n.tomb.Go(func() error { return n.beat(background) })
	n.tomb.Go(func() error { return n.rollOut(background) })
	for range loadWriters {
		n.tomb.Go(func() error { return n.writeLoads(background) })
	}
	select {
	case <-ctx.Done():
		n.leave()
	case <-n.tomb.Dying():
	}
	n.tomb.Kill(nil)
	err := n.tomb.Wait()
	n.log.Write(jujubeevent.InstanceStopped, func() logrus.Fields {
		return logrus.Fields{"Instance": n.identity.Instance, "Reason": errorText(err)}
	})
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// wakeUp makes the scheduler look at once and tells readers that wait for results; the lock is held.
func (n *Node) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// schedule runs the core's decisions whenever something has changed, and each tick.
func (n *Node) schedule(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-n.wake:
		}
		n.tick()
		sleep(ctx, wakePause)
	}
}

func (n *Node) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.refreshLive(now)
	for _, id := range n.servers.Due(now) {
		n.dropServer(now, id)
	}
	n.deliver(n.router.Tick(now))
	behind := false
	for _, p := range n.partitions {
		behind = behind || p.follower.behind || p.follower.caughtUp.IsZero()
	}
	n.batches.SetBehind(behind)
	n.do(n.batches.Tick(now))
	n.checkReady(now)
}

// checkReady turns ready once all topics have been read to their ends and a desired state is known.
func (n *Node) checkReady(now time.Time) {
	if n.ready || n.desired == nil || n.state != jujuberegistry.Starting {
		return
	}
	for _, f := range n.followers {
		if f.caughtUp.IsZero() {
			return
		}
	}
	n.ready, n.state = true, jujuberegistry.Ready
	n.lastBeat = time.Time{}
	n.log.Write(jujubeevent.InstanceReady, func() logrus.Fields {
		reads, records, bytes := 0, 0, 0
		for _, f := range n.followers {
			reads, records, bytes = reads+f.reads, records+f.records, bytes+f.bytes
		}
		return logrus.Fields{
			"Instance": n.identity.Instance, "Revision": n.desired.Version, "Reads": reads, "Records": records, "Bytes": bytes,
			"After": now.Sub(n.started).String(),
		}
	})
}

// IsReady tells whether callers should be sent here.
func (n *Node) IsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready && n.state == jujuberegistry.Ready
}

// SetDesired puts a newer desired state in force. It is called from a feed, under the node's lock.
func (n *Node) SetDesired(_ time.Time, state *jujubedesired.State) {
	if n.desired != nil && state.Version <= n.desired.Version {
		return
	}
	n.desired = state
	n.batches.SetDesired(state)
	single := false
	for i := range state.Routes {
		single = single || state.Routes[i].SingleVersion
	}
	n.fleet.SetSingle(single)
	n.log.Write(jujubeevent.ConfigApplied, func() logrus.Fields {
		return logrus.Fields{"Revision": state.Version, "Routes": len(state.Routes), "Services": len(state.Services)}
	})
}

// Announce takes a model's newest weight version. It is called from a feed, under the node's lock.
func (n *Node) Announce(_ time.Time, name model.ModelName, version model.WeightVersion) {
	if n.fleet.Announce(name, version) {
		n.log.Write(jujubeevent.WeightsAnnounced, func() logrus.Fields {
			return logrus.Fields{"Model": name, "Version": version}
		})
	}
}

// Kill ends the node at once, as the loss of its process does.
func (n *Node) Kill() { n.tomb.Kill(nil) }

// Runs returns how many items this instance runs now.
func (n *Node) Runs() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.batches.Runs()
}
