package jujubeengine

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubehost"
)

// report describes the engine as it is now.
func (s *Server) report(now time.Time) model.LoadReport {
	faults := s.Faults.Get()
	return model.LoadReport{
		Endpoint: s.settings.ID, Incarnation: s.incarnation, At: now.UTC(),
		Running: len(s.running), Waiting: len(s.waiting), Slots: s.settings.Slots,
		TokensPerSecond: s.rate() * s.settings.TimeScale / max(1, faults.SlowFactor),
		Model:           s.settings.Model, Version: s.version, Target: s.target, Swapping: s.swapping,
		Leaving: s.leaving,
	}
}

// measure keeps the present state for lagging reports. It is called at each change.
func (s *Server) measure(now time.Time) {
	s.loads = append(s.loads, s.report(now))
	then := now.Add(-s.settings.scaled(s.settings.LoadLag))
	for len(s.loads) > 1 && !s.loads[1].At.After(then) {
		s.loads = s.loads[1:]
	}
}

// load answers with the state of LoadLag ago. It held from its change until then, so At is that time.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	then := time.Now().Add(-s.settings.scaled(s.settings.LoadLag)).UTC()
	for len(s.loads) > 1 && !s.loads[1].At.After(then) {
		s.loads = s.loads[1:]
	}
	report := s.loads[0]
	if then.After(report.At) {
		report.At = then
	}
	s.mu.Unlock()
	jujubehost.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, ok := jujubehost.ReadInt(w, r, "After", 0)
	if !ok {
		return
	}
	s.mu.Lock()
	events := s.cache.after(time.Now(), after)
	s.mu.Unlock()
	jujubehost.WriteJSON(w, http.StatusOK, model.CacheEvents{Events: events})
}

func sortStreams(rows []model.EngineStream) {
	slices.SortFunc(rows, func(a, b model.EngineStream) int { return cmp.Compare(a.Stream, b.Stream) })
}
