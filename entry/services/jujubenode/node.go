// Package jujubenode runs one instance on a platform that keeps all durable state in a log. The instance reads the log,
// runs the items of accepted submissions on engines, rolls out weight versions, and forwards plain requests. The
// decisions are made by the core packages; this package converts network input to their events and executes their
// actions.
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
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubememory"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubefleet"
	"jujubepier.example/core/services/jujubelease"
	"jujubepier.example/core/services/jujubepath"
	"jujubepier.example/core/services/jujuberegistry"
	"jujubepier.example/core/services/jujuberouter"
	"jujubepier.example/core/services/jujubethrottle"
)

// Topics of the service on the platform's log.
var (
	topicInstances   = Topic{Name: "instances", Keyed: true}
	topicRollout     = Topic{Name: "rollout"}
	topicSubmissions = Topic{Name: "submissions"}
	// topicTexts holds the blobs that records of submissions point at: contents of items and texts of results.
	topicTexts = Topic{Name: "texts"}
	// topicQuarantine holds the crashes under requests, and the requests that may not run again because of them.
	topicQuarantine = Topic{Name: "quarantine", Keyed: true}
)

const (
	// numPartitions is the number of partitions of the submissions. A partition accepts 500 appends a second and an
	// instance makes about 20, so two suffice for 34 instances with a margin of 1.5 and cost each instance two
	// concurrent reads.
	numPartitions = 2
	// tickInterval is the time between two checks of time limits; other events wake the scheduler immediately.
	tickInterval = 50 * time.Millisecond
	// wakeCoalesceDelay coalesces events that arrive together, such as the items of one response.
	wakeCoalesceDelay = 4 * time.Millisecond
	// initialServiceTime is the router's estimate of a plain request's duration until the first response.
	initialServiceTime = 30 * time.Millisecond
)

// Identity holds the name, data centre and addresses of an instance.
type Identity struct {
	Instance   model.InstanceID
	DataCentre model.DataCentre
	// CallerAddress is host:port with an IP address, as it is announced to callers.
	CallerAddress string
	PeerAddress   string
}

// EngineClient sends calls to model engines.
type EngineClient interface {
	// Run streams an item's events into the sink until the stream or the context ends.
	Run(ctx context.Context, start jujubebatch.StartRun, content jujubebatch.Content, sink RunSink) (jujubebatch.EndKind, error)
	// Order sends an order to an engine on behalf of the lease holder.
	Order(ctx context.Context, order jujubefleet.Order, holder string) (jujubefleet.Outcome, error)
	// ReadState reads the state that an engine reports.
	ReadState(ctx context.Context, engine jujubefleet.Engine) (jujubefleet.Report, error)
}

// RunSink receives the events of a run; each method returns false if the run has to be cancelled.
type RunSink interface {
	// Accepted is called when the engine has accepted the run, on a connection that was opened at a time; zero if that is unknown.
	Accepted(version model.WeightVersion, connectedAt time.Time) bool
	Event(number int, data string, version model.WeightVersion) bool
	// Failed is called when the engine has responded with an internal error, with its signature of that response; empty for none.
	Failed(signature string)
}

// Options configure a node.
type Options struct {
	Identity       Identity
	Settings       Settings
	Store          Store
	EngineClient   EngineClient
	EndpointCaller EndpointCaller
	// PlatformCaller makes the duty calls to the platform's API; nil where there is none.
	PlatformCaller PlatformCaller
	// CloseIdleStoreConnections closes the idle connections to the store; may be nil.
	CloseIdleStoreConnections func()
	// DialEndpoint opens a connection to an endpoint directly; ConnectEndpoint uses it.
	DialEndpoint DialFunc
	// DialPeer opens a connection to another instance; nil for TCP.
	DialPeer DialFunc
	// CloseIdleConnections closes the idle connections to endpoints; may be nil.
	CloseIdleConnections func()
	Started              time.Time
	// Memory bounds the memory of submissions, and Bodies is the budget that shares it; it may be nil.
	Memory MemorySettings
	Bodies *jujubememory.Budget
	// BootClock returns the time since the machine was booted, including suspensions; nil for jujubeclock.Now.
	BootClock func() jujubeclock.Instant
	// StopServing stops accepting requests and waits for those in progress until the context ends. A leaving node calls
	// it before it stops, because the requests still need the node.
	StopServing func(ctx context.Context)
}

