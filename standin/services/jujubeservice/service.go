// Package jujubeservice emulates a plain service, some of whose calls must not be repeated.
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

// Settings of a plain service's server.
type Settings struct {
	Listen     string
	ID         model.EndpointID
	DataCentre model.DataCentre
	Service    model.ServiceName
	// Latency is the time of one call.
	Latency time.Duration
	// CrashDowntime is the time from a crash to the next incarnation.
	CrashDowntime time.Duration
	// OnCrash replaces the crash and restart within the process, for servers that are processes of their own.
	OnCrash func()
	// ListURL is the instance list to register at (http://host:port); empty for none.
	ListURL   string
	Heartbeat time.Duration
}

// DefaultSettings returns the settings of a server that isn't registered.
func DefaultSettings() Settings {
	return Settings{
		Listen: "127.0.0.1:0", ID: "service-1", DataCentre: "dc-a", Service: "service", Latency: 5 * time.Millisecond,
		CrashDowntime: time.Second, Heartbeat: time.Second,
	}
}

// Faults of a service (PUT /faults).
type Faults struct {
	Outage jujubefault.Outage
	// Slow delays each call.
	Slow model.Duration
	// CloseBefore is the number of next calls whose connection is closed before they run.
	CloseBefore int
	// LoseAnswers is the number of next calls that run but whose connection is closed without an answer.
	LoseAnswers int
	// Fail is the number of next calls that are answered with 500 and don't run.
	Fail int
	// Crash is the number of next calls that run and crash the server.
	Crash int
	// CrashMarker crashes the server on each call whose body contains it, after the call ran; empty for none.
	CrashMarker string
}

// Calls answers GET /calls. The counts outlast a crash within the process, as records in a database would.
type Calls struct {
	// Total counts all calls that ran, of any method.
	Total int
	// ByKey counts the runs of POST calls by their Idempotency-Key header.
	ByKey map[string]int
	// ByRecord counts the runs of POST calls by the Record value of their JSON body.
	ByRecord map[string]int
}

// Echo is the answer to a call.
type Echo struct {
	Endpoint model.EndpointID
	Method   string
	Path     string
	Query    string `json:",omitempty"`
	Key      string `json:",omitempty"`
	Body     string `json:",omitempty"`
	// Run counts the runs of the call's key; zero without one.
	Run int `json:",omitempty"`
}

// Server is a running plain service.
type Server struct {
	*jujubebase.Base[Faults]
	settings Settings

	mu          sync.Mutex
	incarnation model.Incarnation
	running     int
	leaving     bool
	calls       Calls
}

// Start runs a plain service until the clean-up function is called or ctx ends.
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
	mux.Use(s.guard)
	mux.HandleFunc(pat.Get("/calls"), s.list)
	mux.HandleFunc(pat.Get("/v1/load"), s.load)
	mux.HandleFunc(pat.Post("/v1/leave"), s.leave)
	mux.HandleFunc(pat.New("/*"), s.call)
	// Handlers that need the host wait for the mutex until it is set.
	s.mu.Lock()
	err := s.Listen(ctx, "service", settings.Listen, mux)
	s.mu.Unlock()
	if err != nil {
		return nil, nil, err
	}
	s.Host.Register(settings.ListURL, settings.Heartbeat, s.Endpoint, nil)
	return s, s.Host.Close, nil
}

// Endpoint returns the server's row in the instance list.
func (s *Server) Endpoint() model.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return model.Endpoint{
		ID: s.settings.ID, Kind: model.KindService, DataCentre: s.settings.DataCentre, Address: s.Host.Address(),
		Incarnation: s.incarnation, Service: s.settings.Service, Leaving: s.leaving,
	}
}

// guard leaves GET /calls readable during an outage, so that a test can count while it lasts.
func (s *Server) guard(next http.Handler) http.Handler {
	guarded := s.Faults.Guard(func(f Faults) (jujubefault.Outage, time.Duration) {
		return f.Outage, f.Slow.Std()
	})(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/calls" {
			next.ServeHTTP(w, r)
			return
		}
		guarded.ServeHTTP(w, r)
	})
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	s.track(1)
	defer s.track(-1)
	body, ok := jujubehost.ReadBody(w, r)
	if !ok {
		return
	}
	if s.Faults.Take(func(f *Faults) *int { return &f.CloseBefore }) {
		jujubehost.Abort()
	}
	if s.Faults.Take(func(f *Faults) *int { return &f.Fail }) {
		jujubehost.WriteError(w, http.StatusInternalServerError,
			model.EngineError{Code: jujubehost.CodeUnavailable, Message: "call fails by a fault"})
		return
	}
	// The call has its effect first: a client that goes away meanwhile doesn't undo it.
	echo := s.execute(r, body)
	marker := s.Faults.Get().CrashMarker
	if s.Faults.Take(func(f *Faults) *int { return &f.Crash }) ||
		(marker != "" && strings.Contains(string(body), marker)) {
		s.Crash()
		jujubehost.Abort()
	}
	if !jujubehost.Sleep(r.Context(), s.settings.Latency) {
		jujubehost.Abort()
	}
	if s.Faults.Take(func(f *Faults) *int { return &f.LoseAnswers }) {
		jujubehost.Abort()
	}
	jujubehost.WriteJSON(w, http.StatusOK, echo)
}

// execute counts the run of a call.
func (s *Server) execute(r *http.Request, body []byte) Echo {
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
	if record := readRecord(body); record != "" {
		s.calls.ByRecord[record]++
	}
	return echo
}

// readRecord returns the Record value of a body, a string without its quotes, or nothing.
func readRecord(body []byte) string {
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

// Crash closes all connections and comes back with a new incarnation after the downtime.
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

// Calls returns a copy of the counts.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Calls{Total: s.calls.Total, ByKey: maps.Clone(s.calls.ByKey), ByRecord: maps.Clone(s.calls.ByRecord)}
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	jujubehost.WriteJSON(w, http.StatusOK, s.Calls())
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := model.LoadReport{
		Endpoint: s.settings.ID, Incarnation: s.incarnation, At: time.Now().UTC(), Running: s.running, Leaving: s.leaving,
	}
	s.mu.Unlock()
	jujubehost.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) leave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) track(change int) {
	s.mu.Lock()
	s.running += change
	s.mu.Unlock()
}
