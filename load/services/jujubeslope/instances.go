package jujubeslope

import (
	"context"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// traffic is what all instances of a site have spent so far.
type traffic struct {
	peerCalls, peerBytes    int64
	logRequests, logBytes   int64
	listRequests, listBytes int64
	readRequests, readBytes int64
	processor               time.Duration
}

func (s *site) traffic() traffic {
	t := traffic{
		logRequests: s.log.requests.Load(), logBytes: s.log.bytes.Load(),
		listRequests: s.list.requests.Load(), listBytes: s.list.bytes.Load(),
		processor: processTime(),
	}
	t.readRequests, t.readBytes = s.engines.reads()
	for _, entry := range s.entries {
		peers := entry.Service.PeerTraffic()
		t.peerCalls += peers.Calls
		t.peerBytes += peers.Sent + peers.Received
	}
	return t
}

const (
	settleTime = 6 * time.Second
	idleTime   = 12 * time.Second
)

// idle measures the control traffic of instances without requests, for each of them.
func (s *site) idle(ctx context.Context, report *Report, a axis, size int) error {
	if !sleep(ctx, settleTime) {
		return ctx.Err()
	}
	return report.steady(func() error {
		before, begin := s.traffic(), time.Now()
		if !sleep(ctx, idleTime) {
			return ctx.Err()
		}
		after := s.traffic()
		each := time.Since(begin).Seconds() * float64(len(s.entries))
		add := func(name, unit string, from, to int64) float64 {
			value := float64(to-from) / each
			report.add(a, size, name, unit, value)
			return value
		}
		total := add("peers: bytes, both ways", "B/s", before.peerBytes, after.peerBytes)
		add("peers: calls", "1/s", before.peerCalls, after.peerCalls)
		total += add("log: bytes, both ways", "B/s", before.logBytes, after.logBytes)
		add("log: requests", "1/s", before.logRequests, after.logRequests)
		total += add("instance list: bytes, both ways", "B/s", before.listBytes, after.listBytes)
		add("instance list: requests", "1/s", before.listRequests, after.listRequests)
		add("endpoints: reads of load and cache events", "1/s", before.readRequests, after.readRequests)
		total += add("endpoints: bytes, both ways", "B/s", before.readBytes, after.readBytes)
		report.add(a, size, "control traffic of an instance", "B/s", total)
		report.add(a, size, "processor time of an idle instance, platform included", "% of a core",
			100*(after.processor-before.processor).Seconds()/each)
		return nil
	})
}

func instanceAxis(count int) axis {
	const fewInstances = 16
	if count <= fewInstances {
		return axis{"instances, up to 16", fewInstances}
	}
	return axis{"instances, above 16", targetInstances}
}

// studyInstances runs real instances with 10 endpoints. Some periods change above 16 instances, so that a line holds on
// either side only.
func studyInstances(ctx context.Context, report *Report) error {
	const endpoints = 10
	for _, count := range []int{4, 8, 12, 16, 24, 32, 48, 64} {
		before := memoryInUse()
		s, err := startSite(ctx, count, endpoints)
		if err != nil {
			return err
		}
		err = s.studyOne(ctx, report, count, before)
		s.close()
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *site) studyOne(ctx context.Context, report *Report, count int, before float64) error {
	if err := s.idle(ctx, report, instanceAxis(count), count); err != nil {
		return err
	}
	report.add(instanceAxis(count), count, "memory of an instance, platform included", "MB", (memoryInUse()-before)/1e6/float64(count))
	if err := report.steady(func() error { return s.change(ctx, report, count) }); err != nil {
		return err
	}
	return report.steady(func() error { return s.restart(ctx, report, count) })
}

// change measures a configuration change from its append until it is in force on all instances.
func (s *site) change(ctx context.Context, report *Report, count int) error {
	before, begin := s.traffic(), time.Now()
	if err := s.publish(ctx); err != nil {
		return err
	}
	revision := s.base
	last := begin
	inForce := func() bool {
		for _, entry := range s.entries {
			config := entry.Service.Status().Config
			if config.Revision < revision {
				return false
			}
			if config.InForceAt.After(last) {
				last = config.InForceAt
			}
		}
		return true
	}
	if err := s.wait(ctx, "configuration in force", time.Minute, inForce); err != nil {
		return err
	}
	after := s.traffic()
	report.add(instanceAxis(count), count, "configuration: append until in force everywhere", "s", last.Sub(begin).Seconds())
	report.add(instanceAxis(count), count, "configuration: log requests meanwhile", "requests", float64(after.logRequests-before.logRequests))
	report.add(instanceAxis(count), count, "configuration: bytes to and from the log", "B", float64(after.logBytes-before.logBytes))
	return nil
}

// restart kills an instance and starts it again at the same address.
func (s *site) restart(ctx context.Context, report *Report, count int) error {
	last := len(s.entries) - 1
	address := s.entries[last].Settings.PeerAddress
	s.kill[last]()
	before, begin := s.traffic(), time.Now()
	if err := s.addEntry(ctx, last, address); err != nil {
		return err
	}
	wait := func(name string, done func() bool) error {
		err := s.wait(ctx, "restart until "+name, time.Minute, done)
		report.add(instanceAxis(count), count, "restart until "+name, "s", time.Since(begin).Seconds())
		return err
	}
	if err := wait("ready", func() bool { return s.entries[last].Service.IsReady() }); err != nil {
		return err
	}
	if err := wait("members and endpoints are known", func() bool { return s.isRebuilt(last) }); err != nil {
		return err
	}
	after := s.traffic()
	report.add(instanceAxis(count), count, "restart: log requests of all instances meanwhile", "requests", float64(after.logRequests-before.logRequests))
	report.add(instanceAxis(count), count, "restart: list requests of all instances meanwhile", "requests", float64(after.listRequests-before.listRequests))
	return wait("each watched endpoint has reported", func() bool { return s.isLoaded(last) })
}

// studyEndpoints runs 32 real instances, more than those for which the reads are not spread out.
func studyEndpoints(ctx context.Context, report *Report) error {
	const instances = 32
	for _, count := range []int{10, 60, 200, 600} {
		s, err := startSite(ctx, instances, count)
		if err != nil {
			return err
		}
		err = s.idle(ctx, report, endpointAxis, count)
		if err == nil {
			err = report.steady(func() error { return s.rollOut(ctx, report, count) })
		}
		s.close()
		if err != nil {
			return err
		}
	}
	return nil
}

// rollOut announces a new version and measures the rollout and the reads of all instances meanwhile.
func (s *site) rollOut(ctx context.Context, report *Report, count int) error {
	const most = 45 * time.Second
	before, begin := s.traffic(), time.Now()
	version := s.engines.report(0).Version + 1
	announced := model.WeightsAnnounced{Trainer: trainerName, Model: modelName, Version: version}
	if err := s.entries[0].Service.AnnounceWeights(announced); err != nil {
		return err
	}
	// A rollout that takes longer counts with what it has done.
	_ = s.wait(ctx, "rollout", most, func() bool { return s.engines.countAt(version) == count })
	took, after := time.Since(begin), s.traffic()
	report.add(endpointAxis, count, "rollout by 32 instances, at most 45 s", "s", took.Seconds())
	report.add(endpointAxis, count, "rollout by 32 instances, engines done", "engines", float64(s.engines.countAt(version)))
	report.add(endpointAxis, count, "rollout by 32 instances, reads of all", "1/s", float64(after.readRequests-before.readRequests)/took.Seconds())
	report.add(endpointAxis, count, "rollout by 32 instances, bytes of the reads", "B/s", float64(after.readBytes-before.readBytes)/took.Seconds())
	report.add(endpointAxis, count, "rollout by 32 instances, processor time of all", "% of a core", 100*(after.processor-before.processor).Seconds()/took.Seconds())
	return ctx.Err()
}
