package jujubeslope

import (
	"context"
	"fmt"
	"runtime"
	"strings"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujubecore"
)

// sampleText is the text of one sample of 1,024 tokens of four bytes.
var sampleText = strings.Repeat("text", 1024)

// grown returns by how much build raises the memory in use, in MB.
func grown(build func() (any, error)) (float64, error) {
	before := memoryInUse()
	kept, err := build()
	after := memoryInUse()
	runtime.KeepAlive(kept)
	return (after - before) / 1e6, err
}

func studyMemory(_ context.Context, report *Report) error {
	measure := func(a axis, sizes []int, name string, build func(size int) (any, error)) error {
		for _, size := range sizes {
			megabytes, err := grown(func() (any, error) { return build(size) })
			if err != nil {
				return err
			}
			report.add(a, size, name, "MB", megabytes)
		}
		return nil
	}
	for _, one := range []struct {
		a     axis
		sizes []int
		name  string
		build func(size int) (any, error)
	}{
		{endpointAxis, []int{10, 60, 200, 600}, "memory of a core", func(size int) (any, error) {
			core, err := newCore(9, size)
			return core, err
		}},
		{memberAxis, []int{9, 32, 128, 370}, "memory of a core", func(size int) (any, error) {
			core, err := newCore(size, 10)
			return core, err
		}},
		{inFlightAxis, []int{100, 400, 1600, 6400}, "memory of a core", holdRequests},
		{keyAxis, []int{1000, 4000, 16000, 64000}, "memory of a core, answers of 100 bytes", holdKeys},
		{sampleAxis, []int{256, 1024, 2048, 4096}, "memory of a core, texts apart", holdSamples},
		{sampleAxis, []int{256, 1024, 2048, 4096}, "memory of the texts, 4 KB each", holdTexts},
	} {
		if err := measure(one.a, one.sizes, one.name, one.build); err != nil {
			return err
		}
	}
	return nil
}

func holdRequests(size int) (any, error) {
	core, err := newCore(9, 60)
	for i := 0; err == nil && i < size; i++ {
		core.Apply(start, newRequest(i, start))
	}
	return core, err
}

func holdKeys(size int) (any, error) {
	core, err := newCore(9, 10)
	if err != nil {
		return nil, err
	}
	prefix := core.KeyPrefix(start)
	for i := range size {
		key := model.IdempotencyKey(fmt.Sprintf("%s~%08d", prefix, i))
		core.Apply(start, jujubecore.KeyPresented{Key: key, Body: model.Fingerprint(i)})
		core.Apply(start, jujubecore.KeyFinished{Key: key, Outcome: jujubeclaim.Outcome{Ran: model.RanYes, Answer: make([]byte, 100)}})
	}
	return core, nil
}

// holdSamples submits a part and lets all its streams finish.
func holdSamples(size int) (any, error) {
	const groupSize = 8
	core, err := newCore(9, 60)
	if err != nil {
		return nil, err
	}
	part := model.StepPart{Key: model.PartKey{Trainer: trainerName, Step: 1}, Attempt: 1, Version: 1, MaxTokens: 1024, Timeout: model.Duration(3e11)}
	for i := range size / groupSize {
		part.Groups = append(part.Groups, model.GroupRequest{Group: i, Prompt: fmt.Sprintf("prompt %d", i), Samples: groupSize})
	}
	actions := core.Apply(start, jujubecore.PartSubmitted{Part: part})
	if answered, ok := actions[0].(jujubecore.PartAnswered); !ok || answered.Err != nil {
		return nil, answered.Err
	}
	now := start
	for finished := 0; finished < size; {
		now = now.Add(jujubecore.TickPeriod)
		if now.Sub(start) > 200*1e9 {
			return nil, fmt.Errorf("%d of %d samples finished", finished, size)
		}
		// Streams start with a submit, with a tick and with the end of another stream.
		for actions = append(actions, core.Tick(now)...); len(actions) > 0; actions = actions[1:] {
			run, ok := actions[0].(jujubecore.RunStream)
			if !ok {
				continue
			}
			finished++
			core.Apply(now, jujubecore.StreamProgressed{Stream: run.Stream, From: 0, To: 1024, Version: 1})
			actions = append(actions, core.Apply(now, jujubecore.StreamEnded{Stream: run.Stream, OK: true, Tokens: 1024})...)
		}
	}
	return core, nil
}

// holdTexts builds texts as the entry instance does, chunk by chunk.
func holdTexts(size int) (any, error) {
	texts := make(map[model.StreamID]*strings.Builder, size)
	for i := range size {
		builder := &strings.Builder{}
		for from := 0; from < len(sampleText); from += 32 {
			builder.WriteString(sampleText[from : from+32])
		}
		texts[model.StreamID(fmt.Sprintf("t/1/0/%d", i))] = builder
	}
	return texts, nil
}
