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
	// fetches counts the reads of a peer's configuration.
	fetches int
}

func newNetwork(count, endpoints int) (*network, error) {
	net := &network{now: start, byID: make(map[model.InstanceID]*jujubecore.Core, count)}
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
		if fetch, ok := action.(jujubecore.FetchConfig); ok {
			n.fetches++
			n.later(func() {
				state := n.byID[fetch.From.ID].ConfigState()
				n.later(func() { n.act(from, from.Apply(n.now, jujubecore.ConfigReceived{State: state})) })
			})
		}
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

// change lets those that follow the log read a configuration and returns the time until it is in force everywhere.
func (n *network) change(ctx context.Context) (time.Duration, error) {
	record := model.ConfigRecord{Change: &model.ConfigChange{ID: "first", Document: Document(60), Author: "slopes"}}
	for _, core := range n.cores {
		if core.IsFollowing() {
			n.later(func() { n.act(core, core.Apply(n.now, jujubecore.ConfigRead{Read: newRead(record)})) })
		}
	}
	begin := n.now
	for {
		if err := n.run(ctx, jujubecore.TickPeriod); err != nil {
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

// submit lets each core accept a step part in a period, as with 4 trainers whose steps take two minutes and are split
// over all instances.
func (n *network) submit(ctx context.Context, duration time.Duration) error {
	const period = 30 * time.Second
	begin, submitted := n.now, 0
	for n.now.Sub(begin) < duration {
		for due := int(float64(len(n.cores)) * n.now.Sub(begin).Seconds() / period.Seconds()); submitted < due; submitted++ {
			part := model.StepPart{
				Key: model.PartKey{Trainer: trainerName, Step: 1, Part: submitted}, Attempt: 1, Version: 1, MaxTokens: 8,
				Groups: []model.GroupRequest{{Prompt: "prompt", Samples: 1}}, Timeout: model.Duration(time.Minute),
			}
			core := n.cores[submitted%len(n.cores)]
			n.act(core, core.Apply(n.now, jujubecore.PartSubmitted{Part: part}))
		}
		if err := n.run(ctx, jujubecore.TickPeriod); err != nil {
			return err
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
			net.fetches = 0
			took, err := net.change(ctx)
			report.add(memberAxis, count, "configuration: read by followers until in force everywhere", "s", took.Seconds())
			report.add(memberAxis, count, "configuration: reads from peers by a node", "reads", float64(net.fetches)/float64(count))
			if err != nil {
				return err
			}
			net.bytes = 0
			err = net.submit(ctx, duration)
			report.add(memberAxis, count, "membership sent by a node that takes a step part each 30 s", "B/s", float64(net.bytes)/each)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
