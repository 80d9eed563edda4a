package jujubenode

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/services/jujubeduty"
)

// addDutyMetrics adds the gauges of the duties, if there are any.
func addDutyMetrics(set *metrics.Set, n *Node) {
	if n.duties == nil {
		return
	}
	set.NewGauge("jujube_node_duty_holder", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.decideDuty(time.Now()).Allowed() {
			return 1
		}
		return 0
	})
	if n.usage() == nil {
		return
	}
	set.NewGauge("jujube_node_unsent_usage_reports", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(n.usage().ledger.Unsent(n.usage().clock.At(jujubeclock.Now())))
	})
	set.NewGauge("jujube_node_clock_correction_seconds", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.usage().correction.Seconds()
	})
}

// countDuty counts the ended duty calls by duty and outcome.
func (m *nodeMetrics) countDuty(duty jujubeduty.Duty, outcome jujubeduty.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_node_duty_calls_total{duty=%q,outcome=%q}", duty, outcome)).Inc()
}
