package jujubehost

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// MaxBody is the maximum size of a request body in bytes.
const MaxBody = 16 << 20

// Error codes that jujubemodel doesn't define.
const (
	CodeRateLimited = "RateLimited"
	CodeUnavailable = "Unavailable"
	CodeNotFound    = "NotFound"
)

// Abort terminates the running handler and closes its connection without a response. It doesn't return.
func Abort() { panic(http.ErrAbortHandler) }

// WriteJSON sends a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError sends a refusal as a JSON body.
func WriteError(w http.ResponseWriter, status int, refusal model.EngineError) {
	WriteJSON(w, status, refusal)
}

// WriteRateLimited responds with status 429. Retry-After is in whole seconds, so the time is rounded up to at least 1 s.
func WriteRateLimited(w http.ResponseWriter, retryAfter time.Duration, message string) {
	seconds := max(1, int((retryAfter+time.Second-1)/time.Second))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	WriteError(w, http.StatusTooManyRequests, model.EngineError{Code: CodeRateLimited, Message: message})
}

// ReadBody reads the request body. If that fails, it responds with status 400 and returns false.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		writeBadRequest(w, "read body: "+err.Error())
		return nil, false
	}
	return body, true
}

// ReadJSON decodes the JSON request body into value. If that fails, it responds with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, ok := ReadBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, value); err != nil {
		writeBadRequest(w, "decode body: "+err.Error())
		return false
	}
	return true
}

// QueryInt parses an integer query parameter and returns the fallback if it is missing. If the parameter is malformed, QueryInt
// responds with status 400 and returns false.
func QueryInt(w http.ResponseWriter, r *http.Request, name string, fallback int64) (int64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, true
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		writeBadRequest(w, "query parameter "+name+" is not an integer")
		return 0, false
	}
	return value, true
}

// QueryDuration parses a duration query parameter and returns zero if it is missing. If the parameter is malformed,
// QueryDuration responds with status 400 and returns false.
func QueryDuration(w http.ResponseWriter, r *http.Request, name string) (time.Duration, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		writeBadRequest(w, "query parameter "+name+" is not a duration")
		return 0, false
	}
	return value, true
}

func writeBadRequest(w http.ResponseWriter, message string) {
	WriteError(w, http.StatusBadRequest, model.EngineError{Code: model.EngineCodeBadRequest, Message: message})
}
