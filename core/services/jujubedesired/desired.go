// Package jujubedesired holds the routes and services that operators want in force, and matches requests against them.
package jujubedesired

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	model "jujubepier.example/core/models/jujubemodel"
)

// Kind tells what a route carries and therefore what may be repeated.
type Kind string

// Kinds of routes. Any other kind is treated as Unsafe.
const (
	// Safe requests may run more than once.
	Safe Kind = "Safe"
	// Unsafe requests run at most once for each attempt of the caller.
	Unsafe Kind = "Unsafe"
	// Rollout routes carry submissions of many items.
	Rollout Kind = "Rollout"
)

// State is one version of the desired state, complete.
type State struct {
	// Version only grows.
	Version  int64
	Routes   []Route
	Services map[model.ServiceName]Service
	// MaxBodyBytes bounds a caller's request body; zero for no bound.
	MaxBodyBytes int64
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Targets has one element or more; their weights are positive.
	Targets []Target
	// TargetLatency is within which an answer is worth the most; zero when operators give none.
	TargetLatency time.Duration
	// Timeout bounds how long a request is kept waiting; zero for no bound.
	Timeout time.Duration
	// MaxAttempts bounds the endpoints that one attempt of a caller is sent to; at least one.
	MaxAttempts int
	// Streaming and Resumable describe answers that are server-sent events.
	Streaming bool
	Resumable bool
	// Retention is how long after its submission an item may be given up.
	Retention time.Duration
	// SingleVersion requires all events of a result to come from one weight version.
	SingleVersion bool
}

// Target is one service that a route sends to.
type Target struct {
	Service model.ServiceName
	Weight  int
}

// Service describes the endpoints of one service.
type Service struct {
	Name model.ServiceName
	// Models are the models that the service's engines hold; empty for a plain service.
	Models []model.ModelName
	// Slots is how many requests an engine runs at once; zero for a plain service.
	Slots int
}

// Match returns the route of a host with the longest prefix of the path.
func (s *State) Match(host, path string) (*Route, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
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

// Choose returns the service for a key, such as a request's id; the shares of many keys follow the weights.
func (r *Route) Choose(key string) model.ServiceName {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(key) % uint64(total))
	for _, target := range r.Targets {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}
	return ""
}

// Holds tells whether a service's engines hold a model.
func (s *State) Holds(service model.ServiceName, name model.ModelName) bool {
	return slices.Contains(s.Services[service].Models, name)
}
