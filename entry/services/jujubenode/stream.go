package jujubenode

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujuberouter"
)

const (
	// streamBatchDelay is how long the origins of streams are collected for one append.
	streamBatchDelay = 4 * time.Millisecond
	// streamQueueSize bounds the queued origins; it holds those of a second at a large site.
	streamQueueSize = 2048
	// streamRecordTimeout bounds how long the first event waits until the origin of the stream is known and recorded. Without
	// the record only this instance can continue the stream.
	streamRecordTimeout = 150 * time.Millisecond
)

// StreamRequest is a caller's request whose response is a stream of events.
type StreamRequest struct {
	PlainRequest
	// After is the number of the last event that the caller has; 0 for a new stream.
	After int
	// Origin is the caller's attempt that brought its first event; empty for a new stream.
	Origin model.RequestID
}

// StreamResponse is an endpoint's response to a StreamRequest.
type StreamResponse struct {
	// Response has no body if there are events.
	Response
	// Events is nil if the response isn't a stream.
	Events EventSource
	// ConnectedAt is when the connection of the stream was opened.
	ConnectedAt time.Time
}

// EventSource returns the events of a stream in order.
type EventSource interface {
	// Next returns the next complete event, and io.EOF after the last one of a complete stream.
	Next() (StreamEvent, error)
	Close()
}

// StreamEvent is an event as the endpoint sent it.
type StreamEvent struct {
	Number int
	Data   []byte
}

// StreamSink passes a stream to the caller.
type StreamSink interface {
	// Start passes the status and the header, before the first event.
	Start(status int, header http.Header)
	Event(data []byte) error
}

// streaming is the state of a caller's stream while it is being forwarded.
type streaming struct {
	*forwarding
	sink StreamSink
	// after is the number of the last event that the caller has.
	after int
	// isNew is true until the stream has an origin.
	isNew   bool
	started bool
	// sinkFailed is true once the caller has disconnected.
	sinkFailed bool
}

// ForwardStream sends a request to an endpoint and passes the events of its response to the sink. A stream that breaks off goes
// on at another endpoint of the same software version if the route allows that. Started reports whether the sink has got the
// header; if it has, an error means that the stream is incomplete. Otherwise the response is passed on as a whole.
func (n *Node) ForwardStream(ctx context.Context, route *jujubedesired.Route, request StreamRequest, sink StreamSink) (response Response, started bool, err error) {
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	s := &streaming{forwarding: newForwarding(n, route, request.PlainRequest), sink: sink, after: request.After, isNew: request.After == 0}
	// A stream that can't be continued runs at most once, also on a route of kind safe.
	s.retryable, s.fingerprint = route.Resumable, request.fingerprint()
	if s.isNew { // a stream that the caller continues was counted with its first event
		s.usage = n.trackUsage(request.PlainRequest)
		defer s.usage.close()
	}
	if err = n.checkTimeLeft(request.Deadline); err == nil && !s.isNew {
		err = s.applyOrigin(ctx, request.Origin)
	}
	if err == nil {
		response, err = s.run(ctx)
	}
	s.recordEnd(startedAt, err, logrus.Fields{"Origin": request.Origin, "After": s.after, "SoftwareVersion": s.software})
	return response, s.started, err
}

// applyOrigin restricts a continued stream to the service and the software version that began it.
func (s *streaming) applyOrigin(ctx context.Context, id model.RequestID) error {
	if !s.route.Resumable {
		return refusal(jujubeerror.CodeNoEndpoint, "streams of the route can't be continued")
	}
	origin, ok, err := s.node.findStream(ctx, id)
	switch {
	case err != nil:
		return refusal(jujubeerror.CodeStoreFailed, err.Error())
	case !ok || origin.SoftwareVersion == "":
		return refusal(jujubeerror.CodeNoEndpoint, "what began the stream isn't known")
	}
	s.service, s.software = origin.Service, origin.SoftwareVersion
	return s.node.refreshEndpoints(ctx)
}

// findStream returns the origin of a stream. Before it reports an unknown one it reads the log up to its end.
func (n *Node) findStream(ctx context.Context, id model.RequestID) (jujubebatch.StreamOrigin, bool, error) {
	find := func() (jujubebatch.StreamOrigin, bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.scheduler.FindStream(id)
	}
	if origin, ok := find(); ok || id == "" {
		return origin, ok, nil
	}
	for _, p := range n.partitions {
		if err := p.follower.sync(ctx); err != nil {
			return jujubebatch.StreamOrigin{}, false, err
		}
	}
	origin, ok := find()
	return origin, ok, nil
}

