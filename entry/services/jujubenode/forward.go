package jujubenode

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujuberouter"
)

const (
	// hedgeShare is the part of a route's target latency after which a request that may be repeated is also sent to a second
	// endpoint. Requests take a sixth of the target on average, and a second one needs time to be in time.
	hedgeShare = 0.6
	// hedgeAfter is used for routes without a target.
	hedgeAfter = 90 * time.Millisecond
	// leastTime is the least time left for a try: a shorter one can't be answered.
	leastTime = 10 * time.Millisecond
)

// Call is a plain request to one endpoint.
type Call struct {
	ID       model.RequestID
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     []byte
	Endpoint model.EndpointID
	// Incarnation is the endpoint's, as this instance knows it.
	Incarnation model.Incarnation
	Address     string
	// Timeout is the time that is left until the caller's deadline.
	Timeout time.Duration
}

// Answer is an endpoint's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Stamp is the endpoint's signature of the answer; empty when there is none.
	Stamp string
	// Running, Waiting and Slots are the endpoint's load; Slots is zero when it doesn't tell.
	Running, Waiting, Slots int
}

// EndpointCaller makes calls of plain requests.
type EndpointCaller interface {
	Call(ctx context.Context, call Call) (Answer, error)
}

// ErrCall is a call without a usable answer.
type ErrCall struct {
	// Ran tells whether the endpoint may have run the request.
	Ran model.Ran
	// Refused is true when no connection could be made.
	Refused bool
	Reason  string
}

// Error gives the reason.
func (e ErrCall) Error() string { return fmt.Sprintf("endpoint call (%s): %s", e.Ran, e.Reason) }

// PlainRequest is a caller's request on a route that isn't a rollout's.
type PlainRequest struct {
	ID       model.RequestID
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
}

// try is the outcome of sending a request to one endpoint.
type try struct {
	endpoint model.EndpointID
	answer   Answer
	err      error
}

// Forward sends a request to an endpoint and returns its answer. What may be repeated is sent to another endpoint when
// the first one fails or is slow.
func (n *Node) Forward(ctx context.Context, route *jujubedesired.Route, request PlainRequest) (Answer, error) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	f := newForwarding(n, route, request)
	answer, err := f.run(ctx)
	n.metrics.forwards.UpdateDuration(began)
	outcome := "Answered"
	if err != nil {
		outcome = "Failed"
		n.log.Write(jujubeevent.RouteRefused, func() logrus.Fields {
			return logrus.Fields{
				"Request": request.ID, "Route": route.Name, "Error": err.Error(), "Tries": f.sent, "Took": time.Since(began).String(),
			}
		})
	}
	n.metrics.countForward(outcome)
	return answer, err
}

// forwarding is one request on its way.
type forwarding struct {
	node    *Node
	route   *jujubedesired.Route
	request PlainRequest
	tries   chan try
	// sent counts the endpoints that were tried, in flight those without an outcome.
	sent, inFlight int
	used           []model.EndpointID
	// maybeRan is true once an endpoint may have run the request.
	maybeRan bool
	last     *Answer
	// repeatable requests may run more than once.
	repeatable bool
	priority   model.Priority
	// answered sees each answer; nil for none.
	answered func(Answer)
}

func newForwarding(n *Node, route *jujubedesired.Route, request PlainRequest) *forwarding {
	return &forwarding{
		node: n, route: route, request: request, tries: make(chan try, max(1, route.MaxAttempts)),
		repeatable: route.Kind == jujubedesired.Safe, priority: model.PriorityInteractive,
	}
}

// hedgeTime returns how long the first try runs alone.
func (f *forwarding) hedgeTime() time.Duration {
	if f.route.TargetLatency <= 0 {
		return hedgeAfter
	}
	return time.Duration(hedgeShare * float64(f.route.TargetLatency))
}

func (f *forwarding) run(ctx context.Context) (Answer, error) {
	if err := f.send(ctx); err != nil {
		return Answer{}, err
	}
	hedge := time.NewTimer(f.hedgeTime())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return Answer{}, f.giveUp(ctx)
		case <-hedge.C:
			if f.repeatable && f.inFlight > 0 {
				_ = f.send(ctx) // the first try goes on without a second one
			}
		case done := <-f.tries:
			f.inFlight--
			if final := f.judge(done); final {
				return done.answer, nil
			}
			if f.inFlight > 0 {
				continue
			}
			if !f.repeatable && f.maybeRan {
				return f.conclude()
			}
			if err := f.send(ctx); err != nil {
				return f.conclude()
			}
		}
	}
}

// judge tells whether a try's answer is the request's.
func (f *forwarding) judge(done try) bool {
	var failed ErrCall
	if errors.As(done.err, &failed) {
		f.maybeRan = f.maybeRan || failed.Ran != model.RanNo
		return false
	}
	if done.err != nil {
		f.maybeRan = true
		return false
	}
	if f.answered != nil {
		f.answered(done.answer)
	}
	if done.answer.Status < http.StatusInternalServerError || !f.repeatable {
		return true
	}
	f.maybeRan = true
	f.last = &done.answer
	return false
}

