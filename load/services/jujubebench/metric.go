package jujubebench

import (
	"bytes"
	"strconv"
	"strings"

	"jujubepier.example/entry/routers/jujubeserver"
)

// metricsText returns an instance's metrics in the Prometheus text format.
func metricsText(entry *jujubeserver.Server) string {
	var text bytes.Buffer
	entry.Service.WriteMetrics(&text)
	return text.String()
}

// readMetrics sums the counters of all entry instances. Those of a killed instance were read before it was killed.
func (r *Run) readMetrics(injector *injector) {
	sent := 0
	for index, entry := range injector.site.Entries {
		text, killed := injector.killedMetrics[index]
		if !killed {
			text = metricsText(entry)
		}
		for line := range strings.Lines(text) {
			name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
			count, err := strconv.Atoi(value)
			if !ok || err != nil {
				continue
			}
			cause := labelValue(name)
			switch {
			case name == "jujube_samples_delivered_total":
				sent += count
			case name == "jujube_tokens_received_total":
				r.Tokens += count
			case strings.HasPrefix(name, "jujube_samples_discarded_total{"):
				r.Discarded[cause] += count
			case strings.HasPrefix(name, "jujube_tokens_discarded_total{") && cause == "Stale":
				r.StaleTokens += count
			}
		}
	}
	r.Repeated = max(0, sent-r.Delivered)
}

// labelValue returns the value of the only label in a metric's name.
func labelValue(name string) string {
	_, rest, _ := strings.Cut(name, `="`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}
