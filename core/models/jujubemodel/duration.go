package jujubemodel

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration written as text with its unit ("1m30s") in JSON and YAML.
type Duration time.Duration

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration; a number without a unit is refused.
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
