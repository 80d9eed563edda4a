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
	server int
	use    *jujubeprompt.Use
}

func (it *simItem) tokens() int { return it.prompt.Tokens() + it.output }

// simServer is the truth about a server, of which the deciding instance has an estimate.
type simServer struct {
	slots, capacity int
	running, queue  []*simItem
	// kept holds the parts in the order of their last use, the oldest first.
	kept []jujubeprompt.Part
	// debt is the prefill, in ms, during which no request goes on.
	debt      float64
	prefilled int
}

func (s *simServer) load() int { return len(s.running) + len(s.queue) }

// use marks a prompt's parts as used and returns how many tokens have to be prefilled.
func (s *simServer) use(prompt jujubeprompt.Prompt) (missing int) {
	missing = prompt.Tokens()
	isPrefix := true
	for _, part := range prompt {
		at := slices.Index(s.kept, part)
		if isPrefix = isPrefix && at >= 0; isPrefix {
			missing -= part.Tokens
		}
		if at >= 0 {
			s.kept = slices.Delete(s.kept, at, at+1)
		}
		s.kept = append(s.kept, part)
	}
	for s.memory() > s.capacity && len(s.kept) > 0 {
		s.kept = s.kept[1:]
	}
	return missing
}

func (s *simServer) memory() int {
	tokens := 0
	for _, item := range s.running {
		tokens += item.tokens()
	}
	for _, part := range s.kept {
		tokens += part.Tokens
	}
	return tokens
}

// advance runs the server for one ms and returns the requests that have ended.
func (s *simServer) advance() (ended []*simItem) {
	for len(s.queue) > 0 && len(s.running) < s.slots {
		item := s.queue[0]
		s.queue, s.running = s.queue[1:], append(s.running, item)
		missing := s.use(item.prompt)
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
	onMs func(ms int, servers []*simServer, tracker *jujubeprompt.Tracker[int])
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
	tracker := jujubeprompt.NewTracker[int](jujubeprompt.TrackerSettings{MaxParts: 512, MaxAge: 20 * time.Second})
	rates := jujubeprompt.DefaultRates()
	servers := make([]*simServer, s.servers)
	for i := range servers {
		servers[i] = &simServer{slots: 8, capacity: s.capacity}
		if s.isUneven {
			servers[i].slots += 2 * (i%3 - 1)
		}
		tracker.SetCapacity(i, s.capacity)
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
			s.onMs(ms, servers, tracker)
		}
		for len(waiting) > 0 && place(now, policy, rates, tracker, servers, waiting, s.isHinted) {
			waiting = waiting[1:]
		}
		for _, server := range servers {
			for _, item := range server.advance() {
				if item.use == nil {
					continue
				}
				item.use.Confirm()
				tracker.End(now, item.use)
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

// place sends the first waiting request to a server, if one has room.
func place[P jujubeprompt.Policy](now time.Time, policy P, rates jujubeprompt.Rates, tracker *jujubeprompt.Tracker[int], servers []*simServer, waiting []*simItem, isHinted bool) bool {
	item := waiting[0]
	hint := func(item *simItem) int {
		if isHinted {
			return item.output
		}
		return 0
	}
	var candidates []jujubeprompt.Candidate
	var ids []int
	for _, needsSlot := range []bool{true, false} {
		for i, server := range servers {
			if load := server.load(); load < server.slots || !needsSlot && load < int(queueFactor*float64(server.slots)) {
				candidates = append(candidates, jujubeprompt.Candidate{Load: load, Slots: server.slots, Kept: tracker.Kept(now, i, "m", item.prompt)})
				ids = append(ids, i)
			}
		}
		if len(ids) > 0 {
			break
		}
	}
	if len(ids) == 0 {
		return false
	}
	request := jujubeprompt.Request{PromptTokens: item.prompt.Tokens(), RunTime: rates.RunTime(hint(item))}
	for _, following := range waiting[1:] {
		request.Following = append(request.Following, rates.RunTime(hint(following)))
	}
	item.server = ids[jujubeprompt.Choose(policy, rates, candidates, request)]
	item.use = tracker.Send(now, item.server, "m", item.prompt, rates.ExpectTokens(hint(item)))
	servers[item.server].queue = append(servers[item.server].queue, item)
	return true
}
