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

// NewLogger returns a logger that writes JSON lines, or text when format is "text".
func NewLogger(output io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{})
	if format == "text" {
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	}
	return logger, nil
}
