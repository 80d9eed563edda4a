package jujubeslope

import (
	"container/heap"
	"context"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubecore"
	"jujubepier.example/core/services/jujubemember"
)

// delivery is an event of the network, due at a virtual time.
type delivery struct {
	at     time.Time
	seq    int
	handle func()
}

// deliveryQueue is a heap of deliveries by time; deliveries at the same time keep their order.
type deliveryQueue []delivery

func (q deliveryQueue) Len() int { return len(q) }
func (q deliveryQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q deliveryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveryQueue) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *deliveryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// network connects cores in virtual time. Each message is delayed by networkDelay.
type network struct {
	now      time.Time
	queue    deliveryQueue
	seq      int
	cores    []*jujubecore.Core
	byID     map[model.InstanceID]*jujubecore.Core
	messages int
	bytes    int
	// configFetches counts the reads of a configuration from a peer.
	configFetches int
}

func newNetwork(count, endpoints int) (*network, error) {
	net := &network{now: virtualStart, byID: make(map[model.InstanceID]*jujubecore.Core, count)}
	list := model.InstanceList{Endpoints: newEndpoints(endpoints), Entries: newMembers(count)}
	for _, member := range list.Entries {
		options := jujubecore.DefaultOptions(member)
		options.Seed = int64(len(net.cores))
		core, err := jujubecore.New(options)
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

// schedule calls handle after networkDelay.
func (n *network) schedule(handle func()) {
	n.seq++
	heap.Push(&n.queue, delivery{n.now.Add(networkDelay), n.seq, handle})
}

func (n *network) countMessage(message model.PeerMessage) {
	n.messages++
	n.bytes += jujubemember.EstimateSize(message) + jujubemember.MessageOverhead
}

// perform executes the actions of a core: it sends messages to peers and fetches configurations from them.
func (n *network) perform(from *jujubecore.Core, actions []jujubecore.Action) {
	for _, action := range actions {
		if fetch, ok := action.(jujubecore.FetchConfig); ok {
			n.configFetches++
			n.schedule(func() {
				state := n.byID[fetch.From.ID].ConfigState()
				n.schedule(func() { n.perform(from, from.Apply(n.now, jujubecore.ConfigReceived{State: state})) })
			})
		}
		send, ok := action.(jujubecore.SendPeer)
		if !ok {
			continue
		}
		n.countMessage(send.Message)
		n.schedule(func() {
			for _, peerAction := range n.byID[send.To].Apply(n.now, jujubecore.PeerReceived{Message: send.Message}) {
				if reply, ok := peerAction.(jujubecore.PeerReply); ok {
					n.countMessage(reply.Message)
					n.schedule(func() { n.perform(from, from.Apply(n.now, jujubecore.PeerAnswered{Message: reply.Message})) })
				}
			}
		})
	}
}

// advance runs all cores for a duration of virtual time.
func (n *network) advance(ctx context.Context, duration time.Duration) error {
	for end := n.now.Add(duration); n.now.Before(end); {
		if err := ctx.Err(); err != nil {
			return err
		}
		next := n.now.Add(jujubecore.TickInterval)
		for len(n.queue) > 0 && n.queue[0].at.Before(next) {
			first := heap.Pop(&n.queue).(delivery)
			n.now = first.at
			first.handle()
		}
		n.now = next
		for _, core := range n.cores {
			n.perform(core, core.Tick(n.now))
		}
	}
	return nil
}

// measureConfigChange delivers a configuration to the cores that follow the log and returns the time until it is in force on
// all cores, at most a minute.
func (n *network) measureConfigChange(ctx context.Context) (time.Duration, error) {
	record := model.ConfigRecord{Change: &model.ConfigChange{ID: "first", Document: Document(60), Author: "slopes"}}
	for _, core := range n.cores {
		if core.IsFollowing() {
			n.schedule(func() { n.perform(core, core.Apply(n.now, jujubecore.ConfigRead{Read: newConfigRead(record)})) })
		}
	}
	begin := n.now
	for {
		if err := n.advance(ctx, jujubecore.TickInterval); err != nil {
			return 0, err
		}
		ready := 0
		for _, core := range n.cores {
			if core.IsReady() {
				ready++
			}
		}
		if ready == len(n.cores) || n.now.Sub(begin) > time.Minute {
			return n.now.Sub(begin), nil
		}
	}
}

// submitParts submits a step part to each core every 30 s, as 4 trainers do whose steps take two minutes and are split over
// all instances.
func (n *network) submitParts(ctx context.Context, duration time.Duration) error {
	const period = 30 * time.Second
	begin, submitted := n.now, 0
	for n.now.Sub(begin) < duration {
		for due := int(float64(len(n.cores)) * n.now.Sub(begin).Seconds() / period.Seconds()); submitted < due; submitted++ {
			part := model.StepPart{
				Key: model.PartKey{Trainer: trainerName, Step: 1, Part: submitted}, Attempt: 1, Version: 1, MaxTokens: 8,
				Groups: []model.GroupRequest{{Prompt: "prompt", Samples: 1}}, Timeout: model.Duration(time.Minute),
			}
			core := n.cores[submitted%len(n.cores)]
			n.perform(core, core.Apply(n.now, jujubecore.PartSubmitted{Part: part}))
		}
		if err := n.advance(ctx, jujubecore.TickInterval); err != nil {
			return err
		}
	}
	return nil
}

// studyMembers measures cores in virtual time that have no work besides membership, configuration and the step parts that
// submitParts adds.
func studyMembers(ctx context.Context, report *Report) error {
	const (
		settle   = 5 * time.Second
		duration = 10 * time.Second
	)
	for _, count := range []int{9, 32, 128, 370} {
		err := report.repeatIfPaused(func() error {
			net, err := newNetwork(count, 60)
			if err != nil {
				return err
			}
			if err := net.advance(ctx, settle); err != nil {
				return err
			}
			net.bytes, net.messages = 0, 0
			before := processorTime()
			if err := net.advance(ctx, duration); err != nil {
				return err
			}
			used := processorTime() - before
			nodeSeconds := float64(count) * duration.Seconds()
			report.add(memberAxis, count, "membership sent by a node", "B/s", float64(net.bytes)/nodeSeconds)
			report.add(memberAxis, count, "membership sent by a node, messages", "1/s", float64(net.messages)/nodeSeconds)
			report.add(memberAxis, count, "processor time of a core", "% of a core", 100*used.Seconds()/nodeSeconds)
			net.configFetches = 0
			took, err := net.measureConfigChange(ctx)
			report.add(memberAxis, count, "configuration: read by followers until in force everywhere", "s", took.Seconds())
			report.add(memberAxis, count, "configuration: reads from peers by a node", "reads", float64(net.configFetches)/float64(count))
			if err != nil {
				return err
			}
			net.bytes = 0
			err = net.submitParts(ctx, duration)
			report.add(memberAxis, count, "membership sent by a node that takes a step part each 30 s", "B/s", float64(net.bytes)/nodeSeconds)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
