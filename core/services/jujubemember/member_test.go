package jujubemember_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubemember"
)

// uniform draws uniformly from [0, n). Rapid's integer generators are biased towards small values, which would make the
// first cases of a step far more frequent than the others.
func uniform(t *rapid.T, n int, label string) int {
	value := 0
	for _, bit := range rapid.SliceOfN(rapid.Bool(), 13, 13).Draw(t, label) {
		value *= 2
		if bit {
			value++
		}
	}
	return value % n
}

// checkMonotone returns a check that fails when the version of a member or update decreases, when a leaving member is
// reported as alive again, or, with a negative loss, when a reachable member is reported as dead.
func checkMonotone(fatalf func(string, ...any), net *network) func(*node) {
	type viewKey struct {
		viewer *jujubemember.Members
		id     string
	}
	members := make(map[viewKey]model.Member)
	updateVersions := make(map[viewKey]int64)
	return func(n *node) {
		for _, member := range n.members.Known() {
			key := viewKey{n.members, string(member.ID)}
			old, ok := members[key]
			sameIncarnation := old.Incarnation == member.Incarnation
			if ok && (member.Incarnation < old.Incarnation || sameIncarnation && member.Refutation < old.Refutation && member.State != model.MemberLeaving) {
				fatalf("%s: %s went back from %+v to %+v", n.member.ID, member.ID, old, member)
			}
			if ok && sameIncarnation && old.State == model.MemberLeaving && member.State == model.MemberAlive {
				fatalf("%s: %s left and came back within an incarnation", n.member.ID, member.ID)
			}
			if subject := net.nodes[int(member.ID[6]-'0')*100+int(member.ID[7]-'0')*10+int(member.ID[8]-'0')]; net.loss < 0 &&
				subject.isRunning && subject.member.Incarnation == member.Incarnation && member.State == model.MemberDead {
				fatalf("%s: %s is dead although it is reachable and no message was lost", n.member.ID, member.ID)
			}
			members[key] = member
		}
		for i := range 3 {
			id := fmt.Sprintf("model-%d", i)
			update, ok := n.members.GossipUpdate(model.GossipWeights, id)
			if last := updateVersions[viewKey{n.members, id}]; update.Version < last || !ok && last > 0 {
				fatalf("%s: %s went back from %d to %d", n.member.ID, id, last, update.Version)
			}
			updateVersions[viewKey{n.members, id}] = update.Version
		}
	}
}

// randomOperation performs one random operation: a crash, a restart, a fault of the network, a leave or a publication.
func randomOperation(t *rapid.T, net *network, version *int64, networkFaults bool) {
	n := net.nodes[uniform(t, len(net.nodes), "node")]
	switch op := uniform(t, 8, "op"); {
	case op == 0 && n.isRunning && len(net.instanceList()) > 2:
		n.isRunning = false
	case op == 1 || !n.isRunning:
		net.start(n)
	case op == 2 && networkFaults:
		partitions := 1 + uniform(t, 2, "groups")
		for i, other := range net.nodes {
			other.partition = i % partitions
		}
	case op == 3 && networkFaults:
		net.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	case op == 4:
		n.members.Leave(net.now)
	default:
		*version++
		n.members.Publish(net.now, model.Rumour{Kind: model.GossipWeights, Key: fmt.Sprintf("model-%d", op%3), Version: *version})
	}
	net.run(time.Duration(1+uniform(t, 8000, "wait"))*time.Millisecond, nil)
}

// TestMembersConvergeAfterFaults guards against versions that decrease, and against members that don't converge after message
// loss, partitions, crashes and restarts.
func TestMembersConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newNetwork(3+uniform(t, 10, "nodes"), rapid.Uint64().Draw(t, "seed"))
		net.afterTick = checkMonotone(t.Fatalf, net)
		var version int64
		for range 1 + uniform(t, 10, "steps") {
			randomOperation(t, net, &version, true)
		}
		net.loss = 0
		for _, n := range net.nodes {
			n.partition = 0
		}
		if !net.run(60*time.Second, net.hasConverged) {
			t.Fatalf("no convergence within 60 s of the last fault")
		}
	})
}

