package jujubeprocess_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/services/jujubedocument"
	"jujubepier.example/standin/modules/jujubefault"
	"jujubepier.example/standin/services/jujubelog"
)

// Exit codes of jujubectl publish, as listed in docs/ctl.md.
const (
	exitCodeConflict    = 4
	exitCodeUnavailable = 6
)

// configChanges returns the records of the configuration stream that hold a change, keyed by the ID of the change.
func (s *site) configChanges(t *testing.T) map[string][]model.LogRecord {
	t.Helper()
	client, closeClient := jujubeclient.NewLogClient(s.logAddress, 5*time.Second)
	defer closeClient()
	read, err := client.Read(t.Context(), model.StreamConfig, 0, 1000, 0)
	assert.NilError(t, err)
	changes := map[string][]model.LogRecord{}
	for _, record := range read.Records {
		_, id, _ := strings.Cut(string(record.Body), `"ID":"`)
		id, _, _ = strings.Cut(id, `"`)
		changes[id] = append(changes[id], record)
	}
	return changes
}

// TestOperatorsRace guards against two concurrent changes that are both accepted on the same base revision, and against a
// revision that an instance applies late or never (R9). The delay is measured from the log's timestamp of the record to
// each instance's own timestamp of applying it, so that a pause of the test process doesn't count.
func TestOperatorsRace(t *testing.T) {
	s := startSite(t, siteConfig{entries: 9})
	const inForceWithin = 4 * time.Second
	for round := 1; round <= 3; round++ {
		ids := []string{fmt.Sprintf("left-%d", round), fmt.Sprintf("right-%d", round)}
		codes, outputs := make([]int, len(ids)), make([]string, len(ids))
		var published sync.WaitGroup
		for i, id := range ids {
			file := s.writeDocument(t, id)
			published.Go(func() {
				outputs[i], codes[i] = s.publish(t, file, "--id", id, "--base", fmt.Sprint(round))
			})
		}
		published.Wait()
		winner := 0
		if codes[0] != 0 {
			winner = 1
		}
		assert.Equal(t, codes[winner], 0, "%v", outputs)
		assert.Equal(t, codes[1-winner], exitCodeConflict, "%v", outputs)
		record := s.configChanges(t)[ids[winner]][0]
		slowest := time.Duration(0)
		for _, e := range s.instances {
			var config model.ConfigStatus
			eventually(t, "the revision is in force on "+string(e.id), func() bool {
				status, ok := s.status(e)
				config = status.Config
				return ok && config.Revision == int64(round)+1
			})
			slowest = max(slowest, config.InForceAt.Sub(record.At))
			assert.Equal(t, config.Digest, jujubedocument.Digest(readFile(t, s.writeDocument(t, ids[winner]))))
		}
		t.Logf("revision %d is in force on all instances after %s", round+1, slowest)
		assert.Check(t, slowest <= inForceWithin)
	}
}

// TestLogOutage guards against a dependency of the service on the log: steps and weight rollouts that wait for it, an
// instance that can't start during an outage, and a change that is lost or applied twice because the response to its
// append was lost.
func TestLogOutage(t *testing.T) {
	s := startSite(t, vatuwaqaConfig("--tokens-per-second", "200"))
	const outage = 15 * time.Second
	wait := startTrainer(t, s.trainerSettings(3))
	s.waitActiveOwner(t, 0)
	s.setFaults(t, s.logAddress, jujubelog.Faults{Outage: jujubefault.OutageUnavailable})
	outageStart := time.Now()
	newEntry := s.startEntry(t, len(s.instances))
	eventually(t, "a new instance is ready without the log", func() bool { return newEntry.isReady(s) })
	assert.Assert(t, len(newEntry.events("ConfigFetched")) > 0, "the configuration wasn't fetched from a peer")
	status, _ := s.status(newEntry)
	assert.Equal(t, status.Config.Revision, int64(1))
	file := s.writeDocument(t, "outage")
	publishArguments := []string{"--log", s.logAddress, "--timeout", "1s", "--deadline", "2s", "publish", "--id", "during", file}
	output, code := runCtl(t, publishArguments...)
	assert.Equal(t, code, exitCodeUnavailable, output)
	wait()
	time.Sleep(time.Until(outageStart.Add(outage)))
	// The log's next response is lost: the publisher must find out from the stream that its append took effect.
	s.setFaults(t, s.logAddress, jujubelog.Faults{})
	var logAvailable bool
	eventually(t, "the instances read the log again", func() bool {
		logAvailable = true
		for _, e := range s.instances {
			status, ok := s.status(e)
			logAvailable = logAvailable && ok && status.LogAvailable
		}
		return logAvailable
	})
	s.setFaults(t, s.logAddress, jujubelog.Faults{LoseAnswers: 1})
	output, code = s.publish(t, file, "--id", "during")
	assert.Equal(t, code, 0, output)
	assert.Assert(t, strings.Contains(output, "accepted as revision 2"), output)
	output, code = s.publish(t, file, "--id", "during")
	assert.Equal(t, code, 0, output)
	assert.Equal(t, len(s.configChanges(t)["during"]), 1, "the log doesn't contain the change exactly once")
	for _, e := range s.instances {
		eventually(t, "the revision is in force on "+string(e.id), func() bool {
			status, ok := s.status(e)
			return ok && status.Config.Revision == 2
		})
	}
}
