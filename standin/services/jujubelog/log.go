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

// defaultReadLimit is the maximum number of records in a response when the request doesn't set Max.
const defaultReadLimit = 1000

// Settings configures the log.
type Settings struct {
	Listen string
	// RetainRecords is the maximum number of records kept per stream; zero means no limit.
	RetainRecords int
	// RetainAge is the age at which a record expires; zero means never.
	RetainAge time.Duration
	// AppendsPerSecond is the rate limit of appends over all streams together; zero means no limit.
	AppendsPerSecond float64
	// Burst is the number of appends that the rate limit allows at once.
	Burst int
	// MaxWait is the maximum duration of a long poll.
	MaxWait time.Duration
}

// DefaultSettings returns settings that match the platform's log.
func DefaultSettings() Settings {
	return Settings{
		Listen: "127.0.0.1:0", RetainRecords: 10000, RetainAge: time.Hour, AppendsPerSecond: 400, Burst: 100,
		MaxWait: 30 * time.Second,
	}
}

// Faults are the faults that PUT /faults injects into the log.
type Faults struct {
	Outage jujubefault.Outage
	// Slow is the delay added to each request.
	Slow model.Duration
	// LoseAnswers is the number of upcoming appends that take effect but whose connection is closed without a response.
	LoseAnswers int
}

// Server is a running log emulator.
type Server struct {
	*jujubebase.Base[Faults]
	settings Settings
	limiter  *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
}

// stream is one append-only sequence of records.
type stream struct {
	// records have contiguous offsets up to nextOffset-1.
	records    []model.LogRecord
	nextOffset int64
	lastAppend time.Time
	// appendedCh is closed and replaced at each append.
	appendedCh chan struct{}
}

// Start runs a log until the returned cleanup function is called or ctx ends.
func Start(ctx context.Context, settings Settings) (*Server, func(), error) {
	base, mux := jujubebase.New[Faults]()
	s := &Server{Base: base, settings: settings, streams: make(map[string]*stream)}
	s.limiter = jujubebase.NewLimiter(settings.AppendsPerSecond, settings.Burst)
	s.UseFaults(mux, func(f Faults) (jujubefault.Outage, time.Duration) { return f.Outage, f.Slow.Std() })
	mux.HandleFunc(pat.Post("/v1/streams/:stream/records"), s.handleAppend)
	mux.HandleFunc(pat.Get("/v1/streams/:stream/records"), s.handleRead)
	if err := s.Listen(ctx, "log", settings.Listen, mux); err != nil {
		return nil, nil, err
	}
	return s, s.Host.Close, nil
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
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
	record := s.appendRecord(pat.Param(r, "stream"), body)
	if s.Faults.Consume(func(f *Faults) *int { return &f.LoseAnswers }) {
		jujubehost.Abort()
	}
	jujubehost.WriteJSON(w, http.StatusOK, model.LogAppended{Offset: record.Offset, At: record.At})
}

// appendRecord appends a record to a stream. Its timestamp is never before that of the previous record.
func (s *Server) appendRecord(name string, body []byte) model.LogRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.getOrCreateStream(name)
	now := time.Now().UTC()
	if now.Before(stream.lastAppend) {
		now = stream.lastAppend
	}
	record := model.LogRecord{Offset: stream.nextOffset, At: now, Body: body}
	stream.records = append(stream.records, record)
	stream.nextOffset++
	stream.lastAppend = now
	close(stream.appendedCh)
	stream.appendedCh = make(chan struct{})
	s.dropExpired(stream, now)
	return record
}

// handleRead returns the records from an offset on. If there are none, it waits for an append, at most for the time Wait.
func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	from, ok := jujubehost.QueryInt(w, r, "From", 0)
	if !ok {
		return
	}
	limit, ok := jujubehost.QueryInt(w, r, "Max", defaultReadLimit)
	if !ok {
		return
	}
	wait, ok := jujubehost.QueryDuration(w, r, "Wait")
	if !ok {
		return
	}
	timeout := time.NewTimer(min(wait, s.settings.MaxWait))
	defer timeout.Stop()
	for timedOut := wait <= 0; ; {
		response, appendedCh := s.recordsFrom(pat.Param(r, "stream"), from, int(limit))
		if len(response.Records) > 0 || timedOut {
			jujubehost.WriteJSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-r.Context().Done():
			jujubehost.Abort()
		case <-timeout.C:
			timedOut = true
		case <-appendedCh:
			// An outage that started during the long poll also applies to its response.
			if s.Faults.Get().Outage != jujubefault.OutageNone {
				jujubehost.Abort()
			}
		}
	}
}

// recordsFrom returns at most limit records from an offset on (all of them if limit is not positive), and a channel that the
// next append closes.
func (s *Server) recordsFrom(name string, from int64, limit int) (model.LogRead, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.getOrCreateStream(name)
	s.dropExpired(stream, time.Now())
	first := stream.nextOffset - int64(len(stream.records))
	response := model.LogRead{Records: []model.LogRecord{}, First: first, Next: stream.nextOffset}
	if start := max(from, first); start < stream.nextOffset {
		remaining := stream.records[start-first:]
		if limit > 0 && len(remaining) > limit {
			remaining = remaining[:limit]
		}
		response.Records = append(response.Records, remaining...)
	}
	return response, stream.appendedCh
}

// getOrCreateStream returns a stream by name and creates an empty one if it doesn't exist. The caller holds the mutex.
func (s *Server) getOrCreateStream(name string) *stream {
	found, ok := s.streams[name]
	if !ok {
		found = &stream{appendedCh: make(chan struct{})}
		s.streams[name] = found
	}
	return found
}

// dropExpired removes the oldest records that exceed RetainRecords or RetainAge.
func (s *Server) dropExpired(stream *stream, now time.Time) {
	count := 0
	for count < len(stream.records) {
		excess := s.settings.RetainRecords > 0 && len(stream.records)-count > s.settings.RetainRecords
		expired := s.settings.RetainAge > 0 && now.Sub(stream.records[count].At) > s.settings.RetainAge
		if !excess && !expired {
			break
		}
		count++
	}
	stream.records = stream.records[count:]
}
