package jujubeentry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujubecore"
)

// inProgressTable holds, by key, a channel that is closed when a running non-idempotent request ends. Duplicates of the
// request wait on it. Guarded by Service.mu.
type inProgressTable struct {
	done map[model.IdempotencyKey]chan struct{}
}

func newInProgressTable() *inProgressTable {
	return &inProgressTable{done: make(map[model.IdempotencyKey]chan struct{})}
}

// newSingleUseClient returns a client that opens a new connection for each request, so that a request of which a part was sent
// never meets a connection that the server has closed in the meantime.
func newSingleUseClient() *http.Client {
	transport := newTransport()
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport, CheckRedirect: keepRedirect}
}

// callAtMostOnce runs a non-idempotent call at most once among all instances: only the instance that issued the key
// runs it.
func (s *Service) callAtMostOnce(ctx context.Context, call Call) (CallAnswer, error) {
	if call.Key == "" {
		return CallAnswer{}, jujubeerror.ErrRefused{
			Code: jujubeerror.CodeKeyRequired, Ran: model.RanNo,
			Message: "a non-idempotent call needs an Idempotency-Key that starts with the key prefix of an address answer",
		}
	}
	defer s.trackRequest()()
	deadline := time.Now().Add(call.Timeout)
	for {
		claimed, firstDone := s.claimKey(call)
		switch claimed.Decision.Kind {
		case jujubeclaim.Run:
			return s.runAndRecordOutcome(call, deadline)
		case jujubeclaim.InProgress:
			if err := waitForFirstRequest(ctx, firstDone, time.Until(deadline)); err != nil {
				return CallAnswer{}, err
			}
		case jujubeclaim.Forward:
			if call.Forwarded {
				// Prevents a forwarding loop between two instances that disagree about the owner.
				return CallAnswer{}, errOwnerGone()
			}
			return s.forward(ctx, call, claimed.Owner)
		default:
			return s.respondWithoutRun(call, claimed.Decision)
		}
	}
}

// claimKey presents the key to the core and returns its decision, with the channel that is closed when the request with
// this key that is in progress has ended.
func (s *Service) claimKey(call Call) (jujubecore.KeyDecided, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := s.core.Apply(time.Now(), jujubecore.KeyPresented{Key: call.Key, Body: call.fingerprint()})
	s.startActions(actions)
	claimed, _ := firstAction[jujubecore.KeyDecided](actions)
	if claimed.Decision.Kind == jujubeclaim.Run {
		s.inProgress.done[call.Key] = make(chan struct{})
	}
	return claimed, s.inProgress.done[call.Key]
}

// waitForFirstRequest waits until the request in progress has ended and refuses the duplicate when its time runs out before.
func waitForFirstRequest(ctx context.Context, firstDone <-chan struct{}, timeout time.Duration) error {
	if timeout <= 0 || firstDone == nil {
		return errInProgress()
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-firstDone:
		return nil
	case <-ctx.Done():
		return errInProgress()
	case <-timer.C:
		return errInProgress()
	}
}

func errInProgress() error {
	return jujubeerror.ErrRefused{
		Code: jujubeerror.CodeInProgress, Ran: model.RanUnknown, RetryAfter: time.Second,
		Message: "an earlier copy of the request is still running; repeat it with the same key",
	}
}

// runAndRecordOutcome runs the call and records its outcome. It continues when the caller disconnects, because a caller
// that retries must get the outcome of the first request.
func (s *Service) runAndRecordOutcome(call Call, deadline time.Time) (CallAnswer, error) {
	ctx, cancel := context.WithDeadline(s.tomb.Context(nil), deadline)
	defer cancel()
	response, err := s.runUntilSent(ctx, call)
	outcome := newOutcome(response, err)
	s.mu.Lock()
	s.startActions(s.core.Apply(time.Now(), jujubecore.KeyFinished{Key: call.Key, Outcome: outcome}))
	if done, exists := s.inProgress.done[call.Key]; exists {
		close(done)
		delete(s.inProgress.done, call.Key)
	}
	s.mu.Unlock()
	return response, err
}

// newOutcome returns the outcome that is stored for retries with the same key.
func newOutcome(response CallAnswer, err error) jujubeclaim.Outcome {
	if err == nil {
		// A struct of numbers, strings and bytes always encodes.
		encoded, _ := json.Marshal(response)
		return jujubeclaim.Outcome{Ran: model.RanYes, Answer: encoded}
	}
	refused, ok := jujubeerror.IsErrRefused(err)
	if !ok {
		return jujubeclaim.Outcome{Ran: model.RanUnknown, Code: jujubeerror.CodeInternal}
	}
	return jujubeclaim.Outcome{Ran: refused.Ran, Code: refused.Code, RetryAfter: refused.RetryAfter}
}

