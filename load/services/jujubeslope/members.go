package jujubeslope

import (
	"container/heap"
	"context"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubecore"
	"jujubepier.example/core/services/jujubemember"
)

// delivery is an event of the network in virtual time.
type delivery struct {
	at  time.Time
	seq int
	run func()
}

type deliveries []delivery

func (q deliveries) Len() int { return len(q) }
func (q deliveries) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *deliveries) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// network connects cores, with a delay of 2 ms for each message.
type network struct {
	now      time.Time
	queue    deliveries
	seq      int
	cores    []*jujubecore.Core
	byID     map[model.InstanceID]*jujubecore.Core
	messages int
	bytes    int
}

func newNetwork(count, endpoints int) (*network, error) {
	net := &network{now: start, byID: make(map[model.InstanceID]*jujubecore.Core, count)}
	list := model.InstanceList{Endpoints: newEndpoints(endpoints), Entries: newMembers(count)}
	for _, member := range list.Entries {
		options := jujubecore.DefaultOptions(member)
		options.Seed = int64(len(net.cores))
		core, _, err := jujubecore.New(options)
		if err != nil {
			return nil, err
		}
		core.Apply(net.now, jujubecore.InstancesListed{List: list})
		net.cores = append(net.cores, core)
		net.byID[member.ID] = core
	}
	return net, nil
}

const networkDelay = 2 * time.Millisecond

func (n *network) later(run func()) {
	n.seq++
	heap.Push(&n.queue, delivery{n.now.Add(networkDelay), n.seq, run})
}

func (n *network) count(message model.PeerMessage) {
	n.messages++
	n.bytes += jujubemember.EstimateSize(message) + jujubemember.MessageOverhead
}

func (n *network) act(from *jujubecore.Core, actions []jujubecore.Action) {
	for _, action := range actions {
		send, ok := action.(jujubecore.SendPeer)
		if !ok {
			continue
		}
		n.count(send.Message)
		n.later(func() {
			for _, answer := range n.byID[send.To].Apply(n.now, jujubecore.PeerReceived{Message: send.Message}) {
				if reply, ok := answer.(jujubecore.PeerReply); ok {
					n.count(reply.Message)
					n.later(func() { n.act(from, from.Apply(n.now, jujubecore.PeerAnswered{Message: reply.Message})) })
				}
			}
		})
	}
}

// run advances the virtual time.
func (n *network) run(ctx context.Context, duration time.Duration) error {
	for end := n.now.Add(duration); n.now.Before(end); {
		if err := ctx.Err(); err != nil {
			return err
		}
		next := n.now.Add(jujubecore.TickPeriod)
		for len(n.queue) > 0 && n.queue[0].at.Before(next) {
			first := heap.Pop(&n.queue).(delivery)
			n.now = first.at
			first.run()
		}
		n.now = next
		for _, core := range n.cores {
			n.act(core, core.Tick(n.now))
		}
	}
	return nil
}

// studyMembers measures cores that only keep the membership.
func studyMembers(ctx context.Context, report *Report) error {
	const (
		settle   = 5 * time.Second
		duration = 10 * time.Second
	)
	for _, count := range []int{9, 32, 128, 370} {
		err := report.steady(func() error {
			net, err := newNetwork(count, 60)
			if err != nil {
				return err
			}
			if err := net.run(ctx, settle); err != nil {
				return err
			}
			net.bytes, net.messages = 0, 0
			before := processTime()
			if err := net.run(ctx, duration); err != nil {
				return err
			}
			used := processTime() - before
			each := float64(count) * duration.Seconds()
			report.add(memberAxis, count, "membership sent by a node", "B/s", float64(net.bytes)/each)
			report.add(memberAxis, count, "membership sent by a node, messages", "1/s", float64(net.messages)/each)
			report.add(memberAxis, count, "processor time of a core", "% of a core", 100*used.Seconds()/each)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
