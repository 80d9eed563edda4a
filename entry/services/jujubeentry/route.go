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

// maxAttempts bounds the endpoints that one request is tried on.
const maxAttempts = 4

// attemptCounter numbers attempts, so that a request id that two callers use at once doesn't collide.
type attemptCounter struct{ last atomic.Int64 }

func (c *attemptCounter) next(caller model.CallerID, id model.RequestID) model.RequestID {
	return model.RequestID(fmt.Sprintf("%s/%s#%d", caller, id, c.last.Add(1)))
}

// route asks the core for an endpoint and waits for its final decision. A refusal becomes an ErrRefused.
func (s *Service) route(ctx context.Context, arrived jujubecore.RequestArrived) (jujuberouter.Decision, error) {
	waiter := make(chan jujuberouter.Decision, 1)
	s.mu.Lock()
	s.waiters[arrived.ID] = waiter
	s.begin(s.core.Apply(time.Now(), arrived))
	s.mu.Unlock()
	select {
	case decision := <-waiter:
		return decision, refusalOf(decision)
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.waiters, arrived.ID)
	s.begin(s.core.Apply(time.Now(), jujubecore.RequestCancelled{ID: arrived.ID}))
	s.mu.Unlock()
	return jujuberouter.Decision{}, jujubeerror.ErrRefused{
		Code: jujubeerror.CodeDeadline, Ran: model.RanNo, Message: "the caller left or the deadline passed while the request waited",
	}
}

func refusalOf(decision jujuberouter.Decision) error {
	if decision.Kind == jujuberouter.Dispatch {
		return nil
	}
	ran := model.RanNo
	if decision.Code == jujubeerror.CodeQuarantined {
		// Earlier copies of the content ran and crashed.
		ran = model.RanUnknown
	}
	return jujubeerror.ErrRefused{
		Code: decision.Code, Ran: ran, RetryAfter: decision.RetryAfter, Message: "refused: " + decision.Reason,
	}
}

// afterDispatch corrects what a refusal of a repeated attempt says: an earlier attempt may have run.
func afterDispatch(err error, dispatched bool) error {
	refused, ok := jujubeerror.IsErrRefused(err)
	if ok && dispatched && refused.Ran == model.RanNo {
		refused.Ran = model.RanUnknown
		return refused
	}
	return err
}
