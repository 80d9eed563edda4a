package jujubebench

import (
	"bytes"
	"strconv"
	"strings"

	"jujubepier.example/entry/routers/jujubeserver"
)

func metricsOf(entry *jujubeserver.Server) string {
	var text bytes.Buffer
	entry.Service.WriteMetrics(&text)
	return text.String()
}

// readMetrics adds up the counters of all entry instances; those of killed ones are what they were at the kill.
func (r *Run) readMetrics(injector *injector) {
	sent := 0
	for index, entry := range injector.site.Entries {
		text, killed := injector.killed[index]
		if !killed {
			text = metricsOf(entry)
		}
		for line := range strings.Lines(text) {
			name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
			count, err := strconv.Atoi(value)
			if !ok || err != nil {
				continue
			}
			cause := readLabel(name)
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

// readLabel returns the value of a metric's only label.
func readLabel(name string) string {
	_, rest, _ := strings.Cut(name, `="`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}