// conclude returns the endpoint's own failure, or a refusal that says whether the request has run.
func (f *forwarding) conclude() (Answer, error) {
	if f.last != nil {
		return *f.last, nil
	}
	if f.maybeRan {
		return Answer{}, unsure("no endpoint gave an answer")
	}
	return Answer{}, refuse(jujubeerror.CodeNoEndpoint, "no endpoint has taken the request")
}

func (f *forwarding) giveUp(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return jujubeerror.ErrRefused{Code: jujubeerror.CodeDeadline, Ran: model.RanUnknown, Message: "no answer before the deadline"}
	}
	return errors.Wrap(ctx.Err(), "the caller has left")
}

// send chooses an endpoint that hasn't been tried and sends the request there.
func (f *forwarding) send(ctx context.Context) error {
	n := f.node
	left := time.Until(f.request.Deadline)
	if f.sent >= max(1, f.route.MaxAttempts) || left < leastTime {
		return refuse(jujubeerror.CodeNoEndpoint, "no further try is left")
	}
	service := f.route.Choose(string(f.request.ID))
	id := model.RequestID(fmt.Sprintf("%s/%d", f.request.ID, f.sent))
	now := time.Now()
	n.mu.Lock()
	decision := n.router.Route(now, jujuberouter.Request{
		ID: id, Kind: model.KindService, Service: service, Priority: f.priority, Arrived: now, Deadline: f.request.Deadline, Exclude: f.used,
	})
	var wait chan jujuberouter.Decision
	if decision.Kind == jujuberouter.Wait {
		wait = make(chan jujuberouter.Decision, 1)
		n.waiters[id] = wait
	}
	n.mu.Unlock()
	if wait != nil {
		select {
		case decision = <-wait:
		case <-ctx.Done():
			n.mu.Lock()
			delete(n.waiters, id)
			n.deliver(n.router.Cancel(time.Now(), id))
			n.mu.Unlock()
			return f.giveUp(ctx)
		}
	}
	n.logRoute(f, decision)
	if decision.Kind != jujuberouter.Dispatch {
		return refuse(jujubeerror.CodeNoEndpoint, decision.Reason)
	}
	f.sent++
	f.inFlight++
	f.used = append(f.used, decision.Endpoint)
	call := Call{
		ID: f.request.ID, Method: f.request.Method, URI: f.request.URI, Host: f.request.Host, Header: f.request.Header,
		Body: f.request.Body, Endpoint: decision.Endpoint, Incarnation: decision.Incarnation, Address: decision.Address, Timeout: left,
	}
	n.tomb.Go(func() error {
		answer, err := n.caller.Call(ctx, call)
		n.finish(id, call, answer, err)
		f.tries <- try{call.Endpoint, answer, err}
		return nil
	})
	return nil
}

// finish tells the router how a try ended.
func (n *Node) finish(id model.RequestID, call Call, answer Answer, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	outcome := jujuberouter.Outcome{OK: err == nil && answer.Status < http.StatusInternalServerError}
	var failed ErrCall
	if errors.As(err, &failed) {
		outcome.ConnectionRefused = failed.Refused
		outcome.Failed = failed.Ran != model.RanNo
	}
	if answer.Slots > 0 {
		outcome.Load = &model.LoadReport{
			Endpoint: call.Endpoint, At: now, Running: answer.Running, Waiting: answer.Waiting, Slots: answer.Slots,
			Incarnation: n.endpointIncarnation(call.Endpoint),
		}
	}
	if err != nil {
		n.log.Write(jujubeevent.RequestFailed, func() logrus.Fields {
			return logrus.Fields{"Request": call.ID, "Endpoint": call.Endpoint, "Error": err.Error()}
		})
	}
	n.deliver(n.router.Finish(now, id, outcome))
}

func (n *Node) endpointIncarnation(id model.EndpointID) model.Incarnation {
	known, _ := n.batches.EngineState(id)
	return known.Incarnation
}

// deliver hands decisions to the requests that wait for them; the lock is held.
func (n *Node) deliver(decisions []jujuberouter.Decision) {
	for _, decision := range decisions {
		if wait, ok := n.waiters[decision.Request]; ok {
			wait <- decision
			delete(n.waiters, decision.Request)
		}
	}
}

func (n *Node) logRoute(f *forwarding, decision jujuberouter.Decision) {
	event := jujubeevent.RouteDispatched
	if decision.Kind != jujuberouter.Dispatch {
		event = jujubeevent.RouteWaiting
	}
	n.log.Write(event, func() logrus.Fields {
		return logrus.Fields{
			"Request": f.request.ID, "Route": f.route.Name, "Endpoint": decision.Endpoint, "Try": f.sent,
			"Considered": decision.Considered, "ExpectedWait": decision.ExpectedWait.String(), "InFlight": decision.InFlight,
			"Running": decision.Running, "Waiting": decision.Waiting, "Reason": decision.Reason,
		}
	})
}

// Match returns the route of a request; ok is false when the desired state has none, and known is false before any
// desired state is known.
func (n *Node) Match(host, path string) (route *jujubedesired.Route, ok, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.desired == nil {
		return nil, false, false
	}
	route, ok = n.desired.Match(host, path)
	return route, ok, true
}

// MaxBodyBytes bounds a caller's body; zero for no bound.
func (n *Node) MaxBodyBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.desired == nil {
		return 0
	}
	return n.desired.MaxBodyBytes
}
