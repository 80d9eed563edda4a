package jujubeprompt_test

import (
	"math/rand"
	"slices"
	"time"

	"jujubepier.example/core/services/jujubeprompt"
)

// Speeds of the emulated servers, in ms a token.
const (
	stepTime, stepTimePerRequest = 0.546, 0.0137
	prefillTime                  = 1.0 / 749
	queueFactor                  = 1.25
)

// simItem is a request of a group.
type simItem struct {
	// group numbers the groups over all waves.
	group  int
	prompt jujubeprompt.Prompt
	output int
	left   float64
	use    *jujubeprompt.Use
}

// trueMemory is a server's memory that evicts the least recently used parts, which the estimate has to predict.
type trueMemory struct {
	capacity, outputTokens int
	// parts are in the order of their last use, the oldest first.
	parts jujubeprompt.Prompt
	// pinned counts the running requests with a part.
	pinned map[jujubeprompt.PartID]int
}

// use makes a prompt's parts the latest ones.
func (m *trueMemory) use(prompt jujubeprompt.Prompt) {
	for _, part := range prompt {
		m.parts = slices.DeleteFunc(m.parts, func(p jujubeprompt.Part) bool { return p == part })
		m.parts = append(m.parts, part)
	}
	for tokens := m.outputTokens + m.parts.Tokens(); tokens > m.capacity; {
		at := slices.IndexFunc(m.parts, func(p jujubeprompt.Part) bool { return m.pinned[p.ID] == 0 })
		if at < 0 {
			return
		}
		tokens -= m.parts[at].Tokens
		m.parts = slices.Delete(m.parts, at, at+1)
	}
}

// run changes the memory by requests that begin (1) or end (-1) to run.
func (m *trueMemory) run(change int, prompt jujubeprompt.Prompt, output int) {
	m.outputTokens += change * output
	for _, part := range prompt {
		m.pinned[part.ID] += change
	}
	if change > 0 || m.kept(prompt) == prompt.Tokens() {
		m.use(prompt)
	}
}

