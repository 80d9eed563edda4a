// Package jujubecore composes the decision packages: typed events go in, typed actions come out. It does no I/O, starts
// no goroutine and reads no clock, so that the entry program, a trace replay, a property test and a benchmark drive the
// same code. Calls must not overlap; the owner of a Core serialises them.
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

// TickPeriod is how often the owner of a Core calls Tick.
const TickPeriod = 50 * time.Millisecond

// leaseCandidates is how many of the lowest-ranked live instances follow the lease. More would only add reads.
const leaseCandidates = 3

// router hides the policy parameter, so that a Core can be built with any policy by name.
type router interface {
	SetLimits(limits model.Limits)
	SetMembers(live, rank int)
	PutEndpoint(now time.Time, endpoint model.Endpoint)
	MarkLeaving(now time.Time, id model.EndpointID)
	EndLeaving(id model.EndpointID)
	RemoveEndpoint(now time.Time, id model.EndpointID)
	ReportLoad(now time.Time, report model.LoadReport)
	ReportCache(now time.Time, id model.EndpointID, events []model.CacheEvent)
	Route(now time.Time, request jujuberouter.Request) jujuberouter.Decision
	Finish(now time.Time, id model.RequestID, outcome jujuberouter.Outcome) []jujuberouter.Decision
	Cancel(now time.Time, id model.RequestID) []jujuberouter.Decision
	SetChoice(id model.RequestID, only, exclude []model.EndpointID)
	Tick(now time.Time) []jujuberouter.Decision
	Endpoints(now time.Time) []jujuberouter.EndpointRow
	HasVersion(name model.ModelName, version model.WeightVersion) bool
}

// Options configures a Core.
type Options struct {
	Self model.Member
	// Seed makes random choices repeatable.
	Seed int64
	// Policy names the endpoint choice: LeastExpectedWait (default), LeastInFlight, RoundRobin or Random.
	Policy     string
	Router     jujuberouter.Settings
	Quarantine jujubequarantine.Settings
	Claim      jujubeclaim.Settings
	Member     jujubemember.Settings
	Lease      jujubelease.Settings
	Step       jujubestep.Settings
	Weight     jujubeweight.Settings
}

// DefaultOptions returns options with which each decision package uses its defaults.
func DefaultOptions(self model.Member) Options {
	return Options{
		Self: self, Policy: jujuberouter.LeastExpectedWait{}.Name(),
		Router: jujuberouter.Settings{Instance: self.ID},
		Step:   jujubestep.Settings{Owner: string(self.ID) + "." + self.Incarnation.String()},
	}
}

// Core holds the tables of one entry instance.
type Core struct {
	self       model.Member
	router     router
	quarantine *jujubequarantine.Quarantine
	// confined lists the waiting requests whose content runs on one endpoint and has never completed.
	confined map[model.Fingerprint][]model.RequestID
	// grants lists the suspects that run on this steward's word.
	grants []grant
	// suspectSince is when this steward first heard of a suspect.
	suspectSince map[model.Fingerprint]time.Time
	claims       *jujubeclaim.Claims
	members      *jujubemember.Members
	lease        *jujubelease.Lease
	steps        *jujubestep.Steps
	rollout      *jujubeweight.Rollout
	fold         *jujubeconfig.Fold

	// endpoints holds the latest row of each endpoint of the instance list.
	endpoints *jujubetable.Table[model.EndpointID, endpointRow]
	// requests holds each request from its arrival until its end or refusal.
	requests *jujubetable.Table[model.RequestID, requestRow]
	// asking holds at least the requests that wait for the steward or were postponed.
	asking *jujubetable.Table[model.RequestID, struct{}]
	// versions only grow.
	versions *jujubetable.Table[model.ModelName, model.WeightVersion]
	limits   model.Limits
	// applied is the revision that is in force, with its digest; it never goes back.
	applied       int64
	appliedDigest string
	// unusable is the highest revision whose document couldn't be used.
	unusable int64
	// appliedAt is when it was put in force.
	appliedAt time.Time
	// wanted is the highest revision that a rumour named.
	wanted    int64
	nextFetch time.Time
	logAway   bool
	leading   bool
	fence     int64
	listed    int
	// refreshedAt and refreshedFor are Members.Changes and listed when the members were last passed to the other tables.
	refreshedAt  int64
	refreshedFor int
	leaving      bool
	random       *rand.Rand
}

