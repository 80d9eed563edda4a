package jujubeengine

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubehost"
)

// currentLoad returns a load report of the current state. The caller holds the mutex.
func (s *Server) currentLoad(now time.Time) model.LoadReport {
	faults := s.Faults.Get()
	return model.LoadReport{
		Endpoint: s.settings.ID, Incarnation: s.incarnation, At: now.UTC(),
		Running: len(s.running), Waiting: len(s.waiting), Slots: s.settings.Slots,
		TokensPerSecond: s.tokenRate() * s.settings.TimeScale / max(1, faults.SlowFactor),
		Model:           s.settings.Model, Version: s.version, Target: s.target, Swapping: s.swapping,
		Leaving: s.leaving,
	}
}

// recordLoad stores the current state for delayed load reports. It is called after each change of a reported value.
func (s *Server) recordLoad(now time.Time) {
	s.loadReports = append(s.loadReports, s.currentLoad(now))
	cutoff := now.Add(-s.settings.scaled(s.settings.LoadLag))
	for len(s.loadReports) > 1 && !s.loadReports[1].At.After(cutoff) {
		s.loadReports = s.loadReports[1:]
	}
}

// handleLoad returns the state of LoadLag ago. That state was still valid at that time, so At is set to it rather than to
// the time of the last change.
func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	cutoff := time.Now().Add(-s.settings.scaled(s.settings.LoadLag)).UTC()
	for len(s.loadReports) > 1 && !s.loadReports[1].At.After(cutoff) {
		s.loadReports = s.loadReports[1:]
	}
	report := s.loadReports[0]
	if cutoff.After(report.At) {
		report.At = cutoff
	}
	s.mu.Unlock()
	jujubehost.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, ok := jujubehost.QueryInt(w, r, "After", 0)
	if !ok {
		return
	}
	s.mu.Lock()
	events := s.cache.eventsAfter(time.Now(), after)
	s.mu.Unlock()
	jujubehost.WriteJSON(w, http.StatusOK, model.CacheEvents{Events: events})
}

func sortStreams(streams []model.EngineStream) {
	slices.SortFunc(streams, func(a, b model.EngineStream) int { return cmp.Compare(a.Stream, b.Stream) })
}
