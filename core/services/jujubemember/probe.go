package jujubemember

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// probe is a probe without a reply so far.
type probe struct {
	indirect bool
	// deadline is when the next step follows: indirect probes after a direct one, suspicion after the indirect ones.
	deadline time.Time
}

// probeRequester is a member that requested an indirect probe of a target.
type probeRequester struct {
	id       model.InstanceID
	deadline time.Time
}

// confirmAlive ends the pending probe of a member and reports to the members that requested an indirect probe of it.
func (m *Members) confirmAlive(id model.InstanceID) {
	m.pendingProbes.Delete(id)
	requesters, ok := m.probeRequests.Get(id)
	if !ok {
		return
	}
	m.probeRequests.Delete(id)
	for _, requester := range requesters {
		m.enqueue(requester.id, model.PeerMessage{Target: id, TargetAlive: true})
	}
}

// probeOnBehalf probes a target at the request of another member.
func (m *Members) probeOnBehalf(now time.Time, target, from model.InstanceID) {
	requesters, _ := m.probeRequests.Get(target)
	requesters = slices.DeleteFunc(requesters, func(r probeRequester) bool { return r.id == from })
	m.probeRequests.Put(target, append(requesters, probeRequester{from, now.Add(m.settings.IndirectTimeout)}))
	m.enqueue(target, model.PeerMessage{Probe: true})
}

// HandleSendFailure handles a message to a peer that failed or got no reply in time: other members are requested to probe the
// peer.
func (m *Members) HandleSendFailure(now time.Time, to model.InstanceID) {
	peer, ok := m.peers.Get(to)
	if !ok || to == m.self.ID || peer.State == model.MemberDead {
		return
	}
	if p, isPending := m.pendingProbes.Get(to); isPending && p.indirect {
		return
	}
	m.probeIndirectly(now, to)
}

// probeIndirectly requests IndirectPeers other members to probe a member.
func (m *Members) probeIndirectly(now time.Time, id model.InstanceID) {
	m.pendingProbes.Put(id, probe{indirect: true, deadline: now.Add(m.settings.IndirectTimeout)})
	for _, helper := range m.pickPeers(m.settings.IndirectPeers, id) {
		m.enqueue(helper, model.PeerMessage{Probe: true, Target: id})
	}
}

// Tick handles timeouts and returns the messages to send now. It is called every 50 ms.
func (m *Members) Tick(now time.Time) []Send {
	m.expireUpdates(now)
	m.checkProbes(now)
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.settings.ProbeInterval)
		m.probeNext(now)
	}
	if !now.Before(m.nextDeadProbe) {
		m.nextDeadProbe = now.Add(m.settings.DeadProbeInterval)
		m.probeDead()
	}
	m.forwardUpdates(now)
	sends := m.outbox
	m.outbox = nil
	for _, send := range sends {
		m.countSent(EstimateSize(send.Message), 1)
		if !send.Message.Probe {
			// Counts the empty reply here, because Receive on the other side can't tell it from others.
			m.countSent(messageSize, 1)
		}
	}
	return sends
}

// checkProbes performs the next step for probes and suspicions whose deadline has passed.
func (m *Members) checkProbes(now time.Time) {
	for id, p := range m.pendingProbes.All() {
		if now.Before(p.deadline) {
			continue
		}
		if !p.indirect {
			m.probeIndirectly(now, id)
			continue
		}
		m.pendingProbes.Delete(id)
		if peer, ok := m.peers.Get(id); ok && peer.State != model.MemberDead {
			m.publishRank(now, id, rankSuspect)
		}
	}
	for id, deadline := range m.suspectDeadlines.All() {
		if !now.Before(deadline) {
			m.publishRank(now, id, rankDead)
		}
	}
	for id, requesters := range m.probeRequests.All() {
		requesters = slices.DeleteFunc(requesters, func(r probeRequester) bool { return !now.Before(r.deadline) })
		if len(requesters) == 0 {
			m.probeRequests.Delete(id)
		} else {
			m.probeRequests.Put(id, requesters)
		}
	}
}

