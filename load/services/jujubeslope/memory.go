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

// memoryGrowth returns by how many MB the result of build increases the memory in use.
func memoryGrowth(build func() (any, error)) (float64, error) {
	before := memoryInUse()
	built, err := build()
	after := memoryInUse()
	runtime.KeepAlive(built)
	return (after - before) / 1e6, err
}

// studyMemory measures the memory of a core's tables and of the samples' texts.
func studyMemory(_ context.Context, report *Report) error {
	measure := func(a axis, sizes []int, name string, build func(size int) (any, error)) error {
		for _, size := range sizes {
			megabytes, err := memoryGrowth(func() (any, error) { return build(size) })
			if err != nil {
				return err
			}
			report.add(a, size, name, "MB", megabytes)
		}
		return nil
	}
	for _, table := range []struct {
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
		{inFlightAxis, []int{100, 400, 1600, 6400}, "memory of a core", coreWithRequests},
		{keyAxis, []int{1000, 4000, 16000, 64000}, "memory of a core, answers of 100 bytes", coreWithKeys},
		{sampleAxis, []int{256, 1024, 2048, 4096}, "memory of a core, texts apart", coreWithSamples},
		{sampleAxis, []int{256, 1024, 2048, 4096}, "memory of the texts, 4 KB each", newTexts},
	} {
		if err := measure(table.a, table.sizes, table.name, table.build); err != nil {
			return err
		}
	}
	return nil
}

func coreWithRequests(size int) (any, error) {
	core, err := newCore(9, 60)
	for i := 0; err == nil && i < size; i++ {
		core.Apply(virtualStart, newRequest(i, virtualStart))
	}
	return core, err
}

func coreWithKeys(size int) (any, error) {
	core, err := newCore(9, 10)
	if err != nil {
		return nil, err
	}
	prefix := core.KeyPrefix(virtualStart)
	for i := range size {
		key := model.IdempotencyKey(fmt.Sprintf("%s~%08d", prefix, i))
		core.Apply(virtualStart, jujubecore.KeyPresented{Key: key, Body: model.Fingerprint(i)})
		core.Apply(virtualStart, jujubecore.KeyFinished{Key: key, Outcome: jujubeclaim.Outcome{Ran: model.RanYes, Answer: make([]byte, 100)}})
	}
	return core, nil
}

// coreWithSamples returns a core that holds the samples of a part whose streams have all ended.
func coreWithSamples(size int) (any, error) {
	const groupSize = 8
	core, err := newCore(9, 60)
	if err != nil {
		return nil, err
	}
	part := model.StepPart{Key: model.PartKey{Trainer: trainerName, Step: 1}, Attempt: 1, Version: 1, MaxTokens: 1024, Timeout: model.Duration(3e11)}
	for i := range size / groupSize {
		part.Groups = append(part.Groups, model.GroupRequest{Group: i, Prompt: fmt.Sprintf("prompt %d", i), Samples: groupSize})
	}
	actions := core.Apply(virtualStart, jujubecore.PartSubmitted{Part: part})
	if answered, ok := actions[0].(jujubecore.PartAnswered); !ok || answered.Err != nil {
		return nil, answered.Err
	}
	now := virtualStart
	for finished := 0; finished < size; {
		now = now.Add(jujubecore.TickInterval)
		if now.Sub(virtualStart) > 200*1e9 {
			return nil, fmt.Errorf("only %d of %d samples finished in 200 s of virtual time", finished, size)
		}
		// Streams are started after a submission, by a tick and when another stream ends.
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

// newTexts builds the texts of samples as an entry instance does, by appending chunks.
func newTexts(size int) (any, error) {
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
