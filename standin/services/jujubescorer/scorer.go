// Package jujubescorer emulates a service that scores samples.
package jujubescorer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"goji.io/pat"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubebase"
	"jujubepier.example/standin/modules/jujubefault"
	"jujubepier.example/standin/modules/jujubehost"
)

// Settings configures a scorer.
type Settings struct {
	Listen     string
	ID         model.EndpointID
	DataCentre model.DataCentre
	Service    model.ServiceName
	// Latency is the duration of one scoring call.
	Latency time.Duration
	// ListURL is the instance list to register with (http://host:port); empty for none.
	ListURL string
	// Heartbeat is the interval between registrations.
	Heartbeat time.Duration
}

// DefaultSettings returns the settings of a scorer that doesn't register with an instance list.
func DefaultSettings() Settings {
	return Settings{
		Listen: "127.0.0.1:0", ID: "scorer-1", DataCentre: "dc-a", Service: "scorer", Latency: 20 * time.Millisecond,
		Heartbeat: time.Second,
	}
}

// Faults are the faults that PUT /faults injects into a scorer.
type Faults struct {
	Outage jujubefault.Outage
	// Slow is the delay added to each request.
	Slow model.Duration
	// FailNext is the number of upcoming scoring calls that fail with status 500.
	FailNext int
}

// Server is a running scorer emulator.
type Server struct {
	*jujubebase.Base[Faults]
	settings    Settings
	incarnation model.Incarnation
	// inFlight is the number of scoring calls in progress.
	inFlight atomic.Int64
}

// Start runs a scorer until the returned cleanup function is called or ctx ends.
func Start(ctx context.Context, settings Settings) (*Server, func(), error) {
	if settings.ID == "" || settings.Heartbeat <= 0 {
		return nil, nil, errors.New("scorer: ID and Heartbeat must be set")
	}
	base, mux := jujubebase.New[Faults]()
	s := &Server{
		Base: base, settings: settings,
		incarnation: model.Incarnation(time.Now().UnixMilli()),
	}
	s.UseFaults(mux, func(f Faults) (jujubefault.Outage, time.Duration) { return f.Outage, f.Slow.Std() })
	mux.HandleFunc(pat.Post("/v1/score"), s.handleScore)
	mux.HandleFunc(pat.Get("/v1/load"), s.handleLoad)
	if err := s.Listen(ctx, "scorer", settings.Listen, mux); err != nil {
		return nil, nil, err
	}
	s.Host.Register(settings.ListURL, settings.Heartbeat, s.Endpoint, nil)
	return s, s.Host.Close, nil
}

// Endpoint returns the scorer's entry for the instance list.
func (s *Server) Endpoint() model.Endpoint {
	return model.Endpoint{
		ID: s.settings.ID, Kind: model.KindScorer, DataCentre: s.settings.DataCentre, Address: s.Host.Address(),
		Incarnation: s.incarnation, Service: s.settings.Service,
	}
}

// Score returns a deterministic score in [0, 1) for a prompt and a text. It doesn't depend on the sample's id, so a repeated
// sample gets the same score.
func Score(prompt, text string) float64 {
	const resolution = 10000
	return float64(model.NewFingerprint(prompt, text)%resolution) / resolution
}

func (s *Server) handleScore(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	var request model.ScoreRequest
	if !jujubehost.ReadJSON(w, r, &request) {
		return
	}
	if s.Faults.Consume(func(f *Faults) *int { return &f.FailNext }) {
		jujubehost.WriteError(w, http.StatusInternalServerError,
			model.EngineError{Code: jujubehost.CodeUnavailable, Message: "score fails by a fault"})
		return
	}
	if !jujubehost.Sleep(r.Context(), s.settings.Latency) {
		jujubehost.Abort()
	}
	jujubehost.WriteJSON(w, http.StatusOK,
		model.ScoreResult{Sample: request.Sample, Score: Score(request.Prompt, request.Text)})
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	jujubehost.WriteJSON(w, http.StatusOK, model.LoadReport{
		Endpoint: s.settings.ID, Incarnation: s.incarnation, At: time.Now().UTC(), Running: int(s.inFlight.Load()),
	})
}
