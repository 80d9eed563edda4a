package jujubeslope

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubecore"
)

// Sizes that the service has to support, from section 1 of docs/design.md.
const (
	targetInstances = 370
	targetEndpoints = 600
	// Requests in flight on one instance: 4 trainers with steps of 4,096 samples, spread over all instances.
	targetInFlight = 4 * 4096 / targetInstances
	// When few other instances are alive, one instance may hold a part with all samples of a step.
	targetSamples = 4096
	targetKeys    = 65536
)

var (
	memberAxis   = axis{"members", targetInstances}
	endpointAxis = axis{"endpoints", targetEndpoints}
	inFlightAxis = axis{"requests in flight", targetInFlight}
	sampleAxis   = axis{"samples held", targetSamples}
	keyAxis      = axis{"idempotency keys", targetKeys}
	chunkAxis    = axis{"tokens in a chunk", 8}
)

const (
	modelName   = model.ModelName("m")
	trainerName = model.TrainerID("t")
)

// Document returns an environment document with limits that no study reaches, and with rollout limits for the given number
// of engines.
func Document(engines int) string {
	return fmt.Sprintf(`Models:
  m:
    Engines: %d
    MaxInFlightPerEndpoint: 100000
    MaxSwapping: %d
    MinServing: %d
    SwapTimeout: 30s
Services: {}
Trainers:
  t:
    Model: m
    Share: 100%%
    StalenessBound: 1
    MaxInFlight: 1000000
    StepDeadline: 5m
Callers: {}
`, engines, maxSwapping(engines), engines/2)
}

// virtualStart is the initial value of the virtual clock.
var virtualStart = time.Unix(1_800_000_000, 0)

func newMember(i int) model.Member {
	return model.Member{
		ID: model.InstanceID(fmt.Sprintf("entry-%03d", i)), Incarnation: model.Incarnation(virtualStart.UnixMilli()),
		DataCentre: dataCentre(i), PeerAddress: fmt.Sprintf("10.0.%d.%d:7001", i/200, i%200),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200), State: model.MemberAlive,
	}
}

func newMembers(count int) []model.Member {
	members := make([]model.Member, 0, count)
	for i := range count {
		members = append(members, newMember(i))
	}
	return members
}

// dataCentre distributes instances and endpoints over the 8 data centres of the target size.
func dataCentre(i int) model.DataCentre { return model.DataCentre(fmt.Sprintf("dc-%d", i%8)) }

func newEndpoints(count int) []model.Endpoint {
	endpoints := make([]model.Endpoint, 0, count)
	for i := range count {
		endpoints = append(endpoints, model.Endpoint{
			ID: model.EndpointID(fmt.Sprintf("engine-%03d", i)), Kind: model.KindEngine, DataCentre: dataCentre(i),
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/200, i%200), Incarnation: 1, Model: modelName,
		})
	}
	return endpoints
}

func newLoadReport(endpoint model.Endpoint, at time.Time) model.LoadReport {
	return model.LoadReport{
		Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, At: at, Running: 3, Slots: 64, TokensPerSecond: 60,
		Model: endpoint.Model, Version: 1, Target: 1,
	}
}

// newCore returns the core of the first of the given number of members, after a configuration and the first load report of
// each endpoint.
func newCore(members, endpoints int) (*jujubecore.Core, error) {
	core, err := jujubecore.New(jujubecore.DefaultOptions(newMember(0)))
	if err != nil {
		return nil, err
	}
	list := model.InstanceList{Endpoints: newEndpoints(endpoints), Entries: newMembers(members)}
	core.Apply(virtualStart, jujubecore.InstancesListed{List: list})
	record := model.ConfigRecord{Change: &model.ConfigChange{ID: "first", Document: Document(max(1, endpoints)), Author: "slopes"}}
	core.Apply(virtualStart, jujubecore.ConfigRead{Read: newConfigRead(record)})
	if !core.IsReady() {
		return nil, errors.New("the core is not ready: the environment document was rejected")
	}
	for _, endpoint := range list.Endpoints {
		core.Apply(virtualStart, jujubecore.LoadReported{Report: newLoadReport(endpoint, virtualStart)})
	}
	core.Tick(virtualStart)
	return core, nil
}

func newRequest(i int, now time.Time) jujubecore.RequestArrived {
	prompt := fmt.Sprintf("a prompt with the number %d", i)
	return jujubecore.RequestArrived{
		ID: model.RequestID(fmt.Sprintf("caller/request-%d", i)), Kind: model.KindEngine, Model: modelName, Caller: "caller",
		Priority: model.PriorityInteractive, Deadline: now.Add(time.Hour), Prefix: model.HashPrefix(prompt), Tokens: 256,
		Fingerprint: model.NewFingerprint("generate", string(modelName), prompt),
	}
}
