package jujubeentry

import (
	"sync"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Bounds of the table of recent request ids, which detects an id that is used for two different requests.
const (
	recentRetention   = 10 * time.Minute
	maxRecentRequests = 65536
)

// recentRequests maps the ids of recent requests to this instance to the fingerprints of their content.
type recentRequests struct {
	mu       sync.Mutex
	requests map[string]recentRequest
	// order holds the keys of requests, oldest first.
	order []string
}

type recentRequest struct {
	content    model.Fingerprint
	recordedAt time.Time
}

func newRecentRequests() *recentRequests {
	return &recentRequests{requests: make(map[string]recentRequest)}
}

// checkAndRecord records a new id. It returns false when the id is already known with a different content.
func (r *recentRequests) checkAndRecord(now time.Time, key string, content model.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.order) > 0 {
		oldest := r.requests[r.order[0]]
		if len(r.order) < maxRecentRequests && now.Sub(oldest.recordedAt) < recentRetention {
			break
		}
		delete(r.requests, r.order[0])
		r.order = r.order[1:]
	}
	request, known := r.requests[key]
	if known {
		return request.content == content
	}
	r.requests[key] = recentRequest{content: content, recordedAt: now}
	r.order = append(r.order, key)
	return true
}
