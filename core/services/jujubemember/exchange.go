package jujubemember

import (
	"maps"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Keys of PeerMessage.Versions: a key below bucketCount is a bucket index and its value is the digest of that bucket;
// bucketCount plus an index means that the map lists all keys of that bucket; other keys are key hashes and their values
// are versions. A version of -1 requests the update.
//
// Anti-entropy takes two round trips, the second only when digests differ:
//
//	probe with digest               -> bucket digests
//	keys of the differing buckets   -> updates that the receiver has newer, wanted keys
//	wanted updates

const unknownVersion = -1

// Receive handles a message or the reply to one. The adapter returns reply to the sender of a message and drops it if
// message was itself a reply. The Probe field marks messages whose reply has content. applied holds the updates that were
// newer than the known ones.
func (m *Members) Receive(now time.Time, message model.PeerMessage) (reply model.PeerMessage, applied []model.Rumour) {
	m.stats.Received++
	reply = model.PeerMessage{From: m.self.ID, Incarnation: m.self.Incarnation}
	if message.From == m.self.ID {
		m.replaced = m.replaced || message.Incarnation > m.self.Incarnation
		return reply, nil
	}
	known, ok := m.peers.Get(message.From)
	if !ok || message.Incarnation >= known.Incarnation {
		m.confirmAlive(message.From)
	}
	for _, update := range message.Rumours {
		if m.applyUpdate(now, update, m.settings.ForwardTicks) {
			applied = append(applied, update)
		}
	}
	if message.Target != "" {
		if message.TargetAlive {
			m.pendingProbes.Delete(message.Target)
		} else if message.Probe {
			m.probeOnBehalf(now, message.Target, message.From)
		}
	}
	missing, wanted, differing := m.compareVersions(message)
	if !message.Probe {
		m.enqueueUpdates(message.From, missing)
		m.enqueueKeyLists(message.From, differing)
		return reply, applied
	}
	if message.Target == "" {
		reply.Digest = m.table.total
		reply.Versions = wanted
		if len(message.Versions) == 0 && message.Digest != m.table.total {
			reply.Versions = m.bucketDigests()
		}
	}
	m.attachRecipientState(message.From, message.Incarnation, &reply)
	remaining := m.fillMessage(&reply, missing)
	m.enqueueUpdates(message.From, remaining)
	m.countSent(EstimateSize(reply), 1)
	return reply, applied
}

// compareVersions returns the updates that the sender of a version list lacks, the keys for which the sender has newer
// versions, and the buckets whose digests differ.
func (m *Members) compareVersions(message model.PeerMessage) (missing []model.Rumour, wanted map[uint64]int64, differing []int) {
	for _, key := range slices.Sorted(maps.Keys(message.Versions)) {
		version := message.Versions[key]
		switch {
		case key < bucketCount:
			if m.table.digests[key] != uint64(version) {
				differing = append(differing, int(key))
			}
		case key < 2*bucketCount:
			for hash, e := range m.table.buckets[key-bucketCount].All() {
				if _, listed := message.Versions[hash]; !listed && !e.hidden {
					missing = append(missing, e.update)
				}
			}
		case key&keyBit != 0:
			knownVersion := int64(unknownVersion)
			e, ok := m.table.get(key)
			if ok {
				knownVersion = e.update.Version
			}
			// An expired update was removed because of its age and is not sent. The update of a dead member is sent, to
			// correct the peer.
			if knownVersion > version && (!e.hidden || e.update.Kind == model.GossipMember) {
				missing = append(missing, e.update)
			} else if knownVersion < version {
				if wanted == nil {
					wanted = make(map[uint64]int64)
				}
				wanted[key] = knownVersion
			}
		}
	}
	return missing, wanted, differing
}

func (m *Members) bucketDigests() map[uint64]int64 {
	digests := make(map[uint64]int64, bucketCount)
	for i, digest := range m.table.digests {
		digests[uint64(i)] = int64(digest)
	}
	return digests
}

// enqueueKeyLists enqueues the keys of buckets for a peer, as many buckets per message as the size limit allows. It leaves
// enough space for one update (see attachRecipientState). A full table has 256 keys per bucket on average, which is 4.6
// KB.
func (m *Members) enqueueKeyLists(to model.InstanceID, buckets []int) {
	versions := make(map[uint64]int64)
	limit := m.settings.MaxMessage - m.settings.MaxPayload - maxKeyLength - 2*messageSize
	for _, bucket := range buckets {
		entries := m.table.buckets[bucket]
		if len(versions) > 0 && (len(versions)+entries.Len()+1)*versionSize > limit {
			m.enqueue(to, model.PeerMessage{Probe: true, Versions: versions})
			versions = make(map[uint64]int64)
		}
		versions[uint64(bucketCount+bucket)] = 0
		for hash, e := range entries.All() {
			if !e.hidden {
				versions[hash] = e.update.Version
			}
		}
	}
	if len(versions) > 0 {
		m.enqueue(to, model.PeerMessage{Probe: true, Versions: versions})
	}
}

// enqueueUpdates enqueues updates for a peer, split into as many messages as the size limit requires.
func (m *Members) enqueueUpdates(to model.InstanceID, updates []model.Rumour) {
	for len(updates) > 0 {
		var message model.PeerMessage
		updates = m.fillMessage(&message, updates)
		m.enqueue(to, message)
	}
}

// fillMessage adds updates to a message up to the size limit and returns the remaining ones.
func (m *Members) fillMessage(message *model.PeerMessage, updates []model.Rumour) []model.Rumour {
	size := EstimateSize(*message) + len(m.self.ID)
	for i, update := range updates {
		size += estimateUpdate(update)
		if size > m.settings.MaxMessage && len(message.Rumours)+len(message.Versions) > 0 {
			return updates[i:]
		}
		message.Rumours = append(message.Rumours, update)
	}
	return nil
}

// enqueue adds a message to the outbox, which the next Tick returns. Messages to a peer without a known address are
// dropped.
func (m *Members) enqueue(to model.InstanceID, message model.PeerMessage) {
	peer, ok := m.peers.Get(to)
	if !ok || peer.PeerAddress == "" || to == m.self.ID {
		return
	}
	message.From, message.Incarnation = m.self.ID, m.self.Incarnation
	if message.Probe && message.Target == "" {
		message.Digest = m.table.total
		m.attachRecipientState(to, peer.Incarnation, &message)
	}
	m.outbox = append(m.outbox, Send{To: to, Address: peer.PeerAddress, Message: message})
}

// attachRecipientState adds the update about the recipient to a message if this instance considers the recipient
// suspected, dead or replaced, so that the recipient can refute it at once.
func (m *Members) attachRecipientState(to model.InstanceID, incarnation model.Incarnation, message *model.PeerMessage) {
	e, ok := m.table.get(hashKey(model.GossipMember, string(to)))
	if ok && (decodeMemberVersion(e.update.Version).rank != rankAlive || decodeMemberVersion(e.update.Version).incarnation > incarnation) {
		message.Rumours = append(message.Rumours, e.update)
	}
}

// countSent adds messages of a total size to the counters.
func (m *Members) countSent(size, messages int) {
	m.stats.Messages += int64(messages)
	m.stats.Bytes += int64(size + messages*MessageOverhead)
}
