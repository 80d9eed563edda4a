package jujubereport

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
)

// InstanceStatus is the status of one instance, or the error of the request for it.
type InstanceStatus struct {
	Address string
	Error   string        `json:",omitempty"`
	Status  *model.Status `json:",omitempty"`
	// Failure is the error whose text is in Error.
	Failure error `json:"-"`
}

// CollectStatus requests the status of all instances concurrently and returns the responses in the order of clients.
func CollectStatus(ctx context.Context, clients []*jujubeclient.OperatorClient) []InstanceStatus {
	type indexedStatus struct {
		index  int
		status InstanceStatus
	}
	responses := make(chan indexedStatus, len(clients))
	for i, client := range clients {
		go func() {
			status, err := client.Status(ctx)
			result := InstanceStatus{Address: client.Address()}
			if err != nil {
				result.Error, result.Failure = err.Error(), err
			} else {
				result.Status = &status
			}
			responses <- indexedStatus{index: i, status: result}
		}()
	}
	statuses := make([]InstanceStatus, len(clients))
	for range clients {
		response := <-responses
		statuses[response.index] = response.status
	}
	return statuses
}

// NewStatusTables merges the responses into tables: the instances, the endpoints with their newest load report and the sum of
// their requests in flight, the step parts with their owner, and the rollouts as reported by the instance with the highest
// fencing token.
func NewStatusTables(responses []InstanceStatus) []Table {
	instances := Table{Title: "INSTANCES", Columns: []string{"INSTANCE", "ADDRESS", "DATA-CENTRE", "STATE", "REVISION", "DIGEST", "IN-FORCE-AT", "LOG"}}
	parts := Table{Title: "STEP PARTS", Columns: []string{"PART", "ATTEMPT", "OWNER", "GROUPS", "DELIVERED", "RUNNING", "DISCARDED"}}
	rollouts := Table{Title: "WEIGHTS", Columns: []string{"MODEL", "TARGET", "ENGINES", "CURRENT", "SWAPPING", "FAILED", "LEADER", "FENCE"}}
	endpoints := map[model.EndpointID]model.EndpointStatus{}
	var leader *model.Status
	for _, response := range responses {
		status := response.Status
		if status == nil {
			instances.Add("", response.Address, "", "no answer", "", "", "", "")
			continue
		}
		instances.Add(status.Instance, response.Address, status.DataCentre, describeInstance(*status), status.Config.Revision,
			shortenDigest(status.Config.Digest), formatTime(status.Config.InForceAt),
			map[bool]string{true: "available", false: "unavailable"}[status.LogAvailable])
		for _, part := range status.Parts {
			parts.Add(part.Key, part.Attempt, status.Instance, part.Groups, part.Delivered, part.Running, formatCounts(part.Discarded))
		}
		for _, endpoint := range status.Endpoints {
			endpoints[endpoint.Endpoint.ID] = mergeEndpoint(endpoints[endpoint.Endpoint.ID], endpoint)
		}
		if leader == nil || status.Lease.Fence > leader.Lease.Fence || status.Lease.Fence == leader.Lease.Fence && status.Lease.Held {
			leader = status
		}
	}
	if leader != nil {
		for _, rollout := range leader.Rollouts {
			rollouts.Add(rollout.Model, rollout.Target, rollout.Engines, rollout.Current, rollout.Swapping, rollout.Failed,
				leader.Lease.Holder, leader.Lease.Fence)
		}
	}
	slices.SortFunc(parts.Rows, func(a, b []string) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) })
	return []Table{instances, newEndpointTable(endpoints), parts, rollouts}
}

func newEndpointTable(endpoints map[model.EndpointID]model.EndpointStatus) Table {
	table := Table{Title: "ENDPOINTS", Columns: []string{"ENDPOINT", "KIND", "DATA-CENTRE", "SERVES", "STATE", "VERSION", "TARGET", "RUNNING", "WAITING", "IN-FLIGHT"}}
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		status := endpoints[id]
		table.Add(id, status.Endpoint.Kind, status.Endpoint.DataCentre,
			cmp.Or(string(status.Endpoint.Model), string(status.Endpoint.Service)),
			status.State, status.Load.Version, status.Load.Target, status.Load.Running, status.Load.Waiting, status.InFlight)
	}
	return table
}

// mergeEndpoint returns the status with the later incarnation or else the newer load report, with the sum of both counts of
// requests in flight.
func mergeEndpoint(known, other model.EndpointStatus) model.EndpointStatus {
	inFlight := known.InFlight + other.InFlight
	newer := cmp.Or(cmp.Compare(other.Load.Incarnation, known.Load.Incarnation), other.Load.At.Compare(known.Load.At))
	if newer > 0 || known.Endpoint.ID == "" {
		known = other
	}
	known.InFlight = inFlight
	return known
}

// describeInstance returns the value of the column STATE.
func describeInstance(status model.Status) string {
	switch {
	case status.Leaving:
		return "leaving"
	case status.Ready:
		return "ready"
	}
	return "not ready"
}

// NewQuarantineTable lists fingerprints with their state and the crashes that are attributed to them.
func NewQuarantineTable(list []model.QuarantineStatus) Table {
	table := Table{Columns: []string{"FINGERPRINT", "STATE", "CRASHES", "UNTIL"}}
	for _, entry := range list {
		crashes := make([]string, len(entry.Crashes))
		for i, crash := range entry.Crashes {
			crashes[i] = string(crash)
		}
		table.Add(fmt.Sprintf("0x%016x", uint64(entry.Fingerprint)), entry.State, strings.Join(crashes, ","), formatTime(entry.Until))
	}
	return table
}

// MergeQuarantine merges the lists of several instances, because a gossip update may not have reached all of them. For each
// fingerprint it keeps the entry with the most crashes and, among those, the one that lasts longest.
func MergeQuarantine(lists ...[]model.QuarantineStatus) []model.QuarantineStatus {
	merged := map[model.Fingerprint]model.QuarantineStatus{}
	for _, list := range lists {
		for _, entry := range list {
			known, ok := merged[entry.Fingerprint]
			if !ok || len(entry.Crashes) > len(known.Crashes) || len(entry.Crashes) == len(known.Crashes) && entry.Until.After(known.Until) {
				merged[entry.Fingerprint] = entry
			}
		}
	}
	entries := make([]model.QuarantineStatus, 0, len(merged))
	for _, fingerprint := range slices.Sorted(maps.Keys(merged)) {
		entries = append(entries, merged[fingerprint])
	}
	return entries
}

// NewHistoryTable lists the changes in the order given, which is oldest first.
func NewHistoryTable(history []model.ConfigOutcome) Table {
	table := Table{Columns: []string{"OFFSET", "AT", "OUTCOME", "BASE", "REVISION", "DIGEST", "AUTHOR", "ID", "NOTE"}}
	for _, change := range history {
		outcome := map[bool]string{true: "accepted", false: "refused"}[change.Accepted]
		table.Add(change.Offset, formatTime(change.At), outcome, change.Base, change.Revision, shortenDigest(change.Digest),
			change.Author, change.ID, change.Note)
	}
	return table
}

// formatCounts returns the counts as sorted "cause=count" pairs.
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, cause := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", cause, counts[cause]))
	}
	return strings.Join(parts, ",")
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}

// shortenDigest returns a prefix of a digest that is long enough to distinguish documents.
func shortenDigest(digest string) string { return digest[:min(12, len(digest))] }