// New returns a Core. It holds nothing but memory, so that there is nothing to clean up.
func New(options Options) (*Core, error) {
	random := rand.New(rand.NewSource(options.Seed ^ int64(options.Self.Incarnation)))
	chosen, err := newRouter(options, random)
	if err != nil {
		return nil, err
	}
	gossip := randv2.New(randv2.NewPCG(uint64(options.Seed), uint64(options.Self.Incarnation)))
	c := &Core{
		self:         options.Self,
		router:       chosen,
		quarantine:   jujubequarantine.New(options.Quarantine),
		claims:       jujubeclaim.New(options.Self.ID, options.Self.Incarnation, options.Claim),
		members:      jujubemember.New(options.Self, options.Member, gossip),
		lease:        jujubelease.New(model.StreamLease, options.Self.ID, options.Self.Incarnation, options.Lease),
		steps:        jujubestep.New(options.Step),
		rollout:      jujubeweight.New(options.Weight),
		fold:         jujubeconfig.NewFold(),
		endpoints:    jujubetable.New[model.EndpointID, endpointRow](),
		requests:     jujubetable.New[model.RequestID, requestRow](),
		asking:       jujubetable.New[model.RequestID, struct{}](),
		confined:     make(map[model.Fingerprint][]model.RequestID),
		suspectSince: make(map[model.Fingerprint]time.Time),
		versions:     jujubetable.New[model.ModelName, model.WeightVersion](),
		random:       random,
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

// Apply takes one event and returns what has to be done, in order.
func (c *Core) Apply(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case InstancesListed:
		return c.applyInstances(now, e.List)
	case LoadReported:
		return c.applyLoad(now, e.Report)
	case CacheReported:
		c.router.ReportCache(now, e.Endpoint, e.Events)
	case EndpointLost:
		return c.applyLost(now, e)
	case EndpointDrained:
		c.applyDrained(now, e)
	case RequestArrived:
		return c.applyArrived(now, e)
	case RequestEnded:
		return c.applyEnded(now, e)
	case RequestCancelled:
		return c.applyCancelled(now, e.ID)
	case SuspectAsked:
		return []Action{c.grantSuspect(now, e)}
	case SuspectGranted:
		return c.applyGranted(now, e)
	case SuspectReleased:
		c.releaseSuspect(now, e)
	case QuarantineLifted:
		c.members.Publish(now, c.quarantine.Lift(now, e.Fingerprint))
	default:
		return c.applyRest(now, event)
	}
	return nil
}

// applyRest takes the events of steps, weights, configuration, peers and keys.
func (c *Core) applyRest(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case PartSubmitted:
		return c.applySubmitted(now, e)
	case PartPulled:
		return c.applyPulled(now, e.Pull)
	case StreamsHeld:
		c.steps.Resume(now, e.Streams, e.Endpoint)
	case StreamProgressed:
		c.steps.Progress(now, e.Stream, e.From, e.To, e.Version)
	case StreamEnded:
		return c.applyStreamEnded(now, e)
	case SampleScored:
		c.applyScored(now, e)
	case VersionAnnounced:
		c.announce(now, e.Model, e.Version, true)
	case OrderAnswered:
		c.applyOrderAnswered(now, e)
	case ConfigRead:
		return c.applyConfigRead(now, e.Read)
	case ConfigReceived:
		if c.fold.Adopt(e.State) {
			return c.applyConfig(now)
		}
	case LeaseRead:
		if len(e.Read.Records) == 0 && e.Read.First == e.Read.Next {
			c.lease.Skip(e.Read.Next)
		}
		for _, record := range e.Read.Records {
			c.lease.Apply(record)
		}
	case AppendFailed:
		c.lease.Failed()
	case LogReached:
		c.logAway = e.Away
		c.lease.SetLogAway(now, e.Away)
	case PeerReceived:
		reply, news := c.members.Receive(now, e.Message)
		return append(c.applyRumours(now, news), PeerReply{Message: reply})
	case PeerAnswered:
		_, news := c.members.Receive(now, e.Message)
		return c.applyRumours(now, news)
	case PeerFailed:
		c.members.Failed(now, e.Instance)
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

// Tick runs the periodic systems in a fixed order: membership, lease, configuration, weights, steps, router queue.
func (c *Core) Tick(now time.Time) []Action {
	var actions []Action
	actions = append(actions, c.tickMembers(now)...)
	actions = append(actions, c.tickLease(now)...)
	actions = append(actions, c.tickConfig(now)...)
	actions = append(actions, c.tickWeights(now)...)
	actions = append(actions, c.tickSteps(now)...)
	actions = append(actions, c.routed(now, c.router.Tick(now))...)
	c.claims.Tick(now)
	return append(actions, c.tickSuspects(now)...)
}
