package jujubehost

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// MaxBody bounds the request bodies that the emulators read.
const MaxBody = 16 << 20

// Codes of refusals that jujubemodel doesn't define.
const (
	CodeRateLimited = "RateLimited"
	CodeUnavailable = "Unavailable"
	CodeNotFound    = "NotFound"
)

// Abort closes the connection of the running handler without an answer.
func Abort() { panic(http.ErrAbortHandler) }

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError answers with a refusal.
func WriteError(w http.ResponseWriter, status int, refusal model.EngineError) {
	WriteJSON(w, status, refusal)
}

// WriteRateLimited answers 429; Retry-After counts in whole seconds, so shorter times are rounded up.
func WriteRateLimited(w http.ResponseWriter, retryAfter time.Duration, message string) {
	seconds := max(1, int((retryAfter+time.Second-1)/time.Second))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	WriteError(w, http.StatusTooManyRequests, model.EngineError{Code: CodeRateLimited, Message: message})
}

// ReadBody reads the request body and answers 400 when that fails.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		writeBadRequest(w, "read body: "+err.Error())
		return nil, false
	}
	return body, true
}

// ReadJSON decodes the request body and answers 400 when that fails.
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

// ReadInt reads an integer query parameter; a missing one has the fallback value.
func ReadInt(w http.ResponseWriter, r *http.Request, name string, fallback int64) (int64, bool) {
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

// ReadDuration reads a duration query parameter; a missing one is zero.
func ReadDuration(w http.ResponseWriter, r *http.Request, name string) (time.Duration, bool) {
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
