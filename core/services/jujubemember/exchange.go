package jujubemember

import (
	"maps"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Keys of PeerMessage.Versions: a value below bucketCount gives the digest of that bucket; bucketCount plus a bucket says
// that all of the bucket's keys are listed; others are key hashes with versions. A version of -1 asks for the rumour.
//
// Anti-entropy takes two round trips, the second only when digests differ:
//
//	probe with digest               -> bucket digests
//	keys of the differing buckets   -> rumours that are newer here, wanted keys
//	wanted rumours

const unknownVersion = -1

// Receive handles a message or the answer to one; the adapter returns reply to the sender of a message and drops it
// when message was itself an answer. Probe marks messages whose reply carries content. news are the adopted rumours.
func (m *Members) Receive(now time.Time, message model.PeerMessage) (reply model.PeerMessage, news []model.Rumour) {
	m.stats.Received++
	reply = model.PeerMessage{From: m.self.ID, Incarnation: m.self.Incarnation}
	if message.From == m.self.ID {
		m.replaced = m.replaced || message.Incarnation > m.self.Incarnation
		return reply, nil
	}
	known, ok := m.peers.Get(message.From)
	if !ok || message.Incarnation >= known.Incarnation {
		m.heard(message.From)
	}
	for _, rumour := range message.Rumours {
		if m.adopt(now, rumour, m.settings.Forwards) {
			news = append(news, rumour)
		}
	}
	if message.Target != "" {
		if message.TargetAlive {
			m.pending.Delete(message.Target)
		} else if message.Probe {
			m.probeFor(now, message.Target, message.From)
		}
	}
	missing, wanted, differing := m.compare(message)
	if !message.Probe {
		m.queueRumours(message.From, missing)
		m.queueLists(message.From, differing)
		return reply, news
	}
	if message.Target == "" {
		reply.Digest = m.table.total
		reply.Versions = wanted
		if len(message.Versions) == 0 && message.Digest != m.table.total {
			reply.Versions = m.bucketDigests()
		}
	}
	m.accuse(message.From, message.Incarnation, &reply)
	rest := m.fill(&reply, missing)
	m.queueRumours(message.From, rest)
	m.count(EstimateSize(reply), 1)
	return reply, news
}

// compare returns the rumours that the sender of a version list lacks, the keys for which it has newer versions, and the
// buckets whose digests differ.
func (m *Members) compare(message model.PeerMessage) (missing []model.Rumour, wanted map[uint64]int64, differing []int) {
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
					missing = append(missing, e.rumour)
				}
			}
		case key&keyBit != 0:
			own := int64(unknownVersion)
			e, ok := m.table.get(key)
			if ok {
				own = e.rumour.Version
			}
			// An expired rumour was removed because of its age and is not sent; a dead member's is, as a correction.
			if own > version && (!e.hidden || e.rumour.Kind == model.RumourMember) {
				missing = append(missing, e.rumour)
			} else if own < version {
				if wanted == nil {
					wanted = make(map[uint64]int64)
				}
				wanted[key] = own
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

// queueLists sends the keys of buckets to a peer, as many buckets to a message as its bound allows, with room for one
// rumour (see accuse). A full table has 256 keys in a bucket on average, 4.6 KB.
func (m *Members) queueLists(to model.InstanceID, buckets []int) {
	versions := make(map[uint64]int64)
	bound := m.settings.MaxMessage - m.settings.MaxPayload - maxKey - 2*messageSize
	for _, bucket := range buckets {
		rows := m.table.buckets[bucket]
		if len(versions) > 0 && (len(versions)+rows.Len()+1)*versionSize > bound {
			m.queue(to, model.PeerMessage{Probe: true, Versions: versions})
			versions = make(map[uint64]int64)
		}
		versions[uint64(bucketCount+bucket)] = 0
		for hash, e := range rows.All() {
			if !e.hidden {
				versions[hash] = e.rumour.Version
			}
		}
	}
	if len(versions) > 0 {
		m.queue(to, model.PeerMessage{Probe: true, Versions: versions})
	}
}

// queueRumours sends rumours to a peer in as many messages as their bound requires.
func (m *Members) queueRumours(to model.InstanceID, rumours []model.Rumour) {
	for len(rumours) > 0 {
		var message model.PeerMessage
		rumours = m.fill(&message, rumours)
		m.queue(to, message)
	}
}

// fill adds rumours to a message up to its bound and returns the rest.
func (m *Members) fill(message *model.PeerMessage, rumours []model.Rumour) []model.Rumour {
	size := EstimateSize(*message) + len(m.self.ID)
	for i, rumour := range rumours {
		size += estimateRumour(rumour)
		if size > m.settings.MaxMessage && len(message.Rumours)+len(message.Versions) > 0 {
			return rumours[i:]
		}
		message.Rumours = append(message.Rumours, rumour)
	}
	return nil
}

// queue hands a message to the next Tick; a peer without a known address gets none.
func (m *Members) queue(to model.InstanceID, message model.PeerMessage) {
	peer, ok := m.peers.Get(to)
	if !ok || peer.PeerAddress == "" || to == m.self.ID {
		return
	}
	message.From, message.Incarnation = m.self.ID, m.self.Incarnation
	if message.Probe && message.Target == "" {
		message.Digest = m.table.total
		m.accuse(to, peer.Incarnation, &message)
	}
	m.outbox = append(m.outbox, Send{To: to, Address: peer.PeerAddress, Message: message})
}

// accuse tells a peer that it is suspected, dead or replaced here, so that it can refute that at once.
func (m *Members) accuse(to model.InstanceID, incarnation model.Incarnation, message *model.PeerMessage) {
	e, ok := m.table.get(hashKey(model.RumourMember, string(to)))
	if ok && (parseStanding(e.rumour.Version).rank != rankAlive || parseStanding(e.rumour.Version).incarnation > incarnation) {
		message.Rumours = append(message.Rumours, e.rumour)
	}
}

func (m *Members) count(size, messages int) {
	m.stats.Messages += int64(messages)
	m.stats.Bytes += int64(size + messages*MessageOverhead)
}
