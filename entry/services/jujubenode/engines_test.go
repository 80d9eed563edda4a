package jujubenode_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubefleet"
	"jujubepier.example/entry/services/jujubenode"
)

// fakeEngines responds to each item with three events and counts the runs of each item.
type fakeEngines struct {
	mu   sync.Mutex
	runs map[jujubebatch.ItemID]int
	// used are the engines that were sent an item.
	used map[model.EndpointID]bool
	// large is the data of each event of an item, by the item's id.
	large map[jujubebatch.ItemID]string
	// hold keeps runs from ending while it is set, and holdAfter is the event after which it does.
	hold      chan struct{}
	holdAfter int
	// resumed counts the runs that continued a text.
	resumed int
	// nameSoftware replaces the data of the events by the engine's software version.
	nameSoftware bool
	// ordered counts the orders, and holders are those that sent them.
	holders []string
	ordered atomic.Int64
	// respond returns the response of plain endpoints; if it is nil, there are none.
	respond func(ctx context.Context, call jujubenode.Call) (jujubenode.Response, error)
}

func (e *fakeEngines) Run(ctx context.Context, start jujubebatch.StartRun, _ jujubebatch.Content, sink jujubenode.RunSink) (jujubebatch.EndKind, error) {
	if ctx.Err() != nil {
		return jujubebatch.RunUnsent, ctx.Err()
	}
	e.mu.Lock()
	e.runs[start.Item]++
	if e.used == nil {
		e.used = map[model.EndpointID]bool{}
	}
	e.used[start.Engine] = true
	if start.After > 0 {
		e.resumed++
	}
	hold, holdAfter := e.hold, e.holdAfter
	e.mu.Unlock()
	wait := func() bool {
		select {
		case <-hold:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if hold != nil && holdAfter == 0 && !wait() {
		return jujubebatch.RunBroken, ctx.Err()
	}
	if !sink.Accepted(1, time.Time{}) {
		return jujubebatch.RunRefused, nil
	}
	for number := start.After + 1; number <= 3; number++ {
		if hold != nil && holdAfter > 0 && number == holdAfter+1 && !wait() {
			return jujubebatch.RunBroken, ctx.Err()
		}
		data := fmt.Sprintf("%s.%d", start.Item, number)
		if e.nameSoftware {
			data = string(start.SoftwareVersion)
		}
		if large, ok := e.large[start.Item]; ok {
			data = large
		}
		if !sink.Event(number, data, 1) {
			return jujubebatch.RunBroken, nil
		}
	}
	return jujubebatch.RunComplete, nil
}

func (e *fakeEngines) Order(_ context.Context, _ jujubefleet.Order, holder string) (jujubefleet.Outcome, error) {
	e.ordered.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holders = append(e.holders, holder)
	return jujubefleet.Holds, nil
}

func (e *fakeEngines) ReadState(_ context.Context, engine jujubefleet.Engine) (jujubefleet.Report, error) {
	return jujubefleet.Report{Engine: engine.ID, Incarnation: engine.Incarnation, Versions: engine.Versions}, nil
}

// takeResumed returns and resets the number of runs that continued a text.
func (e *fakeEngines) takeResumed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	resumed := e.resumed
	e.resumed = 0
	return resumed
}

func (e *fakeEngines) count(id jujubebatch.ItemID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *fakeEngines) Stream(ctx context.Context, call jujubenode.Call) (jujubenode.StreamResponse, error) {
	response, err := e.Call(ctx, call)
	return jujubenode.StreamResponse{Response: response}, err
}

func (e *fakeEngines) Call(ctx context.Context, call jujubenode.Call) (jujubenode.Response, error) {
	if e.respond != nil {
		return e.respond(ctx, call)
	}
	return jujubenode.Response{}, jujubenode.ErrCall{Ran: model.RanNo, Reason: "no plain endpoints"}
}
