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

// full adds 370 members to the tests of partitions and restarts, which take most of a minute with them.
var full = flag.Bool("full", false, "run the partition and restart tests with 370 members too")

func TestMain(m *testing.M) {
	// Set before the command line is parsed, so that it can ask for other seeds.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// sizes are the numbers of members for the tests of faults.
func sizes() []int {
	if *full {
		return []int{9, 100, 370}
	}
	return []int{9, 100}
}

// event is a delivery in virtual time.
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

// node is one instance; members is replaced by a restart.
type node struct {
	index   int
	member  model.Member
	members *jujubemember.Members
	up      bool
	group   int
}

// network delivers messages with a delay of 1 to 4 ms, loss, partitions and crashes.
type network struct {
	now     time.Time
	random  *rand.Rand
	queue   eventQueue
	seq     int
	loss    float64
	nodes   []*node
	largest int
	// after is called for each node after each of its ticks.
	after func(n *node)
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
		n.members.SetSeeds(net.now, net.list())
	}
	return net
}

// start begins a new incarnation of a node, which reads the instance list.
func (net *network) start(n *node) {
	n.member.Incarnation = model.Incarnation(net.now.UnixMilli())
	n.up = true
	n.members = jujubemember.New(n.member, jujubemember.Settings{}, rand.New(rand.NewPCG(net.random.Uint64(), uint64(n.index))))
	n.members.SetSeeds(net.now, net.list())
}

func (net *network) list() (members []model.Member) {
	for _, n := range net.nodes {
		if n.up {
			members = append(members, n.member)
		}
	}
	return members
}

func (net *network) schedule(delay time.Duration, run func()) {
	net.seq++
	heap.Push(&net.queue, event{net.now.Add(delay), net.seq, run})
}

func (net *network) delay() time.Duration {
	return time.Duration(1+net.random.IntN(4)) * time.Millisecond
}

// passes tells whether a message gets from one node to another.
func (net *network) passes(from, to *node) bool {
	return from.up && to.up && from.group == to.group && (net.loss == 0 || net.random.Float64() >= net.loss)
}

func (net *network) send(from *node, send jujubemember.Send) {
	net.largest = max(net.largest, jujubemember.EstimateSize(send.Message))
	sender := from.members
	fail := func() {
		if from.up && from.members == sender {
			sender.Failed(net.now, send.To)
		}
	}
	var port int
	if _, err := fmt.Sscanf(send.Address, "127.0.0.1:%d", &port); err != nil {
		panic(err)
	}
	to := net.nodes[port-10000]
	if !net.passes(from, to) {
		net.schedule(500*time.Millisecond, fail)
		return
	}
	net.schedule(net.delay(), func() {
		if !to.up {
			net.schedule(500*time.Millisecond, fail)
			return
		}
		reply, _ := to.members.Receive(net.now, send.Message)
		net.largest = max(net.largest, jujubemember.EstimateSize(reply))
		if !net.passes(to, from) {
			net.schedule(500*time.Millisecond, fail)
			return
		}
		net.schedule(net.delay(), func() {
			if from.up && from.members == sender {
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
			if !n.up {
				continue
			}
			for _, send := range n.members.Tick(net.now) {
				net.send(n, send)
			}
			if net.after != nil {
				net.after(n)
			}
		}
	}
	return done != nil && done()
}

// converged tells whether every running node sees exactly the running nodes, with their incarnations, and all hold the
// same rumours.
func (net *network) converged() bool {
	running := net.list()
	for _, n := range net.nodes {
		if !n.up {
			continue
		}
		if n.members.Digest() != net.first().members.Digest() {
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

func (net *network) first() *node {
	for _, n := range net.nodes {
		if n.up {
			return n
		}
	}
	return nil
}

// holders counts the running nodes that hold a rumour of the kind Weights.
func (net *network) holders(key string, version int64) (count int) {
	for _, n := range net.nodes {
		if rumour, ok := n.members.Rumour(model.RumourWeights, key); n.up && ok && rumour.Version >= version {
			count++
		}
	}
	return count
}

// bytes sums the sent bytes of all running nodes.
func (net *network) bytes() (total int64, messages int64) {
	for _, n := range net.nodes {
		total += n.members.Stats().Bytes
		messages += n.members.Stats().Messages
	}
	return total, messages
}
