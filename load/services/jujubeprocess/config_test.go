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

// Exit codes of jujubectl publish, as docs/ctl.md lists them.
const (
	exitConflict    = 4
	exitUnavailable = 6
)

// changes returns the records of the configuration stream that hold a change, by the change's id.
func (s *site) changes(t *testing.T) map[string][]model.LogRecord {
	t.Helper()
	logs, closeLogs := jujubeclient.NewLogClient(s.log, 5*time.Second)
	defer closeLogs()
	read, err := logs.Read(t.Context(), model.StreamConfig, 0, 1000, 0)
	assert.NilError(t, err)
	found := map[string][]model.LogRecord{}
	for _, record := range read.Records {
		_, id, _ := strings.Cut(string(record.Body), `"ID":"`)
		id, _, _ = strings.Cut(id, `"`)
		found[id] = append(found[id], record)
	}
	return found
}

// TestOperatorsRace guards against two changes that are both accepted on the same base, and against a revision that
// reaches some instance late or never (R9). The delay is from the log's time of the record to each instance's own time of
// putting it in force, so that a pause of the test itself doesn't count.
func TestOperatorsRace(t *testing.T) {
	s := startSite(t, scale{entries: 9})
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
		assert.Equal(t, codes[1-winner], exitConflict, "%v", outputs)
		record := s.changes(t)[ids[winner]][0]
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

// TestLogOutage guards against a service that stops with the log: steps and weight rollouts that wait for it, an instance
// that can't start without it, and a change that is lost or made twice because its answer was lost.
func TestLogOutage(t *testing.T) {
	s := startSite(t, vatuwaqa("--tokens-per-second", "200"))
	const outage = 15 * time.Second
	wait := trainMeanwhile(t, s.trainer(3))
	s.ownerInWork(t, 0)
	s.setFaults(t, s.log, jujubelog.Faults{Outage: jujubefault.OutageUnavailable})
	began := time.Now()
	late := s.startEntry(t, len(s.instances))
	eventually(t, "a new instance is ready without the log", func() bool { return late.isReady(s) })
	assert.Assert(t, len(late.events("ConfigFetched")) > 0, "the configuration didn't come from a peer")
	status, _ := s.status(late)
	assert.Equal(t, status.Config.Revision, int64(1))
	file := s.writeDocument(t, "outage")
	short := []string{"--log", s.log, "--timeout", "1s", "--deadline", "2s", "publish", "--id", "during", file}
	output, code := ctl(t, short...)
	assert.Equal(t, code, exitUnavailable, output)
	wait()
	time.Sleep(time.Until(began.Add(outage)))
	// The log's next answer is lost: the publisher must learn from the stream that its append took effect.
	s.setFaults(t, s.log, jujubelog.Faults{})
	var logAvailable bool
	eventually(t, "the instances read the log again", func() bool {
		logAvailable = true
		for _, e := range s.instances {
			status, ok := s.status(e)
			logAvailable = logAvailable && ok && status.LogAvailable
		}
		return logAvailable
	})
	s.setFaults(t, s.log, jujubelog.Faults{LoseAnswers: 1})
	output, code = s.publish(t, file, "--id", "during")
	assert.Equal(t, code, 0, output)
	assert.Assert(t, strings.Contains(output, "accepted as revision 2"), output)
	output, code = s.publish(t, file, "--id", "during")
	assert.Equal(t, code, 0, output)
	assert.Equal(t, len(s.changes(t)["during"]), 1, "the change isn't on the log once")
	for _, e := range s.instances {
		eventually(t, "the revision is in force on "+string(e.id), func() bool {
			status, ok := s.status(e)
			return ok && status.Config.Revision == 2
		})
	}
}
