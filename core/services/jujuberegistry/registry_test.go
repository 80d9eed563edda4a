package jujuberegistry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujuberegistry"
)

// TestIsListed guards against a list of live instances that is kept although it has changed: whatever happens, one that is reported as
// current is what another call returns.
func TestIsListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		r := jujuberegistry.New(jujuberegistry.DefaultSettings())
		live := r.Live(now)
		wasListed := 0
		for i := range 100 {
			id := model.InstanceID(fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "id")))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				r.Apply(now, jujuberegistry.Heartbeat{Instance: id, Incarnation: 1, Number: int64(i + 1)})
			case 1:
				r.RecordRead(now)
			case 2:
				r.Remove(id)
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			}
			isListed, before := r.IsListed(now), live
			live = r.Live(now)
			assert.Assert(t, r.IsListed(now))
			if isListed {
				wasListed++
				assert.DeepEqual(t, live, before)
			}
			for j := 1; j < len(live); j++ {
				assert.Assert(t, live[j-1].Instance < live[j].Instance)
			}
		}
		assert.Assert(t, wasListed > 0)
	})
}

// BenchmarkLive measures the list of live instances in a large fleet.
func BenchmarkLive(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	r := jujuberegistry.New(jujuberegistry.DefaultSettings())
	for i := range 86 {
		r.Apply(now, jujuberegistry.Heartbeat{Instance: model.InstanceID(fmt.Sprint("i", i)), Incarnation: 1, Number: 1})
	}
	r.RecordRead(now)
	b.ReportAllocs()
	for b.Loop() {
		r.Live(now)
	}
}
