package jujubenode

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/services/jujubeattempt"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubeprompt"
	"jujubepier.example/core/services/jujuberouter"
)

const (
	// hedgeFraction is the part of a route's target latency after which a retryable request is also sent to a second
	// endpoint. Requests take a sixth of the target on average, and the hedged one needs time to finish within it.
	hedgeFraction = 0.6
	// defaultHedgeDelay is used for routes without a target latency.
	defaultHedgeDelay = 90 * time.Millisecond
	// minAttemptTime is the time that must remain for another attempt; no endpoint responds in less.
	minAttemptTime = 10 * time.Millisecond
)

// Call is a plain request to one endpoint.
type Call struct {
	ID     model.RequestID
	Method string
	URI    string
	Host   string
	// Organisation is the caller's; empty for none. IsEnforced is true if the desired state has organisations, so that what the
	// caller says about its organisation isn't passed on.
	Organisation model.OrganisationName
	IsEnforced   bool
	Header       http.Header
	Body         []byte
	Endpoint     model.EndpointID
	// Incarnation is the incarnation of the endpoint that this instance has on record.
	Incarnation model.Incarnation
	Address     string
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// After is the number of the last event of a stream that is continued; 0 for none.
	After int
}

// Response is the complete response of an endpoint.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stamp is the endpoint's signature of the response; empty if there is none.
	Stamp string
	// Empty is true for a stream that ended without an event.
	Empty bool
	// Running, Waiting and Slots are the endpoint's load; Slots is zero if the endpoint doesn't report it.
	Running, Waiting, Slots int
	// Pace is the time that work takes there, in percent of the usual time; zero if the endpoint doesn't report it.
	Pace int
}

// isSuccess reports whether the response shows that the endpoint has run the request. Other responses may come from an endpoint that
// didn't get that far.
func (r Response) isSuccess() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Stamp != "" && !r.Empty
}

// EndpointCaller sends plain requests to endpoints.
type EndpointCaller interface {
	Call(ctx context.Context, call Call) (Response, error)
	// Stream sends a request whose response may be a stream of events. The caller closes the events.
	Stream(ctx context.Context, call Call) (StreamResponse, error)
}

// ErrCall is returned for a call without a usable response.
type ErrCall struct {
	// Ran states whether the endpoint may have run the request.
	Ran model.Ran
	// Refused is true if no connection could be established.
	Refused bool
	Reason  string
}

// Error returns the reason.
func (e ErrCall) Error() string { return fmt.Sprintf("endpoint call (%s): %s", e.Ran, e.Reason) }

// PlainRequest is a caller's request on a route that isn't a rollout route.
type PlainRequest struct {
	ID     model.RequestID
	Method string
	URI    string
	Host   string
	// Organisation is the caller's; empty on a public route and without organisations. IsEnforced is true if there are any.
	Organisation model.OrganisationName
	IsEnforced   bool
	// Level orders waiting requests; lower ones are served first.
	Level    int
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Prompt lists the parts of the prompt, if the caller names them.
	Prompt jujubeprompt.Prompt
}

// attempt is the outcome of sending a request to one endpoint.
type attempt struct {
	endpoint model.EndpointID
	response Response
	err      error
	// isDenied is true if the endpoint had changed before anything was sent.
	isDenied bool
}

// ran returns what the outcome states of the attempt's effect.
func (a attempt) ran() model.Ran {
	var callErr ErrCall
	switch {
	case a.err == nil:
		return model.RanYes
	case errors.As(a.err, &callErr):
		return callErr.Ran
	}
	return model.RanUnknown
}

// Forward sends a request to an endpoint and returns its response. A retryable request is also sent to another endpoint
// if the first one fails or is slow.
func (n *Node) Forward(ctx context.Context, route *jujubedesired.Route, request PlainRequest) (Response, error) {
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	f := newForwarding(n, route, request)
	f.fingerprint = request.fingerprint()
	f.usage = n.trackUsage(request)
	defer f.usage.close()
	var response Response
	err := n.checkTimeLeft(request.Deadline)
	if err == nil {
		response, err = f.run(ctx)
	}
	f.recordEnd(startedAt, err, nil)
	return response, err
}

