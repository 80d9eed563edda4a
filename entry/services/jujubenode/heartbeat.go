package jujubenode

import (
	"context"
	"encoding/json"
	"math/rand"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujuberegistry"
)

const (
	// heartbeatInterval is the time between two heartbeats. Up to three may be lost before an instance counts as dead
	// (see jujuberegistry).
	heartbeatInterval = 800 * time.Millisecond
	// heartbeatPollInterval is the time between two checks whether the first heartbeat may be written.
	heartbeatPollInterval = 50 * time.Millisecond
)

// sendHeartbeats writes this instance's record until the context ends. The first heartbeat replaces the record of the
// previous incarnation, so it waits until that record has been read: the new incarnation may have to be higher than the
// old one.
func (n *Node) sendHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		now := time.Now()
		due := !n.instancesFollower.caughtUpAt.IsZero() && n.canReplaceUsage() && now.Sub(n.lastHeartbeat) >= heartbeatInterval
		var heartbeat jujuberegistry.Heartbeat
		if due {
			n.lastHeartbeat = now
			n.heartbeatNumber++
			heartbeat = jujuberegistry.Heartbeat{
				Instance: n.identity.Instance, Incarnation: n.incarnation, DataCentre: n.identity.DataCentre,
				CallerAddress: n.identity.CallerAddress, PeerAddress: n.identity.PeerAddress, State: n.state, CutOff: n.isCutOff(), Number: n.heartbeatNumber,
				Engines: n.scheduler.EngineNotes(), Limits: n.limitNotices(now),
				BatchMemory: n.memory.settings.Accept, Deferred: deferredIDs(n.scheduler.Deferred()),
			}
			n.addUsage(now, &heartbeat)
		}
		n.mu.Unlock()
		if due {
			n.writeHeartbeat(ctx, heartbeat)
		}
		n.awaitHeartbeat(ctx)
	}
	return nil
}

