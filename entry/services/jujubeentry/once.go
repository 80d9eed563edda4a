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
	"jujubepier.example/entry/modules/jujubepeer"
)

// answerTable wakes the copies of a non-idempotent request that wait for the first one. Guarded by Service.mu.
type answerTable struct {
	running map[model.IdempotencyKey]chan struct{}
}

func newAnswerTable() *answerTable {
	return &answerTable{running: make(map[model.IdempotencyKey]chan struct{})}
}

// newSingleClient returns a client that opens a connection for each request. On a kept connection the transport would
// send a request again by itself when the server closes the connection, also a POST if it has an Idempotency-Key header.
func newSingleClient() *http.Client {
	transport := newTransport()
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		// A redirect would send the request a second time.
		return http.ErrUseLastResponse
	}}
}

// callOnce runs a non-idempotent call at most once, whichever instances its copies reach.
func (s *Service) callOnce(ctx context.Context, call Call) (CallAnswer, error) {
	if call.Key == "" {
		return CallAnswer{}, jujubeerror.ErrRefused{
			Code: jujubeerror.CodeKeyRequired, Ran: model.RanNo,
			Message: "a non-idempotent call needs an Idempotency-Key that starts with the key prefix of an address answer",
		}
	}
	defer s.beginServing()()
	deadline := time.Now().Add(call.Timeout)
	for {
		decided, running := s.presentKey(call)
		switch decided.Decision.Kind {
		case jujubeclaim.Run:
			return s.runOnce(call, deadline)
		case jujubeclaim.InProgress:
			if err := waitRunning(ctx, running, time.Until(deadline)); err != nil {
				return CallAnswer{}, err
			}
		case jujubeclaim.Forward:
			if call.Forwarded {
				// Two instances that disagree about the owner must not forward to each other without end.
				return CallAnswer{}, errOwnerGone()
			}
			return s.forward(ctx, call, decided.Owner)
		default:
			return s.answerKey(call, decided.Decision)
		}
	}
}

// presentKey asks the core about the key and returns the channel that is closed when the running copy has ended.
func (s *Service) presentKey(call Call) (jujubecore.KeyDecided, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := s.core.Apply(time.Now(), jujubecore.KeyPresented{Key: call.Key, Body: call.fingerprint()})
	s.begin(actions)
	decided, _ := answerOf[jujubecore.KeyDecided](actions)
	if decided.Decision.Kind == jujubeclaim.Run {
		s.answers.running[call.Key] = make(chan struct{})
	}
	return decided, s.answers.running[call.Key]
}

func waitRunning(ctx context.Context, running <-chan struct{}, left time.Duration) error {
	if left <= 0 || running == nil {
		return errInProgress()
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-running:
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

// runOnce runs the call and records its outcome. It isn't bound to the caller's connection, because a caller that
// repeats the call must find the first outcome.
func (s *Service) runOnce(call Call, deadline time.Time) (CallAnswer, error) {
	ctx, cancel := context.WithDeadline(s.tomb.Context(nil), deadline)
	defer cancel()
	answer, err := s.runUntilSent(ctx, call)
	outcome := outcomeOf(answer, err)
	s.mu.Lock()
	s.begin(s.core.Apply(time.Now(), jujubecore.KeyFinished{Key: call.Key, Outcome: outcome}))
	if running, ok := s.answers.running[call.Key]; ok {
		close(running)
		delete(s.answers.running, call.Key)
	}
	s.mu.Unlock()
	return answer, err
}

// outcomeOf is what the repeats of a key are told.
func outcomeOf(answer CallAnswer, err error) jujubeclaim.Outcome {
	if err == nil {
		// A struct of numbers, texts and bytes always encodes.
		encoded, _ := json.Marshal(answer)
		return jujubeclaim.Outcome{Ran: model.RanYes, Answer: encoded}
	}
	refused, ok := jujubeerror.IsErrRefused(err)
	if !ok {
		return jujubeclaim.Outcome{Ran: model.RanUnknown, Code: jujubeerror.CodeInternal}
	}
	return jujubeclaim.Outcome{Ran: refused.Ran, Code: refused.Code, RetryAfter: refused.RetryAfter}
}

// runUntilSent tries servers until one may have got a byte of the call.
func (s *Service) runUntilSent(ctx context.Context, call Call) (CallAnswer, error) {
	done, err := s.admit()
	if err != nil {
		return CallAnswer{}, err
	}
	defer done()
	var exclude []model.EndpointID
	for attempt := 0; ; attempt++ {
		answer, endpoint, sent, err := s.attemptCall(ctx, call, exclude, attempt > 0)
		if err == nil || sent || endpoint == "" || attempt+1 >= maxAttempts || ctx.Err() != nil {
			return answer, err
		}
		exclude = append(exclude, endpoint)
	}
}

// answerKey turns a decision that runs nothing into the caller's answer.
func (s *Service) answerKey(call Call, decision jujubeclaim.Decision) (CallAnswer, error) {
	outcome := decision.Outcome
	if decision.Kind == jujubeclaim.Repeat && len(outcome.Answer) > 0 {
		var answer CallAnswer
		err := json.Unmarshal(outcome.Answer, &answer)
		answer.Repeated = true
		return answer, errors.Wrap(err, "decode the first answer")
	}
	refused := jujubeerror.ErrRefused{
		Code: decision.Code, Ran: model.RanUnknown, RetryAfter: decision.RetryAfter, Message: describeKey(decision.Code),
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

// describeKey says why the outcome of a key isn't told.
func describeKey(code string) string {
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

// forward sends the call to the instance that issued its key. Without an answer the outcome is unknown: an earlier copy
// may have run there.
func (s *Service) forward(ctx context.Context, call Call, owner model.Member) (CallAnswer, error) {
	s.log.Write(jujubeevent.KeyForwarded, func() logrus.Fields {
		return logrus.Fields{"Key": call.Key, "Owner": owner.ID}
	})
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	var reply ForwardReply
	err := jujubepeer.CallAlone(ctx, owner.PeerAddress, "Peer.Forward", ForwardArgs{Call: call, Owner: owner.ID, Incarnation: owner.Incarnation}, &reply)
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

// TakeForwarded serves a call that another instance forwarded to this one.
func (s *Service) TakeForwarded(ctx context.Context, args ForwardArgs) ForwardReply {
	refused := errOwnerGone()
	if args.Owner != s.self.ID || args.Incarnation != s.self.Incarnation {
		return ForwardReply{Refused: &refused}
	}
	args.Call.Forwarded = true
	answer, err := s.callOnce(ctx, args.Call)
	if err == nil {
		return ForwardReply{Answer: answer}
	}
	if own, ok := jujubeerror.IsErrRefused(err); ok {
		return ForwardReply{Refused: &own}
	}
	refused.Code, refused.Message = jujubeerror.CodeInternal, err.Error()
	return ForwardReply{Refused: &refused}
}
