package jujubebatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubepier.example/core/services/jujubebatch"
)

// gapReader is an instance that reads the records of a partition from an offset on.
type gapReader struct {
	*testScheduler
	read jujubebatch.Span
}

func newGapReader(t *testing.T, begin int64) *gapReader {
	return &gapReader{newTestScheduler(t, 2), jujubebatch.Span{Begin: begin, End: begin}}
}

func (r *gapReader) readUntil(log []jujubebatch.Entry, end int64) {
	for ; r.read.End < end; r.read.End++ {
		entry := log[r.read.End]
		r.Apply(r.now, &entry)
	}
}

func everySubmission(jujubebatch.SubmissionID) bool { return true }

// ask asks a witness about the submissions in doubt, and checks what it may tell.
func (r *gapReader) ask(t *rapid.T, witness *gapReader, missing jujubebatch.Span) {
	for _, question := range r.Questions(everySubmission) {
		status := witness.Answer(question)
		isResolved := r.HandleAnswer(r.now, status, witness.read)
		hasRead := witness.read.Begin <= missing.Begin && witness.read.End >= missing.End
		if isResolved && !hasRead {
			t.Fatalf("%s is resolved by an instance that has read %v of %v", question.Submission, witness.read, missing)
		}
		if !isResolved && hasRead && (status.Known || witness.read.Begin == 0) {
			t.Fatalf("%s isn't resolved by an instance that has read %v of %v", question.Submission, witness.read, missing)
		}
	}
}

// TestExpiredRecords guards against items that start after the end of their submission because its record expired unread, and against
// results that are listed in another order than by the instances that have read all records.
func TestExpiredRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var log []jujubebatch.Entry
		ends := map[jujubebatch.SubmissionID]int64{}
		for i := range 2 {
			log = append(log, jujubebatch.Entry{Submission: newSubmission(fmt.Sprintf("s%d", i), 8, "a")})
		}
		for range rapid.IntRange(2, 30).Draw(rt, "records") {
			id := fmt.Sprintf("s%d", rapid.IntRange(0, 1).Draw(rt, "submission"))
			if rapid.IntRange(0, 5).Draw(rt, "kind") == 0 {
				if _, ok := ends[jujubebatch.SubmissionID(id)]; !ok {
					ends[jujubebatch.SubmissionID(id)] = int64(len(log))
				}
				log = append(log, jujubebatch.Entry{End: &jujubebatch.End{Submission: jujubebatch.SubmissionID(id)}})
				continue
			}
			log = append(log, jujubebatch.Entry{Result: &jujubebatch.Result{
				Submission: jujubebatch.SubmissionID(id), Item: jujubebatch.ItemID(fmt.Sprintf("%s-%d", id, rapid.IntRange(0, 7).Draw(rt, "item"))),
				State: jujubebatch.Completed, Events: len(log),
			}})
		}
		end := int64(len(log))
		offset := func(name string, from int64) int64 { return rapid.Int64Range(from, end).Draw(rt, name) }
		missing := jujubebatch.Span{Begin: offset("missing", 2)}
		missing.End = offset("retained", missing.Begin)
		reader := newGapReader(t, 0)
		tick := func() {
			reader.now = reader.now.Add(50 * time.Millisecond)
			for _, started := range tick[jujubebatch.StartRun](reader.testScheduler) {
				if endedAt, ok := ends[started.Submission]; ok && endedAt < reader.read.End {
					rt.Fatalf("an item of %s starts at %d, after its end at %d", started.Submission, reader.read.End, endedAt)
				}
			}
		}
		reader.readUntil(log, missing.Begin)
		tick()
		reader.RecordGap(reader.read, missing, everySubmission)
		reader.read.End = missing.End
		tick()
		for range rapid.IntRange(0, 3).Draw(rt, "witnesses") {
			reader.readUntil(log, offset("read", reader.read.End))
			tick()
			witness := newGapReader(t, rapid.SampledFrom([]int64{0, 0, 1, 2, missing.Begin, missing.End}).Draw(rt, "first"))
			witness.readUntil(log, offset("witness", witness.read.Begin))
			reader.ask(rt, witness, missing)
			tick()
		}
		reader.readUntil(log, end)
		witness := newGapReader(t, 0)
		witness.readUntil(log, end)
		reader.ask(rt, witness, missing)
		tick()
		for _, id := range []jujubebatch.SubmissionID{"s0", "s1"} {
			want, _ := witness.ReadResults(id, 0, 1<<20)
			got, _ := reader.ReadResults(id, 0, 1<<20)
			assert.DeepEqual(rt, got, want)
		}
	})
}

// TestDeletedEndCounts guards against items that start after an end which only the instance that acknowledged it knows, as it has missed
// records itself and has deleted the submission since.
func TestDeletedEndCounts(t *testing.T) {
	log := []jujubebatch.Entry{{Submission: newSubmission("s", 4, "a")}}
	missing := jujubebatch.Span{Begin: 1, End: 9}
	reader, witness := newGapReader(t, 0), newGapReader(t, 0)
	for _, r := range []*gapReader{reader, witness} {
		r.readUntil(log, 1)
		r.RecordGap(r.read, missing, everySubmission)
		r.read = jujubebatch.Span{Begin: missing.End, End: missing.End}
	}
	witness.Apply(witness.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: "s"}})
	witness.now = witness.now.Add(140 * time.Second)
	tick[jujubebatch.StartRun](witness.testScheduler)
	known, _ := witness.SubmissionStatus("s")
	assert.Assert(t, !known)
	for _, question := range reader.Questions(everySubmission) {
		reader.HandleAnswer(reader.now, witness.Answer(question), witness.read)
	}
	reader.AbandonDoubts(everySubmission)
	assert.Equal(t, len(tick[jujubebatch.StartRun](reader.testScheduler)), 0)
}
