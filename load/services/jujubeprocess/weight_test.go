package jujubeprocess_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
)

// TestPausedLeaseHolder guards against a holder of the rollout lease that resumes after the lease has expired and orders
// versions that its successor has already replaced, also on engines that don't check the fencing number.
func TestPausedLeaseHolder(t *testing.T) {
	for _, checkFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("check fence %t", checkFence), func(t *testing.T) {
			s := startSite(t, siteConfig{engines: 10, entries: 3, engineFlags: []string{
				fmt.Sprintf("--check-fence=%t", checkFence), "--swap-time", "500ms",
			}})
			regressions := s.watchVersionRegressions(t)
			holder := s.waitLeaseHolder(t, nil)
			s.announceWeights(t, holder.callerAddress, 2)
			eventually(t, "the holder has sent its first order", func() bool { return len(holder.events("OrderSent")) > 0 })
			holder.signal(t, syscall.SIGSTOP)
			assert.Assert(t, len(holder.events("OrderSent")) < s.siteConfig.engines, "the rollout was complete before the pause")
			successor := s.waitLeaseHolder(t, holder)
			s.announceWeights(t, successor.callerAddress, 3)
			s.waitVersion(t, 3)
			resumed := time.Now()
			holder.signal(t, syscall.SIGCONT)
			eventually(t, "the old holder recognises its successor", func() bool {
				status, ok := s.status(holder)
				return ok && !status.Lease.Held && status.Lease.Holder == successor.id
			})
			s.announceWeights(t, holder.callerAddress, 4)
			s.waitVersion(t, 4)
			// The line's timestamp is compared, because a line that was written before the pause may be read after it.
			for _, order := range holder.events("OrderSent") {
				assert.Assert(t, order.Time.Before(resumed), "the old holder sent an order after it resumed: %s", order.Line)
			}
			assert.Equal(t, len(regressions()), 0, "%v", regressions())
		})
	}
}

// waitLeaseHolder waits until an instance other than except holds the lease, and returns it.
func (s *site) waitLeaseHolder(t *testing.T, except *entry) (holder *entry) {
	t.Helper()
	eventually(t, "an instance holds the lease", func() bool {
		for _, e := range s.instances {
			if e == except {
				continue
			}
			if status, ok := s.status(e); ok && status.Lease.Held {
				holder = e
				return true
			}
		}
		return false
	})
	return holder
}

// engineVersion returns the weight version that an engine serves, or zero when the engine doesn't answer.
func (s *site) engineVersion(engine endpoint) model.WeightVersion {
	var report model.LoadReport
	if s.callJSON(http.MethodGet, "http://"+engine.address+"/v1/load", nil, &report) != nil {
		return 0
	}
	return report.Version
}

// waitVersion waits until all engines serve a weight version.
func (s *site) waitVersion(t *testing.T, version model.WeightVersion) {
	t.Helper()
	eventually(t, fmt.Sprintf("all engines serve version %d", version), func() bool {
		for _, engine := range s.engineEndpoints {
			if s.engineVersion(engine) != version {
				return false
			}
		}
		return true
	})
}

// watchVersionRegressions polls the engines until the test ends and returns a function that lists each version that an
// engine served after a newer one.
func (s *site) watchVersionRegressions(t *testing.T) func() []string {
	var mu sync.Mutex
	var regressions []string
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		newest := make([]model.WeightVersion, len(s.engineEndpoints))
		for {
			for i, engine := range s.engineEndpoints {
				version := s.engineVersion(engine)
				if version != 0 && version < newest[i] {
					mu.Lock()
					regressions = append(regressions, fmt.Sprintf("%s: %d after %d", engine.id, version, newest[i]))
					mu.Unlock()
				}
				newest[i] = max(newest[i], version)
			}
			select {
			case <-stop:
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-done
	})
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return regressions
	}
}
