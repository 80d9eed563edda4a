package jujubehttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxEventBytes limits the size of a server-sent event, with all its lines.
const maxEventBytes = 1 << 20

// Event is one server-sent event.
type Event struct {
	Name string
	Data []byte
}

// EventReader reads server-sent events.
type EventReader struct {
	scanner *bufio.Scanner
}

// NewEventReader returns a reader for the events in a body.
func NewEventReader(body io.Reader) *EventReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &EventReader{scanner: scanner}
}

// Next returns the next event, or io.EOF if the body ended between two events.
func (r *EventReader) Next() (Event, error) {
	var event Event
	size := 0
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		size += len(line)
		switch {
		case size > maxEventBytes:
			return Event{}, errors.Errorf("read event: it goes on after %d bytes", maxEventBytes)
		case len(line) == 0 && event.Name != "":
			return event, nil
		case bytes.HasPrefix(line, []byte("event: ")):
			event.Name = string(line[len("event: "):])
		case bytes.HasPrefix(line, []byte("data: ")):
			event.Data = append(event.Data, line[len("data: "):]...)
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, errors.Wrap(err, "read event")
	}
	if event.Name != "" {
		return Event{}, io.ErrUnexpectedEOF
	}
	return Event{}, io.EOF
}

// EventWriter writes server-sent events and flushes each of them.
type EventWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	started    bool
}

// NewEventWriter returns a writer. It sends the response header with the first event.
func NewEventWriter(w http.ResponseWriter) *EventWriter {
	return &EventWriter{writer: w, controller: http.NewResponseController(w)}
}

// Started reports whether an event has been written, after which the status can't be changed.
func (w *EventWriter) Started() bool { return w.started }

// Write writes one event with the JSON of value as its data.
func (w *EventWriter) Write(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	if !w.started {
		w.writer.Header().Set("Content-Type", "text/event-stream")
		w.writer.Header().Set("Cache-Control", "no-store")
		w.writer.WriteHeader(http.StatusOK)
		w.started = true
	}
	buffer := make([]byte, 0, len(data)+len(name)+16)
	buffer = append(buffer, "event: "...)
	buffer = append(buffer, name...)
	buffer = append(buffer, "\ndata: "...)
	buffer = append(buffer, data...)
	buffer = append(buffer, "\n\n"...)
	if _, err := w.writer.Write(buffer); err != nil {
		return errors.Wrap(err, "write event")
	}
	return errors.Wrap(w.controller.Flush(), "flush event")
}