func (m *trueMemory) kept(prompt jujubeprompt.Prompt) (tokens int) {
	for _, part := range prompt {
		if !slices.Contains(m.parts, part) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// simServer is a server, of whose memory the deciding instance has an estimate.
type simServer struct {
	trueMemory
	slots          int
	estimate       *jujubeprompt.Memory
	running, queue []*simItem
	// debt is the prefill, in ms, during which no request goes on.
	debt      float64
	prefilled int
}

func (s *simServer) load() int { return len(s.running) + len(s.queue) }

// advance runs the server for one ms and returns the requests that have ended.
func (s *simServer) advance() (ended []*simItem) {
	for len(s.queue) > 0 && len(s.running) < s.slots {
		item := s.queue[0]
		s.queue, s.running = s.queue[1:], append(s.running, item)
		missing := item.prompt.Tokens() - s.kept(item.prompt)
		s.run(1, item.prompt, item.output)
		s.debt += float64(missing) * prefillTime
		s.prefilled += missing
	}
	left := 1.0
	if s.debt > 0 {
		paid := min(left, s.debt)
		s.debt, left = s.debt-paid, left-paid
	}
	progress := left / (stepTime + stepTimePerRequest*float64(len(s.running)))
	s.running = slices.DeleteFunc(s.running, func(item *simItem) bool {
		item.left -= progress
		if item.left <= 0 {
			s.run(-1, item.prompt, item.output)
			ended = append(ended, item)
		}
		return item.left <= 0
	})
	return ended
}

// scenario describes servers and what is sent to them.
type scenario struct {
	servers, capacity int
	// isUneven is true for servers with 6, 8 and 10 slots instead of 8.
	isUneven bool
	// busy is how many long requests run on every second server at the start.
	busy int
	// groups come in waves, which have the same groups.
	groups, groupSize, waves int
	wavePeriod               time.Duration
	// isHinted is true if the lengths of the texts are known in advance.
	isHinted bool
	// onMs changes the servers and what is known of them; may be nil.
	onMs func(ms int, servers []*simServer)
}

// figures are what a policy achieved.
type figures struct {
	prefilled     int
	mean, longest time.Duration
}

// newItems returns the items of one wave.
func (s *scenario) newItems(random *rand.Rand, wave int) []*simItem {
	var items []*simItem
	for group := range s.groups {
		for i := range s.groupSize {
			own := jujubeprompt.PartID(1000 + (wave*s.groups+group)*s.groupSize + i)
			output := 78 * (4 + int(random.ExpFloat64()*12)%115)
			items = append(items, &simItem{
				group: wave*s.groups + group, output: output, left: float64(output),
				prompt: jujubeprompt.Prompt{{ID: jujubeprompt.PartID(1 + group), Tokens: 1000}, {ID: own, Tokens: 16}},
			})
		}
	}
	if s.isHinted {
		slices.SortStableFunc(items, func(a, b *simItem) int { return b.output - a.output })
	}
	return items
}

// simulatedSeeds is how many seeds the figures are averaged over. The longest group of a single one depends on chance by 5%.
const simulatedSeeds = 40

// simulate runs a scenario under a policy with the same seeds, and so the same requests, as under the others.
func simulate[P jujubeprompt.Policy](policy P, s scenario) (average figures) {
	for seed := range simulatedSeeds {
		f := simulateOnce(policy, s, rand.New(rand.NewSource(int64(seed))))
		average.prefilled += f.prefilled / simulatedSeeds
		average.mean += f.mean / simulatedSeeds
		average.longest += f.longest / simulatedSeeds
	}
	return average
}

func simulateOnce[P jujubeprompt.Policy](policy P, s scenario, random *rand.Rand) figures {
	rates := jujubeprompt.DefaultRates()
	servers := make([]*simServer, s.servers)
	for i := range servers {
		estimate := jujubeprompt.NewMemory(jujubeprompt.MemorySettings{MaxParts: 512, MaxAge: 20 * time.Second})
		servers[i] = &simServer{slots: 8, estimate: estimate, trueMemory: trueMemory{capacity: s.capacity, pinned: map[jujubeprompt.PartID]int{}}}
		if s.isUneven {
			servers[i].slots += 2 * (i%3 - 1)
		}
		estimate.SetCapacity(s.capacity)
		for range s.busy * (i % 2) {
			servers[i].running = append(servers[i].running, &simItem{group: -1, output: 100 * 78, left: 100 * 78})
		}
	}
	var waiting []*simItem
	var result figures
	unfinished, groupEnd := s.waves*s.groups*s.groupSize, map[int]time.Duration{}
	for ms := 0; unfinished > 0; ms++ {
		now := time.UnixMilli(int64(ms))
		if period := int(s.wavePeriod.Milliseconds()); ms%period == 0 && ms/period < s.waves {
			waiting = append(waiting, s.newItems(random, ms/period)...)
		}
		if s.onMs != nil {
			s.onMs(ms, servers)
		}
		for len(waiting) > 0 && place(now, policy, rates, servers, waiting, s.isHinted) {
			waiting = waiting[1:]
		}
		for _, server := range servers {
			for _, item := range server.advance() {
				if item.use == nil {
					continue
				}
				item.use.Confirm()
				item.use.End(now)
				unfinished--
				groupEnd[item.group] = time.Duration(ms)*time.Millisecond - time.Duration(item.group/s.groups)*s.wavePeriod
			}
		}
	}
	for _, end := range groupEnd {
		result.mean += end / time.Duration(len(groupEnd))
		result.longest = max(result.longest, end)
	}
	for _, server := range servers {
		result.prefilled += server.prefilled
	}
	return result
}

// place sends the first waiting request to a server, if one has room: one with a free slot, or else with queue space.
func place[P jujubeprompt.Policy](now time.Time, policy P, rates jujubeprompt.Rates, servers []*simServer, waiting []*simItem, isHinted bool) bool {
	item := waiting[0]
	var candidates []jujubeprompt.Candidate
	var chosen []*simServer
	for _, room := range []float64{1, queueFactor} {
		for _, server := range servers {
			if load := server.load(); load < int(room*float64(server.slots)) {
				candidates = append(candidates, jujubeprompt.Candidate{Load: load, Slots: server.slots, Kept: server.estimate.Kept(now, "m", item.prompt)})
				chosen = append(chosen, server)
			}
		}
		if len(chosen) > 0 {
			break
		}
	}
	if len(chosen) == 0 {
		return false
	}
	var runTimes []time.Duration
	for _, other := range waiting {
		runTimes = append(runTimes, rates.RunTime(other.output*map[bool]int{true: 1}[isHinted]))
	}
	request := jujubeprompt.Request{PromptTokens: item.prompt.Tokens(), RunTime: runTimes[0], Following: runTimes[1:]}
	server := chosen[jujubeprompt.Choose(policy, rates, candidates, request)]
	item.use = server.estimate.Send(now, "m", item.prompt, item.output)
	server.queue = append(server.queue, item)
	return true
}