// runUntilSent tries servers until one of them may have received a byte of the call.
func (s *Service) runUntilSent(ctx context.Context, call Call) (CallAnswer, error) {
	done, err := s.admit(call.Timeout)
	if err != nil {
		return CallAnswer{}, err
	}
	defer done()
	var exclude []model.EndpointID
	for attempt := 0; ; attempt++ {
		response, endpoint, sent, err := s.attemptCall(ctx, call, exclude, attempt > 0)
		if err == nil || sent || endpoint == "" || attempt+1 >= maxAttempts || ctx.Err() != nil {
			return response, err
		}
		exclude = append(exclude, endpoint)
	}
}

// respondWithoutRun builds the caller's response for a decision that doesn't run the call.
func (s *Service) respondWithoutRun(call Call, decision jujubeclaim.Decision) (CallAnswer, error) {
	outcome := decision.Outcome
	if decision.Kind == jujubeclaim.Repeat && len(outcome.Answer) > 0 {
		var response CallAnswer
		err := json.Unmarshal(outcome.Answer, &response)
		response.Repeated = true
		return response, errors.Wrap(err, "decode the first answer")
	}
	refused := jujubeerror.ErrRefused{
		Code: decision.Code, Ran: model.RanUnknown, RetryAfter: decision.RetryAfter, Message: keyRefusalMessage(decision.Code),
	}
	switch decision.Kind {
	case jujubeclaim.Refuse:
		refused.Ran = model.RanNo
		refused.Message = "the request was not run; use a new key to send it again"
		if decision.Code == jujubeerror.CodeBadRequest {
			refused.Message = "the Idempotency-Key must be a key prefix of an address answer, a tilde and the caller's own part; the request was not run"
		}
	case jujubeclaim.Repeat:
		refused.Ran, refused.Code = outcome.Ran, outcome.Code
		refused.Message = "outcome of the first copy; its answer was too large to be kept or never came"
	}
	if refused.Code == "" {
		refused.Code = outcome.Code
	}
	if refused.Code == "" {
		refused.Code = jujubeerror.CodeInProgress
	}
	if decision.Kind == jujubeclaim.Unknown {
		s.log.Write(jujubeevent.KeyUnknown, func() logrus.Fields {
			return logrus.Fields{"Key": call.Key, "Code": decision.Code}
		})
	}
	return CallAnswer{}, refused
}

// keyRefusalMessage returns the reason for which the outcome of a key can't be returned.
func keyRefusalMessage(code string) string {
	switch code {
	case jujubeerror.CodeKeyConflict:
		return "the key was used for a request with another method, path or body"
	case jujubeerror.CodeKeyExpired:
		return "the key's prefix is no longer valid, so the outcome can't be told; a first copy needs a new key"
	case jujubeerror.CodeKeyOwnerGone:
		return "the instance that issued the key is not known to run, so the outcome is unknown"
	case jujubeerror.CodeOverloaded:
		return "the instance holds as many keys as it can; repeat with the same key"
	default:
		return "the outcome of the key is not known yet; repeat with the same key"
	}
}

// forward sends the call to the instance that issued its key. When that instance doesn't reply, the outcome is unknown,
// since an earlier request with the key may have run there.
func (s *Service) forward(ctx context.Context, call Call, owner model.Member) (CallAnswer, error) {
	s.log.Write(jujubeevent.KeyForwarded, func() logrus.Fields {
		return logrus.Fields{"Key": call.Key, "Owner": owner.ID}
	})
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	var reply ForwardReply
	err := s.peers.CallDedicated(ctx, owner.PeerAddress, "Peer.Forward", ForwardArgs{Call: call, Owner: owner.ID, Incarnation: owner.Incarnation}, &reply)
	if err != nil {
		s.log.Write(jujubeevent.KeyUnknown, func() logrus.Fields {
			return logrus.Fields{"Key": call.Key, "Owner": owner.ID, "Error": err.Error()}
		})
		return CallAnswer{}, errOwnerGone()
	}
	if reply.Refused != nil {
		return CallAnswer{}, *reply.Refused
	}
	return reply.Answer, nil
}

func errOwnerGone() jujubeerror.ErrRefused {
	return jujubeerror.ErrRefused{
		Code: jujubeerror.CodeKeyOwnerGone, Ran: model.RanUnknown, RetryAfter: time.Second,
		Message: "the instance that issued the key doesn't answer; repeat with the same key to learn the outcome",
	}
}

// HandleForwarded serves a call that another instance forwarded because this one issued its key.
func (s *Service) HandleForwarded(ctx context.Context, args ForwardArgs) ForwardReply {
	refused := errOwnerGone()
	if args.Owner != s.self.ID || args.Incarnation != s.self.Incarnation {
		return ForwardReply{Refused: &refused}
	}
	args.Call.Forwarded = true
	response, err := s.callAtMostOnce(ctx, args.Call)
	if err == nil {
		return ForwardReply{Answer: response}
	}
	if callRefused, ok := jujubeerror.IsErrRefused(err); ok {
		return ForwardReply{Refused: &callRefused}
	}
	refused.Code, refused.Message = jujubeerror.CodeInternal, err.Error()
	return ForwardReply{Refused: &refused}
}
