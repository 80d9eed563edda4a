package jujubeentry

import (
	"sync"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Bounds of the ids that are remembered to recognise one that is used for two different requests.
const (
	recentFor = 10 * time.Minute
	recentMax = 65536
)

// recentRequests remembers the content of recent request ids of this instance.
type recentRequests struct {
	mu   sync.Mutex
	rows map[string]recentRow
	// order holds the keys of rows, oldest first.
	order []string
}

type recentRow struct {
	body model.Fingerprint
	at   time.Time
}

func newRecentRequests() *recentRequests {
	return &recentRequests{rows: make(map[string]recentRow)}
}

// record remembers an id and tells whether its content is the same as before.
func (r *recentRequests) record(now time.Time, key string, body model.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.order) > 0 {
		oldest := r.rows[r.order[0]]
		if len(r.order) < recentMax && now.Sub(oldest.at) < recentFor {
			break
		}
		delete(r.rows, r.order[0])
		r.order = r.order[1:]
	}
	row, known := r.rows[key]
	if known {
		return row.body == body
	}
	r.rows[key] = recentRow{body: body, at: now}
	r.order = append(r.order, key)
	return true
}
