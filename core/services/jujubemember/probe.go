package jujubemember

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// probe is a probe without an answer so far.
type probe struct {
	indirect bool
	// until is when the next step follows: indirect probes after a direct one, a suspicion after indirect ones.
	until time.Time
}

// asker waits for the indirect probe of a target.
type asker struct {
	id    model.InstanceID
	until time.Time
}

// heard ends a probe of a member and answers those who asked for it.
func (m *Members) heard(id model.InstanceID) {
	m.pending.Delete(id)
	askers, ok := m.asked.Get(id)
	if !ok {
		return
	}
	m.asked.Delete(id)
	for _, a := range askers {
		m.queue(a.id, model.PeerMessage{Target: id, TargetAlive: true})
	}
}

// probeFor probes a target for another member.
func (m *Members) probeFor(now time.Time, target, from model.InstanceID) {
	askers, _ := m.asked.Get(target)
	askers = slices.DeleteFunc(askers, func(a asker) bool { return a.id == from })
	m.asked.Put(target, append(askers, asker{from, now.Add(m.settings.IndirectTimeout)}))
	m.queue(target, model.PeerMessage{Probe: true})
}

// Failed reports that a message to a peer failed or was not answered in time. Other members then probe the peer.
func (m *Members) Failed(now time.Time, to model.InstanceID) {
	peer, ok := m.peers.Get(to)
	if !ok || to == m.self.ID || peer.State == model.MemberDead {
		return
	}
	if p, waits := m.pending.Get(to); waits && p.indirect {
		return
	}
	m.probeIndirectly(now, to)
}

func (m *Members) probeIndirectly(now time.Time, id model.InstanceID) {
	m.pending.Put(id, probe{indirect: true, until: now.Add(m.settings.IndirectTimeout)})
	for _, helper := range m.pick(m.settings.IndirectPeers, id) {
		m.queue(helper, model.PeerMessage{Probe: true, Target: id})
	}
}

// Tick returns the messages to send now. It is called every 50 ms.
func (m *Members) Tick(now time.Time) []Send {
	m.expire(now)
	m.checkProbes(now)
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.settings.ProbeInterval)
		m.probeNext(now)
	}
	if !now.Before(m.nextDead) {
		m.nextDead = now.Add(m.settings.DeadProbeInterval)
		m.probeDead()
	}
	m.forward(now)
	sends := m.outbox
	m.outbox = nil
	for _, send := range sends {
		m.count(EstimateSize(send.Message), 1)
		if !send.Message.Probe {
			// The empty answer, which Receive can't tell apart on the other side.
			m.count(messageSize, 1)
		}
	}
	return sends
}

// checkProbes takes the next step of probes and suspicions that are overdue.
func (m *Members) checkProbes(now time.Time) {
	for id, p := range m.pending.All() {
		if now.Before(p.until) {
			continue
		}
		if !p.indirect {
			m.probeIndirectly(now, id)
			continue
		}
		m.pending.Delete(id)
		if peer, ok := m.peers.Get(id); ok && peer.State != model.MemberDead {
			m.declare(now, id, rankSuspect)
		}
	}
	for id, until := range m.suspects.All() {
		if !now.Before(until) {
			m.declare(now, id, rankDead)
		}
	}
	for id, askers := range m.asked.All() {
		askers = slices.DeleteFunc(askers, func(a asker) bool { return !now.Before(a.until) })
		if len(askers) == 0 {
			m.asked.Delete(id)
		} else {
			m.asked.Put(id, askers)
		}
	}
}

// probeNext probes the next peer of the round; each round visits all peers in a new random order.
func (m *Members) probeNext(now time.Time) {
	for range 2 {
		for len(m.ring) > 0 {
			id := m.ring[0]
			m.ring = m.ring[1:]
			if peer, ok := m.peers.Get(id); !ok || peer.State == model.MemberDead {
				continue
			}
			if _, waits := m.pending.Get(id); !waits {
				m.pending.Put(id, probe{until: now.Add(m.settings.ProbeTimeout)})
			}
			m.queue(id, model.PeerMessage{Probe: true})
			return
		}
		m.ring = slices.Clone(m.livePeers())
		m.random.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
	}
}

// probeDead probes one random dead member; a living one refutes its death.
func (m *Members) probeDead() {
	var dead []model.InstanceID
	for id, peer := range m.peers.All() {
		if peer.State == model.MemberDead && id != m.self.ID {
			dead = append(dead, id)
		}
	}
	if len(dead) > 0 {
		m.queue(dead[m.random.IntN(len(dead))], model.PeerMessage{Probe: true})
	}
}

// livePeers returns the other members that aren't dead, sorted.
func (m *Members) livePeers() []model.InstanceID {
	if m.targets == nil {
		m.targets = make([]model.InstanceID, 0, m.peers.Len())
		for id, peer := range m.peers.All() {
			if id != m.self.ID && peer.State != model.MemberDead {
				m.targets = append(m.targets, id)
			}
		}
	}
	return m.targets
}

// pick returns up to count distinct live peers other than except.
func (m *Members) pick(count int, except model.InstanceID) []model.InstanceID {
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

// forward sends new rumours to random peers. Rumours wait while no peer is known.
func (m *Members) forward(now time.Time) {
	if len(m.hot) == 0 || len(m.livePeers()) == 0 {
		return
	}
	m.refill(now)
	var rumours []model.Rumour
	var rest []*entry
	for _, e := range m.hot {
		if current, _ := m.table.get(e.hash); current != e {
			continue // a newer version took its place
		}
		if e.rumour.Kind == model.RumourMember {
			cost := estimateRumour(e.rumour) * m.settings.Fanout
			if cost > m.memberTokens {
				continue
			}
			m.memberTokens -= cost
		}
		rumours = append(rumours, e.rumour)
		if e.forwards--; e.forwards > 0 {
			rest = append(rest, e)
		}
	}
	m.hot = rest
	for _, id := range m.pick(m.settings.Fanout, "") {
		m.queueRumours(id, rumours)
	}
}

func (m *Members) refill(now time.Time) {
	if !m.tokensAt.IsZero() {
		gained := now.Sub(m.tokensAt).Seconds() * float64(m.settings.MemberRate)
		m.memberTokens = int(min(float64(m.settings.MemberBurst), float64(m.memberTokens)+gained))
	}
	m.tokensAt = now
}

// expire checks one bucket per call, which visits each entry within bucketCount ticks.
func (m *Members) expire(now time.Time) {
	bucket := m.table.buckets[m.scanned%bucketCount]
	m.scanned++
	for _, e := range bucket.All() {
		age := now.Sub(e.at)
		if e.rumour.Kind == model.RumourMember {
			if e.hidden && age >= m.settings.ForgetDeadAfter {
				m.forget(e)
			}
			continue
		}
		valid, ok := m.settings.Expiry[e.rumour.Kind]
		if !ok || age < valid {
			continue
		}
		m.table.hide(e)
		e.rumour.Payload = nil
		if age >= tombstoneFactor*valid {
			m.table.remove(e)
		}
	}
}

func (m *Members) forget(e *entry) {
	id := model.InstanceID(e.rumour.Key)
	if peer, ok := m.peers.Get(id); ok && m.byAddress[peer.PeerAddress] == id {
		delete(m.byAddress, peer.PeerAddress)
	}
	m.table.remove(e)
	m.peers.Delete(id)
	m.changed()
}
