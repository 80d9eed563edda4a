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

// TestPausedLeaseHolder guards against a holder of the rollout's lease that resumes after its lease has expired and
// orders versions that a successor has replaced, also on engines that don't look at the fencing number.
func TestPausedLeaseHolder(t *testing.T) {
	for _, checkFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("check fence %t", checkFence), func(t *testing.T) {
			s := startSite(t, scale{engines: 10, entries: 3, engineFlags: []string{
				fmt.Sprintf("--check-fence=%t", checkFence), "--swap-time", "500ms",
			}})
			regressions := s.watchVersions(t)
			holder := s.waitHolder(t, nil)
			s.announce(t, holder.callers, 2)
			eventually(t, "the holder has begun to order", func() bool { return len(holder.events("OrderSent")) > 0 })
			holder.signal(t, syscall.SIGSTOP)
			assert.Assert(t, len(holder.events("OrderSent")) < s.scale.engines, "the rollout was complete before the pause")
			successor := s.waitHolder(t, holder)
			s.announce(t, successor.callers, 3)
			s.waitVersion(t, 3)
			resumed := time.Now()
			holder.signal(t, syscall.SIGCONT)
			eventually(t, "the old holder knows its successor", func() bool {
				status, ok := s.status(holder)
				return ok && !status.Lease.Held && status.Lease.Holder == successor.id
			})
			s.announce(t, holder.callers, 4)
			s.waitVersion(t, 4)
			// By the time in the line: one that was written before the pause may be read after it.
			for _, order := range holder.events("OrderSent") {
				assert.Assert(t, order.Time.Before(resumed), "the old holder went on ordering: %s", order.Line)
			}
			assert.Equal(t, len(regressions()), 0, "%v", regressions())
		})
	}
}

// waitHolder waits for an instance, other than one, that holds the lease.
func (s *site) waitHolder(t *testing.T, but *entry) (holder *entry) {
	t.Helper()
	eventually(t, "an instance holds the lease", func() bool {
		for _, e := range s.instances {
			if e == but {
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

func (s *site) version(row endpoint) model.WeightVersion {
	var report model.LoadReport
	if s.call(http.MethodGet, "http://"+row.host+"/v1/load", nil, &report) != nil {
		return 0
	}
	return report.Version
}

func (s *site) waitVersion(t *testing.T, version model.WeightVersion) {
	t.Helper()
	eventually(t, fmt.Sprintf("all engines serve version %d", version), func() bool {
		for _, row := range s.engineRows {
			if s.version(row) != version {
				return false
			}
		}
		return true
	})
}

// watchVersions watches the engines until the end of the test and returns a function that lists the versions that went
// back.
func (s *site) watchVersions(t *testing.T) func() []string {
	var mu sync.Mutex
	var found []string
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		last := make([]model.WeightVersion, len(s.engineRows))
		for {
			for i, row := range s.engineRows {
				version := s.version(row)
				if version != 0 && version < last[i] {
					mu.Lock()
					found = append(found, fmt.Sprintf("%s: %d after %d", row.id, version, last[i]))
					mu.Unlock()
				}
				last[i] = max(last[i], version)
			}
			select {
			case <-stop:
				return
			case <-time.After(conditionPoll):
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
	})
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return found
	}
}
