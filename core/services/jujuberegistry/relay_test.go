package jujuberegistry_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujuberegistry"
)

// TestRelayOf guards against too many readers of the log: hundreds of instances that each read all heartbeats exceed the
// store's read rate. Of the 372 instances of the target size an eighth reads the log, a relay serves at most seven others,
// and all of them are in its data centre. An instance that isn't ready reads the log itself and is no relay.
func TestRelayOf(t *testing.T) {
	var live []jujuberegistry.Heartbeat
	for i := range 372 {
		live = append(live, jujuberegistry.Heartbeat{
			Instance: model.InstanceID(fmt.Sprintf("i%03d", i)), DataCentre: model.DataCentre(fmt.Sprint("dc", i%4)), State: jujuberegistry.Ready,
		})
	}
	live[0].State = jujuberegistry.Leaving
	relayed := map[model.InstanceID]int{}
	readers := 0
	for _, instance := range live {
		relay, ok := jujuberegistry.RelayOf(live, instance.Instance)
		if !ok {
			assert.Equal(t, relay.Instance, model.InstanceID(""))
			readers++
			continue
		}
		assert.Equal(t, relay.DataCentre, instance.DataCentre)
		assert.Equal(t, relay.State, jujuberegistry.Ready)
		_, hasRelay := jujuberegistry.RelayOf(live, relay.Instance)
		assert.Assert(t, !hasRelay, "%s has a relay itself", relay.Instance)
		relayed[relay.Instance]++
	}
	assert.Assert(t, readers <= 372/jujuberegistry.RelayGroupSize+4+1, "%d read the log themselves", readers)
	for id, count := range relayed {
		assert.Assert(t, count < jujuberegistry.RelayGroupSize, "%s serves %d others", id, count)
	}
	_, ok := jujuberegistry.RelayOf(live, live[0].Instance)
	assert.Assert(t, !ok)
	_, ok = jujuberegistry.RelayOf(live, "unknown")
	assert.Assert(t, !ok)
}