// Node is one instance.
type Node struct {
	identity Identity
	settings Settings
	started  time.Time
	// bootClock runs on while the machine is suspended; the monotonic clock of time.Now doesn't.
	bootClock func() jujubeclock.Instant
	startedAt jujubeclock.Instant
	// directStore is the plain store; store falls back to calls through another instance when it can't be reached.
	directStore    Store
	store          *relayedStore
	engineClient   EngineClient
	endpointCaller EndpointCaller
	endpointPath   *endpointPath
	duties         *duties
	log            *jujubeevent.Log
	metrics        *nodeMetrics
	tomb           *tomb.Tomb
	tasks          *taskRunner
	// serving ends, by endServing, when a leaving instance stops serving callers.
	serving    context.Context
	endServing context.CancelFunc
	// wakeCh wakes the scheduler; its capacity is one.
	wakeCh    chan struct{}
	codec     *jujubebatch.Codec
	blobCache *blobCache[[][]byte]
	// chunkCache holds functions that decode a chunk when they are first called.
	chunkCache *blobCache[func() (jujubebatch.Chunk, error)]
	loads      *batchWriter[LoadRecord]
	streams    *batchWriter[jujubebatch.StreamOrigin]
	survey     *survey

	// mu guards the fields below. Decisions are made with it held; network calls aren't.
	mu           sync.Mutex
	desired      *jujubedesired.State
	scheduler    *jujubebatch.Scheduler
	fleet        *jujubefleet.Fleet
	lease        *jujubelease.Lease
	registry     *jujuberegistry.Registry
	endpoints    *jujuberegistry.EndpointTracker
	incarnations *jujuberegistry.IncarnationTracker
	router       *jujuberouter.Router[jujuberouter.LeastExpectedWait]
	throttle     *jujubethrottle.Throttle
	crashes      *crashes
	routeWaiters map[model.RequestID]chan jujuberouter.Decision
	activeRuns   map[jujubebatch.RunID]activeRun
	// stateChangedCh is closed and replaced at each change of the state that readers wait for.
	stateChangedCh chan struct{}
	liveInstances  []jujuberegistry.Heartbeat
	relay          logRelay
	ends           endsInHand
	// incarnation is the start time in ms, or a higher number if the log has a later incarnation of this instance.
	incarnation model.Incarnation
	// leadingSince is when this instance acquired the lease; zero while it doesn't hold it.
	leadingSince time.Time
	// leaderFencingToken is the fencing token of the lease that this instance acquired last.
	leaderFencingToken int64
	// promisesRequestedAt is when the other instances were last requested to promise not to claim the lease.
	promisesRequestedAt time.Time
	state               jujuberegistry.State
	heartbeatNumber     int64
	lastHeartbeat       time.Time
	// heartbeatCh gets a value when a heartbeat is due at once; its capacity is one.
	heartbeatCh chan struct{}
	ready       bool
	// leaveDeadline is when a leaving instance exits; zero before it leaves.
	leaveDeadline time.Time
	stopServing   func(ctx context.Context)
	pauses        pauseDetector

	// memory accounts for the memory of submissions.
	memory            *batchMemory
	followers         []*follower
	partitions        []*partition
	instancesFollower *follower
	rolloutFollower   *follower
	// desiredFollower reads the desired state.
	desiredFollower *follower
	// desiredRecord is the record of the desired state in force.
	desiredRecord Record
	// waitingEntries are the latest entries of endpoints whose services the desired state doesn't name.
	waitingEntries map[model.EndpointID]jujubebatch.Engine
	// desiredDoubt tells whether a later version may have been missed.
	desiredDoubt desiredDoubt
	// desiredRefreshedAt is when it was last read because of a request.
	desiredRefreshedAt jujubeclock.Instant
	// endpointFollower reads the topic of the endpoints' registry entries; nil without one.
	endpointFollower *follower
	// quarantineFollower has to have read its topic before a request is sent to an endpoint.
	quarantineFollower *follower
}

