package jujubeprocess_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/services/jujubeconfig"
	"jujubepier.example/core/services/jujubedocument"
	"jujubepier.example/standin/services/jujubeservice"
)

var (
	otherBuild = flag.String("process.other", "", "directory with the programs jujubepier, jujubectl and jujubestandin of another "+
		"build, such as an earlier version, that must be compatible with this one; empty skips the tests that need it")
	otherTraces = flag.String("process.traces", "", "directory with the traces of the other build's source, that both builds replay")
)

// requireOtherBuild returns the directory of the other build's programs, or skips the test when the flag is not set.
func requireOtherBuild(t *testing.T) string {
	t.Helper()
	if *otherBuild == "" {
		t.Skip("needs the programs of another build: -process.other DIR")
	}
	directory, err := filepath.Abs(*otherBuild)
	assert.NilError(t, err)
	for _, program := range []string{"jujubepier", "jujubectl", "jujubestandin"} {
		_, err := exec.LookPath(filepath.Join(directory, program))
		assert.NilError(t, err, "-process.other")
	}
	return directory
}

// programsFor returns the directory with the programs of the entry instance or endpoint with the given index: when there is
// another build, the odd indices run it.
func (c siteConfig) programsFor(index int) string {
	if c.otherDirectory == "" || index%2 == 0 {
		return programDirectory
	}
	return c.otherDirectory
}

// platformPrograms returns the directory with the programs of the log, the instance list and the store.
func (c siteConfig) platformPrograms() string {
	if c.platformFromOther {
		return c.otherDirectory
	}
	return programDirectory
}

// TestBuildsShareSteps guards against a version that can't run beside an earlier one: members that don't discover each
// other, configuration or drains that reach only the instances of one build, and steps that lose groups or labels.
func TestBuildsShareSteps(t *testing.T) {
	other := requireOtherBuild(t)
	for _, otherPlatform := range []bool{false, true} {
		t.Run(fmt.Sprintf("other platform %t", otherPlatform), func(t *testing.T) {
			config := vatuwaqaConfig("--tokens-per-second", "400")
			config.otherDirectory, config.platformFromOther = other, otherPlatform
			s := startSite(t, config)
			runTrainer(t, s.trainerSettings(3))
			for i := range 2 {
				parts, dispatches := s.countBuildEvents(i, "PartAccepted"), s.countBuildEvents(i, "RouteDispatched")
				t.Logf("the instances of build %d accepted %d step parts and dispatched %d requests to endpoints", i, parts, dispatches)
				assert.Assert(t, parts > 0 && dispatches > 0)
			}
			drained := s.engineEndpoints[0].id
			for i, directory := range []string{programDirectory, other} {
				// Both builds of jujubectl publish, and drain through an instance of the other build.
				s.publishAndWait(t, directory, i+2)
				operator := []string{"--operator", s.instances[1-i].operatorAddress}
				s.setDrainAndWait(t, directory, operator, "drain", drained, model.EndpointLeaving)
				s.setDrainAndWait(t, directory, operator, "undrain", drained, model.EndpointServing)
				output, code := runCtlFrom(t, directory, append(s.operatorFlags(), "--json", "status")...)
				assert.Equal(t, code, 0, output)
			}
		})
	}
}

// TestBuildsTakeOverParts guards against a step that stalls, or a group that is delivered twice or never, when the owner of
// a part is killed and the only instance that can take over runs the other build (R3).
func TestBuildsTakeOverParts(t *testing.T) {
	other := requireOtherBuild(t)
	for i := range 2 {
		t.Run(fmt.Sprintf("owner of build %d", i), func(t *testing.T) {
			config := vatuwaqaConfig("--tokens-per-second", "100")
			config.entries, config.otherDirectory = 2, other
			s := startSite(t, config)
			wait := startTrainer(t, s.trainerSettings(1))
			owner := s.instances[i]
			var part model.PartStatus
			eventually(t, string(owner.id)+" owns a part with running streams", func() bool {
				status, _ := s.status(owner)
				index := slices.IndexFunc(status.Parts, func(p model.PartStatus) bool {
					return p.Delivered > 0 && p.Delivered < p.Groups && p.Running > 0
				})
				if index >= 0 {
					part = status.Parts[index]
				}
				return index >= 0
			})
			owner.kill(t)
			wait()
			assert.Assert(t, s.isTakenOver(owner, part.Key), "part %s of %s wasn't taken over from its killed owner", part.Key, owner.id)
		})
	}
}

// countBuildEvents counts an event in the logs of the instances with even indices, which run this build, or with odd ones,
// which run the other build: first is the lowest index.
func (s *site) countBuildEvents(first int, name string) int {
	count := 0
	for i := first; i < len(s.instances); i += 2 {
		count += len(s.instances[i].events(name))
	}
	return count
}