// recordEnd counts a request, and logs one without a response with further inputs of the decision.
func (f *forwarding) recordEnd(startedAt time.Time, err error, inputs logrus.Fields) {
	n := f.node
	n.metrics.forwards.UpdateDuration(startedAt)
	if err == nil {
		n.metrics.countForward("Answered")
		return
	}
	event := jujubeevent.RouteRefused
	if refused, ok := jujubeerror.IsErrRefused(err); ok && refused.Code == jujubeerror.CodeQuarantined {
		event = jujubeevent.RequestBlocked
		n.metrics.countForward("Quarantined")
	} else {
		n.metrics.countForward("Failed")
	}
	n.log.Write(event, func() logrus.Fields {
		fields := logrus.Fields{
			"Fingerprint": formatFingerprint(f.fingerprint),
			"Request":     f.request.ID, "Route": f.route.Name, "Error": err.Error(), "Tries": f.attempts, "Took": time.Since(startedAt).String(),
		}
		maps.Copy(fields, inputs)
		return fields
	})
}

// forwarding is the state of one request while it is being forwarded.
type forwarding struct {
	node     *Node
	route    *jujubedesired.Route
	request  PlainRequest
	outcomes chan attempt
	// attempts counts the attempts made; inFlight counts those without an outcome, and unsent those that don't count for the limit.
	attempts, inFlight, unsent int
	triedEndpoints             []model.EndpointID
	// tally combines the outcomes of the attempts.
	tally       jujubeattempt.Tally
	lastFailure *Response
	// retryable requests may run more than once.
	retryable bool
	priority  model.Priority
	// fingerprint is that of the request's content; zero for work of an accepted submission, which the quarantine neither blames
	// nor refuses.
	fingerprint model.Fingerprint
	// service and software are those that began a stream which is continued; otherwise service is the route's target, and
	// software is empty.
	service  model.ServiceName
	software model.SoftwareVersion
	// onResponse is called with each response; may be nil.
	onResponse func(Response)
	// permit is asked before the first byte of each attempt; may be nil.
	permit func() jujubehttp.SendPermit
	// usage counts the request; nil if it isn't counted.
	usage *usageTracker
}

func newForwarding(n *Node, route *jujubedesired.Route, request PlainRequest) *forwarding {
	return &forwarding{
		node: n, route: route, request: request, outcomes: make(chan attempt, max(1, route.MaxAttempts)+maxUnsentAttempts),
		retryable: route.Kind == jujubedesired.Safe, priority: model.PriorityInteractive, service: n.chooseService(route, request.ID),
	}
}

// chooseService returns the service for a request, of those of its route that have endpoints.
func (n *Node) chooseService(route *jujubedesired.Route, id model.RequestID) model.ServiceName {
	n.mu.Lock()
	defer n.mu.Unlock()
	return route.ChooseAmong(string(id), n.scheduler.HasEndpoint)
}

// hedgeDelay returns how long to wait for the first attempt before a second one starts.
func (f *forwarding) hedgeDelay() time.Duration {
	if f.route.TargetLatency <= 0 {
		return defaultHedgeDelay
	}
	return time.Duration(hedgeFraction * float64(f.route.TargetLatency))
}

// run sends the request and returns the response for the caller. It sends the request to another endpoint after a failed
// attempt, unless the request isn't retryable and may have run, and sends a retryable one a second time if the first
// attempt is slow.
func (f *forwarding) run(ctx context.Context) (Response, error) {
	if err := f.send(ctx, firstOrRetry); err != nil {
		return Response{}, err
	}
	hedge := time.NewTimer(f.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return Response{}, f.contextError(ctx)
		case <-hedge.C:
			if f.inFlight > 0 {
				f.node.endpointPath.checkLinks(f.node.endpointAddress(f.triedEndpoints[len(f.triedEndpoints)-1]))
				if f.retryable {
					_ = f.send(ctx, hedged) // on failure the first attempt continues alone
				}
			}
		case outcome := <-f.outcomes:
			f.inFlight--
			f.checkLinks(outcome)
			if outcome.isDenied {
				f.discountAttempt(outcome.endpoint)
			}
			if final := f.handleOutcome(outcome); final {
				return outcome.response, nil
			}
			if f.inFlight > 0 {
				continue
			}
			if !f.retryable && f.tally.MayHaveRun() {
				return f.finalOutcome(nil)
			}
			if err := f.send(ctx, firstOrRetry); err != nil {
				return f.finalOutcome(err)
			}
		}
	}
}

// checkLinks checks this instance's links after an attempt that broke off.
func (f *forwarding) checkLinks(outcome attempt) {
	var callErr ErrCall
	if errors.As(outcome.err, &callErr) && callErr.Ran != model.RanNo {
		f.node.endpointPath.checkLinks(f.node.endpointAddress(outcome.endpoint))
	}
}

