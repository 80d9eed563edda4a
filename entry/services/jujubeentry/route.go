package jujubeentry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubecore"
	"jujubepier.example/core/services/jujuberouter"
)

// maxAttempts bounds the number of endpoints on which one request is tried.
const maxAttempts = 4

// attemptCounter numbers attempts, so that their ids stay unique when callers use the same request id at the same time.
type attemptCounter struct{ last atomic.Int64 }

func (c *attemptCounter) next(caller model.CallerID, id model.RequestID) model.RequestID {
	return model.RequestID(fmt.Sprintf("%s/%s#%d", caller, id, c.last.Add(1)))
}

// route requests an endpoint from the core and waits for its final decision. A refusal is returned as ErrRefused.
func (s *Service) route(ctx context.Context, arrived jujubecore.RequestArrived) (jujuberouter.Decision, error) {
	waiter := make(chan jujuberouter.Decision, 1)
	s.mu.Lock()
	s.waiters[arrived.ID] = waiter
	s.startActions(s.core.Apply(time.Now(), arrived))
	s.mu.Unlock()
	select {
	case decision := <-waiter:
		return decision, decisionError(decision)
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.waiters, arrived.ID)
	s.startActions(s.core.Apply(time.Now(), jujubecore.RequestCancelled{ID: arrived.ID}))
	s.mu.Unlock()
	return jujuberouter.Decision{}, jujubeerror.ErrRefused{
		Code: jujubeerror.CodeDeadline, Ran: model.RanNo, Message: "the caller left or the deadline passed while the request waited",
	}
}

// decisionError returns the refusal that corresponds to a decision, or nil when the request may be dispatched.
func decisionError(decision jujuberouter.Decision) error {
	if decision.Kind == jujuberouter.Dispatch {
		return nil
	}
	ran := model.RanNo
	if decision.Code == jujubeerror.CodeQuarantined {
		// Earlier requests with the same content ran and crashed their endpoints.
		ran = model.RanUnknown
	}
	return jujubeerror.ErrRefused{
		Code: decision.Code, Ran: ran, RetryAfter: decision.RetryAfter, Message: "refused: " + decision.Reason,
	}
}

// correctRan changes Ran in the refusal of a retry from no to unknown when an earlier attempt was dispatched and may have
// run.
func correctRan(err error, dispatched bool) error {
	refused, ok := jujubeerror.IsErrRefused(err)
	if ok && dispatched && refused.Ran == model.RanNo {
		refused.Ran = model.RanUnknown
		return refused
	}
	return err
}