// publishAndWait publishes a document with the jujubectl of a build and waits until all running instances have applied it.
func (s *site) publishAndWait(t *testing.T, directory string, revision int) {
	t.Helper()
	file := s.writeDocument(t, fmt.Sprintf("revision-%d", revision))
	output, code := runCtlFrom(t, directory, "--log", s.logAddress, "--timeout", "2s", "--author", "test", "publish", file)
	assert.Equal(t, code, 0, output)
	for _, e := range s.instances {
		if !e.hasExited() {
			s.waitRevision(t, e, revision, jujubedocument.Digest(readFile(t, file)))
		}
	}
}

// waitRevision waits until an instance has applied a revision, and checks the digest of its document.
func (s *site) waitRevision(t *testing.T, e *entry, revision int, digest string) {
	t.Helper()
	var config model.ConfigStatus
	eventually(t, fmt.Sprintf("revision %d is in force on %s", revision, e.id), func() bool {
		status, ok := s.status(e)
		config = status.Config
		return ok && config.Revision == int64(revision)
	})
	assert.Equal(t, config.Digest, digest, "%s", e.id)
}

// setDrainAndWait drains or undrains an endpoint with the jujubectl of a build and waits until all instances list the
// endpoint's new state.
func (s *site) setDrainAndWait(
	t *testing.T, directory string, operator []string, command string, id model.EndpointID, state model.EndpointState,
) {
	t.Helper()
	output, code := runCtlFrom(t, directory, append(operator, command, string(id))...)
	assert.Equal(t, code, 0, output)
	for _, e := range s.instances {
		eventually(t, fmt.Sprintf("%s lists the endpoint after the %s", e.id, command), func() bool {
			status, ok := s.status(e)
			return ok && slices.ContainsFunc(status.Endpoints, func(endpoint model.EndpointStatus) bool {
				return endpoint.Endpoint.ID == id && endpoint.State == state
			})
		})
	}
}

// TestBuildsReadCheckpoints guards against a checkpoint of one build that an instance of the other build can't start from,
// in both directions: the log no longer retains the records before it, and there is no peer to fetch from.
func TestBuildsReadCheckpoints(t *testing.T) {
	// The log retains more records than there are between two checkpoints.
	s := startSite(t, siteConfig{entries: 1, otherDirectory: requireOtherBuild(t), logFlags: []string{"--retain-records", "70"}})
	// last is the offset of the last checkpoint of the previous round.
	revision, last := 1, int64(0)
	for round := range 2 {
		author := s.instances[round]
		for read, newest := s.readConfigStream(t); read.First <= last || newest <= last; read, newest = s.readConfigStream(t) {
			if read.First+int64(len(read.Records))-newest > jujubeconfig.CheckpointRecords {
				eventually(t, "the log contains a new checkpoint", func() bool {
					_, next := s.readConfigStream(t)
					return next > newest
				})
				continue
			}
			revision++
			s.publishAndWait(t, s.programsFor(revision), revision)
		}
		_, last = s.readConfigStream(t)
		author.signal(t, syscall.SIGTERM)
		assert.Equal(t, author.waitExit(t), 0)
		newEntry := s.startEntry(t, round+1)
		digest := jujubedocument.Digest(readFile(t, s.writeDocument(t, fmt.Sprintf("revision-%d", revision))))
		s.waitRevision(t, newEntry, revision, digest)
		assert.Equal(t, len(newEntry.events("ConfigFetched")), 0, "the configuration was fetched from a peer")
		assert.Equal(t, len(newEntry.events("ConfigUnusable")), 0)
		t.Logf("%s started from the checkpoint at offset %d of %s, revision %d", newEntry.id, last, author.id, revision)
		// Only the first member writes checkpoints, and an instance that has left stays a member for some seconds.
		eventually(t, string(newEntry.id)+" is the only member", func() bool {
			status, ok := s.status(newEntry)
			return ok && len(status.Members) == 1
		})
	}
}

// readConfigStream returns the retained records of the configuration stream and the offset of the newest checkpoint, -1
// when there is none.
func (s *site) readConfigStream(t *testing.T) (read model.LogRead, checkpoint int64) {
	t.Helper()
	client, closeClient := jujubeclient.NewLogClient(s.logAddress, 5*time.Second)
	defer closeClient()
	read, err := client.Read(t.Context(), model.StreamConfig, 0, 1000, 0)
	assert.NilError(t, err)
	checkpoint = -1
	for _, record := range read.Records {
		var body model.ConfigRecord
		assert.NilError(t, json.Unmarshal(record.Body, &body))
		if body.Checkpoint != nil {
			checkpoint = record.Offset
		}
	}
	return read, checkpoint
}

