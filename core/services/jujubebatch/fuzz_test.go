package jujubebatch_test

import (
	"testing"

	"jujubepier.example/core/services/jujubebatch"
)

// FuzzEntries decodes arbitrary bytes as log records. Invalid ones are skipped, and valid ones may be applied in any order.
func FuzzEntries(f *testing.F) {
	codec := jujubebatch.NewCodec()
	for _, entry := range []jujubebatch.Entry{
		{Submission: newScoredSubmission("s", 2, "a")},
		{Result: &jujubebatch.Result{Submission: "s", Item: "s-0", State: jujubebatch.Completed}},
		{Unscored: &jujubebatch.Result{Submission: "s", Item: "s-1", Data: jujubebatch.Pointer{Offset: 3, Count: 1}}},
		{Progress: &jujubebatch.Progress{Submission: "s", Item: "s-1", Count: 3}},
		{End: &jujubebatch.End{Submission: "s"}},
	} {
		records, err := codec.EncodeEntry(entry, 1<<16)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(records[0], records[0])
	}
	f.Add([]byte("L"), []byte("M{"))
	f.Add([]byte("F{"), []byte("L}"))
	f.Add([]byte("WZ\x00"), []byte(`W{"Submission":{"Items":[{}]}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		ts := newScoringTestScheduler(t, 1, 1)
		ts.accept(newScoredSubmission("s", 2, "a"))
		var decoder jujubebatch.Decoder
		for _, record := range [][]byte{first, second} {
			if entry, err := decoder.Add(codec, record); err == nil && entry != nil {
				ts.Apply(ts.now, entry)
				ts.Tick(ts.now)
			}
		}
		ts.ReadResults("s", 0, 1000)
	})
}
