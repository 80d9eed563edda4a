package jujubeentry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jujubepier.example/core/services/jujuberouter"
)

// Metrics holds the metrics of one instance. docs/metrics.md lists them.
type Metrics struct {
	set       *metrics.Set
	generated *metrics.Counter
	delivered *metrics.Counter
	requests  *metrics.Histogram
}

func newMetrics(s *Service) *Metrics {
	set := metrics.NewSet()
	set.NewGauge("jujube_config_revision", func() float64 { return float64(s.Status().Config.Revision) })
	set.NewGauge("jujube_ready", func() float64 {
		if s.IsReady() {
			return 1
		}
		return 0
	})
	set.NewGauge("jujube_streams_held", func() float64 { return float64(s.HeldStreamCount()) })
	set.NewGauge("jujube_requests_in_service", func() float64 { return float64(s.requestsInService.Load()) })
	set.NewGauge("jujube_peer_calls_total", func() float64 { return float64(s.PeerTraffic().Calls) })
	set.NewGauge("jujube_peer_sent_bytes_total", func() float64 { return float64(s.PeerTraffic().Sent) })
	set.NewGauge("jujube_peer_received_bytes_total", func() float64 { return float64(s.PeerTraffic().Received) })
	return &Metrics{
		set:       set,
		generated: set.NewCounter("jujube_tokens_received_total"),
		delivered: set.NewCounter("jujube_samples_delivered_total"),
		requests:  set.NewHistogram("jujube_request_duration_seconds"),
	}
}

func (m *Metrics) countDecision(decision jujuberouter.Decision) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_decisions_total{kind=%q,code=%q}", decision.Kind, decision.Code)).Inc()
}

func (m *Metrics) countDiscarded(cause string, tokens int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_samples_discarded_total{cause=%q}", cause)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_tokens_discarded_total{cause=%q}", cause)).Add(tokens)
}

// ObserveRequest records the duration of a caller's request that began at started.
func (s *Service) ObserveRequest(started time.Time) { s.metrics.requests.UpdateDuration(started) }

// MetricsSet returns the set to which the program adds metrics of its own.
func (s *Service) MetricsSet() *metrics.Set { return s.metrics.set }

// WriteMetrics writes the metrics of the instance and of the process in the Prometheus text format.
func (s *Service) WriteMetrics(w io.Writer) {
	s.metrics.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
