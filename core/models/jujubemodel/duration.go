package jujubemodel

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration written as text with its unit ("1m30s") in JSON and YAML.
type Duration time.Duration

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration and rejects a number without a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(parsed)
	return nil
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