// run makes attempts until one of them ends the stream.
func (s *streaming) run(ctx context.Context) (Response, error) {
	for {
		if !s.hasAttempt() {
			return s.fail(refusal(jujubeerror.CodeNoEndpoint, "no further try is left"))
		}
		if s.started {
			if err := s.node.refreshEndpoints(ctx); err != nil {
				return s.fail(err)
			}
		}
		id := s.attemptID()
		decision, err := s.choose(ctx, id, firstOrRetry)
		if err != nil {
			return s.fail(err)
		}
		s.attempts++
		s.tally.Begin()
		s.triedEndpoints = append(s.triedEndpoints, decision.Endpoint)
		call, gate := s.newCall(decision), s.newGate(decision)
		call.After = s.after
		s.usage.beginAttempt()
		sentAt := time.Now()
		response, err := s.node.endpointCaller.Stream(jujubehttp.WithSendPermit(ctx, gate.check), call)
		switch {
		case err != nil:
			s.usage.endStream()
		case response.Events == nil:
			s.usage.endAttempt(startOf(sentAt, nil)) // a whole response
		}
		if err == nil && response.Events != nil {
			err = s.passEvents(ctx, decision, response)
			response.Empty = s.after == call.After
			s.usage.endStream()
			s.node.finishAttempt(ctx, id, call, response.Response, err)
			if err == nil || s.sinkFailed {
				return Response{}, err
			}
		} else {
			s.node.finishAttempt(ctx, id, call, response.Response, err)
			if gate.isDenied.Load() {
				s.discountAttempt(decision.Endpoint)
			}
			if s.handleOutcome(attempt{endpoint: decision.Endpoint, response: response.Response, err: err}) && !s.started {
				return response.Response, nil
			}
		}
		if ctx.Err() != nil {
			return Response{}, s.contextError(ctx)
		}
		s.checkLinks(attempt{endpoint: decision.Endpoint, err: err})
		if s.tally.MayHaveRun() && !s.retryable || s.started && (s.software == "" || !s.route.Resumable) {
			return s.fail(nil)
		}
	}
}

// fail returns the outcome of a stream that isn't continued.
func (s *streaming) fail(reason error) (Response, error) {
	if s.started {
		return Response{}, unknownOutcome("the stream has broken off")
	}
	return s.finalOutcome(reason)
}

// ignoreEOF returns nil for the regular end of a stream.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// passEvents passes the events of an attempt to the sink. It returns an error unless the stream is complete.
func (s *streaming) passEvents(ctx context.Context, decision jujuberouter.Decision, response StreamResponse) error {
	defer response.Events.Close()
	s.tally.End(model.RanYes)
	// An attempt that continues the stream and ends without an event may be that of a server which gave up. The caller continues
	// the stream itself if it was complete.
	isContinued := s.started
	if !s.isNew && !s.node.confirmProcess(ctx, decision.Endpoint, decision.Incarnation, response.ConnectedAt) {
		return ErrCall{Ran: model.RanUnknown, Reason: "the software version of the endpoint's process isn't known"}
	}
	for {
		event, err := response.Events.Next()
		if err != nil && s.started {
			if isContinued && errors.Is(err, io.EOF) {
				return ErrCall{Ran: model.RanUnknown, Reason: "the continued stream has no event"}
			}
			return ignoreEOF(err)
		}
		isContinued = false
		if err == nil {
			s.usage.countNow(time.Now())
		}
		if err == nil && event.Number <= s.after {
			return ErrCall{Ran: model.RanUnknown, Reason: "the endpoint repeats an event"}
		}
		if !s.started {
			if ignoreEOF(err) != nil {
				return err
			}
			s.recordOrigin(ctx, decision, response.ConnectedAt)
			s.started = true
			s.sink.Start(response.Status, response.Header)
		}
		if err != nil {
			return nil
		}
		if err := s.sink.Event(event.Data); err != nil {
			s.sinkFailed = true
			return errors.Wrap(err, "the caller has disconnected")
		}
		s.after = event.Number
	}
}

// recordOrigin records what began a new stream. Nothing promises that every stream can be continued, so a failure to write the
// record doesn't fail the stream.
func (s *streaming) recordOrigin(ctx context.Context, decision jujuberouter.Decision, connectedAt time.Time) {
	if !s.isNew {
		return
	}
	s.isNew = false
	ctx, cancel := context.WithTimeout(ctx, streamRecordTimeout)
	defer cancel()
	n := s.node
	if !s.route.Resumable || decision.SoftwareVersion == "" || !n.confirmProcess(ctx, decision.Endpoint, decision.Incarnation, connectedAt) {
		return
	}
	s.software = decision.SoftwareVersion
	origin := jujubebatch.StreamOrigin{Request: s.request.ID, Service: s.service, SoftwareVersion: s.software}
	n.mu.Lock()
	n.scheduler.AddStream(time.Now(), origin)
	n.mu.Unlock()
	if err := n.streams.add(ctx, origin); err != nil {
		n.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
			return logrus.Fields{"Topic": topicSubmissions.Name, "Request": origin.Request, "Error": err.Error()}
		})
	}
}

// appendStreams appends the origins of streams to a partition; different instances use different ones.
func (n *Node) appendStreams(ctx context.Context, origins []jujubebatch.StreamOrigin) error {
	entries := make([]jujubebatch.Entry, len(origins))
	for i := range origins {
		entries[i].Stream = &origins[i]
	}
	records, _, err := n.encode(entries...)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	part := n.partitionOf(jujubebatch.SubmissionID(n.identity.Instance)).number
	_, err = n.store.Append(ctx, topicSubmissions, part, records, NoCondition)
	return err
}
