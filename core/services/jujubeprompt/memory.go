package jujubeprompt

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// MemorySettings configures the estimate of a server's memory.
type MemorySettings struct {
	// MaxParts bounds the parts that are tracked; zero for no limit.
	MaxParts int
	// MaxAge is how long after its last use by this instance a part counts as kept; zero for no limit. The requests of other instances,
	// which aren't seen, evict parts as well.
	MaxAge time.Duration
}

// Memory estimates which parts of prompts one process of a server keeps. The main source is what this instance sends to it. The owner
// resets or replaces it when the server restarts.
type Memory struct {
	settings MemorySettings
	// capacity is what running requests and kept parts share, in tokens; zero if it isn't known.
	capacity int
	// models holds the parts that are assumed to be kept, by model; count is their number. idle lists those without open uses.
	models map[model.ModelName]*modelParts
	count  int
	idle   recencyList
	// keptTokens is the sum over the parts, openTokens that over the open uses.
	keptTokens, openTokens int
	// otherTokens estimates what the running requests of other instances occupy.
	otherTokens int
	// resets counts the resets. Uses from before the last one change nothing.
	resets int
}

// modelParts are the kept parts of a model's prompts.
type modelParts struct {
	version model.WeightVersion
	parts   map[PartID]*keptPart
}

// Use is a request that was sent to a server, until its end.
type Use struct {
	memory *Memory
	resets int
	parts  []*keptPart
	// tokens is what the running request occupies beside the kept parts.
	tokens int
	sentAt time.Time
	// isConfirmed is true once the request is known to have reached the server.
	isConfirmed bool
	// Kept is the number of prompt tokens that the server was assumed to keep when the request was sent.
	Kept int
}

// NewMemory returns the estimate for a server that keeps nothing.
func NewMemory(settings MemorySettings) *Memory {
	return &Memory{settings: settings, models: make(map[model.ModelName]*modelParts)}
}

// Reset records that the server has restarted: it keeps nothing and runs nothing.
func (m *Memory) Reset() {
	*m = Memory{settings: m.settings, capacity: m.capacity, models: make(map[model.ModelName]*modelParts), resets: m.resets + 1}
}

// SetVersion records a model's weight version. Loading weights drops all parts of the model.
func (m *Memory) SetVersion(name model.ModelName, version model.WeightVersion) {
	of := m.ensureModel(name)
	if version <= of.version {
		return
	}
	of.version = version
	for _, part := range of.parts {
		m.drop(part)
	}
}

// SetCapacity sets what running requests and kept parts share, in tokens; zero if it isn't known.
func (m *Memory) SetCapacity(tokens int) { m.capacity = tokens }

// SetOthers sets the estimate of what the requests of other instances occupy, in tokens.
func (m *Memory) SetOthers(tokens int) { m.otherTokens = tokens }

// HasRoom reports whether a request of the given size fits beside the requests that run there, of which those of other instances occupy
// the given number of tokens. Kept parts make room for it.
func (m *Memory) HasRoom(tokens, others int) bool {
	return m.capacity <= 0 || m.openTokens+others+tokens <= m.capacity
}

// Kept returns how many tokens of a prompt are assumed to be kept. A part counts only if all parts before it are kept too.
func (m *Memory) Kept(now time.Time, name model.ModelName, prompt Prompt) int {
	of, ok := m.models[name]
	if !ok {
		return 0
	}
	kept := 0
	for _, part := range prompt {
		p, ok := of.parts[part.ID]
		if !ok || p.tokens != part.Tokens || p.openUses == 0 && m.isOld(now, p) {
			break
		}
		kept += part.Tokens
	}
	return kept
}

// Count returns the number of parts that are assumed to be kept.
func (m *Memory) Count() int { return m.count }

// Send records that a request is sent. End must be called once when it runs no longer.
func (m *Memory) Send(now time.Time, name model.ModelName, prompt Prompt, outputTokens int) *Use {
	use := &Use{memory: m, resets: m.resets, sentAt: now, Kept: m.Kept(now, name, prompt), tokens: prompt.Tokens() + outputTokens}
	m.openTokens += use.tokens
	for _, part := range prompt {
		p := m.add(now, name, part)
		if p.openUses == 0 {
			m.idle.remove(p)
		}
		p.openUses++
		use.parts = append(use.parts, p)
	}
	m.evict(now)
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
func (u *Use) End(now time.Time) {
	m := u.memory
	if u.resets != m.resets {
		return
	}
	m.openTokens -= u.tokens
	for _, p := range u.parts {
		p.openUses--
		if u.isConfirmed {
			p.lastUse = now
		}
		switch {
		case p.isDropped || p.openUses > 0:
		case !p.isConfirmed:
			m.drop(p)
		default:
			m.idle.insert(p)
		}
	}
	m.evict(now)
}

// Store records that a part is kept, whatever runs there.
func (m *Memory) Store(now time.Time, name model.ModelName, part Part) {
	p := m.add(now, name, part)
	p.isConfirmed, p.lastUse = true, now
	if p.openUses == 0 {
		m.idle.remove(p)
		m.idle.insert(p)
	}
	m.evict(now)
}

// Evict records that the server has evicted a part.
func (m *Memory) Evict(name model.ModelName, id PartID) {
	if of, ok := m.models[name]; ok {
		if p, ok := of.parts[id]; ok {
			m.drop(p)
		}
	}
}

// DropBefore drops the parts whose last use was before a time, when the server may have evicted any of them.
func (m *Memory) DropBefore(at time.Time) {
	for _, of := range m.models {
		for _, p := range of.parts {
			if p.lastUse.Before(at) {
				m.drop(p)
			}
		}
	}
}

func (m *Memory) ensureModel(name model.ModelName) *modelParts {
	of, ok := m.models[name]
	if !ok {
		of = &modelParts{parts: make(map[PartID]*keptPart)}
		m.models[name] = of
	}
	return of
}

// add returns a part of a model. It adds a new one to the idle parts.
func (m *Memory) add(now time.Time, name model.ModelName, part Part) *keptPart {
	of := m.ensureModel(name)
	p, ok := of.parts[part.ID]
	if !ok {
		p = &keptPart{of: of, id: part.ID, tokens: part.Tokens, lastUse: now}
		of.parts[part.ID] = p
		m.count++
		m.keptTokens += part.Tokens
		m.idle.insert(p)
	}
	return p
}

func (m *Memory) drop(p *keptPart) {
	if p.openUses == 0 {
		m.idle.remove(p)
	}
	p.isDropped = true
	m.count--
	m.keptTokens -= p.tokens
	delete(p.of.parts, p.id)
}

// evict evicts the least recently used parts until the rest fits beside the running requests.
func (m *Memory) evict(now time.Time) {
	for p := m.idle.oldest; p != nil; p = m.idle.oldest {
		isFull := m.capacity > 0 && m.keptTokens+m.openTokens+m.otherTokens > m.capacity
		if !isFull && !m.isOld(now, p) && (m.settings.MaxParts <= 0 || m.count <= m.settings.MaxParts) {
			return
		}
		m.drop(p)
	}
}

func (m *Memory) isOld(now time.Time, p *keptPart) bool {
	return m.settings.MaxAge > 0 && now.Sub(p.lastUse) > m.settings.MaxAge
}
