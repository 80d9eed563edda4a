// Package jujubecore combines the decision packages into one state machine: it applies typed events and returns typed
// actions. It does no I/O, starts no goroutine and reads no clock, so that the entry program, trace replays, property tests
// and benchmarks run the same code. A Core isn't safe for concurrent use; its owner serialises the calls.
package jujubecore

import (
	"math/rand"
	randv2 "math/rand/v2"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujubeconfig"
	"jujubepier.example/core/services/jujubelease"
	"jujubepier.example/core/services/jujubemember"
	"jujubepier.example/core/services/jujubequarantine"
	"jujubepier.example/core/services/jujuberouter"
	"jujubepier.example/core/services/jujubestep"
	"jujubepier.example/core/services/jujubeweight"
)

// TickInterval is the interval at which the owner of a Core calls Tick.
const TickInterval = 50 * time.Millisecond

// leaseCandidates is the number of lowest-ranked live instances that read the lease stream and may claim the lease. More
// would only add reads.
const leaseCandidates = 3

// router is jujuberouter.Router without its type parameter, so that the policy can be selected by name at run time.
type router interface {
	SetLimits(limits model.Limits)
	SetMembers(live, rank int)
	PutEndpoint(now time.Time, endpoint model.Endpoint)
	MarkLeaving(now time.Time, id model.EndpointID)
	ClearLeaving(id model.EndpointID)
	RemoveEndpoint(now time.Time, id model.EndpointID)
	ReportLoad(now time.Time, report model.LoadReport)
	ReportCache(now time.Time, id model.EndpointID, events []model.CacheEvent)
	Route(now time.Time, request jujuberouter.Request) jujuberouter.Decision
	Explain(now time.Time, request jujuberouter.Request) model.RouteExplanation
	Finish(now time.Time, id model.RequestID, outcome jujuberouter.Outcome) []jujuberouter.Decision
	Cancel(now time.Time, id model.RequestID) []jujuberouter.Decision
	SetEndpointFilter(id model.RequestID, only, exclude []model.EndpointID)
	Tick(now time.Time) []jujuberouter.Decision
	Endpoints(now time.Time) []jujuberouter.EndpointView
	HasVersion(name model.ModelName, version model.WeightVersion) bool
	HasSoftware(request jujuberouter.Request) bool
}

// Options configures a Core.
type Options struct {
	Self model.Member
	// Seed makes random choices repeatable.
	Seed int64
	// Policy names the policy that selects endpoints: LeastExpectedWait (default), LeastInFlight, RoundRobin or Random.
	Policy     string
	Router     jujuberouter.Settings
	Quarantine jujubequarantine.Settings
	Claim      jujubeclaim.Settings
	Member     jujubemember.Settings
	Lease      jujubelease.Settings
	Step       jujubestep.Settings
	Weight     jujubeweight.Settings
}

// DefaultOptions returns options in which each decision package has its default settings.
func DefaultOptions(self model.Member) Options {
	return Options{
		Self: self, Policy: jujuberouter.LeastExpectedWait{}.Name(),
		Router: jujuberouter.Settings{Instance: self.ID},
		Step:   jujubestep.Settings{Owner: string(self.ID) + "." + self.Incarnation.String()},
	}
}

