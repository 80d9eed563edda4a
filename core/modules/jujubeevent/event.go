// Package jujubeevent defines numbered log events, so that operators can filter by number and look them up in
// docs/events.md.
package jujubeevent

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Number identifies a log event. A number is never reused for another event.
type Number int

// Entry describes one event of the catalogue.
type Entry struct {
	Number Number
	Name   string
	Level  logrus.Level
	// Meaning describes what happened and what an operator may do.
	Meaning string
}

// timeFormat has milliseconds, because an instance makes many decisions per second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes JSON lines, or text lines if format is "text".
func NewLogger(output io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	if format == "text" {
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: timeFormat})
	}
	return logger, nil
}

// Log writes log lines for numbered events.
type Log struct {
	logger  *logrus.Logger
	entries map[Number]Entry
}

// NewLog returns a log that writes to a logger.
func NewLog(logger *logrus.Logger) *Log {
	entries := make(map[Number]Entry)
	for _, entry := range Catalogue() {
		entries[entry.Number] = entry
	}
	return &Log{logger: logger, entries: entries}
}

// Write writes one line with the number and the name of an event. fields is only called if the event's level is enabled.
func (l *Log) Write(number Number, fields func() logrus.Fields) {
	entry, ok := l.entries[number]
	if !ok {
		entry = Entry{Name: "Unlisted", Level: logrus.ErrorLevel}
	}
	if !l.logger.IsLevelEnabled(entry.Level) {
		return
	}
	line := fields()
	line["Event"] = int(number)
	l.logger.WithFields(line).Log(entry.Level, entry.Name)
}

// SetLevel sets the least severe level that is written.
func (l *Log) SetLevel(level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	l.logger.SetLevel(parsed)
	return nil
}
