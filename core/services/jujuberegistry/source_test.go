package jujuberegistry_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujuberegistry"
)

// TestSource groups the 372 instances of the target: an eighth of them reads the log, no source has more than seven others,
// and all are in the data centre of their source. An instance that isn't ready reads itself and is nobody's source. Load
// pattern: hundreds of instances that each read all heartbeats exceed the store's reading rate.
func TestSource(t *testing.T) {
	var live []jujuberegistry.Beat
	for i := range 372 {
		live = append(live, jujuberegistry.Beat{
			Instance: model.InstanceID(fmt.Sprintf("i%03d", i)), DataCentre: model.DataCentre(fmt.Sprint("dc", i%4)), State: jujuberegistry.Ready,
		})
	}
	live[0].State = jujuberegistry.Leaving
	others := map[model.InstanceID]int{}
	readers := 0
	for _, one := range live {
		source, ok := jujuberegistry.Source(live, one.Instance)
		if !ok {
			assert.Equal(t, source.Instance, model.InstanceID(""))
			readers++
			continue
		}
		assert.Equal(t, source.DataCentre, one.DataCentre)
		assert.Equal(t, source.State, jujuberegistry.Ready)
		_, second := jujuberegistry.Source(live, source.Instance)
		assert.Assert(t, !second, "%s has a source itself", source.Instance)
		others[source.Instance]++
	}
	assert.Assert(t, readers <= 372/jujuberegistry.SourceGroup+4+1, "%d read themselves", readers)
	for id, count := range others {
		assert.Assert(t, count < jujuberegistry.SourceGroup, "%s has %d others", id, count)
	}
	_, ok := jujuberegistry.Source(live, live[0].Instance)
	assert.Assert(t, !ok)
	_, ok = jujuberegistry.Source(live, "unknown")
	assert.Assert(t, !ok)
}
