// Package jujubeentry runs one entry instance: it translates requests and network results into events for the decision core
// (jujubecore) and executes the actions that the core returns.
package jujubeentry

import (
	"net/netip"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/modules/jujubesetting"
)

// Settings are the process settings of an entry instance. docs/settings.md lists them.
type Settings struct {
	Instance   model.InstanceID `validate:"required,excludesall=~/" usage:"name of the instance; unique, and the same across restarts"`
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
	Register bool `usage:"write this instance's own entry to the instance list; true or false"`
	// Policy is the name of the load-balancing policy; all but the default are for measurements.
	Policy    string `validate:"omitempty,oneof=LeastExpectedWait LeastInFlight RoundRobin Random" usage:"load-balancing policy; empty for LeastExpectedWait; the others are for measurements"`
	LogLevel  string `validate:"oneof=debug info warning error" usage:"minimum log level: debug, info, warning or error"`
	LogFormat string `validate:"oneof=json text" usage:"log format: json or text"`
	TLS       TLSSettings
	// AddressValidity is how long callers may use an address response; a shutdown waits at least as long.
	AddressValidity time.Duration `validate:"min=1s,max=5m" usage:"how long callers may cache an address response"`
	// ListPeriod is the time between two reads of the instance list. With many instances this and the next two periods grow,
	// so that the reads stay within the limit on control traffic; see ListReadDelay and IsLoadReadDue.
	ListPeriod time.Duration `validate:"min=100ms,max=1m" usage:"interval between reads of the instance list; longer with more than 16 instances"`
	// LoadPeriod is the time between two reads of an endpoint's load.
	LoadPeriod time.Duration `validate:"min=50ms,max=1m" usage:"interval between reads of an endpoint's load; longer with more than 16 instances"`
	// CachePeriod is the time between two reads of an engine's cache events.
	CachePeriod time.Duration `validate:"min=50ms,max=1m" usage:"interval between reads of an engine's cache events, which are not read with more than 16 instances"`
	// SlowPollPeriod is the time between two reads of the log by an instance that doesn't follow it continuously.
	SlowPollPeriod time.Duration `validate:"min=1s,max=5m" usage:"interval between reads of the log by an instance that doesn't follow it continuously"`
	// StallTimeout is the time without a chunk after which a stream is aborted. It must exceed the time for which engines
	// stop generating while they load weights.
	StallTimeout time.Duration `validate:"min=1s,max=10m" usage:"abort a stream that has sent no chunk for this long"`
	// ShutdownTimeout bounds the wait for requests in flight after all address responses have expired.
	ShutdownTimeout time.Duration `validate:"min=1s,max=1h" usage:"maximum time that a shutdown waits for requests in flight"`
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64 `validate:"min=1024,max=1073741824" usage:"maximum size of a request's body, in bytes"`
	// MaxBufferedBytes bounds the bodies of calls to plain services, and of their responses, that are held at the same time.
	MaxBufferedBytes int64 `validate:"min=1048576,max=1099511627776" usage:"maximum total size of the bodies of calls and their responses that are held at the same time, in bytes"`
	// HeaderTimeout bounds the time that a caller may take to send the request's header.
	HeaderTimeout time.Duration `validate:"min=1s,max=1m" usage:"maximum time for a caller to send a request's header"`
	// BodyTimeout bounds the time that a caller may take to send the whole request.
	BodyTimeout time.Duration `validate:"min=1s,max=10m" usage:"maximum time for a caller to send a request's body"`
	// These bound what all clients together may take; docs/design/hostile-clients.md.
	MaxHeaderBytes     int           `validate:"min=16384,max=1048576" usage:"maximum size of a request's header, in bytes"`
	MaxHeaderLines     int           `validate:"min=100,max=1048576" usage:"maximum number of lines of a request's header"`
	MaxHeldBytes       int64         `validate:"min=1048576,max=1099511627776" usage:"maximum memory of connections, headers and messages of all clients together, in bytes"`
	MaxConnections     int           `validate:"min=0,max=1048576" usage:"maximum number of connections of callers and operators; 0 for three quarters of the descriptor limit"`
	MaxPeerConnections int           `validate:"min=0,max=1048576" usage:"maximum number of connections of other instances; 0 for an eighth of the descriptor limit"`
	MaxMessageBytes    int           `validate:"min=1048576,max=1073741824" usage:"maximum size of a message of another instance, in bytes"`
	ProgressTimeout    time.Duration `validate:"min=1s,max=1h" usage:"time without a byte of a body, or of a response that the client reads, after which a connection is closed"`
	// MaxTimeout bounds the timeout that a caller may request.
	MaxTimeout time.Duration `validate:"min=1s,max=24h" usage:"maximum timeout that a caller may request"`
}

// GuardSettings returns the limits of clients.
func (s Settings) GuardSettings() jujubehttp.GuardSettings {
	return jujubehttp.GuardSettings{
		MaxHeaderLines: s.MaxHeaderLines, MaxHeldBytes: int(s.MaxHeldBytes), MaxConnections: s.MaxConnections,
		MaxPeerConnections: s.MaxPeerConnections, MaxMessageBytes: s.MaxMessageBytes, ProgressTimeout: s.ProgressTimeout,
	}
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
		MaxBodyBytes: 64 << 20, MaxBufferedBytes: 256 << 20, HeaderTimeout: 10 * time.Second, BodyTimeout: time.Minute, MaxTimeout: time.Hour,
		MaxHeaderBytes: 64 << 10, MaxHeaderLines: jujubehttp.DefaultMaxHeaderLines, MaxHeldBytes: 256 << 20,
		MaxMessageBytes: jujubehttp.DefaultMaxMessageBytes, ProgressTimeout: jujubehttp.DefaultProgressTimeout,
	}
}
