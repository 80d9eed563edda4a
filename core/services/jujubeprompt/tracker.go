package jujubeprompt

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// TrackerSettings configures a tracker.
type TrackerSettings struct {
	// MaxParts bounds the parts that are tracked for each server.
	MaxParts int
	// MaxAge is how long after its last use by this instance a part counts as kept; zero for no limit. The requests of other instances,
	// which aren't seen, evict parts as well.
	MaxAge time.Duration
}

// Tracker estimates which parts of prompts each server keeps. The main source is what this instance sends to the servers.
type Tracker[S comparable] struct {
	settings TrackerSettings
	servers  map[S]*server
}

// server is what is known of one process of a server. A restarted server gets a new one, so that the open uses of the earlier
// process change nothing.
type server struct {
	incarnation model.Incarnation
	versions    map[model.ModelName]model.WeightVersion
	// capacity is the memory that running requests and kept parts share, in tokens; zero if it isn't known.
	capacity int
	// parts holds all parts that are assumed to be kept, idle those of them without open uses.
	parts map[partKey]*keptPart
	idle  recencyList
	// keptTokens is the sum over parts, openTokens that over the open uses.
	keptTokens, openTokens int
	// otherTokens estimates what the running requests of other instances occupy.
	otherTokens int
}

// Use is a request that was sent to a server, until its end.
type Use struct {
	server *server
	parts  []*keptPart
	// tokens is what the running request occupies beside the kept parts.
	tokens int
	sentAt time.Time
	// isConfirmed is true once the request is known to have reached the server.
	isConfirmed bool
	// Kept is the number of prompt tokens that the server was assumed to keep when the request was sent.
	Kept int
}

// NewTracker returns a tracker without servers.
func NewTracker[S comparable](settings TrackerSettings) *Tracker[S] {
	return &Tracker[S]{settings: settings, servers: make(map[S]*server)}
}

func (t *Tracker[S]) ensure(id S) *server {
	s, ok := t.servers[id]
	if !ok {
		s = &server{versions: make(map[model.ModelName]model.WeightVersion), parts: make(map[partKey]*keptPart)}
		t.servers[id] = s
	}
	return s
}

// SetIncarnation records the incarnation of a server. One that has restarted keeps nothing.
func (t *Tracker[S]) SetIncarnation(id S, incarnation model.Incarnation) {
	s := t.ensure(id)
	if incarnation <= s.incarnation {
		return
	}
	capacity := s.capacity
	delete(t.servers, id)
	s = t.ensure(id)
	s.incarnation, s.capacity = incarnation, capacity
}

// Remove forgets a server.
func (t *Tracker[S]) Remove(id S) { delete(t.servers, id) }

// SetVersion records a model's weight version on a server. Loading weights drops all parts of the model.
func (t *Tracker[S]) SetVersion(id S, name model.ModelName, version model.WeightVersion) {
	s := t.ensure(id)
	if version <= s.versions[name] {
		return
	}
	s.versions[name] = version
	for key, part := range s.parts {
		if key.model == name {
			s.drop(part)
		}
	}
}

// SetCapacity sets the memory that a server's running requests and kept parts share, in tokens; zero if it isn't known.
func (t *Tracker[S]) SetCapacity(id S, tokens int) { t.ensure(id).capacity = tokens }

// SetOthers sets the estimate of what the requests of other instances occupy on a server, in tokens.
func (t *Tracker[S]) SetOthers(id S, tokens int) { t.ensure(id).otherTokens = tokens }

// HasRoom reports whether a request of the given size fits into a server's memory beside the requests that run there. Kept parts
// make room for it.
func (t *Tracker[S]) HasRoom(id S, tokens, others int) bool {
	s, ok := t.servers[id]
	return !ok || s.capacity <= 0 || s.openTokens+others+tokens <= s.capacity
}

// Kept returns how many tokens of a prompt a server is assumed to keep. A part counts only if all parts before it are kept too.
func (t *Tracker[S]) Kept(now time.Time, id S, name model.ModelName, prompt Prompt) int {
	s, ok := t.servers[id]
	if !ok {
		return 0
	}
	kept := 0
	for _, part := range prompt {
		p, ok := s.parts[partKey{name, part.ID}]
		if !ok || p.tokens != part.Tokens || t.isExpired(now, p) {
			break
		}
		kept += part.Tokens
	}
	return kept
}

