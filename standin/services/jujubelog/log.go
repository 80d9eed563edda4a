// Package jujubelog emulates the platform's append-only log.
package jujubelog

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"goji.io/pat"
	"golang.org/x/time/rate"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubebase"
	"jujubepier.example/standin/modules/jujubefault"
	"jujubepier.example/standin/modules/jujubehost"
)

// maxRead bounds the records of one answer when the reader gives no lower bound.
const maxRead = 1000

// Settings of the log.
type Settings struct {
	Listen string
	// RetainRecords bounds the records of each stream; zero means no bound.
	RetainRecords int
	// RetainAge is how long a record is kept; zero means for ever.
	RetainAge time.Duration
	// AppendsPerSecond holds for all streams together; zero means no limit.
	AppendsPerSecond float64
	// Burst is how many appends may come at once.
	Burst int
	// MaxWait bounds a long poll.
	MaxWait time.Duration
}

// DefaultSettings returns the settings of a log like that of the platform.
func DefaultSettings() Settings {
	return Settings{
		Listen: "127.0.0.1:0", RetainRecords: 10000, RetainAge: time.Hour, AppendsPerSecond: 400, Burst: 100,
		MaxWait: 30 * time.Second,
	}
}

// Faults of the log (PUT /faults).
type Faults struct {
	Outage jujubefault.Outage
	// Slow delays each call.
	Slow model.Duration
	// LoseAnswers is the number of next appends that take effect but whose connection is closed without an answer.
	LoseAnswers int
}

// Server is a running log.
type Server struct {
	*jujubebase.Base[Faults]
	settings Settings
	limiter  *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
}

type stream struct {
	// records are contiguous in Offset and end at next-1.
	records []model.LogRecord
	next    int64
	last    time.Time
	// appended is closed and replaced with each append.
	appended chan struct{}
}

// Start runs a log until the clean-up function is called or ctx ends.
func Start(ctx context.Context, settings Settings) (*Server, func(), error) {
	base, mux := jujubebase.New[Faults]()
	s := &Server{Base: base, settings: settings, streams: make(map[string]*stream)}
	s.limiter = jujubebase.NewLimiter(settings.AppendsPerSecond, settings.Burst)
	s.Guard(mux, func(f Faults) (jujubefault.Outage, time.Duration) { return f.Outage, f.Slow.Std() })
	mux.HandleFunc(pat.Post("/v1/streams/:stream/records"), s.append)
	mux.HandleFunc(pat.Get("/v1/streams/:stream/records"), s.read)
	if err := s.Listen(ctx, "log", settings.Listen, mux); err != nil {
		return nil, nil, err
	}
	return s, s.Host.Close, nil
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	body, ok := jujubehost.ReadBody(w, r)
	if !ok {
		return
	}
	if !json.Valid(body) {
		jujubehost.WriteError(w, http.StatusBadRequest,
			model.EngineError{Code: model.EngineCodeBadRequest, Message: "body is not JSON"})
		return
	}
	if !s.limiter.Allow() {
		jujubehost.WriteRateLimited(w, time.Second, "too many appends")
		return
	}
	record := s.store(pat.Param(r, "stream"), body)
	if s.Faults.Take(func(f *Faults) *int { return &f.LoseAnswers }) {
		jujubehost.Abort()
	}
	jujubehost.WriteJSON(w, http.StatusOK, model.LogAppended{Offset: record.Offset, At: record.At})
}

func (s *Server) store(name string, body []byte) model.LogRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.stream(name)
	now := time.Now().UTC()
	if now.Before(target.last) {
		now = target.last
	}
	record := model.LogRecord{Offset: target.next, At: now, Body: body}
	target.records = append(target.records, record)
	target.next++
	target.last = now
	close(target.appended)
	target.appended = make(chan struct{})
	s.expire(target, now)
	return record
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, ok := jujubehost.ReadInt(w, r, "From", 0)
	if !ok {
		return
	}
	limit, ok := jujubehost.ReadInt(w, r, "Max", maxRead)
	if !ok {
		return
	}
	wait, ok := jujubehost.ReadDuration(w, r, "Wait")
	if !ok {
		return
	}
	timeout := time.NewTimer(min(wait, s.settings.MaxWait))
	defer timeout.Stop()
	for expired := wait <= 0; ; {
		answer, appended := s.view(pat.Param(r, "stream"), from, int(limit))
		if len(answer.Records) > 0 || expired {
			jujubehost.WriteJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-r.Context().Done():
			jujubehost.Abort()
		case <-timeout.C:
			expired = true
		case <-appended:
			// An outage that began during the long poll also holds for its answer.
			if s.Faults.Get().Outage != jujubefault.OutageNone {
				jujubehost.Abort()
			}
		}
	}
}

// view returns the records from an offset and the channel that the next append closes.
func (s *Server) view(name string, from int64, limit int) (model.LogRead, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.stream(name)
	s.expire(target, time.Now())
	first := target.next - int64(len(target.records))
	answer := model.LogRead{Records: []model.LogRecord{}, First: first, Next: target.next}
	if start := max(from, first); start < target.next {
		rest := target.records[start-first:]
		if limit > 0 && len(rest) > limit {
			rest = rest[:limit]
		}
		answer.Records = append(answer.Records, rest...)
	}
	return answer, target.appended
}

func (s *Server) stream(name string) *stream {
	target, ok := s.streams[name]
	if !ok {
		target = &stream{appended: make(chan struct{})}
		s.streams[name] = target
	}
	return target
}

func (s *Server) expire(target *stream, now time.Time) {
	drop := 0
	for drop < len(target.records) {
		over := s.settings.RetainRecords > 0 && len(target.records)-drop > s.settings.RetainRecords
		old := s.settings.RetainAge > 0 && now.Sub(target.records[drop].At) > s.settings.RetainAge
		if !over && !old {
			break
		}
		drop++
	}
	target.records = target.records[drop:]
}
