package jujubemember

import (
	"math/rand/v2"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Members is one instance's view of the other instances and of the gossip updates. It has one owner and is not safe for
// concurrent use.
type Members struct {
	settings Settings
	random   *rand.Rand
	self     model.Member
	// ownVersion is the version of the update that this instance publishes about itself.
	ownVersion memberVersion
	// replaced is true once a newer process with this id or address was detected. This instance then stops refuting.
	replaced bool
	table    *updateTable
	// peers holds every known member, including dead ones and this instance.
	peers *jujubetable.Table[model.InstanceID, model.Member]
	// byAddress maps a peer address to the member that claimed it last.
	byAddress map[string]model.InstanceID
	// suspectDeadlines maps each suspected member to the time at which it is declared dead.
	suspectDeadlines *jujubetable.Table[model.InstanceID, time.Time]
	// livePeerIDs caches the sorted ids of the peers that aren't dead; nil after a change.
	livePeerIDs []model.InstanceID
	// liveMembers caches the result of Live; nil after a change. It is replaced and never modified, so results of Live may
	// be retained.
	liveMembers []model.Member
	// changeCount is the number of changes to peers.
	changeCount int64
	// probeRound holds the peers that remain to be probed in the current round.
	probeRound    []model.InstanceID
	pendingProbes *jujubetable.Table[model.InstanceID, probe]
	// probeRequests maps a target to the members that requested an indirect probe of it.
	probeRequests *jujubetable.Table[model.InstanceID, []probeRequester]
	// forwardQueue holds the entries that are still to be forwarded, in the order of their receipt.
	forwardQueue     []*entry
	outbox           []Send
	nextProbe        time.Time
	nextDeadProbe    time.Time
	nextBucket       int
	memberTokens     int
	tokensRefilledAt time.Time
	stats            Stats
}

// New returns the initial view, in which the instance is the only member.
func New(self model.Member, settings Settings, random *rand.Rand) *Members {
	m := &Members{
		settings:         settings.withDefaults(),
		random:           random,
		self:             self,
		ownVersion:       memberVersion{incarnation: self.Incarnation, refutation: self.Refutation, rank: rankAlive},
		table:            newUpdateTable(),
		peers:            jujubetable.New[model.InstanceID, model.Member](),
		byAddress:        make(map[string]model.InstanceID),
		suspectDeadlines: jujubetable.New[model.InstanceID, time.Time](),
		pendingProbes:    jujubetable.New[model.InstanceID, probe](),
		probeRequests:    jujubetable.New[model.InstanceID, []probeRequester](),
	}
	m.memberTokens = m.settings.MemberBurst
	m.publishSelf(time.Time{})
	return m
}

// SetSeeds adds members of the instance list that are unknown, or known with a lower incarnation. The list lags behind, so
// it never revives a member that is known to be dead.
func (m *Members) SetSeeds(now time.Time, seeds []model.Member) {
	for _, seed := range seeds {
		known, ok := m.peers.Get(seed.ID)
		if seed.ID == m.self.ID || seed.State == model.MemberDead || ok && known.Incarnation >= seed.Incarnation {
			continue
		}
		version := memberVersion{incarnation: seed.Incarnation, leaving: seed.State == model.MemberLeaving, rank: rankAlive}
		// Not forwarded: the other instances read the same list, and anti-entropy reaches those that don't.
		m.applyUpdate(now, newMemberUpdate(seed, version), 0)
	}
}

// Publish applies an update of this instance and gossips it. Member updates are published by this package only. An update
// that isn't newer than the known one, or that is too large, is dropped.
func (m *Members) Publish(now time.Time, update model.Rumour) {
	if update.Kind != model.GossipMember {
		m.applyUpdate(now, update, m.settings.ForwardTicks)
	}
}

// Live returns the members that aren't dead, sorted by id. The slice must not be modified: it is built once after each
// change, because several systems read it in each tick.
func (m *Members) Live() []model.Member {
	if m.liveMembers == nil {
		live := make([]model.Member, 0, m.peers.Len())
		for id, member := range m.peers.All() {
			if id == m.self.ID || member.State != model.MemberDead {
				live = append(live, member)
			}
		}
		m.liveMembers = slices.Clip(live)
	}
	return m.liveMembers
}

// ChangeCount returns a counter that increases with each change of the results of Live and Known.
func (m *Members) ChangeCount() int64 { return m.changeCount }

// putPeer stores a member.
func (m *Members) putPeer(member model.Member) {
	m.peers.Put(member.ID, member)
	m.markChanged()
}

// markChanged drops the cached member lists and increments the change counter.
func (m *Members) markChanged() {
	m.livePeerIDs, m.liveMembers = nil, nil
	m.changeCount++
}

// Known returns every known member with its state, sorted by id.
func (m *Members) Known() []model.Member {
	known := make([]model.Member, 0, m.peers.Len())
	for _, member := range m.peers.All() {
		known = append(known, member)
	}
	return known
}

// GossipUpdate returns the gossip update of a kind and key unless it has expired or its member is dead.
func (m *Members) GossipUpdate(kind model.GossipKind, key string) (model.Rumour, bool) {
	e, ok := m.table.get(hashKey(kind, key))
	if !ok || e.hidden {
		return model.Rumour{}, false
	}
	return e.update, true
}

// Digest returns the digest of the update table. Instances with the same digest hold the same versions.
func (m *Members) Digest() uint64 { return m.table.total }

// IsReplaced reports whether a newer process with this id or peer address was detected.
func (m *Members) IsReplaced() bool { return m.replaced }

// Stats returns the counters since New.
func (m *Members) Stats() Stats { return m.stats }

// Leave announces that this instance is leaving. It stays a live member until it stops responding.
func (m *Members) Leave(now time.Time) {
	if !m.ownVersion.leaving {
		m.ownVersion.leaving = true
		m.publishSelf(now)
	}
}

func (m *Members) publishSelf(now time.Time) {
	update := newMemberUpdate(m.self, m.ownVersion)
	m.self.State, m.self.Refutation = m.ownVersion.state(), m.ownVersion.refutation
	m.putPeer(m.self)
	m.byAddress[m.self.PeerAddress] = m.self.ID
	m.forwardQueue = append(m.forwardQueue, m.table.put(now, update, false, m.settings.ForwardTicks))
}

// applyUpdate stores an update if it is newer than the known one, and reports whether it did so.
func (m *Members) applyUpdate(now time.Time, update model.Rumour, forwards int) bool {
	e, known := m.table.get(hashKey(update.Kind, update.Key))
	if known && update.Version <= e.update.Version {
		return false
	}
	if len(update.Payload) > m.settings.MaxPayload || len(update.Key) > maxKeyLength || update.Version < 0 || !known && m.table.count >= m.settings.MaxUpdates {
		m.stats.Refused++
		return false
	}
	if update.Kind == model.GossipMember {
		return m.applyMemberUpdate(now, update, forwards)
	}
	if e = m.table.put(now, update, false, forwards); forwards > 0 {
		m.forwardQueue = append(m.forwardQueue, e)
	}
	return true
}

// applyMemberUpdate stores an update about a member, or refutes it if it concerns the current incarnation of this
// instance. It reports whether the update was stored.
func (m *Members) applyMemberUpdate(now time.Time, update model.Rumour, forwards int) bool {
	member, err := parseMemberUpdate(update)
	if err != nil {
		m.stats.Refused++
		return false
	}
	if member.ID == m.self.ID && !m.replaced {
		if member.Incarnation == m.self.Incarnation {
			m.refute(now, decodeMemberVersion(update.Version))
			return false
		}
		m.replaced = true
	}
	_, known := m.peers.Get(member.ID)
	dead := member.State == model.MemberDead
	if dead && !known {
		forwards = 0
	}
	if e := m.table.put(now, update, dead, forwards); forwards > 0 {
		m.forwardQueue = append(m.forwardQueue, e)
	}
	m.putPeer(member)
	if decodeMemberVersion(update.Version).rank == rankSuspect {
		m.suspectDeadlines.Put(member.ID, now.Add(m.settings.SuspicionTimeout))
	} else {
		m.suspectDeadlines.Delete(member.ID)
	}
	if !dead {
		m.resolveAddressConflict(now, member)
	}
	return true
}

// refute publishes a higher refutation number in response to a suspicion or a declared death of this incarnation.
func (m *Members) refute(now time.Time, claimed memberVersion) {
	m.ownVersion.leaving = m.ownVersion.leaving || claimed.leaving
	if claimed.rank != rankAlive || claimed.refutation > m.ownVersion.refutation {
		m.ownVersion.refutation = max(m.ownVersion.refutation, claimed.refutation) + 1
	}
	m.publishSelf(now)
}

// resolveAddressConflict declares the older of two members with the same peer address dead, as its process no longer
// exists.
func (m *Members) resolveAddressConflict(now time.Time, member model.Member) {
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
	m.publishRank(now, older.ID, rankDead)
}

// publishRank publishes a suspicion or the death of a member for its known incarnation and refutation number.
func (m *Members) publishRank(now time.Time, id model.InstanceID, rank int64) {
	e, ok := m.table.get(hashKey(model.GossipMember, string(id)))
	if !ok || id == m.self.ID {
		return
	}
	update := e.update
	version := decodeMemberVersion(update.Version)
	version.rank = rank
	update.Version = version.encode()
	m.applyUpdate(now, update, m.settings.ForwardTicks)
}
