package jujubenode

import (
	"context"
	"encoding/json"
	"math/rand"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujuberegistry"
)

const (
	// beatPeriod is the time between two beats. Three may be lost until an instance counts as gone (jujuberegistry).
	beatPeriod = 800 * time.Millisecond
	// beatPoll is how soon a change of the own state is written.
	beatPoll = 50 * time.Millisecond
)

// beat writes this instance's row until the context ends. The first one waits until the predecessor's row has been read,
// as it replaces that row and may have to name a later incarnation.
func (n *Node) beat(ctx context.Context) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		now := time.Now()
		due := !n.instances.caughtUp.IsZero() && now.Sub(n.lastBeat) >= beatPeriod
		var beat jujuberegistry.Beat
		if due {
			n.lastBeat = now
			n.beatNumber++
			beat = jujuberegistry.Beat{
				Instance: n.identity.Instance, Incarnation: n.incarnation, DataCentre: n.identity.DataCentre,
				CallerAddress: n.identity.CallerAddress, PeerAddress: n.identity.PeerAddress, State: n.state, Number: n.beatNumber,
				Engines: n.batches.Notes(),
			}
		}
		n.mu.Unlock()
		if due {
			n.writeBeat(ctx, beat)
		}
		sleep(ctx, beatPoll)
	}
	return nil
}

func (n *Node) writeBeat(ctx context.Context, beat jujuberegistry.Beat) {
	value, err := json.Marshal(beat)
	if err == nil {
		err = n.putRow(ctx, value)
	}
	if err != nil {
		n.metrics.countStoreFailure(topicInstances.Name)
		n.log.Write(jujubeevent.BeatFailed, func() logrus.Fields {
			return logrus.Fields{"Number": beat.Number, "Error": err.Error()}
		})
	}
}

// putRow writes the own row; without a value it removes it.
func (n *Node) putRow(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := []Record{{Key: string(n.identity.Instance), Value: value}}
	_, err := n.store.Append(ctx, topicInstances, 0, records, NoCondition)
	return err
}

func (n *Node) applyBeat(now time.Time, _ int64, record Record) {
	if len(record.Value) == 0 {
		n.registry.Remove(model.InstanceID(record.Key))
		return
	}
	var beat jujuberegistry.Beat
	if err := json.Unmarshal(record.Value, &beat); err != nil || string(beat.Instance) != record.Key {
		n.log.Write(jujubeevent.RecordUnusable, func() logrus.Fields {
			return logrus.Fields{"Topic": topicInstances.Name, "Key": record.Key, "Error": errorText(err)}
		})
		return
	}
	if beat.Instance == n.identity.Instance && beat.Incarnation > n.incarnation {
		// The clock was set back since the last start, and the others would take these beats for old ones.
		n.incarnation = beat.Incarnation + 1
		n.lastBeat = time.Time{}
	}
	n.registry.Apply(now, beat)
	if beat.Instance != n.identity.Instance {
		for _, note := range beat.Engines {
			n.batches.TakeNote(now, note)
		}
	}
}

func (n *Node) resetBeats(now time.Time, records []Record) {
	for _, record := range records {
		n.applyBeat(now, 0, record)
	}
}

// refreshLive takes over which instances are alive; the lock is held.
func (n *Node) refreshLive(now time.Time) {
	live := n.registry.Live(now)
	members := make([]jujubebatch.Member, 0, len(live))
	changed := len(live) != len(n.live)
	for i, beat := range live {
		members = append(members, jujubebatch.Member{
			ID: beat.Instance, DataCentre: beat.DataCentre, Ready: beat.State == jujuberegistry.Ready,
		})
		changed = changed || n.live[i].Instance != beat.Instance || n.live[i].State != beat.State ||
			n.live[i].Incarnation != beat.Incarnation
	}
	n.live = live
	if !changed {
		return
	}
	n.batches.SetLive(members)
	n.setSource()
	n.log.Write(jujubeevent.MemberChanged, func() logrus.Fields {
		states := map[string]string{}
		for _, beat := range live {
			states[string(beat.Instance)] = string(beat.State)
		}
		return logrus.Fields{"Live": len(live), "States": states}
	})
}

// maxAddresses bounds an address answer, as the platform's clients take no more.
const maxAddresses = 64

// Addresses returns the addresses of the instances that callers in a data centre should use. Where there are too many for
// one answer, those of the own data centre go first, and chance picks among the others.
func (n *Node) Addresses(dataCentre model.DataCentre) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var near, far []string
	for _, beat := range n.live {
		if beat.State != jujuberegistry.Ready || beat.CallerAddress == "" {
			continue
		}
		if beat.DataCentre == dataCentre {
			near = append(near, beat.CallerAddress)
		} else {
			far = append(far, beat.CallerAddress)
		}
	}
	if len(near)+len(far) > maxAddresses {
		rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
		rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	}
	addresses := append(near, far...)
	return addresses[:min(len(addresses), maxAddresses)]
}

// AddressValidity is how long callers may keep the addresses.
func (n *Node) AddressValidity() time.Duration { return n.settings.AddressValidity }