// probeNext probes the next peer of the round. Each round visits all peers in a new random order.
func (m *Members) probeNext(now time.Time) {
	for range 2 {
		for len(m.probeRound) > 0 {
			id := m.probeRound[0]
			m.probeRound = m.probeRound[1:]
			if peer, ok := m.peers.Get(id); !ok || peer.State == model.MemberDead {
				continue
			}
			if _, isPending := m.pendingProbes.Get(id); !isPending {
				m.pendingProbes.Put(id, probe{deadline: now.Add(m.settings.ProbeTimeout)})
			}
			m.enqueue(id, model.PeerMessage{Probe: true})
			return
		}
		m.probeRound = slices.Clone(m.livePeers())
		m.random.Shuffle(len(m.probeRound), func(i, j int) { m.probeRound[i], m.probeRound[j] = m.probeRound[j], m.probeRound[i] })
	}
}

// probeDead probes one random dead member. If it is alive, it refutes its death.
func (m *Members) probeDead() {
	var dead []model.InstanceID
	for id, peer := range m.peers.All() {
		if peer.State == model.MemberDead && id != m.self.ID {
			dead = append(dead, id)
		}
	}
	if len(dead) > 0 {
		m.enqueue(dead[m.random.IntN(len(dead))], model.PeerMessage{Probe: true})
	}
}

// livePeers returns the sorted ids of the other members that aren't dead.
func (m *Members) livePeers() []model.InstanceID {
	if m.livePeerIDs == nil {
		m.livePeerIDs = make([]model.InstanceID, 0, m.peers.Len())
		for id, peer := range m.peers.All() {
			if id != m.self.ID && peer.State != model.MemberDead {
				m.livePeerIDs = append(m.livePeerIDs, id)
			}
		}
	}
	return m.livePeerIDs
}

// pickPeers returns up to count distinct random live peers other than except.
func (m *Members) pickPeers(count int, except model.InstanceID) []model.InstanceID {
	peers := m.livePeers()
	var picked []model.InstanceID
	for _, i := range m.random.Perm(len(peers)) {
		if len(picked) == count {
			break
		}
		if peers[i] != except {
			picked = append(picked, peers[i])
		}
	}
	return picked
}

// forwardUpdates sends new updates to random peers. Updates stay queued while no live peer is known.
func (m *Members) forwardUpdates(now time.Time) {
	if len(m.forwardQueue) == 0 || len(m.livePeers()) == 0 {
		return
	}
	m.refillTokens(now)
	var updates []model.Rumour
	var remaining []*entry
	for _, e := range m.forwardQueue {
		if current, _ := m.table.get(e.hash); current != e {
			continue // replaced by a newer version
		}
		if e.update.Kind == model.GossipMember {
			cost := estimateUpdate(e.update) * m.settings.Fanout
			if cost > m.memberTokens {
				continue
			}
			m.memberTokens -= cost
		}
		updates = append(updates, e.update)
		if e.remainingForwards--; e.remainingForwards > 0 {
			remaining = append(remaining, e)
		}
	}
	m.forwardQueue = remaining
	for _, id := range m.pickPeers(m.settings.Fanout, "") {
		m.enqueueUpdates(id, updates)
	}
}

// refillTokens refills the token bucket that bounds the forwarding of member updates.
func (m *Members) refillTokens(now time.Time) {
	if !m.tokensRefilledAt.IsZero() {
		gained := now.Sub(m.tokensRefilledAt).Seconds() * float64(m.settings.MemberRate)
		m.memberTokens = int(min(float64(m.settings.MemberBurst), float64(m.memberTokens)+gained))
	}
	m.tokensRefilledAt = now
}

// expireUpdates hides or removes outdated entries. It checks one bucket per call, so that each entry is visited once in
// bucketCount ticks.
func (m *Members) expireUpdates(now time.Time) {
	bucket := m.table.buckets[m.nextBucket%bucketCount]
	m.nextBucket++
	for _, e := range bucket.All() {
		age := now.Sub(e.receivedAt)
		if e.update.Kind == model.GossipMember {
			if e.hidden && age >= m.settings.ForgetDeadAfter {
				m.deleteMember(e)
			}
			continue
		}
		validity, ok := m.settings.Expiry[e.update.Kind]
		if !ok || age < validity {
			continue
		}
		m.table.hide(e)
		e.update.Payload = nil
		if age >= tombstoneFactor*validity {
			m.table.remove(e)
		}
	}
}

// deleteMember removes a dead member and its update.
func (m *Members) deleteMember(e *entry) {
	id := model.InstanceID(e.update.Key)
	if peer, ok := m.peers.Get(id); ok && m.byAddress[peer.PeerAddress] == id {
		delete(m.byAddress, peer.PeerAddress)
	}
	m.table.remove(e)
	m.peers.Delete(id)
	m.markChanged()
}
