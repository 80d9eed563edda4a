// Package jujubeentry runs one entry instance: it turns the network into events of the decision core and the core's
// actions into calls.
package jujubeentry

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Settings are the process settings of an entry instance. docs/settings.md lists them.
type Settings struct {
	Instance   model.InstanceID `validate:"required,excludesall=~/"`
	DataCentre model.DataCentre `validate:"required"`
	// CallerAddress, PeerAddress and OperatorAddress are host:port with an IP number.
	CallerAddress   string `validate:"required,hostname_port"`
	PeerAddress     string `validate:"required,hostname_port"`
	OperatorAddress string `validate:"required,hostname_port"`
	// LogAddress and ListAddress are host:port of the platform's log and instance list.
	LogAddress  string `validate:"required,hostname_port"`
	ListAddress string `validate:"required,hostname_port"`
	// Register makes the instance write its own row to the instance list; platforms that list instances by themselves
	// don't need it.
	Register bool
	// Policy names the choice of endpoints; anything but the default is for measurements.
	Policy    string `validate:"omitempty,oneof=LeastExpectedWait LeastInFlight RoundRobin Random"`
	LogLevel  string `validate:"oneof=debug info warning error"`
	LogFormat string `validate:"oneof=json text"`
	TLS       TLSSettings
	// AddressValidity is how long callers may keep an address answer, and how long a shutdown waits at least.
	AddressValidity time.Duration `validate:"min=1s,max=5m"`
	// ListPeriod is the time between two reads of the instance list. It and the next two grow with many instances, so that
	// the reads fit the control traffic; see ListPause and IsReadDue.
	ListPeriod time.Duration `validate:"min=100ms,max=1m"`
	// LoadPeriod is the time between two reads of an endpoint's load.
	LoadPeriod time.Duration `validate:"min=50ms,max=1m"`
	// CachePeriod is the time between two reads of an engine's cache events.
	CachePeriod time.Duration `validate:"min=50ms,max=1m"`
	// SlowPollPeriod is how often the log is read by an instance that doesn't follow it continuously.
	SlowPollPeriod time.Duration `validate:"min=1s,max=5m"`
	// StallTimeout ends a stream without a chunk for this long. It must exceed the time for which engines stop generating
	// while they load weights.
	StallTimeout time.Duration `validate:"min=1s,max=10m"`
	// ShutdownTimeout bounds the wait for requests in flight once the address answers have run out.
	ShutdownTimeout time.Duration `validate:"min=1s,max=1h"`
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64 `validate:"min=1024,max=1073741824"`
	// HeaderTimeout bounds the time that a caller may take to send the request's header.
	HeaderTimeout time.Duration `validate:"min=1s,max=1m"`
	// BodyTimeout bounds the time that a caller may take to send the whole request.
	BodyTimeout time.Duration `validate:"min=1s,max=10m"`
	// MaxTimeout bounds the timeout that a caller may ask for.
	MaxTimeout time.Duration `validate:"min=1s,max=24h"`
}

// TLSSettings name the files for TLS on the callers' and operators' listeners; empty for plain HTTP.
type TLSSettings struct {
	CertificateFile string `validate:"required_with=KeyFile"`
	KeyFile         string `validate:"required_with=CertificateFile"`
}

// DefaultSettings returns the defaults; the identity and the addresses have none.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: "info", LogFormat: "json",
		AddressValidity: 20 * time.Second,
		ListPeriod:      time.Second, LoadPeriod: 500 * time.Millisecond, CachePeriod: time.Second,
		SlowPollPeriod: 30 * time.Second,
		StallTimeout:   45 * time.Second, ShutdownTimeout: 10 * time.Minute,
		MaxBodyBytes: 64 << 20, HeaderTimeout: 10 * time.Second, BodyTimeout: time.Minute, MaxTimeout: time.Hour,
	}
}