// TestBuildsHandOverKeys guards against a hand-over of keys between two builds after which a key has another outcome or
// runs again: at the successor of an instance that shuts down, or at an instance that forwards to the successor. Both
// directions are tested (R6, R8).
func TestBuildsHandOverKeys(t *testing.T) {
	s := startSite(t, siteConfig{services: 2, entries: 4, otherDirectory: requireOtherBuild(t)})
	recorder := &outcomeRecorder{outcomes: map[string][]callOutcome{}}
	// The first live instance is the successor, and the instances alternate between the builds.
	for i := range 2 {
		leaving, successor := s.instances[i], s.instances[i+1]
		outcomes := s.callWithOwnKeys(t, leaving, i)
		for key, outcome := range outcomes {
			recorder.record(key, outcome)
		}
		leaving.signal(t, syscall.SIGTERM)
		assert.Equal(t, leaving.waitExit(t), 0)
		assert.Equal(t, len(leaving.events("KeyHandOverFail")), 0)
		assert.Equal(t, len(leaving.events("KeysHandedOver")), 1)
		eventually(t, "the keys are imported by "+string(successor.id), func() bool { return len(successor.events("KeysImported")) > 0 })
		for _, e := range s.instances[i+1:] {
			for key, first := range outcomes {
				eventually(t, fmt.Sprintf("%s returns the first outcome of %s", e.id, key), func() bool {
					repeated := s.postRecord(e.callerAddress, key, 5*time.Second)
					assert.Assert(t, repeated.ran == first.ran || repeated.ran == model.RanUnknown || repeated.ran == "",
						"%s: outcome %v, first outcome %v", key, repeated, first)
					return repeated == first
				})
			}
		}
	}
	runs := s.countRuns(t)
	for key, outcomes := range recorder.outcomes {
		assert.Check(t, runs[key] <= 1, "key %s ran %d times", key, runs[key])
		assert.Check(t, runs[key] == 1 || outcomes[0].ran != model.RanYes, "key %s was answered but didn't run", key)
	}
}

// callWithOwnKeys sends calls to an instance with keys that it owns, and returns their outcomes: most calls ran, and for
// some it is unknown because the responses of the plain services were lost.
func (s *site) callWithOwnKeys(t *testing.T, e *entry, round int) map[string]callOutcome {
	t.Helper()
	answer, err := s.entryClient.Addresses(t.Context(), e.callerAddress, "caller", dataCentres[0])
	assert.NilError(t, err)
	own := slices.IndexFunc(answer.Addresses, func(address model.EntryAddress) bool { return address.Instance == e.id })
	assert.Assert(t, own >= 0, "the address response of %s doesn't list the instance itself: %v", e.id, answer.Addresses)
	outcomes, counts := map[string]callOutcome{}, map[model.Ran]int{}
	for n := range 12 {
		if n == 8 {
			for _, endpoint := range s.serviceEndpoints {
				s.setFaults(t, endpoint.address, jujubeservice.Faults{LoseAnswers: 2})
			}
		}
		key := fmt.Sprintf("%s~%d-%d", answer.Addresses[own].KeyPrefix, round, n)
		outcomes[key] = s.postRecord(e.callerAddress, key, conditionTimeout)
		counts[outcomes[key].ran]++
	}
	for _, endpoint := range s.serviceEndpoints {
		s.setFaults(t, endpoint.address, jujubeservice.Faults{})
	}
	assert.Assert(t, counts[model.RanYes] >= 8 && counts[model.RanUnknown] > 0, "%v", outcomes)
	return outcomes
}

// countRuns returns how often the plain services ran each key.
func (s *site) countRuns(t *testing.T) map[string]int {
	t.Helper()
	runs := map[string]int{}
	for _, endpoint := range s.serviceEndpoints {
		var calls jujubeservice.Calls
		assert.NilError(t, s.callJSON(http.MethodGet, "http://"+endpoint.address+"/calls", nil, &calls))
		for key, count := range calls.ByKey {
			runs[key] += count
		}
	}
	return runs
}

// TestBuildsReplayTraces guards against a build whose decisions differ from the expectations of the traces, or that can't
// read the traces.
func TestBuildsReplayTraces(t *testing.T) {
	other := requireOtherBuild(t)
	directories := []string{filepath.Join("..", "..", "..", "core", "services", "jujubetrace", "testdata")}
	if *otherTraces != "" {
		directories = append(directories, *otherTraces)
	}
	for _, directory := range directories {
		files, err := filepath.Glob(filepath.Join(directory, "*.jsonl"))
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, "no traces in %s", directory)
		for _, build := range []string{programDirectory, other} {
			output, code := runCtlFrom(t, build, append([]string{"replay"}, files...)...)
			assert.Check(t, code == 0, "%s: exit code %d\n%s", build, code, output)
		}
	}
}
