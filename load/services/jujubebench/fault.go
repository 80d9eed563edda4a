package jujubebench

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubepier.example/load/services/jujubesite"
	"jujubepier.example/load/services/jujubetrainer"
	"jujubepier.example/standin/modules/jujubefault"
	"jujubepier.example/standin/services/jujubeengine"
	"jujubepier.example/standin/services/jujubelog"
)

// Names of the fault plans.
const (
	FaultsNone     = "none"
	FaultsStandard = "standard"
	// FaultsKill kills one entry instance and injects no other fault.
	FaultsKill = "kill"
)

// Targets and duration of the faults. The killed instance isn't the first one, which leads the rollout: killing the leader
// would add the time until another instance takes over the lease.
const (
	crashedEngine = 3
	failingEngine = 5
	killedEntry   = 4
	logOutage     = 5 * time.Second
)

// fault is injected once, when the first trainer has received the given share of the step's samples.
type fault struct {
	step   int64
	share  float64
	inject func(i *injector)
}

// planFaults returns the faults of the named plan in the order of their injection.
func planFaults(name string) ([]fault, error) {
	kill := fault{3, 0.25, func(i *injector) { i.killEntry(killedEntry) }}
	switch name {
	case FaultsNone:
		return nil, nil
	case FaultsKill:
		kill.step = 2
		return []fault{kill}, nil
	case FaultsStandard:
		return []fault{
			{2, 0.25, func(i *injector) { i.site.Engines[crashedEngine].Crash() }},
			{2, 0.5, func(i *injector) {
				i.site.Engines[failingEngine].SetFaults(jujubeengine.Faults{FailSwaps: 1})
			}},
			kill,
			{3, 0.5, func(i *injector) {
				i.site.Log.SetFaults(jujubelog.Faults{Outage: jujubefault.OutageUnavailable})
				defer i.site.Log.SetFaults(jujubelog.Faults{})
				select {
				case <-i.ctx.Done():
				case <-time.After(logOutage):
				}
			}},
		}, nil
	}
	return nil, errors.Errorf("unknown fault plan %q", name)
}

// injector injects the faults of one run.
type injector struct {
	ctx  context.Context
	site *jujubesite.Site

	mu      sync.Mutex
	faults  []fault
	running sync.WaitGroup
	// killedMetrics holds the metrics of killed instances by index, read before the kill as they can't be read afterwards.
	killedMetrics map[int]string
}

func newInjector(ctx context.Context, site *jujubesite.Site, faults []fault) *injector {
	return &injector{ctx: ctx, site: site, faults: faults, killedMetrics: make(map[int]string)}
}

// onProgress starts the faults that are due. It doesn't wait for them, because the trainer holds its lock during the call.
func (i *injector) onProgress(progress jujubetrainer.Progress) {
	i.mu.Lock()
	defer i.mu.Unlock()
	share := float64(progress.Delivered) / float64(progress.Wanted)
	for len(i.faults) > 0 {
		next := i.faults[0]
		if progress.Step < next.step || progress.Step == next.step && share < next.share {
			return
		}
		i.faults = i.faults[1:]
		i.running.Add(1)
		go func() {
			defer i.running.Done()
			next.inject(i)
		}()
	}
}

// wait returns when all started faults have ended.
func (i *injector) wait() { i.running.Wait() }

// killEntry saves an instance's metrics and kills it.
func (i *injector) killEntry(index int) {
	text := metricsText(i.site.Entries[index])
	i.mu.Lock()
	i.killedMetrics[index] = text
	i.mu.Unlock()
	i.site.KillEntry(index)
}