// Core is the decision state of one entry instance.
type Core struct {
	self       model.Member
	router     router
	quarantine *jujubequarantine.Quarantine
	// pinned lists, by content, the requests restricted to the endpoint that runs it, until it completes or no longer runs.
	pinned map[model.Fingerprint][]model.RequestID
	// grants lists the endpoints that this instance, as the coordinator, has granted to suspect requests.
	grants []grant
	// suspectFirstSeen is when this instance, as the coordinator, was first asked for a grant for a suspect.
	suspectFirstSeen map[model.Fingerprint]time.Time
	claims           *jujubeclaim.Claims
	members          *jujubemember.Members
	lease            *jujubelease.Lease
	steps            *jujubestep.Steps
	rollout          *jujubeweight.Rollout
	config           *jujubeconfig.Reducer

	// endpoints holds the state of each endpoint that is or was in the instance list, or was named by gossip.
	endpoints *jujubetable.Table[model.EndpointID, endpointState]
	// requests holds each request from its arrival until its end or refusal.
	requests *jujubetable.Table[model.RequestID, requestState]
	// awaitingRetry holds the requests that wait for the coordinator or were postponed. It may also hold requests that no longer
	// wait; tickSuspects removes these.
	awaitingRetry *jujubetable.Table[model.RequestID, struct{}]
	// versions holds the latest announced weight version of each model; it never decreases.
	versions *jujubetable.Table[model.ModelName, model.WeightVersion]
	limits   model.Limits
	// appliedRevision is the revision in force and appliedDigest its digest; the revision never decreases.
	appliedRevision int64
	appliedDigest   string
	// unusableRevision is the highest revision whose document couldn't be parsed.
	unusableRevision int64
	// appliedAt is when appliedRevision was put in force.
	appliedAt time.Time
	// announcedRevision is the highest revision known from gossip or applied here.
	announcedRevision int64
	// nextFetch is the earliest time of the next FetchConfig.
	nextFetch      time.Time
	logUnavailable bool
	leading        bool
	// fencingToken is the highest fencing token known from the lease stream or gossip.
	fencingToken int64
	// listedEntries is the number of entry instances in the instance list.
	listedEntries int
	// refreshedChanges and refreshedListed are Members.ChangeCount and listedEntries at the last refreshMembers that had an effect.
	refreshedChanges int64
	refreshedListed  int
	leaving          bool
	random           *rand.Rand
}

// New returns a Core. It holds no resources but memory and needs no clean-up.
func New(options Options) (*Core, error) {
	random := rand.New(rand.NewSource(options.Seed ^ int64(options.Self.Incarnation)))
	selected, err := newRouter(options, random)
	if err != nil {
		return nil, err
	}
	gossip := randv2.New(randv2.NewPCG(uint64(options.Seed), uint64(options.Self.Incarnation)))
	c := &Core{
		self:             options.Self,
		router:           selected,
		quarantine:       jujubequarantine.New(options.Quarantine),
		claims:           jujubeclaim.New(options.Self.ID, options.Self.Incarnation, options.Claim),
		members:          jujubemember.New(options.Self, options.Member, gossip),
		lease:            jujubelease.New(model.StreamLease, options.Self.ID, options.Self.Incarnation, options.Lease),
		steps:            jujubestep.New(options.Step),
		rollout:          jujubeweight.New(options.Weight),
		config:           jujubeconfig.NewReducer(),
		endpoints:        jujubetable.New[model.EndpointID, endpointState](),
		requests:         jujubetable.New[model.RequestID, requestState](),
		awaitingRetry:    jujubetable.New[model.RequestID, struct{}](),
		pinned:           make(map[model.Fingerprint][]model.RequestID),
		suspectFirstSeen: make(map[model.Fingerprint]time.Time),
		versions:         jujubetable.New[model.ModelName, model.WeightVersion](),
		random:           random,
	}
	c.router.SetMembers(1, 0)
	return c, nil
}

func newRouter(options Options, random *rand.Rand) (router, error) {
	switch options.Policy {
	case "", jujuberouter.LeastExpectedWait{}.Name():
		return jujuberouter.New(jujuberouter.LeastExpectedWait{}, options.Router, random), nil
	case jujuberouter.LeastInFlight{}.Name():
		return jujuberouter.New(jujuberouter.LeastInFlight{}, options.Router, random), nil
	case jujuberouter.Random{}.Name():
		return jujuberouter.New(jujuberouter.Random{}, options.Router, random), nil
	case (&jujuberouter.RoundRobin{}).Name():
		return jujuberouter.New(&jujuberouter.RoundRobin{}, options.Router, random), nil
	default:
		return nil, errors.Errorf("unknown policy %q", options.Policy)
	}
}

