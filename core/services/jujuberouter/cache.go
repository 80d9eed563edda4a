package jujuberouter

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeprompt"
)

// promptOf returns the parts of a request's prompt. A prefix without known tokens is a single part that takes Settings.PrefillSaved to
// prefill.
func (r *Router[P]) promptOf(request *Request) jujubeprompt.Prompt {
	if len(request.Prompt) > 0 || request.Prefix == 0 {
		return request.Prompt
	}
	return jujubeprompt.Prompt{{ID: jujubeprompt.PartID(request.Prefix), Tokens: r.prefixTokens()}}
}

func (r *Router[P]) prefixTokens() int { return int(r.settings.PrefillSaved / r.rates.PrefillTime) }

// keepPrompt records that an endpoint keeps a request's prompt from its dispatch on.
func (r *Router[P]) keepPrompt(now time.Time, e *endpointState, request *Request) {
	for _, part := range r.promptOf(request) {
		e.prompts.Store(now, "", part)
	}
}

// DropPrompts records that an endpoint keeps no prompts any more, because it has loaded weights.
func (r *Router[P]) DropPrompts(now time.Time, id model.EndpointID) {
	if e, ok := r.endpoints.Get(id); ok {
		e.prompts.DropBefore(now)
	}
}

// applyCacheEvents applies the cache events of an endpoint. A gap in the sequence numbers may hide evictions of any older prefix, so
// only the recently used prefixes are kept: an engine evicts the least recently used first.
func (r *Router[P]) applyCacheEvents(now time.Time, e *endpointState, events []model.CacheEvent) {
	for _, event := range events {
		if event.Seq <= e.lastCacheEvent {
			continue
		}
		if event.Seq > e.lastCacheEvent+1 {
			e.prompts.DropBefore(now.Add(-r.settings.CacheGapRetention))
		}
		e.lastCacheEvent = event.Seq
		part := jujubeprompt.Part{ID: jujubeprompt.PartID(event.Prefix), Tokens: r.prefixTokens()}
		switch {
		case event.Prefix == 0:
		case event.Stored:
			e.prompts.Store(now, "", part)
		default:
			e.prompts.Evict("", part.ID)
		}
	}
}
