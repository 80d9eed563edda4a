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

// InstanceStatus is one instance's answer, or why there is none.
type InstanceStatus struct {
	Address string
	Error   string        `json:",omitempty"`
	Status  *model.Status `json:",omitempty"`
	// Failure is the error that Error describes.
	Failure error `json:"-"`
}

// Gather asks all instances at once and returns their answers in the order of clients.
func Gather(ctx context.Context, clients []*jujubeclient.OperatorClient) []InstanceStatus {
	type answer struct {
		at     int
		status InstanceStatus
	}
	answers := make(chan answer, len(clients))
	for at, client := range clients {
		go func() {
			status, err := client.Status(ctx)
			result := InstanceStatus{Address: client.Address()}
			if err != nil {
				result.Error, result.Failure = err.Error(), err
			} else {
				result.Status = &status
			}
			answers <- answer{at: at, status: result}
		}()
	}
	list := make([]InstanceStatus, len(clients))
	for range clients {
		answer := <-answers
		list[answer.at] = answer.status
	}
	return list
}

// NewStatusTables merges the answers: endpoints with the newest load report and the sum of requests in flight, step
// parts with their owner, and the rollout as the instance with the highest fence sees it.
func NewStatusTables(answers []InstanceStatus) []Table {
	instances := Table{Title: "INSTANCES", Columns: []string{"INSTANCE", "ADDRESS", "DATA-CENTRE", "STATE", "REVISION", "DIGEST", "IN-FORCE-AT", "LOG"}}
	parts := Table{Title: "STEP PARTS", Columns: []string{"PART", "ATTEMPT", "OWNER", "GROUPS", "DELIVERED", "RUNNING", "DISCARDED"}}
	rollouts := Table{Title: "WEIGHTS", Columns: []string{"MODEL", "TARGET", "ENGINES", "CURRENT", "SWAPPING", "FAILED", "LEADER", "FENCE"}}
	endpoints := map[model.EndpointID]model.EndpointStatus{}
	var leader *model.Status
	for _, answer := range answers {
		status := answer.Status
		if status == nil {
			instances.Add("", answer.Address, "", "no answer", "", "", "", "")
			continue
		}
		instances.Add(status.Instance, answer.Address, status.DataCentre, describeInstance(*status), status.Config.Revision,
			shorten(status.Config.Digest), formatTime(status.Config.InForceAt), map[bool]string{true: "available", false: "unavailable"}[status.LogAvailable])
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
		row := endpoints[id]
		table.Add(id, row.Endpoint.Kind, row.Endpoint.DataCentre, cmp.Or(string(row.Endpoint.Model), string(row.Endpoint.Service)),
			row.State, row.Load.Version, row.Load.Target, row.Load.Running, row.Load.Waiting, row.InFlight)
	}
	return table
}

// mergeEndpoint keeps the view with the later incarnation and the newer load report. Requests in flight add up.
func mergeEndpoint(known, other model.EndpointStatus) model.EndpointStatus {
	inFlight := known.InFlight + other.InFlight
	newer := cmp.Or(cmp.Compare(other.Load.Incarnation, known.Load.Incarnation), other.Load.At.Compare(known.Load.At))
	if newer > 0 || known.Endpoint.ID == "" {
		known = other
	}
	known.InFlight = inFlight
	return known
}

func describeInstance(status model.Status) string {
	switch {
	case status.Leaving:
		return "leaving"
	case status.Ready:
		return "ready"
	}
	return "not ready"
}

// NewQuarantineTable lists fingerprints with the crashes that they are blamed for.
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

// MergeQuarantine joins the lists of several instances, because a rumour may not have reached all of them. It keeps, for
// each fingerprint, the entry with the most crashes.
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
	rows := make([]model.QuarantineStatus, 0, len(merged))
	for _, fingerprint := range slices.Sorted(maps.Keys(merged)) {
		rows = append(rows, merged[fingerprint])
	}
	return rows
}

// NewHistoryTable lists the latest changes, oldest first.
func NewHistoryTable(history []model.ConfigOutcome) Table {
	table := Table{Columns: []string{"OFFSET", "AT", "OUTCOME", "BASE", "REVISION", "DIGEST", "AUTHOR", "ID", "NOTE"}}
	for _, change := range history {
		outcome := map[bool]string{true: "accepted", false: "refused"}[change.Accepted]
		table.Add(change.Offset, formatTime(change.At), outcome, change.Base, change.Revision, shorten(change.Digest), change.Author, change.ID, change.Note)
	}
	return table
}

func formatCounts(counts map[string]int) string {
	var list []string
	for _, cause := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s=%d", cause, counts[cause]))
	}
	return strings.Join(list, ",")
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}

// shorten leaves enough of a digest to tell documents apart by eye.
func shorten(digest string) string { return digest[:min(12, len(digest))] }