// awaitHeartbeat waits until the next heartbeat may be due.
func (n *Node) awaitHeartbeat(ctx context.Context) {
	n.mu.Lock()
	delay := heartbeatInterval - time.Since(n.lastHeartbeat)
	n.mu.Unlock()
	timer := time.NewTimer(max(delay, heartbeatPollInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.heartbeatCh:
	}
}

// requestHeartbeat makes the next heartbeat due at once; the lock is held.
func (n *Node) requestHeartbeat() {
	n.lastHeartbeat = time.Time{}
	select {
	case n.heartbeatCh <- struct{}{}:
	default:
	}
}

func (n *Node) writeHeartbeat(ctx context.Context, heartbeat jujuberegistry.Heartbeat) {
	value, err := json.Marshal(heartbeat)
	if err == nil {
		err = n.putInstanceRecord(ctx, value)
	}
	if err != nil {
		n.metrics.countStoreFailure(topicInstances.Name)
		n.log.Write(jujubeevent.BeatFailed, func() logrus.Fields {
			return logrus.Fields{"Number": heartbeat.Number, "Error": err.Error()}
		})
	}
}

// putInstanceRecord writes this instance's record; an empty value removes it.
func (n *Node) putInstanceRecord(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := []Record{{Key: string(n.identity.Instance), Value: value}}
	_, err := n.store.Append(ctx, topicInstances, 0, records, NoCondition)
	return err
}

func (n *Node) applyHeartbeat(now time.Time, offset int64, record Record) {
	if len(record.Value) == 0 {
		n.registry.Remove(model.InstanceID(record.Key))
		if u := n.usage(); u != nil {
			u.ledger.ObserveRemoved(now, model.InstanceID(record.Key))
		}
		return
	}
	var heartbeat jujuberegistry.Heartbeat
	if err := json.Unmarshal(record.Value, &heartbeat); err != nil || string(heartbeat.Instance) != record.Key {
		n.log.Write(jujubeevent.RecordUnusable, func() logrus.Fields {
			return logrus.Fields{"Topic": topicInstances.Name, "Key": record.Key, "Error": errorText(err)}
		})
		return
	}
	if heartbeat.Instance == n.identity.Instance && heartbeat.Incarnation > n.incarnation {
		// The clock was set back since the last start. Without a higher incarnation the other instances would ignore
		// these heartbeats as outdated.
		n.incarnation = heartbeat.Incarnation + 1
		n.requestHeartbeat()
	}
	n.registry.Apply(now, heartbeat)
	n.applyUsage(now, heartbeat, offset != snapshotOffset && n.instancesFollower.wasReadRecently())
	if heartbeat.Instance != n.identity.Instance {
		for _, engineNote := range heartbeat.Engines {
			n.scheduler.ApplyEngineNote(now, engineNote)
		}
	}
	// The last heartbeat before this instance's own restart is as good as those of others.
	if heartbeat.Instance != n.identity.Instance || heartbeat.Incarnation < n.incarnation {
		for _, notice := range heartbeat.Limits {
			n.applyRate(now, notice, "Heartbeat")
		}
	}
}

// snapshotOffset stands for the offset of a record of a snapshot.
const snapshotOffset = -1

func (n *Node) resetHeartbeats(now time.Time, records []Record) {
	for _, record := range records {
		n.applyHeartbeat(now, snapshotOffset, record)
	}
}

// refreshMembership updates the list of live instances; the lock is held.
func (n *Node) refreshMembership(now time.Time) {
	if n.registry.IsListed(now) {
		return
	}
	live := n.registry.Live(now)
	members := make([]jujubebatch.Member, 0, len(live))
	membershipChanged := len(live) != len(n.liveInstances)
	for i, heartbeat := range live {
		members = append(members, jujubebatch.Member{
			ID: heartbeat.Instance, DataCentre: heartbeat.DataCentre, Ready: heartbeat.State == jujuberegistry.Ready,
			Deferred: submissionIDs(heartbeat.Deferred),
		})
		membershipChanged = membershipChanged || n.liveInstances[i].Instance != heartbeat.Instance ||
			n.liveInstances[i].State != heartbeat.State || n.liveInstances[i].CutOff != heartbeat.CutOff || n.liveInstances[i].Incarnation != heartbeat.Incarnation ||
			!slices.Equal(n.liveInstances[i].Deferred, heartbeat.Deferred)
	}
	n.liveInstances = live
	if !membershipChanged {
		return
	}
	if n.isCutOff() {
		n.tomb.Go(n.endpointPath.closeIdleConnections)
	}
	n.scheduler.SetLiveMembers(members)
	n.throttle.SetLiveCount(len(live))
	n.updateRelay()
	n.log.Write(jujubeevent.MemberChanged, func() logrus.Fields {
		states := map[string]string{}
		for _, heartbeat := range live {
			states[string(heartbeat.Instance)] = string(heartbeat.State)
			if heartbeat.CutOff {
				states[string(heartbeat.Instance)] += ", cut off from endpoints"
			}
		}
		return logrus.Fields{"Live": len(live), "States": states}
	})
}

func deferredIDs(ids []jujubebatch.SubmissionID) []string {
	var texts []string
	for _, id := range ids {
		texts = append(texts, string(id))
	}
	return texts
}

func submissionIDs(texts []string) []jujubebatch.SubmissionID {
	var ids []jujubebatch.SubmissionID
	for _, text := range texts {
		ids = append(ids, jujubebatch.SubmissionID(text))
	}
	return ids
}

// maxAddresses bounds the addresses of one response, because the platform's clients accept no more.
const maxAddresses = 64

// Addresses returns the addresses of the instances that callers in a data centre should use. If there are more than fit
// into one response, those in the same data centre come first, and both groups are shuffled.
func (n *Node) Addresses(dataCentre model.DataCentre) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sameCentre, otherCentres []string
	for _, heartbeat := range n.liveInstances {
		if heartbeat.State != jujuberegistry.Ready || heartbeat.CallerAddress == "" {
			continue
		}
		if heartbeat.DataCentre == dataCentre {
			sameCentre = append(sameCentre, heartbeat.CallerAddress)
		} else {
			otherCentres = append(otherCentres, heartbeat.CallerAddress)
		}
	}
	if len(sameCentre)+len(otherCentres) > maxAddresses {
		rand.Shuffle(len(sameCentre), func(i, j int) { sameCentre[i], sameCentre[j] = sameCentre[j], sameCentre[i] })
		rand.Shuffle(len(otherCentres), func(i, j int) { otherCentres[i], otherCentres[j] = otherCentres[j], otherCentres[i] })
	}
	addresses := append(sameCentre, otherCentres...)
	return addresses[:min(len(addresses), maxAddresses)]
}

// AddressValidity is how long callers may cache the addresses.
func (n *Node) AddressValidity() time.Duration { return n.settings.AddressValidity }
