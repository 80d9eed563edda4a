// Package jujubeservice emulates a plain service with idempotent and non-idempotent calls.
package jujubeservice

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"goji.io/pat"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubebase"
	"jujubepier.example/standin/modules/jujubefault"
	"jujubepier.example/standin/modules/jujubehost"
)

// Settings configures one server of a plain service.
type Settings struct {
	Listen     string
	ID         model.EndpointID
	DataCentre model.DataCentre
	Service    model.ServiceName
	// Latency is the duration of one call.
	Latency time.Duration
	// CrashDowntime is the time from a crash to the next incarnation.
	CrashDowntime time.Duration
	// OnCrash, if set, is called instead of the in-process crash and restart, for servers that run as separate processes.
	OnCrash func()
	// ListURL is the instance list to register with (http://host:port); empty for none.
	ListURL string
	// Heartbeat is the interval between registrations.
	Heartbeat time.Duration
}

// DefaultSettings returns the settings of a server that doesn't register with an instance list.
func DefaultSettings() Settings {
	return Settings{
		Listen: "127.0.0.1:0", ID: "service-1", DataCentre: "dc-a", Service: "service", Latency: 5 * time.Millisecond,
		CrashDowntime: time.Second, Heartbeat: time.Second,
	}
}

// Faults are the faults that PUT /faults injects into a server.
type Faults struct {
	Outage jujubefault.Outage
	// Slow is the delay added to each request.
	Slow model.Duration
	// CloseBefore is the number of upcoming calls whose connection is closed before they run.
	CloseBefore int
	// LoseAnswers is the number of upcoming calls that run but whose connection is closed without a response.
	LoseAnswers int
	// Fail is the number of upcoming calls that fail with status 500 and don't run.
	Fail int
	// Crash is the number of upcoming calls that run and then crash the server.
	Crash int
	// CrashMarker crashes the server after each call whose body contains this text; empty for none.
	CrashMarker string
}

// Calls is the response to GET /calls. The counts survive a crash within the process, like records in a database.
type Calls struct {
	// Total is the number of calls that ran, with any method.
	Total int
	// ByKey is the number of runs of POST calls per Idempotency-Key header.
	ByKey map[string]int
	// ByRecord is the number of runs of POST calls per value of the Record field of the JSON body.
	ByRecord map[string]int
}

// Echo is the response to a call. It repeats the parts of the request.
type Echo struct {
	Endpoint model.EndpointID
	Method   string
	Path     string
	Query    string `json:",omitempty"`
	Key      string `json:",omitempty"`
	Body     string `json:",omitempty"`
	// Run is the number of runs so far with the call's key; zero for a call without a key.
	Run int `json:",omitempty"`
}

// Server is a running server of a plain service.
type Server struct {
	*jujubebase.Base[Faults]
	settings Settings

	mu          sync.Mutex
	incarnation model.Incarnation
	inFlight    int
	leaving     bool
	calls       Calls
}

// Start runs a plain service until the returned cleanup function is called or ctx ends.
func Start(ctx context.Context, settings Settings) (*Server, func(), error) {
	if settings.ID == "" || settings.Heartbeat <= 0 {
		return nil, nil, errors.New("service: ID and Heartbeat must be set")
	}
	base, mux := jujubebase.New[Faults]()
	s := &Server{
		Base: base, settings: settings,
		incarnation: model.Incarnation(time.Now().UnixMilli()),
		calls:       Calls{ByKey: make(map[string]int), ByRecord: make(map[string]int)},
	}
	mux.Use(s.faultMiddleware)
	mux.HandleFunc(pat.Get("/calls"), s.handleCalls)
	mux.HandleFunc(pat.Get("/v1/load"), s.handleLoad)
	mux.HandleFunc(pat.Post("/v1/leave"), s.handleLeave)
	mux.HandleFunc(pat.New("/*"), s.handleCall)
	// The mutex is held until Host is set, because a handler may run as soon as the listener is open.
	s.mu.Lock()
	err := s.Listen(ctx, "service", settings.Listen, mux)
	s.mu.Unlock()
	if err != nil {
		return nil, nil, err
	}
	s.Host.Register(settings.ListURL, settings.Heartbeat, s.Endpoint, nil)
	return s, s.Host.Close, nil
}

