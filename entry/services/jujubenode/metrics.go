package jujubenode

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubeorganisation"
	"jujubepier.example/core/services/jujubequarantine"
)

// nodeMetrics holds the metrics of one node. They are listed in docs/metrics.md.
type nodeMetrics struct {
	set      *metrics.Set
	runs     *metrics.Histogram
	forwards *metrics.Histogram
	scorings *metrics.Histogram
	// sendDelays are observed when a run is sent.
	sendDelays *metrics.Histogram
}

func newNodeMetrics(n *Node) *nodeMetrics {
	set := metrics.NewSet()
	set.NewGauge("jujube_node_runs_in_flight", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(n.scheduler.RunsInFlight())
	})
	set.NewGauge("jujube_node_scorings_in_flight", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(n.scheduler.ScoringsInFlight())
	})
	set.NewGauge("jujube_node_desired_age_seconds", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.desiredFollower == nil {
			return 0
		}
		return n.desiredAge().Seconds()
	})
	set.NewGauge("jujube_node_starts_held_seconds", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.startsHeldFor(n.bootClock()).Seconds()
	})
	set.NewGauge("jujube_node_limited_endpoints", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(len(n.throttle.Limited(time.Now())))
	})
	set.NewGauge("jujube_node_cut_off", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.isCutOff() {
			return 1
		}
		return 0
	})
	for part := range numPartitions {
		set.NewGauge(fmt.Sprintf("jujube_node_view_age_seconds{partition=\"%d\"}", part), func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.partitions[part].follower.viewAge().Seconds()
		})
	}
	for _, state := range []jujubequarantine.Status{jujubequarantine.Suspect, jujubequarantine.Quarantined} {
		set.NewGauge(fmt.Sprintf("jujube_node_suspects{state=%q}", state), func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return float64(n.crashes.quarantine.Count(time.Now(), state))
		})
	}
	for kind, read := range map[string]func() int{
		"held": n.scheduler.HeldBytes, "reserved": func() int { return n.memory.reserved }, "limit": func() int { return n.memory.settings.Accept },
	} {
		set.NewGauge(fmt.Sprintf("jujube_node_submission_memory_bytes{kind=%q}", kind), func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return float64(read())
		})
	}
	set.NewGauge("jujube_node_deferred_submissions", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(len(n.scheduler.Deferred()))
	})
	addDutyMetrics(set, n)
	return &nodeMetrics{
		set:      set,
		runs:     set.NewHistogram("jujube_node_run_duration_seconds"),
		forwards: set.NewHistogram("jujube_node_forward_duration_seconds"),
		scorings: set.NewHistogram("jujube_node_scoring_duration_seconds"),

		sendDelays: set.NewHistogram("jujube_node_run_send_delay_seconds"),
	}
}

func (m *nodeMetrics) countRun(kind jujubebatch.EndKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_node_runs_total{outcome=%q}", kind)).Inc()
}

// countSendCheck counts the checks immediately before the first byte of a run or scoring call, and observes the ages of the views on
// which those rest that are sent.
func (m *nodeMetrics) countSendCheck(kind workKind, check startCheck) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_node_send_checks_total{kind=%q,verdict=%q}", kind, check.Verdict)).Inc()
	if !check.Verdict.Allows() {
		return
	}
	for i, view := range [...]string{"submission", "endpoints", "desired"} {
		m.set.GetOrCreateHistogram(fmt.Sprintf("jujube_node_send_view_age_seconds{view=%q}", view)).Update(check.Ages[i].Seconds())
	}
}

// countPrompt counts the prompt tokens of a run, and those of them that the engine was assumed to keep.
func (m *nodeMetrics) countPrompt(tokens, kept int) {
	m.set.GetOrCreateCounter("jujube_node_prompt_tokens_total").Add(tokens)
	m.set.GetOrCreateCounter("jujube_node_prompt_tokens_kept_total").Add(kept)
}

// countMove counts runs that went on to another engine, by reason.
func (m *nodeMetrics) countMove(reason jujubebatch.MoveReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_node_moves_total{reason=%q}", reason)).Inc()
}

// countScoring counts scoring calls by outcome: a score, a failure reported by a server, or no response.
func (m *nodeMetrics) countScoring(outcome jujubebatch.ScoringOutcome) {
	kind := "Unanswered"
	switch {
	case outcome.Score != "":
		kind = "Scored"
	case len(outcome.Failures) > 0:
		kind = "Failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_node_scorings_total{outcome=%q}", kind)).Inc()
}

// countAuthentication counts requests by the decision on their keys, and those with a problem by that.
func (m *nodeMetrics) countAuthentication(verdict jujubeorganisation.Verdict) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_node_authentications_total{decision=%q,problem=%q}", verdict.Decision, verdict.Problem)).Inc()
}

func (m *nodeMetrics) countForward(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_node_forwards_total{outcome=%q}", outcome)).Inc()
}

func (m *nodeMetrics) countStoreFailure(topic string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_node_store_failures_total{topic=%q}", topic)).Inc()
}

// countMemoryRefusal counts submissions that were refused for lack of memory.
func (m *nodeMetrics) countMemoryRefusal() {
	m.set.GetOrCreateCounter("jujube_node_memory_refusals_total").Inc()
}

// countMalformedRate counts responses in which an endpoint names a rate that can't be decoded.
func (m *nodeMetrics) countMalformedRate() {
	m.set.GetOrCreateCounter("jujube_node_malformed_rates_total").Inc()
}

// countDenial counts requests that weren't sent to an endpoint because its rate was used up.
func (m *nodeMetrics) countDenial() {
	m.set.GetOrCreateCounter("jujube_node_permits_denied_total").Inc()
}

// countTunnel counts the connections to endpoints that other instances opened, or failed to open, for this one.
func (m *nodeMetrics) countTunnel(opened bool) {
	outcome := "Refused"
	if opened {
		outcome = "Opened"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_node_tunnels_total{outcome=%q}", outcome)).Inc()
}

// countOffers counts items offered to gateways, by outcome.
func (m *nodeMetrics) countOffers(outcome string, items int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("jujube_node_offers_total{outcome=%q}", outcome)).Add(items)
}

// MetricsSet returns the set to which the program adds metrics of its own.
func (n *Node) MetricsSet() *metrics.Set { return n.metrics.set }

// WriteMetrics writes the metrics of the node and the process in the Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) {
	n.metrics.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// RunsInFlight returns the number of items that run on this instance.
func (n *Node) RunsInFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.scheduler.RunsInFlight()
}
