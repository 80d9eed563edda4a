package jujubemember

import (
	"math/rand/v2"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Members is one instance's view of the others and of the rumours. It has one owner and is not safe for concurrent use.
type Members struct {
	settings Settings
	random   *rand.Rand
	self     model.Member
	// own is what this instance says of itself.
	own standing
	// replaced is true once a newer process with this id or address was seen; this instance then stops refuting.
	replaced bool
	table    *rumourTable
	// peers holds every known member, dead ones and self included.
	peers *jujubetable.Table[model.InstanceID, model.Member]
	// byAddress is the member that last claimed a peer address.
	byAddress map[string]model.InstanceID
	// suspects maps each suspected member to the time from which it is dead.
	suspects *jujubetable.Table[model.InstanceID, time.Time]
	// targets are the peers that aren't dead, sorted; nil after a change.
	targets []model.InstanceID
	// live is the answer of Live; nil after a change. It is replaced and never written to, so that callers may keep it.
	live []model.Member
	// changes counts the changes of peers.
	changes int64
	// ring is the rest of the current round of probes.
	ring    []model.InstanceID
	pending *jujubetable.Table[model.InstanceID, probe]
	// asked maps a target to the members that wait for an indirect probe of it.
	asked *jujubetable.Table[model.InstanceID, []asker]
	// hot are the entries with forwards left, in the order of their receipt.
	hot          []*entry
	outbox       []Send
	nextProbe    time.Time
	nextDead     time.Time
	scanned      int
	memberTokens int
	tokensAt     time.Time
	stats        Stats
}

// New returns the view of an instance that knows only itself.
func New(self model.Member, settings Settings, random *rand.Rand) *Members {
	m := &Members{
		settings:  settings.withDefaults(),
		random:    random,
		self:      self,
		own:       standing{incarnation: self.Incarnation, refutation: self.Refutation, rank: rankAlive},
		table:     newRumourTable(),
		peers:     jujubetable.New[model.InstanceID, model.Member](),
		byAddress: make(map[string]model.InstanceID),
		suspects:  jujubetable.New[model.InstanceID, time.Time](),
		pending:   jujubetable.New[model.InstanceID, probe](),
		asked:     jujubetable.New[model.InstanceID, []asker](),
	}
	m.memberTokens = m.settings.MemberBurst
	m.publishSelf(time.Time{})
	return m
}

// SetSeeds adds members of the instance list that are not known, or known only with a lower incarnation. The list lags
// behind, so that it never revives a member known to be dead.
func (m *Members) SetSeeds(now time.Time, seeds []model.Member) {
	for _, seed := range seeds {
		known, ok := m.peers.Get(seed.ID)
		if seed.ID == m.self.ID || seed.State == model.MemberDead || ok && known.Incarnation >= seed.Incarnation {
			continue
		}
		s := standing{incarnation: seed.Incarnation, leaving: seed.State == model.MemberLeaving, rank: rankAlive}
		// Not forwarded: the others read the same list, and anti-entropy reaches those that don't.
		m.adopt(now, newMemberRumour(seed, s), 0)
	}
}

// Publish spreads what this instance learned. Members are published by this package only. A rumour that isn't newer
// than the known one, or is too large, is dropped.
func (m *Members) Publish(now time.Time, rumour model.Rumour) {
	if rumour.Kind != model.RumourMember {
		m.adopt(now, rumour, m.settings.Forwards)
	}
}

// Live returns the members that aren't dead, in the order of their ids. The caller must not change the slice: it is
// built once after each change, because several systems read it in each tick.
func (m *Members) Live() []model.Member {
	if m.live == nil {
		live := make([]model.Member, 0, m.peers.Len())
		for id, member := range m.peers.All() {
			if id == m.self.ID || member.State != model.MemberDead {
				live = append(live, member)
			}
		}
		m.live = slices.Clip(live)
	}
	return m.live
}

// Changes grows with each change of what Live and Known return.
func (m *Members) Changes() int64 { return m.changes }

// putPeer sets the row of a member.
func (m *Members) putPeer(member model.Member) {
	m.peers.Put(member.ID, member)
	m.changed()
}

func (m *Members) changed() {
	m.targets, m.live = nil, nil
	m.changes++
}

// Known returns every known member with its state, in the order of their ids.
func (m *Members) Known() []model.Member {
	known := make([]model.Member, 0, m.peers.Len())
	for _, member := range m.peers.All() {
		known = append(known, member)
	}
	return known
}

// Rumour returns the valid rumour of a kind and key.
func (m *Members) Rumour(kind model.RumourKind, key string) (model.Rumour, bool) {
	e, ok := m.table.get(hashKey(kind, key))
	if !ok || e.hidden {
		return model.Rumour{}, false
	}
	return e.rumour, true
}

// Digest identifies the content of the rumour table; instances with the same digest hold the same versions.
func (m *Members) Digest() uint64 { return m.table.total }

// Replaced tells that a newer process with this id or peer address was seen.
func (m *Members) Replaced() bool { return m.replaced }

// Stats returns the counters since New.
func (m *Members) Stats() Stats { return m.stats }

// Leave announces that this instance is leaving. It stays a live member until it stops answering.
func (m *Members) Leave(now time.Time) {
	if !m.own.leaving {
		m.own.leaving = true
		m.publishSelf(now)
	}
}

func (m *Members) publishSelf(now time.Time) {
	rumour := newMemberRumour(m.self, m.own)
	m.self.State, m.self.Refutation = m.own.state(), m.own.refutation
	m.putPeer(m.self)
	m.byAddress[m.self.PeerAddress] = m.self.ID
	m.hot = append(m.hot, m.table.put(now, rumour, false, m.settings.Forwards))
}

// adopt takes over a rumour that is newer than the known one and tells whether it did.
func (m *Members) adopt(now time.Time, rumour model.Rumour, forwards int) bool {
	e, known := m.table.get(hashKey(rumour.Kind, rumour.Key))
	if known && rumour.Version <= e.rumour.Version {
		return false
	}
	if len(rumour.Payload) > m.settings.MaxPayload || len(rumour.Key) > maxKey || rumour.Version < 0 || !known && m.table.count >= m.settings.MaxRumours {
		m.stats.Refused++
		return false
	}
	if rumour.Kind == model.RumourMember {
		return m.adoptMember(now, rumour, forwards)
	}
	if e = m.table.put(now, rumour, false, forwards); forwards > 0 {
		m.hot = append(m.hot, e)
	}
	return true
}

func (m *Members) adoptMember(now time.Time, rumour model.Rumour, forwards int) bool {
	member, err := parseMemberRumour(rumour)
	if err != nil {
		m.stats.Refused++
		return false
	}
	if member.ID == m.self.ID && !m.replaced {
		if member.Incarnation == m.self.Incarnation {
			m.refute(now, parseStanding(rumour.Version))
			return false
		}
		m.replaced = true
	}
	_, known := m.peers.Get(member.ID)
	dead := member.State == model.MemberDead
	if dead && !known {
		forwards = 0
	}
	if e := m.table.put(now, rumour, dead, forwards); forwards > 0 {
		m.hot = append(m.hot, e)
	}
	m.putPeer(member)
	if parseStanding(rumour.Version).rank == rankSuspect {
		m.suspects.Put(member.ID, now.Add(m.settings.SuspectFor))
	} else {
		m.suspects.Delete(member.ID)
	}
	if !dead {
		m.resolveAddress(now, member)
	}
	return true
}

// refute answers a suspicion or a declared death of this incarnation with a higher refutation.
func (m *Members) refute(now time.Time, accusation standing) {
	m.own.leaving = m.own.leaving || accusation.leaving
	if accusation.rank != rankAlive || accusation.refutation > m.own.refutation {
		m.own.refutation = max(m.own.refutation, accusation.refutation) + 1
	}
	m.publishSelf(now)
}

// resolveAddress declares the older of two members with the same peer address dead: its process is gone.
func (m *Members) resolveAddress(now time.Time, member model.Member) {
	if member.PeerAddress == "" {
		return
	}
	otherID, ok := m.byAddress[member.PeerAddress]
	m.byAddress[member.PeerAddress] = member.ID
	other, known := m.peers.Get(otherID)
	if !ok || !known || otherID == member.ID || other.State == model.MemberDead || other.PeerAddress != member.PeerAddress {
		return
	}
	older := other
	if member.Incarnation < other.Incarnation || member.Incarnation == other.Incarnation && member.ID < other.ID {
		older = member
		m.byAddress[member.PeerAddress] = otherID
	}
	if older.ID == m.self.ID {
		m.replaced = true
		return
	}
	m.declare(now, older.ID, rankDead)
}

// declare publishes a suspicion or the death of a member at its known incarnation and refutation.
func (m *Members) declare(now time.Time, id model.InstanceID, rank int64) {
	e, ok := m.table.get(hashKey(model.RumourMember, string(id)))
	if !ok || id == m.self.ID {
		return
	}
	rumour := e.rumour
	s := parseStanding(rumour.Version)
	s.rank = rank
	rumour.Version = s.version()
	m.adopt(now, rumour, m.settings.Forwards)
}
