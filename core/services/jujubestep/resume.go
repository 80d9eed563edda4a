package jujubestep

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// streamName is the parsed form of a stream id.
type streamName struct {
	key     string
	group   int
	index   int
	attempt int64
	content string
}

// newID gives the id of a sample's next stream: trainer/step/part/group/index/try. The last element has the attempt, a
// count, the content and the owner, so that no two owners ever start the same id.
func (s *Steps) newID(sm *sample) model.StreamID {
	try := strconv.FormatInt(sm.part.attempt, 10) + "~" + strconv.Itoa(sm.tries) + "~" + sm.group.content
	if s.settings.Owner != "" {
		try += "~" + s.settings.Owner
	}
	sm.tries++
	return model.StreamID(strings.Join([]string{
		sm.part.key.String(), strconv.Itoa(sm.group.number), strconv.Itoa(sm.index), try,
	}, "/"))
}

func parseID(id model.StreamID) (streamName, bool) {
	fields := strings.Split(string(id), "/")
	if len(fields) != 6 {
		return streamName{}, false
	}
	try := strings.SplitN(fields[5], "~", 4)
	if len(try) < 3 {
		return streamName{}, false
	}
	group, errGroup := strconv.Atoi(fields[3])
	index, errIndex := strconv.Atoi(fields[4])
	attempt, errAttempt := strconv.ParseInt(try[0], 10, 64)
	if errGroup != nil || errIndex != nil || errAttempt != nil {
		return streamName{}, false
	}
	return streamName{
		key: strings.Join(fields[:3], "/"), group: group, index: index, attempt: attempt, content: try[2],
	}, true
}

// Resume continues streams that an engine holds for the parts of this instance, with their first token, so that their
// labels are reported again. Held streams that aren't needed are cancelled; those of a higher attempt belong to another
// owner and are left alone.
func (s *Steps) Resume(_ time.Time, held []model.EngineStream, endpoint model.EndpointID) (resumed int) {
	held = slices.Clone(held)
	slices.SortFunc(held, func(a, b model.EngineStream) int {
		if a.Finished != b.Finished {
			return map[bool]int{true: -1, false: 1}[a.Finished]
		}
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Stream, b.Stream))
	})
	for _, row := range held {
		name, ok := parseID(row.Stream)
		if !ok || s.streams[row.Stream] != nil {
			continue
		}
		p, ok := s.parts.Get(name.key)
		if !ok || name.attempt > p.attempt {
			continue
		}
		sm := p.find(name)
		if sm == nil || sm.winner != nil || len(sm.streams) > 0 {
			if !row.Finished {
				s.emit(CancelStream{Stream: row.Stream, Endpoint: endpoint, Cause: CauseSuperseded})
			}
			continue
		}
		st := &stream{id: row.Stream, sample: sm, endpoint: endpoint, resumed: true}
		s.add(st)
		s.emit(s.startAction(st, true))
		resumed++
	}
	return resumed
}

// ResumeDone says that all engines were asked for held streams, so that the part needn't wait any longer.
func (s *Steps) ResumeDone(_ time.Time, key model.PartKey) {
	if p, ok := s.parts.Get(key.String()); ok {
		p.holdUntil = time.Time{}
	}
}

// find returns the sample that a stream with this name belongs to, if its content is the same.
func (p *part) find(name streamName) *sample {
	for _, g := range p.groups {
		if g.number == name.group && g.state == groupOpen && g.content == name.content && name.index >= 0 &&
			name.index < len(g.samples) {
			return g.samples[name.index]
		}
	}
	return nil
}

func (s *Steps) add(st *stream) {
	s.streams[st.id] = st
	st.sample.streams = append(st.sample.streams, st)
	s.starting++
}

func (s *Steps) startAction(st *stream, resume bool) StartStream {
	sm := st.sample
	p := sm.part
	start := StartStream{
		Stream: st.id, Part: p.key, Group: sm.group.number, Index: sm.index, Model: p.model, Prompt: sm.group.prompt,
		MaxTokens: p.maxTokens, Deadline: p.deadline, MinVersion: p.floor, PreferVersion: p.floor,
		Avoid: slices.Clone(sm.avoid), Resume: resume, Endpoint: st.endpoint,
	}
	if p.bound > 0 {
		start.PreferVersion++
		isFreshPreferred := s.limits.Trainers[p.key.Trainer].Prefer == model.PreferFreshness
		start.InsistVersion = isFreshPreferred || s.isOverlapping(p.key.Trainer)
	}
	return start
}