// TestNoFalseDeathWithoutLoss guards against a reachable member that is declared dead when no message is lost.
func TestNoFalseDeathWithoutLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newNetwork(3+uniform(t, 10, "nodes"), rapid.Uint64().Draw(t, "seed"))
		net.loss = -1 // no loss, and checkMonotone fails on any false death
		net.afterTick = checkMonotone(t.Fatalf, net)
		var version int64
		for range 1 + uniform(t, 8, "steps") {
			randomOperation(t, net, &version, false)
		}
	})
}

// TestTrafficAndSpread guards against control traffic above 4 KB/s per node, updates that take more than 3 s to reach all
// nodes, and messages larger than 8 KB.
func TestTrafficAndSpread(t *testing.T) {
	for _, count := range []int{9, 32, 100, 370} {
		net := newNetwork(count, 7)
		assert.Assert(t, net.run(60*time.Second, net.hasConverged))
		net.run(10*time.Second, nil)
		rate := func(duration time.Duration) float64 {
			bytes, _ := net.sentTotals()
			net.run(duration, nil)
			after, _ := net.sentTotals()
			return float64(after-bytes) / duration.Seconds() / float64(count)
		}
		steady := rate(30 * time.Second)
		payload := []byte(`"` + strings.Repeat("x", 1000) + `"`)
		var slowest time.Duration
		bytes, _ := net.sentTotals()
		begin := net.now
		for i := range int64(2) {
			published := net.now
			publisher := net.nodes[net.random.IntN(count)].members
			publisher.Publish(net.now, model.Rumour{Kind: model.GossipWeights, Key: "model-0", Version: i + 1, Payload: payload})
			assert.Assert(t, net.run(3*time.Second, func() bool { return net.countHolders("model-0", i+1) == count }), "%d nodes", count)
			slowest = max(slowest, net.now.Sub(published))
			net.run(30*time.Second-net.now.Sub(published), nil)
		}
		after, _ := net.sentTotals()
		spread := float64(after-bytes) / net.now.Sub(begin).Seconds() / float64(count)
		net.nodes[count-1].isRunning = false
		crashed := net.now
		assert.Assert(t, net.run(30*time.Second, net.hasConverged))
		t.Logf("%d nodes: %.0f B/s per node steady, %.0f B/s with a 1 KB update per 30 s (slowest %v); crash known everywhere after %v; largest message %d B",
			count, steady, spread, slowest, net.now.Sub(crashed), net.largestMessage)
		assert.Assert(t, steady < 4096 && spread < 4096)
		assert.Assert(t, net.largestMessage <= 8<<10)
	}
}

// TestPartitionInHalvesHeals guards against halves that don't merge after a partition heals, and logs the traffic of the
// merge.
func TestPartitionInHalvesHeals(t *testing.T) {
	for _, count := range clusterSizes() {
		net := newNetwork(count, 11)
		assert.Assert(t, net.run(60*time.Second, net.hasConverged))
		for i, n := range net.nodes {
			n.partition = i % 2
		}
		net.run(40*time.Second, nil)
		assert.Equal(t, len(net.nodes[0].members.Live()), (count+1)/2)
		for _, n := range net.nodes {
			n.partition = 0
		}
		bytes, _ := net.sentTotals()
		healed := net.now
		assert.Assert(t, net.run(60*time.Second, net.hasConverged), "%d nodes", count)
		after, _ := net.sentTotals()
		took := net.now.Sub(healed)
		t.Logf("%d nodes: converged %v after healing, %.0f B/s per node meanwhile", count, took, float64(after-bytes)/took.Seconds()/float64(count))
		assert.Assert(t, net.largestMessage <= 8<<10)
	}
}

