package jujubenode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
)

// trimCheckpoint is an offset of the submissions topic, the time at which it was read, and the offset in the texts
// topic that the records before it have pointed at.
type trimCheckpoint struct {
	readAt             time.Time
	offset, textOffset int64
}

// trimInterval is the time between two trims. The store holds 400 MB, and a large site writes 15 MB in this time.
const trimInterval = 10 * time.Second

// trim drops the records that are older than the oldest submission that is still readable.
func (p *partition) trim(ctx context.Context) {
	n := p.node
	n.mu.Lock()
	oldest, ok := n.scheduler.OldestRetained()
	before, textsBefore := p.trimmedBefore, int64(0)
	for len(p.checkpoints) > 1 && ok && p.checkpoints[1].readAt.Before(oldest) {
		// Contents are written shortly before their record, so the texts are trimmed up to the previous checkpoint.
		before, textsBefore, p.checkpoints = p.checkpoints[1].offset, p.checkpoints[0].textOffset, p.checkpoints[1:]
	}
	n.mu.Unlock()
	if before <= p.trimmedBefore {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	err := n.directStore.Trim(callCtx, topicSubmissions, p.number, before)
	if err == nil && textsBefore > 0 {
		err = n.directStore.Trim(callCtx, topicTexts, p.number, textsBefore)
	}
	if err != nil {
		n.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
			return logrus.Fields{"Partition": p.number, "TrimBefore": before, "Error": err.Error()}
		})
		return
	}
	p.trimmedBefore = before
}