// handleOutcome records the outcome of an attempt and reports whether its response is returned to the caller.
func (f *forwarding) handleOutcome(outcome attempt) bool {
	f.tally.End(outcome.ran())
	if outcome.err != nil {
		return false
	}
	if f.onResponse != nil {
		f.onResponse(outcome.response)
	}
	if outcome.response.Status < http.StatusInternalServerError || !f.retryable {
		return true
	}
	f.lastFailure = &outcome.response
	return false
}

// finalOutcome returns the last server error of an endpoint, or the reason why there is no further attempt. A request that may
// have run isn't refused.
func (f *forwarding) finalOutcome(reason error) (Response, error) {
	if f.lastFailure != nil {
		return *f.lastFailure, nil
	}
	if f.tally.MayHaveRun() {
		return Response{}, unknownOutcome("no endpoint gave an answer")
	}
	return Response{}, reason
}

func (f *forwarding) contextError(ctx context.Context) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return jujubeerror.ErrRefused{Code: jujubeerror.CodeDeadline, Ran: model.RanUnknown, Message: "no answer before the deadline"}
	case errors.Is(context.Cause(ctx), errServingEnded):
		return jujubeerror.ErrRefused{Code: jujubeerror.CodeLeaving, Ran: f.tally.Outcome(), RetryAfter: leavingRetryAfter, Message: errServingEnded.Error()}
	}
	return errors.Wrap(ctx.Err(), "the caller has disconnected")
}

// finishAttempt reports the outcome of an attempt to the router and to the quarantine. If the attempt broke off it waits, for a
// limited time, until it is known whether the endpoint has crashed.
func (n *Node) finishAttempt(ctx context.Context, id model.RequestID, call Call, response Response, err error) {
	if n.recordOutcome(ctx, id, call, response, err) {
		n.awaitProcessCheck(ctx, call)
	}
}

// recordOutcome reports whether the endpoint of an attempt that broke off has to be checked.
func (n *Node) recordOutcome(ctx context.Context, id model.RequestID, call Call, response Response, err error) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	outcome := jujuberouter.Outcome{OK: err == nil && response.Status < http.StatusInternalServerError}
	var callErr ErrCall
	if errors.As(err, &callErr) {
		outcome.ConnectionRefused = callErr.Refused
		outcome.Failed = callErr.Ran != model.RanNo
	}
	if response.Slots > 0 {
		outcome.Load = &model.LoadReport{
			Endpoint: call.Endpoint, At: now, Running: response.Running, Waiting: response.Waiting, Slots: response.Slots, Pace: response.Pace,
			Incarnation: n.endpointIncarnation(call.Endpoint),
		}
	}
	if err != nil {
		n.log.Write(jujubeevent.RequestFailed, func() logrus.Fields {
			return logrus.Fields{"Request": call.ID, "Endpoint": call.Endpoint, "Error": err.Error()}
		})
	}
	n.deliverDecisions(n.router.Finish(now, id, outcome))
	return n.endRun(ctx, now, id, call, response, err)
}

func (n *Node) endpointAddress(id model.EndpointID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	engine, _ := n.scheduler.EngineState(id)
	return engine.Address
}

func (n *Node) endpointIncarnation(id model.EndpointID) model.Incarnation {
	engine, _ := n.scheduler.EngineState(id)
	return engine.Incarnation
}

// deliverDecisions passes routing decisions to the requests that wait for them; the lock is held.
func (n *Node) deliverDecisions(decisions []jujuberouter.Decision) {
	for _, decision := range decisions {
		if waiter, ok := n.routeWaiters[decision.Request]; ok {
			waiter <- decision
			delete(n.routeWaiters, decision.Request)
		}
	}
}

func (n *Node) logRouteDecision(f *forwarding, decision jujuberouter.Decision) {
	event := jujubeevent.RouteDispatched
	if decision.Kind != jujuberouter.Dispatch {
		event = jujubeevent.RouteWaiting
	}
	n.log.Write(event, func() logrus.Fields {
		return logrus.Fields{
			"Request": f.request.ID, "Route": f.route.Name, "Endpoint": decision.Endpoint, "Try": f.attempts,
			"SoftwareVersion": decision.SoftwareVersion, "Considered": decision.Considered, "ExpectedWait": decision.ExpectedWait.String(), "InFlight": decision.InFlight,
			"Running": decision.Running, "Waiting": decision.Waiting, "Reason": decision.Reason,
			"Organisation": f.request.Organisation, "Level": f.request.Level,
		}
	})
}

// MaxBodyBytes returns the limit for the body of a caller's request; zero means no limit.
func (n *Node) MaxBodyBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.desired == nil {
		return 0
	}
	return n.desired.MaxBodyBytes
}
