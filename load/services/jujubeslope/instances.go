package jujubeslope

import (
	"context"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// usage holds the traffic of all instances of a site since its start and the processor time of this process.
type usage struct {
	peerCalls, peerBytes    int64
	logRequests, logBytes   int64
	listRequests, listBytes int64
	readRequests, readBytes int64
	processorTime           time.Duration
}

func (s *site) usage() usage {
	u := usage{
		logRequests: s.logProxy.requests.Load(), logBytes: s.logProxy.bytes.Load(),
		listRequests: s.listProxy.requests.Load(), listBytes: s.listProxy.bytes.Load(),
		processorTime: processorTime(),
	}
	u.readRequests, u.readBytes = s.engines.readTraffic()
	for _, entry := range s.entries {
		peers := entry.Service.PeerTraffic()
		u.peerCalls += peers.Calls
		u.peerBytes += peers.Sent + peers.Received
	}
	return u
}

const (
	settleTime      = 6 * time.Second
	idleMeasureTime = 12 * time.Second
)

// measureIdle measures the control traffic per instance while there are no requests.
func (s *site) measureIdle(ctx context.Context, report *Report, a axis, size int) error {
	if !sleep(ctx, settleTime) {
		return ctx.Err()
	}
	return report.repeatIfPaused(func() error {
		before, begin := s.usage(), time.Now()
		if !sleep(ctx, idleMeasureTime) {
			return ctx.Err()
		}
		after := s.usage()
		instanceSeconds := time.Since(begin).Seconds() * float64(len(s.entries))
		add := func(name, unit string, from, to int64) float64 {
			value := float64(to-from) / instanceSeconds
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
			100*(after.processorTime-before.processorTime).Seconds()/instanceSeconds)
		return nil
	})
}

// instanceAxis returns the axis for a number of instances: one up to 16 instances and another above.
func instanceAxis(count int) axis {
	const fewInstances = 16
	if count <= fewInstances {
		return axis{"instances, up to 16", fewInstances}
	}
	return axis{"instances, above 16", targetInstances}
}

// studyInstances runs real instances with 10 endpoints. Above 16 instances some periods grow with their number, so the sizes
// up to 16 and above 16 are fitted separately.
func studyInstances(ctx context.Context, report *Report) error {
	const endpoints = 10
	for _, count := range []int{4, 8, 12, 16, 24, 32, 48, 64} {
		before := memoryInUse()
		s, err := startSite(ctx, count, endpoints)
		if err != nil {
			return err
		}
		err = s.measureAll(ctx, report, count, before)
		s.close()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureAll measures idle traffic, memory, a configuration change and a restart. before is the memory in use before the site
// was started.
func (s *site) measureAll(ctx context.Context, report *Report, count int, before float64) error {
	if err := s.measureIdle(ctx, report, instanceAxis(count), count); err != nil {
		return err
	}
	report.add(instanceAxis(count), count, "memory of an instance, platform included", "MB", (memoryInUse()-before)/1e6/float64(count))
	if err := report.repeatIfPaused(func() error { return s.measureConfigChange(ctx, report, count) }); err != nil {
		return err
	}
	return report.repeatIfPaused(func() error { return s.measureRestart(ctx, report, count) })
}

// measureConfigChange measures the time and the log traffic of a configuration change, from its append to the log until it
// is in force on all instances.
func (s *site) measureConfigChange(ctx context.Context, report *Report, count int) error {
	before, begin := s.usage(), time.Now()
	if err := s.publishConfig(ctx); err != nil {
		return err
	}
	revision := s.configRevision
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
	if err := s.waitFor(ctx, "configuration in force", time.Minute, inForce); err != nil {
		return err
	}
	after := s.usage()
	report.add(instanceAxis(count), count, "configuration: append until in force everywhere", "s", last.Sub(begin).Seconds())
	report.add(instanceAxis(count), count, "configuration: log requests meanwhile", "requests", float64(after.logRequests-before.logRequests))
	report.add(instanceAxis(count), count, "configuration: bytes to and from the log", "B", float64(after.logBytes-before.logBytes))
	return nil
}

// measureRestart kills an instance, restarts it at the same address and measures until it is fully operational.
func (s *site) measureRestart(ctx context.Context, report *Report, count int) error {
	last := len(s.entries) - 1
	address := s.entries[last].Settings.PeerAddress
	s.killFuncs[last]()
	before, begin := s.usage(), time.Now()
	if err := s.addEntry(ctx, last, address); err != nil {
		return err
	}
	wait := func(name string, done func() bool) error {
		err := s.waitFor(ctx, "restart until "+name, time.Minute, done)
		report.add(instanceAxis(count), count, "restart until "+name, "s", time.Since(begin).Seconds())
		return err
	}
	if err := wait("ready", func() bool { return s.entries[last].Service.IsReady() }); err != nil {
		return err
	}
	if err := wait("members and endpoints are known", func() bool { return s.hasFullView(last) }); err != nil {
		return err
	}
	after := s.usage()
	report.add(instanceAxis(count), count, "restart: log requests of all instances meanwhile", "requests", float64(after.logRequests-before.logRequests))
	report.add(instanceAxis(count), count, "restart: list requests of all instances meanwhile", "requests", float64(after.listRequests-before.listRequests))
	return wait("each watched endpoint has reported", func() bool { return s.hasAllLoadReports(last) })
}

// studyEndpoints runs 32 real instances. Above 16 instances, the period of an instance's reads grows with the number of
// endpoints.
func studyEndpoints(ctx context.Context, report *Report) error {
	const instances = 32
	for _, count := range []int{10, 60, 200, 600} {
		s, err := startSite(ctx, instances, count)
		if err != nil {
			return err
		}
		err = s.measureIdle(ctx, report, endpointAxis, count)
		if err == nil {
			err = report.repeatIfPaused(func() error { return s.measureRollout(ctx, report, count) })
		}
		s.close()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureRollout announces a new weight version and measures the rollout and the reads by all instances during it.
func (s *site) measureRollout(ctx context.Context, report *Report, count int) error {
	const timeout = 45 * time.Second
	before, begin := s.usage(), time.Now()
	version := s.engines.currentReport(0).Version + 1
	announced := model.WeightsAnnounced{Trainer: trainerName, Model: modelName, Version: version}
	if err := s.entries[0].Service.AnnounceWeights(announced); err != nil {
		return err
	}
	// A rollout that takes longer is reported with the engines that are done by then.
	_ = s.waitFor(ctx, "rollout", timeout, func() bool { return s.engines.countServing(version) == count })
	took, after := time.Since(begin), s.usage()
	report.add(endpointAxis, count, "rollout by 32 instances, at most 45 s", "s", took.Seconds())
	report.add(endpointAxis, count, "rollout by 32 instances, engines done", "engines", float64(s.engines.countServing(version)))
	report.add(endpointAxis, count, "rollout by 32 instances, reads of all", "1/s", float64(after.readRequests-before.readRequests)/took.Seconds())
	report.add(endpointAxis, count, "rollout by 32 instances, bytes of the reads", "B/s", float64(after.readBytes-before.readBytes)/took.Seconds())
	report.add(endpointAxis, count, "rollout by 32 instances, processor time of all", "% of a core", 100*(after.processorTime-before.processorTime).Seconds()/took.Seconds())
	return ctx.Err()
}