// Endpoint returns the server's entry for the instance list.
func (s *Server) Endpoint() model.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return model.Endpoint{
		ID: s.settings.ID, Kind: model.KindService, DataCentre: s.settings.DataCentre, Address: s.Host.Address(),
		Incarnation: s.incarnation, Service: s.settings.Service, Leaving: s.leaving,
	}
}

// faultMiddleware applies the outage and the delay to all paths except /calls and /faults, so that a test can read the counts
// during an outage.
func (s *Server) faultMiddleware(next http.Handler) http.Handler {
	withFaults := s.Faults.Middleware(func(f Faults) (jujubefault.Outage, time.Duration) {
		return f.Outage, f.Slow.Std()
	})(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/calls" {
			next.ServeHTTP(w, r)
			return
		}
		withFaults.ServeHTTP(w, r)
	})
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	s.addInFlight(1)
	defer s.addInFlight(-1)
	body, ok := jujubehost.ReadBody(w, r)
	if !ok {
		return
	}
	if s.Faults.Consume(func(f *Faults) *int { return &f.CloseBefore }) {
		jujubehost.Abort()
	}
	if s.Faults.Consume(func(f *Faults) *int { return &f.Fail }) {
		jujubehost.WriteError(w, http.StatusInternalServerError,
			model.EngineError{Code: jujubehost.CodeUnavailable, Message: "call fails by a fault"})
		return
	}
	// The call takes effect before the latency: a client that disconnects in the meantime doesn't undo it.
	echo := s.recordCall(r, body)
	marker := s.Faults.Get().CrashMarker
	if s.Faults.Consume(func(f *Faults) *int { return &f.Crash }) ||
		(marker != "" && strings.Contains(string(body), marker)) {
		s.Crash()
		jujubehost.Abort()
	}
	if !jujubehost.Sleep(r.Context(), s.settings.Latency) {
		jujubehost.Abort()
	}
	if s.Faults.Consume(func(f *Faults) *int { return &f.LoseAnswers }) {
		jujubehost.Abort()
	}
	jujubehost.WriteJSON(w, http.StatusOK, echo)
}

// recordCall counts a call as run and returns its response.
func (s *Server) recordCall(r *http.Request, body []byte) Echo {
	key := r.Header.Get(model.HeaderIdempotencyKey)
	echo := Echo{
		Endpoint: s.settings.ID, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Key: key, Body: string(body),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Total++
	if r.Method != http.MethodPost {
		return echo
	}
	if key != "" {
		s.calls.ByKey[key]++
		echo.Run = s.calls.ByKey[key]
	}
	if record := extractRecord(body); record != "" {
		s.calls.ByRecord[record]++
	}
	return echo
}

// extractRecord returns the value of the Record field of a JSON body, without quotes if it is a string, or an empty string
// if there is none.
func extractRecord(body []byte) string {
	var fields struct{ Record json.RawMessage }
	if err := json.Unmarshal(body, &fields); err != nil {
		return ""
	}
	var text string
	if err := json.Unmarshal(fields.Record, &text); err == nil {
		return text
	}
	return string(fields.Record)
}

// Crash simulates a crash: all connections close, and the server restarts with a new incarnation after CrashDowntime.
func (s *Server) Crash() {
	logrus.WithField("Endpoint", s.settings.ID).Info("service crashes")
	if s.settings.OnCrash != nil {
		s.settings.OnCrash()
		return
	}
	s.mu.Lock()
	host := s.Host
	s.mu.Unlock()
	host.Crash(s.settings.CrashDowntime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.incarnation = max(model.Incarnation(time.Now().UnixMilli()), s.incarnation+1)
		s.leaving = false
	})
}

// Calls returns a copy of the call counts.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Calls{Total: s.calls.Total, ByKey: maps.Clone(s.calls.ByKey), ByRecord: maps.Clone(s.calls.ByRecord)}
}

func (s *Server) handleCalls(w http.ResponseWriter, _ *http.Request) {
	jujubehost.WriteJSON(w, http.StatusOK, s.Calls())
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := model.LoadReport{
		Endpoint: s.settings.ID, Incarnation: s.incarnation, At: time.Now().UTC(), Running: s.inFlight, Leaving: s.leaving,
	}
	s.mu.Unlock()
	jujubehost.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) handleLeave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) addInFlight(delta int) {
	s.mu.Lock()
	s.inFlight += delta
	s.mu.Unlock()
}
