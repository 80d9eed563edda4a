// Package jujubedesired holds the desired state, that is, the routes and services that operators have configured, and matches
// requests against it.
package jujubedesired

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeorganisation"
)

// Kind is the kind of a route's requests; it determines which of them may be repeated.
type Kind string

// Kinds of routes. Any other kind is treated as Unsafe.
const (
	// Safe requests may run more than once.
	Safe Kind = "Safe"
	// Unsafe requests run at most once for each attempt of the caller.
	Unsafe Kind = "Unsafe"
	// Rollout routes are for submissions of many items.
	Rollout Kind = "Rollout"
)

// State is one complete version of the desired state.
type State struct {
	// Version only grows.
	Version  int64
	Routes   []Route
	Services map[model.ServiceName]Service
	// MaxBodyBytes limits a caller's request body; zero means no limit.
	MaxBodyBytes int64
	// Organisations are those whose keys callers need; nil if they need none.
	Organisations *jujubeorganisation.Directory
}

// Names reports whether the state names a service.
func (s *State) Names(service model.ServiceName) bool {
	if _, ok := s.Services[service]; ok {
		return true
	}
	return slices.ContainsFunc(s.Routes, func(route Route) bool {
		return slices.ContainsFunc(route.Targets, func(target Target) bool { return target.Service == service })
	})
}

// Route describes where the requests of a host and path prefix are sent.
type Route struct {
	Name string
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Targets has at least one element; the weights are positive.
	Targets []Target
	// TargetLatency is the latency within which a response has its full value; zero if not configured.
	TargetLatency time.Duration
	// Timeout limits how long a request waits; zero means no limit.
	Timeout time.Duration
	// MaxAttempts limits the endpoints that one attempt of a caller is sent to; at least one.
	MaxAttempts int
	// Streaming and Resumable describe responses that are server-sent events.
	Streaming bool
	Resumable bool
	// ResultDeadline is the time from the acceptance of a submission until its results are due; zero if not configured.
	ResultDeadline time.Duration
	// Retention is how long an item is kept after its submission; after that it may be dropped.
	Retention time.Duration
	// SingleVersion requires all events of a result to come from one weight version.
	SingleVersion bool
	// Public requests need no key and belong to no organisation.
	Public bool
	// Priority orders waiting requests whose organisation has no priority; 0 is the highest.
	Priority int
}

// Target is a service that a route sends requests to.
type Target struct {
	Service model.ServiceName
	Weight  int
}

// Service describes the endpoints of a service.
type Service struct {
	Name model.ServiceName
	// Models are the models that the service's engines serve; empty for a plain service.
	Models []model.ModelName
	// Slots is how many requests an engine runs concurrently; zero for a plain service.
	Slots int
	// CacheTokens is the memory that an engine's running requests and the parts of prompts that it keeps share, in tokens; zero if it
	// isn't known.
	CacheTokens int
}

// Match returns the host's route with the longest matching path prefix. The path is that of the request's target, without decoding:
// a slash that is encoded there belongs to a segment and ends no prefix.
func (s *State) Match(host, path string) (*Route, bool) {
	if hostname, _, ok := strings.Cut(host, ":"); ok {
		host = hostname
	}
	path = decodeSegments(path)
	var best *Route
	for i := range s.Routes {
		r := &s.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.PathPrefix) &&
			(best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best, best != nil
}

// decodeSegments decodes the escapes of a path except for those of slashes and percent signs. Malformed escapes stay as they are.
func decodeSegments(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var decoded strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] == '%' && i+2 < len(path) {
			if value, err := strconv.ParseUint(path[i+1:i+3], 16, 8); err == nil && value != '/' && value != '%' {
				decoded.WriteByte(byte(value))
				i += 2
				continue
			}
		}
		decoded.WriteByte(path[i])
	}
	return decoded.String()
}

// Choose returns the service for a key, such as a request's id. It is deterministic, and over many keys the shares of the
// services follow the weights.
func (r *Route) Choose(key string) model.ServiceName { return choose(r.Targets, key) }

// ChooseAmong returns the service that Choose returns if it is usable, otherwise one of the usable ones by their weights, and that of
// Choose if none is.
func (r *Route) ChooseAmong(key string, isUsable func(model.ServiceName) bool) model.ServiceName {
	chosen := r.Choose(key)
	if len(r.Targets) < 2 || isUsable(chosen) {
		return chosen
	}
	var usable []Target
	for _, target := range r.Targets {
		if target.Service != chosen && isUsable(target.Service) {
			usable = append(usable, target)
		}
	}
	return cmp.Or(choose(usable, key), chosen)
}

// HasTarget reports whether the route sends requests to a service.
func (r *Route) HasTarget(service model.ServiceName) bool {
	return slices.ContainsFunc(r.Targets, func(target Target) bool { return target.Service == service && target.Weight > 0 })
}

func choose(targets []Target, key string) model.ServiceName {
	total := 0
	for _, target := range targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(key) % uint64(total))
	for _, target := range targets {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}
	return ""
}

// ServesModel reports whether a service's engines serve a model.
func (s *State) ServesModel(service model.ServiceName, name model.ModelName) bool {
	return slices.Contains(s.Services[service].Models, name)
}
