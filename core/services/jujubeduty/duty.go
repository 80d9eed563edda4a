// Package jujubeduty decides whether this instance may make a duty call, a call to the platform's API that one instance at a time
// makes for all.
package jujubeduty

import model "jujubepier.example/core/models/jujubemodel"

// Duty is a kind of calls to the platform's API.
type Duty string

// Duties.
const (
	// UsageReport reports the number of requests of each organisation and window.
	UsageReport Duty = "UsageReport"
	// Autoscale orders servers.
	Autoscale Duty = "Autoscale"
)

// Outcome is how a duty call ended.
type Outcome string

// Outcomes of a duty call.
const (
	// Done calls were executed.
	Done Outcome = "Done"
	// Fenced calls weren't executed because the API has seen a higher fencing token. For an order of servers it also means that
	// there are no such servers now.
	Fenced Outcome = "Fenced"
	// Rejected calls weren't executed and won't be if they are repeated.
	Rejected Outcome = "Rejected"
	// Throttled calls weren't executed because of the rate limit.
	Throttled Outcome = "Throttled"
	// Unsent calls were never sent, because there was no connection.
	Unsent Outcome = "Unsent"
	// Withdrawn calls were never sent, because the instance no longer may make them.
	Withdrawn Outcome = "Withdrawn"
	// Unknown calls got no response. They may still be executed, also after later calls.
	Unknown Outcome = "Unknown"
)

// Token is the fencing token of a call. It is the lease's fence plus one, so it grows with each claim of the lease and is never 0.
type Token int64

// ServerOrder orders the number of servers of one kind that a service is to have in a data centre.
type ServerOrder struct {
	Service    model.ServiceName
	DataCentre model.DataCentre
	// Servers is an absolute number, so a repeated order has no further effect.
	Servers int
	// Spot is true for servers that may be reclaimed.
	Spot bool
}
