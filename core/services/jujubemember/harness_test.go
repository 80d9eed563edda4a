package jujubemember_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubemember"
)

const tick = 50 * time.Millisecond

// full runs the partition and restart tests with 370 members too. They then take most of a minute.
var full = flag.Bool("full", false, "run the partition and restart tests with 370 members too")

func TestMain(m *testing.M) {
	// Set before the command line is parsed, so that flags can override them.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// clusterSizes returns the numbers of members for the partition and restart tests.
func clusterSizes() []int {
	if *full {
		return []int{9, 100, 370}
	}
	return []int{9, 100}
}

// event is a function call scheduled in virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// node is one simulated instance. A restart replaces members.
type node struct {
	index     int
	member    model.Member
	members   *jujubemember.Members
	isRunning bool
	// partition is the part of the network that the node belongs to; nodes of different parts can't reach each other.
	partition int
}

// network is a simulated network in virtual time with delays of 1 to 4 ms, loss, partitions and crashes.
type network struct {
	now    time.Time
	random *rand.Rand
	queue  eventQueue
	seq    int
	loss   float64
	nodes  []*node
	// largestMessage is the largest estimated size of a message so far.
	largestMessage int
	// afterTick is called for each node after each of its ticks.
	afterTick func(n *node)
}

func newNetwork(count int, seed uint64) *network {
	net := &network{now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	for i := range count {
		n := &node{index: i, member: model.Member{
			ID: model.InstanceID(fmt.Sprintf("entry-%03d", i)), DataCentre: "suva-a",
			PeerAddress: fmt.Sprintf("127.0.0.1:%d", 10000+i), CallerAddress: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			State: model.MemberAlive,
		}}
		net.nodes = append(net.nodes, n)
		net.start(n)
	}
	for _, n := range net.nodes {
		n.members.SetSeeds(net.now, net.instanceList())
	}
	return net
}

// start starts a new incarnation of a node, which reads the instance list.
func (net *network) start(n *node) {
	n.member.Incarnation = model.Incarnation(net.now.UnixMilli())
	n.isRunning = true
	n.members = jujubemember.New(n.member, jujubemember.Settings{}, rand.New(rand.NewPCG(net.random.Uint64(), uint64(n.index))))
	n.members.SetSeeds(net.now, net.instanceList())
}

// instanceList returns the running members, as the platform's instance list does.
func (net *network) instanceList() (members []model.Member) {
	for _, n := range net.nodes {
		if n.isRunning {
			members = append(members, n.member)
		}
	}
	return members
}

func (net *network) schedule(delay time.Duration, run func()) {
	net.seq++
	heap.Push(&net.queue, event{net.now.Add(delay), net.seq, run})
}

func (net *network) randomDelay() time.Duration {
	return time.Duration(1+net.random.IntN(4)) * time.Millisecond
}

// isDelivered reports whether a message from one node reaches another; it draws the loss at random.
func (net *network) isDelivered(from, to *node) bool {
	return from.isRunning && to.isRunning && from.partition == to.partition && (net.loss == 0 || net.random.Float64() >= net.loss)
}

func (net *network) send(from *node, send jujubemember.Send) {
	net.largestMessage = max(net.largestMessage, jujubemember.EstimateSize(send.Message))
	sender := from.members
	reportFailure := func() {
		if from.isRunning && from.members == sender {
			sender.HandleSendFailure(net.now, send.To)
		}
	}
	var port int
	if _, err := fmt.Sscanf(send.Address, "127.0.0.1:%d", &port); err != nil {
		panic(err)
	}
	to := net.nodes[port-10000]
	if !net.isDelivered(from, to) {
		net.schedule(500*time.Millisecond, reportFailure)
		return
	}
	net.schedule(net.randomDelay(), func() {
		if !to.isRunning {
			net.schedule(500*time.Millisecond, reportFailure)
			return
		}
		reply, _ := to.members.Receive(net.now, send.Message)
		net.largestMessage = max(net.largestMessage, jujubemember.EstimateSize(reply))
		if !net.isDelivered(to, from) {
			net.schedule(500*time.Millisecond, reportFailure)
			return
		}
		net.schedule(net.randomDelay(), func() {
			if from.isRunning && from.members == sender {
				sender.Receive(net.now, reply)
			}
		})
	})
}

// run advances virtual time until done returns true, checked once a tick, or the duration has passed.
func (net *network) run(duration time.Duration, done func() bool) bool {
	for end := net.now.Add(duration); net.now.Before(end); {
		if done != nil && done() {
			return true
		}
		next := net.now.Add(tick)
		for len(net.queue) > 0 && net.queue[0].at.Before(next) {
			e := heap.Pop(&net.queue).(event)
			net.now = e.at
			e.run()
		}
		net.now = next
		for _, n := range net.nodes {
			if !n.isRunning {
				continue
			}
			for _, send := range n.members.Tick(net.now) {
				net.send(n, send)
			}
			if net.afterTick != nil {
				net.afterTick(n)
			}
		}
	}
	return done != nil && done()
}

// hasConverged reports whether every running node considers exactly the running nodes live, with their incarnations, and
// all hold the same updates.
func (net *network) hasConverged() bool {
	running := net.instanceList()
	for _, n := range net.nodes {
		if !n.isRunning {
			continue
		}
		if n.members.Digest() != net.firstRunning().members.Digest() {
			return false
		}
		live := n.members.Live()
		if len(live) != len(running) {
			return false
		}
		for i, member := range live {
			if member.ID != running[i].ID || member.Incarnation != running[i].Incarnation {
				return false
			}
		}
	}
	return true
}

func (net *network) firstRunning() *node {
	for _, n := range net.nodes {
		if n.isRunning {
			return n
		}
	}
	return nil
}

// countHolders counts the running nodes that hold an update of the kind Weights with at least the version.
func (net *network) countHolders(key string, version int64) (count int) {
	for _, n := range net.nodes {
		if update, ok := n.members.GossipUpdate(model.GossipWeights, key); n.isRunning && ok && update.Version >= version {
			count++
		}
	}
	return count
}

// sentTotals returns the bytes and messages that all nodes have sent.
func (net *network) sentTotals() (total int64, messages int64) {
	for _, n := range net.nodes {
		total += n.members.Stats().Bytes
		messages += n.members.Stats().Messages
	}
	return total, messages
}
