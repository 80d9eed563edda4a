package jujubeslope

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubecore"
)

// decisionBenchTime is how long each operation is repeated.
const decisionBenchTime = 150 * time.Millisecond

// newConfigRead returns a read of the log with a single configuration record.
func newConfigRead(record model.ConfigRecord) model.LogRead {
	body, err := json.Marshal(record)
	if err != nil {
		// A ConfigRecord can always be encoded as JSON.
		panic(err)
	}
	return model.LogRead{Records: []model.LogRecord{{At: virtualStart, Body: body}}, Next: 1}
}

// studyDecisions measures the operations of a core against the number of endpoints, requests in flight and members.
func studyDecisions(_ context.Context, report *Report) error {
	for _, endpoints := range []int{10, 60, 200, 600} {
		if err := measureDecisions(report, endpointAxis, endpoints, endpoints, 100, 9); err != nil {
			return err
		}
	}
	for _, inFlight := range []int{10, 100, 400, 1600} {
		if err := measureDecisions(report, inFlightAxis, inFlight, targetEndpoints, inFlight, 9); err != nil {
			return err
		}
	}
	for _, members := range []int{9, 32, 128, 370} {
		if err := measureDecisions(report, memberAxis, members, targetEndpoints, 100, members); err != nil {
			return err
		}
	}
	return nil
}

// measureDecisions measures one core with the given numbers of endpoints, requests in flight and members.
func measureDecisions(report *Report, a axis, size, endpoints, inFlight, members int) error {
	core, err := newCore(members, endpoints)
	if err != nil {
		return err
	}
	for i := range inFlight {
		core.Apply(virtualStart, newRequest(i, virtualStart))
	}
	add := func(name string, operation func(i int)) {
		perCall, allocations, _ := benchmark(decisionBenchTime, operation)
		report.add(a, size, name, "us", float64(perCall.Nanoseconds())/1000)
		report.add(a, size, name+", allocations", "objects", allocations)
	}
	dispatched := 0
	add("request: route and end", func(i int) {
		request := newRequest(inFlight+i, virtualStart)
		for _, action := range core.Apply(virtualStart, request) {
			if decided, ok := action.(jujubecore.RouteDecided); ok && decided.Decision.Endpoint != "" {
				dispatched++
			}
		}
		core.Apply(virtualStart, jujubecore.RequestEnded{ID: request.ID, OK: true, Tokens: 100})
	})
	if dispatched == 0 {
		return errors.New("no request was dispatched")
	}
	endpointList := newEndpoints(endpoints)
	now := virtualStart
	add("load report", func(i int) {
		now = now.Add(time.Millisecond)
		core.Apply(now, jujubecore.LoadReported{Report: newLoadReport(endpointList[i%len(endpointList)], now)})
	})
	add("tick", func(int) {
		now = now.Add(jujubecore.TickInterval)
		core.Tick(now)
	})
	list := model.InstanceList{Endpoints: endpointList, Entries: newMembers(members)}
	add("instance list applied", func(int) { core.Apply(now, jujubecore.InstancesListed{List: list}) })
	add("endpoints to poll", func(int) { core.PolledEndpoints(now) })
	data, err := json.Marshal(list)
	report.add(a, size, "instance list", "bytes", float64(len(data)))
	return errors.Wrap(err, "encode instance list")
}
