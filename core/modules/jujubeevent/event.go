// Package jujubeevent numbers the log events, so that operators can filter and look them up in docs/events.md.
package jujubeevent

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Number identifies a kind of log line. Numbers are never given to another kind.
type Number int

// Entry is a row of the catalogue.
type Entry struct {
	Number Number
	Name   string
	Level  logrus.Level
	// Meaning says what happened and what an operator may do.
	Meaning string
}

// timeFormat has milliseconds, because many decisions are made within a second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes JSON lines, or text when format is "text".
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

// Log writes lines of numbered events.
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

// Write writes one line with the event's number and name. The fields are not built when the level is off.
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

// SetLevel changes the level of the lines that are written.
func (l *Log) SetLevel(level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	l.logger.SetLevel(parsed)
	return nil
}
