package jujubeslope

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubecore"
)

// decideTime is how long each kind of decision is repeated.
const decideTime = 150 * time.Millisecond

func newRead(record model.ConfigRecord) model.LogRead {
	body, err := json.Marshal(record)
	if err != nil {
		// The type has a JSON form.
		panic(err)
	}
	return model.LogRead{Records: []model.LogRecord{{At: start, Body: body}}, Next: 1}
}

func studyDecisions(_ context.Context, report *Report) error {
	for _, endpoints := range []int{10, 60, 200, 600} {
		if err := decide(report, endpointAxis, endpoints, endpoints, 100, 9); err != nil {
			return err
		}
	}
	for _, inFlight := range []int{10, 100, 400, 1600} {
		if err := decide(report, inFlightAxis, inFlight, targetEndpoints, inFlight, 9); err != nil {
			return err
		}
	}
	for _, members := range []int{9, 32, 128, 370} {
		if err := decide(report, memberAxis, members, targetEndpoints, 100, members); err != nil {
			return err
		}
	}
	return nil
}

// decide measures one core with some endpoints, requests in flight and members.
func decide(report *Report, a axis, size, endpoints, inFlight, members int) error {
	core, err := newCore(members, endpoints)
	if err != nil {
		return err
	}
	for i := range inFlight {
		core.Apply(start, newRequest(i, start))
	}
	add := func(name string, work func(i int)) {
		perCall, allocations, _ := repeat(decideTime, work)
		report.add(a, size, name, "us", float64(perCall.Nanoseconds())/1000)
		report.add(a, size, name+", allocations", "objects", allocations)
	}
	dispatched := 0
	add("request: route and end", func(i int) {
		request := newRequest(inFlight+i, start)
		for _, action := range core.Apply(start, request) {
			if decided, ok := action.(jujubecore.RouteDecided); ok && decided.Decision.Endpoint != "" {
				dispatched++
			}
		}
		core.Apply(start, jujubecore.RequestEnded{ID: request.ID, OK: true, Tokens: 100})
	})
	if dispatched == 0 {
		return errors.New("no request was dispatched")
	}
	rows := newEndpoints(endpoints)
	now := start
	add("load report", func(i int) {
		now = now.Add(time.Millisecond)
		core.Apply(now, jujubecore.LoadReported{Report: newLoad(rows[i%len(rows)], now)})
	})
	add("tick", func(int) {
		now = now.Add(jujubecore.TickPeriod)
		core.Tick(now)
	})
	list := model.InstanceList{Endpoints: rows, Entries: newMembers(members)}
	add("instance list applied", func(int) { core.Apply(now, jujubecore.InstancesListed{List: list}) })
	add("endpoints to poll", func(int) { core.PolledEndpoints(now) })
	data, err := json.Marshal(list)
	report.add(a, size, "instance list", "bytes", float64(len(data)))
	return errors.Wrap(err, "encode list")
}
