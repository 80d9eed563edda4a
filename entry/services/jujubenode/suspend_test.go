package jujubenode_test

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubeorganisation"
	"jujubepier.example/entry/services/jujubenode"
)

// testRevokeTime is the bound of instances in tests.
const testRevokeTime = 4 * time.Second

// organisations are those of clusters with keys: one for each letter, whose key is the letter.
func organisations(letters string) *jujubeorganisation.Directory {
	var list []jujubeorganisation.Organisation
	for _, letter := range strings.Split(letters, "") {
		list = append(list, jujubeorganisation.Organisation{Name: model.OrganisationName(letter), Keys: []jujubeorganisation.Digest{jujubeorganisation.NewDigest(letter)}})
	}
	directory, err := jujubeorganisation.NewDirectory(list)
	if err != nil {
		panic(err)
	}
	return directory
}

// authenticate returns the organisation of a request with a key.
func authenticate(t *testing.T, node *jujubenode.Node, key string) (model.OrganisationName, error) {
	t.Helper()
	access, err := node.Authenticate(t.Context(), jujubenode.Credentials{Authorization: []string{"Bearer " + key}})
	return access.Organisation, err
}

// TestSuspendedMachine guards against an instance that takes its view for a recent one when its machine resumes: a key that was revoked
// meanwhile is accepted, one that was added is denied, and a route that was added is denied.
func TestSuspendedMachine(t *testing.T) {
	cluster := newTestCluster(t)
	clock := newTestClock()
	cluster.bootClock, cluster.organisations = clock.now, organisations("ab")
	node, store, _ := cluster.start("a")
	_, err := authenticate(t, node, "a")
	assert.NilError(t, err)
	_, err = authenticate(t, node, "c")
	assert.Assert(t, errors.As(err, new(jujubenode.ErrUnauthenticated)), "%v", err)
	store.setHold(loseResponse) // no read is completed after the machine has resumed
	time.Sleep(jujubeorganisation.MaxDenialAge / 4)
	clock.suspend(time.Minute)
	for _, key := range []string{"a", "c"} {
		_, err = authenticate(t, node, key)
		refused, ok := jujubeerror.IsErrRefused(err)
		assert.Assert(t, ok && refused.Ran == model.RanNo && refused.RetryAfter > 0, "%s: %v", key, err)
	}
	_, denied := hasRoute(t.Context(), node)
	assert.Assert(t, !denied)
	store.setHold(nil)
	waitFor(t, "the key is accepted", func() bool { _, err := authenticate(t, node, "a"); return err == nil })
	clock.suspend(time.Minute)
	_, err = authenticate(t, node, "a")
	assert.NilError(t, err, "the first request after the suspension waits for a read")
}

// waitForRelay waits until an instance makes no reads of its own.
func waitForRelay(t *testing.T, store *blockableStore) {
	t.Helper()
	waitFor(t, "the instance reads through the relay", func() bool {
		before := store.reads.Load()
		time.Sleep(time.Second)
		return store.reads.Load() == before
	})
}

// TestViewOfASuspendedRelay guards against an instance that takes what a relay passes on for recent, although the relay's machine was
// suspended after it had read that.
func TestViewOfASuspendedRelay(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.directReaders, cluster.sameDataCentre, cluster.organisations = 1, true, organisations("a")
	clock := newTestClock()
	cluster.bootClock = clock.now // a suspension of both machines
	_, relayStore, _ := cluster.start("i0")
	node, store, _ := cluster.start("i1")
	waitForRelay(t, store)
	_, err := authenticate(t, node, "a")
	assert.NilError(t, err)
	relayStore.setHold(loseResponse)
	store.setHold(loseResponse)
	clock.suspend(time.Minute)
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		_, err = authenticate(t, node, "a")
		_, isRefused := jujubeerror.IsErrRefused(err)
		assert.Assert(t, isRefused, "the key is accepted from a view that is a minute old")
	}
}

// TestNothingStartsAfterASuspension guards against a run that starts when the machine resumes although its submission may have ended
// meanwhile: the log has to be read first.
func TestNothingStartsAfterASuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, cluster *testCluster) {
		clock := newTestClock()
		cluster.bootClock = clock.now
		cluster.engines.hold = make(chan struct{})
		node, store, _ := cluster.start("a")
		assert.NilError(t, node.Submit(t.Context(), route, newSubmission("s", 1)))
		waitFor(t, "the item runs", func() bool { return cluster.engines.count("s-0") == 1 })
		store.setHold(loseResponse)
		clock.suspend(time.Minute)
		time.Sleep(2 * jujubebatch.DefaultSettings().FirstEventTimeout) // the run ends, and the item would start again
		assert.Equal(t, node.RunsInFlight(), 0)
		assert.Equal(t, cluster.engines.count("s-0"), 1)
		store.setHold(nil)
		waitFor(t, "the item runs again", func() bool { return cluster.engines.count("s-0") == 2 })
	}, "a")
}

// TestRecordsAreRedactedForOthers guards against an API key in a message between instances: what passes through another instance is
// redacted, whichever call it passes through.
func TestRecordsAreRedactedForOthers(t *testing.T) {
	for name, directReaders := range map[string]int{"from the relay": 1, "through another instance, as the store refuses this one": jujubenode.DefaultDirectReaders} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, cluster *testCluster) {
				cluster.directReaders, cluster.sameDataCentre = directReaders, true
				a, _, _ := cluster.start("i0")
				b, store, _ := cluster.start("i1")
				waitFor(t, "both instances are alive", func() bool { return len(a.Addresses("dc")) == 2 && len(b.Addresses("dc")) == 2 })
				if directReaders == 1 {
					waitForRelay(t, store)
				}
				store.setBlocked(directReaders > 1)
				time.Sleep(time.Second) // reads in flight have ended
				cluster.publish("secret", "a secret")
				waitFor(t, "the record has arrived", func() bool { return cluster.received("i1", "a redacted") })
				assert.Assert(t, cluster.received("i0", "a secret"))
				assert.Assert(t, !cluster.received("i1", "secret"))
			}, "i0", "i1")
		})
	}
}
