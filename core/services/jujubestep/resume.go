package jujubestep

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// parsedStreamID holds the fields of a stream id.
type parsedStreamID struct {
	key        string
	group      int
	index      int
	attempt    int64
	contentTag string
}

// newStreamID returns the id of a sample's next stream: trainer/step/part/group/index/try. The last element consists of the
// attempt, a counter, the content tag and the owner, so that two owners never start the same id.
func (s *Steps) newStreamID(sm *sample) model.StreamID {
	suffix := strconv.FormatInt(sm.part.attempt, 10) + "~" + strconv.Itoa(sm.streamCount) + "~" + sm.group.contentTag
	if s.settings.Owner != "" {
		suffix += "~" + s.settings.Owner
	}
	sm.streamCount++
	return model.StreamID(strings.Join([]string{
		sm.part.key.String(), strconv.Itoa(sm.group.number), strconv.Itoa(sm.index), suffix,
	}, "/"))
}

func parseStreamID(id model.StreamID) (parsedStreamID, bool) {
	fields := strings.Split(string(id), "/")
	if len(fields) != 6 {
		return parsedStreamID{}, false
	}
	suffix := strings.SplitN(fields[5], "~", 4)
	if len(suffix) < 3 {
		return parsedStreamID{}, false
	}
	group, errGroup := strconv.Atoi(fields[3])
	index, errIndex := strconv.Atoi(fields[4])
	attempt, errAttempt := strconv.ParseInt(suffix[0], 10, 64)
	if errGroup != nil || errIndex != nil || errAttempt != nil {
		return parsedStreamID{}, false
	}
	return parsedStreamID{
		key: strings.Join(fields[:3], "/"), group: group, index: index, attempt: attempt, contentTag: suffix[2],
	}, true
}

// Resume resumes streams that an engine holds for parts of this instance. They are read from their first token, so that their
// labels are reported again. Held streams that aren't needed are cancelled; those of a higher attempt belong to another owner
// and are left running.
func (s *Steps) Resume(_ time.Time, held []model.EngineStream, endpoint model.EndpointID) (resumed int) {
	held = slices.Clone(held)
	slices.SortFunc(held, func(a, b model.EngineStream) int {
		if a.Finished != b.Finished {
			return map[bool]int{true: -1, false: 1}[a.Finished]
		}
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Stream, b.Stream))
	})
	for _, engineStream := range held {
		name, ok := parseStreamID(engineStream.Stream)
		if !ok || s.streams[engineStream.Stream] != nil {
			continue
		}
		p, ok := s.parts.Get(name.key)
		if !ok || name.attempt > p.attempt {
			continue
		}
		sm := p.findSample(name)
		if sm == nil || sm.winner != nil || len(sm.streams) > 0 {
			if !engineStream.Finished {
				s.emit(CancelStream{Stream: engineStream.Stream, Endpoint: endpoint, Cause: CauseSuperseded})
			}
			continue
		}
		st := &stream{id: engineStream.Stream, sample: sm, endpoint: endpoint, resumed: true}
		s.addStream(st)
		s.emit(s.newStartStream(st, true))
		resumed++
	}
	return resumed
}

// ResumeDone records that all engines have been asked for the streams they hold, so that the part may start new ones.
func (s *Steps) ResumeDone(_ time.Time, key model.PartKey) {
	if p, ok := s.parts.Get(key.String()); ok {
		p.resumeUntil = time.Time{}
	}
}

// findSample returns the sample that a stream id belongs to, or nil if there is none with the same content.
func (p *part) findSample(name parsedStreamID) *sample {
	for _, g := range p.groups {
		if g.number == name.group && g.state == groupOpen && g.contentTag == name.contentTag && name.index >= 0 &&
			name.index < len(g.samples) {
			return g.samples[name.index]
		}
	}
	return nil
}

func (s *Steps) addStream(st *stream) {
	s.streams[st.id] = st
	st.sample.streams = append(st.sample.streams, st)
	s.starting++
}

func (s *Steps) newStartStream(st *stream, resume bool) StartStream {
	sm := st.sample
	p := sm.part
	action := StartStream{
		Stream: st.id, Part: p.key, Group: sm.group.number, Index: sm.index, Model: p.model, Prompt: sm.group.prompt,
		MaxTokens: p.maxTokens, Deadline: p.deadline, MinVersion: p.minVersion, PreferVersion: p.minVersion,
		Avoid: slices.Clone(sm.avoidEndpoints), Resume: resume, Endpoint: st.endpoint,
	}
	if p.stalenessBound > 0 {
		action.PreferVersion++
		isFreshPreferred := s.limits.Trainers[p.key.Trainer].Prefer == model.PreferFreshness
		action.RequirePreferred = isFreshPreferred || s.isOverlapping(p.key.Trainer)
	}
	return action
}