// Apply applies an event and returns the actions to perform, in order.
func (c *Core) Apply(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case InstancesListed:
		return c.applyInstancesListed(now, e.List)
	case LoadReported:
		return c.applyLoadReport(now, e.Report)
	case CacheReported:
		c.router.ReportCache(now, e.Endpoint, e.Events)
	case EndpointLost:
		return c.applyEndpointLost(now, e)
	case EndpointDrained:
		c.applyEndpointDrained(now, e)
	case RequestArrived:
		return c.applyRequestArrived(now, e)
	case RequestEnded:
		return c.applyRequestEnded(now, e)
	case RequestCancelled:
		return c.applyRequestCancelled(now, e.ID)
	case SuspectAsked:
		return []Action{c.grantSuspect(now, e)}
	case SuspectGranted:
		return c.applySuspectGranted(now, e)
	case SuspectReleased:
		c.releaseSuspect(now, e)
	case QuarantineLifted:
		c.members.Publish(now, c.quarantine.Lift(now, e.Fingerprint))
	default:
		return c.applyOther(now, event)
	}
	return nil
}

// applyOther applies the events of steps, weights, configuration, lease, peers and keys.
func (c *Core) applyOther(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case PartSubmitted:
		return c.applyPartSubmitted(now, e)
	case PartPulled:
		return c.applyPartPulled(now, e.Pull)
	case StreamsHeld:
		c.steps.Resume(now, e.Streams, e.Endpoint)
	case StreamProgressed:
		c.steps.HandleStreamProgress(now, e.Stream, e.From, e.To, e.Version)
	case StreamEnded:
		return c.applyStreamEnded(now, e)
	case SampleScored:
		c.applySampleScored(now, e)
	case VersionAnnounced:
		c.announceVersion(now, e.Model, e.Version, true)
	case OrderAnswered:
		c.applyOrderAnswered(now, e)
	case ConfigRead:
		return c.applyConfigRead(now, e.Read)
	case ConfigReceived:
		if c.config.Adopt(e.State) {
			return c.applyConfig(now)
		}
	case LeaseRead:
		if len(e.Read.Records) == 0 && e.Read.First == e.Read.Next {
			c.lease.SkipTo(e.Read.Next)
		}
		for _, record := range e.Read.Records {
			c.lease.Apply(record)
		}
	case AppendFailed:
		c.lease.HandleAppendFailure()
	case LogReached:
		c.logUnavailable = e.Away
		c.lease.SetLogUnavailable(now, e.Away)
	case PeerReceived:
		reply, updates := c.members.Receive(now, e.Message)
		return append(c.applyGossipUpdates(now, updates), PeerReply{Message: reply})
	case PeerAnswered:
		_, updates := c.members.Receive(now, e.Message)
		return c.applyGossipUpdates(now, updates)
	case PeerFailed:
		c.members.HandleSendFailure(now, e.Instance)
	case KeyPresented:
		return []Action{c.decideKey(now, e)}
	case KeyFinished:
		c.claims.Finish(now, e.Key, e.Outcome)
	case KeysImported:
		c.importKeys(now, e)
	case LeaveRequested:
		c.leaving = true
		c.members.Leave(now)
	}
	return nil
}

// Tick runs the periodic work in a fixed order: membership, lease, configuration, weights, steps, router queue, keys, suspects.
func (c *Core) Tick(now time.Time) []Action {
	var actions []Action
	actions = append(actions, c.tickMembers(now)...)
	actions = append(actions, c.tickLease(now)...)
	actions = append(actions, c.tickConfig(now)...)
	actions = append(actions, c.tickWeights(now)...)
	actions = append(actions, c.tickSteps(now)...)
	actions = append(actions, c.applyDecisions(now, c.router.Tick(now))...)
	c.claims.Expire(now)
	return append(actions, c.tickSuspects(now)...)
}
