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
		"build, such as an earlier version, that has to work together with this one; those tests are skipped when empty")
	otherTraces = flag.String("process.traces", "", "directory with the traces of the other build's source, to be replayed too")
)

// needOther returns the directory of the other build's programs, and skips the test when there is none.
func needOther(t *testing.T) string {
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

// build returns the directory of the programs that the entry instance or endpoint of an index starts from: with another
// build, every second one is of it.
func (size scale) build(index int) string {
	if size.other == "" || index%2 == 0 {
		return programs
	}
	return size.other
}

// platformBuild returns the directory of the programs that the log, the list and the store start from.
func (size scale) platformBuild() string {
	if size.otherPlatform {
		return size.other
	}
	return programs
}

// TestBuildsShareSteps guards against a version that can't run beside an earlier one: members that don't see each other,
// configuration or drains that reach the instances of one build only, and steps that lose groups or labels.
func TestBuildsShareSteps(t *testing.T) {
	other := needOther(t)
	for _, otherPlatform := range []bool{false, true} {
		t.Run(fmt.Sprintf("other platform %t", otherPlatform), func(t *testing.T) {
			size := vatuwaqa("--tokens-per-second", "400")
			size.other, size.otherPlatform = other, otherPlatform
			s := startSite(t, size)
			runTrainer(t, s.trainer(3))
			for i := range 2 {
				parts, routes := s.countEvents(i, "PartAccepted"), s.countEvents(i, "RouteDispatched")
				t.Logf("the instances of build %d had %d parts of steps and sent %d requests to endpoints", i, parts, routes)
				assert.Assert(t, parts > 0 && routes > 0)
			}
			drained := s.engineRows[0].id
			for i, from := range []string{programs, other} {
				// Both builds of jujubectl publish, and drain through an instance of the other build.
				s.publishFrom(t, from, i+2)
				through := []string{"--operator", s.instances[1-i].operate}
				s.orderFrom(t, from, through, "drain", drained, model.EndpointLeaving)
				s.orderFrom(t, from, through, "undrain", drained, model.EndpointServing)
				output, code := ctlFrom(t, from, append(s.operators(), "--json", "status")...)
				assert.Equal(t, code, 0, output)
			}
		})
	}
}

// TestBuildsTakeOverParts guards against a step that stalls, or a group that comes twice or never, when the owner of a part
// dies and the only instance that can take over is of the other build (R3).
func TestBuildsTakeOverParts(t *testing.T) {
	other := needOther(t)
	for i := range 2 {
		t.Run(fmt.Sprintf("owner of build %d", i), func(t *testing.T) {
			size := vatuwaqa("--tokens-per-second", "100")
			size.entries, size.other = 2, other
			s := startSite(t, size)
			wait := trainMeanwhile(t, s.trainer(1))
			victim := s.instances[i]
			var part model.PartStatus
			eventually(t, string(victim.id)+" owns a part in work", func() bool {
				status, _ := s.status(victim)
				at := slices.IndexFunc(status.Parts, func(row model.PartStatus) bool {
					return row.Delivered > 0 && row.Delivered < row.Groups && row.Running > 0
				})
				if at >= 0 {
					part = status.Parts[at]
				}
				return at >= 0
			})
			victim.kill(t)
			wait()
			assert.Assert(t, s.isTakenOver(victim, part.Key), "part %s of %s wasn't in work at the end of its owner", part.Key, victim.id)
		})
	}
}

// countEvents counts an event in the logs of every second instance, which are those of one build.
func (s *site) countEvents(first int, name string) int {
	count := 0
	for i := first; i < len(s.instances); i += 2 {
		count += len(s.instances[i].events(name))
	}
	return count
}

// publishFrom publishes a document with one build's jujubectl and waits until all instances have it in force.
func (s *site) publishFrom(t *testing.T, directory string, revision int) {
	t.Helper()
	file := s.writeDocument(t, fmt.Sprintf("revision-%d", revision))
	output, code := ctlFrom(t, directory, "--log", s.log, "--timeout", "2s", "--author", "test", "publish", file)
	assert.Equal(t, code, 0, output)
	for _, e := range s.instances {
		if !e.hasEnded() {
			s.waitRevision(t, e, revision, jujubedocument.Digest(readFile(t, file)))
		}
	}
}

// waitRevision waits until an instance has a revision in force, and checks its document.
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

// orderFrom drains or undrains an endpoint with one build's jujubectl and waits until all instances know.
func (s *site) orderFrom(t *testing.T, directory string, through []string, command string, id model.EndpointID, state model.EndpointState) {
	t.Helper()
	output, code := ctlFrom(t, directory, append(through, command, string(id))...)
	assert.Equal(t, code, 0, output)
	for _, e := range s.instances {
		eventually(t, fmt.Sprintf("%s knows of the %s", e.id, command), func() bool {
			status, ok := s.status(e)
			return ok && slices.ContainsFunc(status.Endpoints, func(row model.EndpointStatus) bool {
				return row.Endpoint.ID == id && row.State == state
			})
		})
	}
}

// TestBuildsReadCheckpoints guards against a checkpoint of one build that an instance of the other can't start from, both
// ways: the log has forgotten the records before it, and there is no peer to ask.
func TestBuildsReadCheckpoints(t *testing.T) {
	// The log keeps more records than there are from one checkpoint to the next.
	s := startSite(t, scale{entries: 1, other: needOther(t), logFlags: []string{"--retain-records", "70"}})
	revision, last := 1, int64(0)
	for round := range 2 {
		author := s.instances[round]
		for read, made := s.readConfig(t); read.First <= last || made <= last; read, made = s.readConfig(t) {
			if read.First+int64(len(read.Records))-made > jujubeconfig.CheckpointRecords {
				eventually(t, "a checkpoint is on the log", func() bool {
					_, next := s.readConfig(t)
					return next > made
				})
				continue
			}
			revision++
			s.publishFrom(t, s.build(revision), revision)
		}
		_, last = s.readConfig(t)
		author.signal(t, syscall.SIGTERM)
		assert.Equal(t, author.waitExit(t), 0)
		late := s.startEntry(t, round+1)
		digest := jujubedocument.Digest(readFile(t, s.writeDocument(t, fmt.Sprintf("revision-%d", revision))))
		s.waitRevision(t, late, revision, digest)
		assert.Equal(t, len(late.events("ConfigFetched")), 0, "the configuration came from a peer")
		assert.Equal(t, len(late.events("ConfigUnusable")), 0)
		t.Logf("%s started from the checkpoint at offset %d of %s, revision %d", late.id, last, author.id, revision)
		// Only the first of the members makes checkpoints, and one that has left is a member for some seconds more.
		eventually(t, string(late.id)+" is the only member", func() bool {
			status, ok := s.status(late)
			return ok && len(status.Members) == 1
		})
	}
}

// readConfig returns what the log retains of the configuration stream, and the offset of the newest checkpoint, -1 when
// there is none.
func (s *site) readConfig(t *testing.T) (read model.LogRead, made int64) {
	t.Helper()
	logs, closeLogs := jujubeclient.NewLogClient(s.log, 5*time.Second)
	defer closeLogs()
	read, err := logs.Read(t.Context(), model.StreamConfig, 0, 1000, 0)
	assert.NilError(t, err)
	made = -1
	for _, record := range read.Records {
		var body model.ConfigRecord
		assert.NilError(t, json.Unmarshal(record.Body, &body))
		if body.Checkpoint != nil {
			made = record.Offset
		}
	}
	return read, made
}

// TestBuildsHandOverKeys guards against keys of an instance that shuts down which a successor of another build, or an
// instance that forwards to it, answers otherwise than before or runs again, both ways (R6, R8).
func TestBuildsHandOverKeys(t *testing.T) {
	s := startSite(t, scale{services: 2, entries: 4, other: needOther(t)})
	book := &ledger{outcomes: map[string][]outcome{}}
	// The first instance of those that are alive takes the keys, and the builds take turns.
	for i := range 2 {
		leaving, successor := s.instances[i], s.instances[i+1]
		told := s.callKeys(t, leaving, i)
		for key, one := range told {
			book.record(key, one)
		}
		leaving.signal(t, syscall.SIGTERM)
		assert.Equal(t, leaving.waitExit(t), 0)
		assert.Equal(t, len(leaving.events("KeyHandOverFail")), 0)
		assert.Equal(t, len(leaving.events("KeysHandedOver")), 1)
		eventually(t, "the keys are taken over by "+string(successor.id), func() bool { return len(successor.events("KeysImported")) > 0 })
		for _, e := range s.instances[i+1:] {
			for key, first := range told {
				eventually(t, fmt.Sprintf("%s answers for %s as before", e.id, key), func() bool {
					again := s.post(e.callers, key, 5*time.Second)
					assert.Assert(t, again.ran == first.ran || again.ran == model.RanUnknown || again.ran == "",
						"%s: %v, and %v before", key, again, first)
					return again == first
				})
			}
		}
	}
	runs := s.countRuns(t)
	for key, outcomes := range book.outcomes {
		assert.Check(t, runs[key] <= 1, "key %s ran %d times", key, runs[key])
		assert.Check(t, runs[key] == 1 || outcomes[0].ran != model.RanYes, "key %s is answered and didn't run", key)
	}
}

// callKeys sends calls with an instance's own keys to it and returns what they were told: most ran, and of some it's
// unknown since the plain servers' answers were lost.
func (s *site) callKeys(t *testing.T, e *entry, round int) map[string]outcome {
	t.Helper()
	answer, err := s.entryClient.Addresses(t.Context(), e.callers, "caller", dataCentres[0])
	assert.NilError(t, err)
	own := slices.IndexFunc(answer.Addresses, func(row model.EntryAddress) bool { return row.Instance == e.id })
	assert.Assert(t, own >= 0, "%s doesn't name itself: %v", e.id, answer.Addresses)
	told, kinds := map[string]outcome{}, map[model.Ran]int{}
	for n := range 12 {
		if n == 8 {
			for _, row := range s.services {
				s.setFaults(t, row.host, jujubeservice.Faults{LoseAnswers: 2})
			}
		}
		key := fmt.Sprintf("%s~%d-%d", answer.Addresses[own].KeyPrefix, round, n)
		told[key] = s.post(e.callers, key, conditionLimit)
		kinds[told[key].ran]++
	}
	for _, row := range s.services {
		s.setFaults(t, row.host, jujubeservice.Faults{})
	}
	assert.Assert(t, kinds[model.RanYes] >= 8 && kinds[model.RanUnknown] > 0, "%v", told)
	return told
}

// countRuns returns how often the plain servers ran each key.
func (s *site) countRuns(t *testing.T) map[string]int {
	t.Helper()
	runs := map[string]int{}
	for _, row := range s.services {
		var calls jujubeservice.Calls
		assert.NilError(t, s.call(http.MethodGet, "http://"+row.host+"/calls", nil, &calls))
		for key, count := range calls.ByKey {
			runs[key] += count
		}
	}
	return runs
}

// TestBuildsReplayTraces guards against a build that decides otherwise than the traces require, or can't read them.
func TestBuildsReplayTraces(t *testing.T) {
	other := needOther(t)
	directories := []string{filepath.Join("..", "..", "..", "core", "services", "jujubetrace", "testdata")}
	if *otherTraces != "" {
		directories = append(directories, *otherTraces)
	}
	for _, directory := range directories {
		files, err := filepath.Glob(filepath.Join(directory, "*.jsonl"))
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, "no traces in %s", directory)
		for _, from := range []string{programs, other} {
			output, code := ctlFrom(t, from, append([]string{"replay"}, files...)...)
			assert.Check(t, code == 0, "%s: exit code %d\n%s", from, code, output)
		}
	}
}
