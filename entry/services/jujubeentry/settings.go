// Package jujubeentry runs one entry instance: it translates requests and network results into events for the decision core
// (jujubecore) and executes the actions that the core returns.
package jujubeentry

import (
	"net/netip"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubesetting"
)

// Settings are the process settings of an entry instance. docs/settings.md lists them.
type Settings struct {
	Instance   model.InstanceID `validate:"required,excludesall=~/" usage:"name of the instance; unique, the same over restarts"`
	DataCentre model.DataCentre `validate:"required" usage:"data centre of the instance"`
	// CallerAddress, PeerAddress and OperatorAddress are host:port with an IP number.
	CallerAddress   string `validate:"required,hostname_port" usage:"host:port to listen on for callers and trainers; a numeric IP address that they can reach"`
	PeerAddress     string `validate:"required,hostname_port" usage:"host:port to listen on for other entry instances; a numeric IP address that they can reach"`
	OperatorAddress string `validate:"required,hostname_port" usage:"host:port to listen on for operators"`
	// LogAddress and ListAddress are host:port of the platform's log and instance list.
	LogAddress  string `validate:"required,hostname_port" usage:"host:port of the platform's log"`
	ListAddress string `validate:"required,hostname_port" usage:"host:port of the platform's instance list"`
	// Register makes the instance write its own entry to the instance list. It isn't needed on platforms that list instances
	// themselves.
	Register bool `usage:"true: write the own row to the instance list"`
	// Policy is the name of the load-balancing policy; all but the default are for measurements.
	Policy    string `validate:"omitempty,oneof=LeastExpectedWait LeastInFlight RoundRobin Random" usage:"choice of endpoints; LeastExpectedWait when empty, the others are for measurements"`
	LogLevel  string `validate:"oneof=debug info warning error" usage:"least level of the log lines: debug, info, warning or error"`
	LogFormat string `validate:"oneof=json text" usage:"format of the log lines: json or text"`
	TLS       TLSSettings
	// AddressValidity is how long callers may use an address response; a shutdown waits at least as long.
	AddressValidity time.Duration `validate:"min=1s,max=5m" usage:"how long callers may keep an address answer"`
	// ListPeriod is the time between two reads of the instance list. With many instances this and the next two periods grow,
	// so that the reads stay within the limit on control traffic; see ListReadDelay and IsLoadReadDue.
	ListPeriod time.Duration `validate:"min=100ms,max=1m" usage:"time between two reads of the instance list; longer with more than 16 instances"`
	// LoadPeriod is the time between two reads of an endpoint's load.
	LoadPeriod time.Duration `validate:"min=50ms,max=1m" usage:"time between two reads of an endpoint's load; longer with more than 16 instances"`
	// CachePeriod is the time between two reads of an engine's cache events.
	CachePeriod time.Duration `validate:"min=50ms,max=1m" usage:"time between two reads of an engine's cache events, which are not read with more than 16 instances"`
	// SlowPollPeriod is the time between two reads of the log by an instance that doesn't follow it continuously.
	SlowPollPeriod time.Duration `validate:"min=1s,max=5m" usage:"time between two reads of the log by an instance that doesn't follow it continuously"`
	// StallTimeout is the time without a chunk after which a stream is aborted. It must exceed the time for which engines
	// stop generating while they load weights.
	StallTimeout time.Duration `validate:"min=1s,max=10m" usage:"time without a chunk that ends a stream"`
	// ShutdownTimeout bounds the wait for requests in flight after all address responses have expired.
	ShutdownTimeout time.Duration `validate:"min=1s,max=1h" usage:"bound of a shutdown's wait for requests in flight"`
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64 `validate:"min=1024,max=1073741824" usage:"bound of a request's body, in bytes"`
	// HeaderTimeout bounds the time that a caller may take to send the request's header.
	HeaderTimeout time.Duration `validate:"min=1s,max=1m" usage:"time for sending a request's header"`
	// BodyTimeout bounds the time that a caller may take to send the whole request.
	BodyTimeout time.Duration `validate:"min=1s,max=10m" usage:"time for sending a request's body"`
	// MaxTimeout bounds the timeout that a caller may request.
	MaxTimeout time.Duration `validate:"min=1s,max=24h" usage:"highest timeout that a caller may ask for"`
}

// TLSSettings name the files for TLS on the callers' and operators' listeners; empty for plain HTTP.
type TLSSettings struct {
	CertificateFile string `validate:"required_with=KeyFile" usage:"PEM certificate for callers and operators; empty for plain HTTP"`
	KeyFile         string `validate:"required_with=CertificateFile" usage:"PEM key of the certificate"`
}

// Check validates what the validate tags can't express. Callers and other instances connect to the addresses exactly as
// configured, so host names and unspecified (wildcard) addresses are rejected.
func (s Settings) Check() error {
	var problems jujubesetting.ErrSettings
	for _, setting := range []struct{ key, address string }{
		{"CallerAddress", s.CallerAddress},
		{"PeerAddress", s.PeerAddress},
	} {
		address, err := netip.ParseAddrPort(setting.address)
		if err != nil || address.Addr().IsUnspecified() {
			problems = append(problems, jujubesetting.ErrSetting{
				Source: "settings", Key: setting.key, Reason: setting.address + " must have a numeric IP address that others can reach",
			})
		}
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}

// DefaultSettings returns the default settings. Instance, DataCentre and the addresses have no default.
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
