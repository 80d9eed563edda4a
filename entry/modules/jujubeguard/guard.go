// Package jujubeguard connects the guard of a process's listeners with its log and its metrics.
package jujubeguard

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
)

// New returns a guard whose refusals are logged, and whose figures are added to a set of metrics.
func New(settings jujubehttp.GuardSettings, log *jujubeevent.Log, set *metrics.Set) *jujubehttp.Guard {
	settings.OnRefused = func(refused map[jujubehttp.RefusalCause]int, stats jujubehttp.GuardStats) {
		log.Write(jujubeevent.ClientsRefused, func() logrus.Fields {
			fields := logrus.Fields{"Connections": stats.Connections, "PeerConnections": stats.PeerConnections, "HeldBytes": stats.HeldBytes}
			for cause, count := range refused {
				fields[string(cause)+"Refused"] = count
			}
			return fields
		})
	}
	guard := jujubehttp.NewGuard(settings)
	set.NewGauge(`jujube_connections{listener="Clients"}`, func() float64 { return float64(guard.Stats().Connections) })
	set.NewGauge(`jujube_connections{listener="Peers"}`, func() float64 { return float64(guard.Stats().PeerConnections) })
	set.NewGauge("jujube_held_bytes", func() float64 { return float64(guard.Stats().HeldBytes) })
	for _, cause := range jujubehttp.RefusalCauses() {
		set.NewGauge(fmt.Sprintf("jujube_refused_clients_total{cause=%q}", cause), func() float64 {
			return float64(guard.Stats().Refused[cause])
		})
	}
	return guard
}

// LogPanics returns a handler that logs the panics of another one.
func LogPanics(handler http.Handler, log *jujubeevent.Log) http.Handler {
	return jujubehttp.ReportPanics(handler, func(r *http.Request, value any, stack []byte) {
		log.Write(jujubeevent.HandlerPanicked, func() logrus.Fields {
			return logrus.Fields{"Method": r.Method, "Error": fmt.Sprint(value), "Stack": string(stack)}
		})
	})
}