// TestAllRestartWithinAMinute guards against old incarnations that remain members when all instances restart within a
// minute.
func TestAllRestartWithinAMinute(t *testing.T) {
	for _, count := range clusterSizes() {
		net := newNetwork(count, 13)
		assert.Assert(t, net.run(60*time.Second, net.hasConverged))
		begin := net.now
		for i := range net.nodes {
			net.run(begin.Add(time.Duration(i)*time.Minute/time.Duration(count)).Sub(net.now), nil)
			net.start(net.nodes[i])
		}
		last := net.now
		assert.Assert(t, net.run(20*time.Second, net.hasConverged), "%d nodes", count)
		bytes, _ := net.sentTotals()
		t.Logf("%d nodes: converged %v after the last restart, %.0f B/s per node", count, net.now.Sub(last),
			float64(bytes)/net.now.Sub(begin).Seconds()/float64(count))
	}
}

// newMembers returns the view of a member named a.
func newMembers(settings jujubemember.Settings) *jujubemember.Members {
	return jujubemember.New(member("a", 1, "127.0.0.1:1"), settings, rand.New(rand.NewPCG(1, 1)))
}

func member(id model.InstanceID, incarnation model.Incarnation, address string) model.Member {
	return model.Member{ID: id, Incarnation: incarnation, PeerAddress: address, State: model.MemberAlive}
}

// liveIDs returns the ids and incarnations of the live members as text.
func liveIDs(members *jujubemember.Members) (text string) {
	for _, m := range members.Live() {
		text += fmt.Sprintf("%s%d ", m.ID, m.Incarnation)
	}
	return text
}

// TestSeedsAndReplacement guards against a lagging instance list that revives dead members, against two live members with the
// same address, and against dead members that are never deleted.
func TestSeedsAndReplacement(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := newMembers(jujubemember.Settings{ForgetDeadAfter: time.Hour})
	m.SetSeeds(now, []model.Member{member("b", 1, "127.0.0.1:2"), member("c", 1, "127.0.0.1:3")})
	m.SetSeeds(now, []model.Member{member("d", 2, "127.0.0.1:2")})
	assert.Equal(t, liveIDs(m), "a1 c1 d2 ", "a newer member at the address replaces b")
	m.SetSeeds(now, []model.Member{member("b", 1, "127.0.0.1:2")})
	assert.Equal(t, liveIDs(m), "a1 c1 d2 ", "the list doesn't revive b")
	m.SetSeeds(now, []model.Member{member("c", 3, "127.0.0.1:3")})
	assert.Equal(t, liveIDs(m), "a1 c3 d2 ")
	m.HandleSendFailure(now, "c")
	m.HandleSendFailure(now, "d")
	for range 400 {
		now = now.Add(tick)
		m.Tick(now)
	}
	assert.Equal(t, liveIDs(m), "a1 ")
	m.SetSeeds(now, []model.Member{member("c", 3, "127.0.0.1:3"), member("d", 1, "127.0.0.1:2")})
	assert.Equal(t, liveIDs(m), "a1 ", "the list doesn't revive members found dead")
	assert.Equal(t, len(m.Known()), 4)
	for range 64 {
		m.Tick(now.Add(time.Hour))
	}
	assert.Equal(t, len(m.Known()), 1)
}

// TestUpdateBoundsAndExpiry guards against updates without a limit of size, number or age, and against a higher version
// that is refused.
func TestUpdateBoundsAndExpiry(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := newMembers(jujubemember.Settings{MaxUpdates: 3})
	publish := func(key string, version int64, size int) {
		m.Publish(now, model.Rumour{Kind: model.GossipSuspect, Key: key, Version: version, Payload: make([]byte, size)})
	}
	publish("large", 1, 1025)
	publish("x", 5, 1024)
	publish("x", 4, 0)
	publish("y", 1, 0)
	publish("z", 1, 0)
	assert.Equal(t, m.Stats().Refused, int64(2))
	update, _ := m.GossipUpdate(model.GossipSuspect, "x")
	assert.Equal(t, update.Version, int64(5))
	now = now.Add(time.Hour)
	for range 32 {
		m.Tick(now)
	}
	_, ok := m.GossipUpdate(model.GossipSuspect, "x")
	assert.Assert(t, !ok)
	publish("x", 5, 0)
	_, ok = m.GossipUpdate(model.GossipSuspect, "x")
	assert.Assert(t, !ok, "an expired version doesn't come back from a peer")
	publish("x", 6, 0)
	_, ok = m.GossipUpdate(model.GossipSuspect, "x")
	assert.Assert(t, ok)
}