// Count returns the number of parts that a server is assumed to keep.
func (t *Tracker[S]) Count(id S) int {
	if s, ok := t.servers[id]; ok {
		return len(s.parts)
	}
	return 0
}

func (t *Tracker[S]) isExpired(now time.Time, p *keptPart) bool {
	return t.settings.MaxAge > 0 && p.openUses == 0 && now.Sub(p.lastUse) > t.settings.MaxAge
}

// Send records that a request is sent to a server. End must be called once when it runs no longer.
func (t *Tracker[S]) Send(now time.Time, id S, name model.ModelName, prompt Prompt, outputTokens int) *Use {
	s := t.ensure(id)
	use := &Use{server: s, sentAt: now, Kept: t.Kept(now, id, name, prompt), tokens: prompt.Tokens() + outputTokens}
	s.openTokens += use.tokens
	for _, part := range prompt {
		p := s.add(now, partKey{name, part.ID}, part.Tokens)
		if p.openUses == 0 {
			s.idle.remove(p)
		}
		p.openUses++
		use.parts = append(use.parts, p)
	}
	s.evict(now, t.settings)
	return use
}

// Confirm records that a request has reached its server.
func (u *Use) Confirm() {
	u.isConfirmed = true
	for _, p := range u.parts {
		p.isConfirmed = true
		if p.lastUse.Before(u.sentAt) {
			p.lastUse = u.sentAt
		}
	}
}

// End ends a use. Parts that no request brought to the server aren't kept, and a request that didn't reach it is no use of the others.
func (t *Tracker[S]) End(now time.Time, use *Use) {
	s := use.server
	s.openTokens -= use.tokens
	for _, p := range use.parts {
		p.openUses--
		if use.isConfirmed {
			p.lastUse = now
		}
		switch {
		case p.isDropped || p.openUses > 0:
		case !p.isConfirmed:
			s.drop(p)
		default:
			s.idle.insert(p)
		}
	}
	s.evict(now, t.settings)
}

// Store records that a server keeps a part, whatever runs there.
func (t *Tracker[S]) Store(now time.Time, id S, name model.ModelName, part Part) {
	s := t.ensure(id)
	p := s.add(now, partKey{name, part.ID}, part.Tokens)
	p.isConfirmed, p.lastUse = true, now
	if p.openUses == 0 {
		s.idle.remove(p)
		s.idle.insert(p)
	}
	s.evict(now, t.settings)
}

// Evict records that a server has evicted a part.
func (t *Tracker[S]) Evict(id S, name model.ModelName, part PartID) {
	if s, ok := t.servers[id]; ok {
		if p, ok := s.parts[partKey{name, part}]; ok {
			s.drop(p)
		}
	}
}

// DropBefore drops the parts whose last use was before a time, when a server may have evicted any of them.
func (t *Tracker[S]) DropBefore(id S, at time.Time) {
	if s, ok := t.servers[id]; ok {
		for _, p := range s.parts {
			if p.lastUse.Before(at) {
				s.drop(p)
			}
		}
	}
}

// add returns the part with a key. It adds a new one to the idle parts.
func (s *server) add(now time.Time, key partKey, tokens int) *keptPart {
	p, ok := s.parts[key]
	if !ok {
		p = &keptPart{key: key, tokens: tokens, lastUse: now}
		s.parts[key] = p
		s.keptTokens += tokens
		s.idle.insert(p)
	}
	return p
}

func (s *server) drop(p *keptPart) {
	if p.openUses == 0 {
		s.idle.remove(p)
	}
	p.isDropped = true
	s.keptTokens -= p.tokens
	delete(s.parts, p.key)
}

// evict evicts the least recently used parts until the rest fits into the memory beside the running requests.
func (s *server) evict(now time.Time, settings TrackerSettings) {
	for p := s.idle.oldest; p != nil; p = s.idle.oldest {
		isFull := s.capacity > 0 && s.keptTokens+s.openTokens+s.otherTokens > s.capacity
		isOld := settings.MaxAge > 0 && now.Sub(p.lastUse) > settings.MaxAge
		if !isFull && !isOld && (settings.MaxParts <= 0 || len(s.parts) <= settings.MaxParts) {
			return
		}
		s.drop(p)
	}
}