// New creates a node. Follow adds the platform's topics, and Run starts the node.
func New(options Options, logger *logrus.Logger) *Node {
	lease := jujubelease.Settings{TTL: leaseTTL, Margin: leaseMargin, AppendTimeout: appendTimeout, Conditional: true}
	fleetSettings := jujubefleet.DefaultSettings()
	fleetSettings.LeaseTime = options.Settings.LeaseTime
	batchSettings := jujubebatch.DefaultSettings()
	batchSettings.PromptPolicy = options.Settings.PromptPolicy
	batchSettings.UnevenEngines = options.Settings.UnevenEngines
	incarnation := model.Incarnation(options.Started.UnixMilli())
	id := options.Identity.Instance
	random := rand.New(rand.NewSource(options.Started.UnixNano()))
	serving, endServing := context.WithCancel(context.Background())
	nodeTomb := new(tomb.Tomb)
	n := &Node{
		identity:       options.Identity,
		settings:       options.Settings,
		started:        time.Now(),
		bootClock:      options.BootClock,
		incarnation:    incarnation,
		directStore:    options.Store,
		engineClient:   options.EngineClient,
		endpointCaller: options.EndpointCaller,
		stopServing:    options.StopServing,
		log:            jujubeevent.NewLog(logger),
		tomb:           nodeTomb,
		tasks:          newTaskRunner(nodeTomb),
		serving:        serving,
		endServing:     endServing,
		wakeCh:         make(chan struct{}, 1),
		codec:          jujubebatch.NewCodec(),
		blobCache:      newBlobCache[[][]byte](maxCacheBytes),
		chunkCache:     newBlobCache[func() (jujubebatch.Chunk, error)](maxDecodedBytes),
		scheduler:      jujubebatch.New(id, batchSettings),
		fleet:          jujubefleet.New(id, fleetSettings),
		lease:          jujubelease.New("rollout", id, incarnation, lease),
		registry:       jujuberegistry.New(jujuberegistry.DefaultSettings()),
		endpoints:      jujuberegistry.NewEndpointTracker(jujuberegistry.DefaultSettings()),
		incarnations:   jujuberegistry.NewIncarnationTracker(),
		waitingEntries: make(map[model.EndpointID]jujubebatch.Engine),
		router: jujuberouter.New(jujuberouter.LeastExpectedWait{},
			jujuberouter.Settings{Instance: id, ServiceTime: initialServiceTime, PrefixRetention: batchSettings.PromptRetention}, random),
		throttle:       jujubethrottle.New(),
		crashes:        newCrashes(),
		routeWaiters:   make(map[model.RequestID]chan jujuberouter.Decision),
		activeRuns:     make(map[jujubebatch.RunID]activeRun),
		stateChangedCh: make(chan struct{}),
		heartbeatCh:    make(chan struct{}, 1),
		ends:           newEndsInHand(),
		state:          jujuberegistry.Starting,
	}
	n.duties = newDuties(options, incarnation)
	n.endpointPath = &endpointPath{
		node: n, dial: options.DialEndpoint, closeIdle: options.CloseIdleConnections,
		path: jujubepath.NewEndpointPath(jujubepath.DefaultEndpointSettings()), cutOffCh: make(chan struct{}, 1),
	}
	if n.bootClock == nil {
		n.bootClock = jujubeclock.Now
	}
	n.startedAt = n.bootClock()
	n.store = newRelayedStore(id, options.Store, n.log, n.peerAddresses, options.CloseIdleStoreConnections, options.DialPeer)
	n.store.bootClock = n.bootClock
	n.scheduler.SetStartGate(n.allowsStart)
	n.memory = newBatchMemory(n, options.Memory, options.Bodies)
	n.scheduler.SetMemoryLimit(options.Memory.Keep)
	n.survey = newSurvey(n)
	n.metrics = newNodeMetrics(n)
	n.loads = newBatchWriter(loadQueueSize, loadBatchDelay, n.appendLoads)
	n.streams = newBatchWriter(streamQueueSize, streamBatchDelay, n.appendStreams)
	n.instancesFollower = n.addFollower(topicInstances, 0, n.applyHeartbeat)
	n.instancesFollower.reset = n.resetHeartbeats
	n.instancesFollower.onCaughtUp = n.registry.RecordRead
	n.rolloutFollower = n.addFollower(topicRollout, 0, n.applyRollout)
	n.quarantineFollower = n.addFollower(topicQuarantine, 0, n.applyQuarantine)
	n.quarantineFollower.reset = n.resetQuarantine
	for i := range numPartitions {
		n.partitions = append(n.partitions, newPartition(n, i))
	}
	return n
}

// Run runs the node, and serves other instances on the listener, until the context ends and the instance has left, or
// until a part of it fails.
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
	n.tomb.Go(func() error { return n.copyDesired(background) })
	n.tomb.Go(func() error { return n.resolveDoubts(background) })
	n.tomb.Go(func() error { return n.restoreDeferred(background) })
	n.tomb.Go(func() error { return n.survey.run(background) })
	n.tomb.Go(func() error { return n.tasks.run(background) })
	n.tomb.Go(func() error { return n.announceEnds(background) })
	n.tomb.Go(func() error { return n.endpointPath.probe(background) })
	n.tomb.Go(func() error { return n.schedule(background) })
	n.tomb.Go(func() error { return n.sendHeartbeats(background) })
	n.tomb.Go(func() error { return n.runRollout(background) })
	n.startDuties(background)
	for range loadWriters {
		n.tomb.Go(func() error { return n.loads.run(background) })
	}
	n.tomb.Go(func() error { return n.streams.run(background) })
	n.tomb.Go(func() error { return n.writeUpdates(background) })
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

// notifyChange wakes the scheduler and the readers that wait for results; the lock is held.
func (n *Node) notifyChange() {
	select {
	case n.wakeCh <- struct{}{}:
	default:
	}
	close(n.stateChangedCh)
	n.stateChangedCh = make(chan struct{})
}

// schedule runs the scheduler after each change and on each tick.
func (n *Node) schedule(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var earliest time.Time // of the next tick
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-n.wakeCh:
		}
		sleep(ctx, time.Until(earliest))
		n.tick()
		earliest = time.Now().Add(wakeCoalesceDelay)
	}
}

func (n *Node) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.refreshMembership(now)
	for _, id := range n.endpoints.ExpireRemovals(now) {
		n.dropEndpoint(now, id)
	}
	n.setHolding()
	n.deliverDecisions(n.router.Tick(now))
	n.recordTick(now)
	n.scheduler.SetResumed(n.pauses.resumedAt)
	unread := false
	for _, p := range n.partitions {
		unread = unread || p.follower.hasUnread || !p.follower.caughtUpAt.After(n.pauses.resumedAt)
	}
	n.scheduler.SetLagging(unread)
	held := n.scheduler.HeldBytes()
	n.executeActions(n.scheduler.Tick(now))
	if n.scheduler.HeldBytes() != held {
		n.memory.publish()
	}
	n.refreshOldViews()
	n.updateReady(now)
}