// TestLeavingLastsThroughSuspicion guards against a leaving member that isn't announced, or that appears to stay after
// it refuted a suspicion.
func TestLeavingLastsThroughSuspicion(t *testing.T) {
	net := newNetwork(5, 19)
	assert.Assert(t, net.run(20*time.Second, net.hasConverged))
	net.nodes[1].members.Leave(net.now)
	for step, partition := range []int{0, 1, 0} {
		net.nodes[1].partition = partition
		net.run(4*time.Second, nil)
		for _, n := range net.nodes {
			assert.Equal(t, n.members.Known()[1].State, model.MemberLeaving, "step %d", step)
		}
	}
	assert.Assert(t, net.run(10*time.Second, net.hasConverged))
	assert.Assert(t, net.nodes[0].members.Known()[1].Refutation > 0, "there was no suspicion")
}

// messages returns a probe, a version list and an update message of the sizes that occur with 370 members.
func messages() []model.PeerMessage {
	random := rand.New(rand.NewPCG(1, 1))
	versions := make(map[uint64]int64)
	for range 32 {
		versions[random.Uint64()] = random.Int64()
	}
	return []model.PeerMessage{
		{From: "entry-001", Incarnation: 1_800_000_000_000, Probe: true, Digest: random.Uint64()},
		{From: "entry-001", Incarnation: 1_800_000_000_000, Digest: random.Uint64(), Versions: versions},
		{From: "entry-001", Incarnation: 1_800_000_000_000, Rumours: []model.Rumour{{
			Kind: model.GossipMember, Key: "entry-002", Version: random.Int64(), Payload: make([]byte, 70),
		}}},
	}
}

// TestEstimateSizeAgainstGob guards against estimates below the size that is really sent, and against version lists that
// grow.
func TestEstimateSizeAgainstGob(t *testing.T) {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for range 2 { // the first pass sends the type descriptions, once per connection
		for i, message := range messages() {
			buffer.Reset()
			assert.NilError(t, encoder.Encode(message))
			estimate := jujubemember.EstimateSize(message)
			t.Logf("message %d: gob %d B, estimate %d B", i, buffer.Len(), estimate)
		}
	}
	for _, message := range messages() {
		buffer.Reset()
		assert.NilError(t, encoder.Encode(message))
		estimate := jujubemember.EstimateSize(message)
		assert.Assert(t, estimate >= buffer.Len() && estimate < buffer.Len()*3/2+20, "%d %d", estimate, buffer.Len())
	}
}

// TestNewInstanceGetsLargeTable guards against a new instance that doesn't receive a large table, or receives it in
// messages larger than 8 KB.
func TestNewInstanceGetsLargeTable(t *testing.T) {
	net := newNetwork(3, 17)
	for i := range 1000 {
		net.nodes[0].members.Publish(net.now, model.Rumour{
			Kind: model.GossipSuspect, Key: fmt.Sprint(i), Version: 1, Payload: make([]byte, 200+i%800),
		})
	}
	assert.Assert(t, net.run(20*time.Second, net.hasConverged))
	net.start(net.nodes[2])
	started := net.now
	assert.Assert(t, net.run(20*time.Second, net.hasConverged))
	_, ok := net.nodes[2].members.GossipUpdate(model.GossipSuspect, "999")
	assert.Assert(t, ok)
	t.Logf("1,000 updates in %v, largest message %d B", net.now.Sub(started), net.largestMessage)
	assert.Assert(t, net.largestMessage > 4<<10 && net.largestMessage <= 8<<10)
}

// BenchmarkGob measures the encoding of one message of each kind; run it with -benchmem.
func BenchmarkGob(b *testing.B) {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	all := messages()
	size := 0
	for b.Loop() {
		size = 0
		for _, message := range all {
			buffer.Reset()
			if err := encoder.Encode(message); err != nil {
				b.Fatal(err)
			}
			size += buffer.Len()
		}
	}
	b.ReportMetric(float64(size), "gob-bytes")
}
