package jujubebatch

import (
	"slices"

	model "jujubepier.example/core/models/jujubemodel"
)

// DoubtReplies find out whether no live instance can tell what records said that have expired unread.
type DoubtReplies struct {
	// live are the other live instances.
	live []model.InstanceID
	// unable are those that can't tell, and that can't learn it later either unless from one that isn't among them.
	unable map[model.InstanceID]bool
}

// SetLive sets the other live instances. If one is lost, the earlier replies don't count: it may have told an instance that had replied
// before.
func (r *DoubtReplies) SetLive(live []model.InstanceID) {
	if slices.ContainsFunc(r.live, func(id model.InstanceID) bool { return !slices.Contains(live, id) }) {
		r.Restart()
	}
	r.live = live
}

// Restart forgets the replies, because further records have expired or the doubts have ended.
func (r *DoubtReplies) Restart() { clear(r.unable) }

// Record records that an instance replied without ending all doubts. read is the range of offsets that it has read without a gap. While that
// ends before the missing records do, the instance may read them yet.
func (r *DoubtReplies) Record(id model.InstanceID, read, missing Span) {
	if r.unable == nil {
		r.unable = make(map[model.InstanceID]bool)
	}
	r.unable[id] = read.End >= missing.End
}

// IsComplete reports whether there are other live instances and none can tell.
func (r *DoubtReplies) IsComplete() bool {
	return len(r.live) > 0 && !slices.ContainsFunc(r.live, func(id model.InstanceID) bool { return !r.unable[id] })
}
