package jujubenode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
)

const (
	// maxLoadTime bounds how long an engine gets no items of a model after the start of a load whose end isn't
	// reported: a load takes 0.9 s.
	maxLoadTime = 1500 * time.Millisecond
	// loadWriters is the number of concurrent appends of load records, so that one without a response doesn't block the
	// others.
	loadWriters = 2
	// loadBatchDelay is how long load records are collected for one append. With 3,000 engines 900 loads start and end
	// each second, which is more than the store's write limit; batched they are 200 appends a second at most. The delay
	// is small compared with a load of 0.9 s.
	loadBatchDelay = 5 * time.Millisecond
	// loadQueueSize bounds the queued load records; it holds those of one second.
	loadQueueSize = 2048
)

// publishLoad announces a load to the other instances.
func (n *Node) publishLoad(ctx context.Context, load LoadRecord) error {
	if n.store.isConfirmedDown(time.Now(), topicRollout, 0) {
		n.broadcast(ctx, "Relay.Tell", load)
		return ErrStore{Call: "load", Reason: "no instance can reach the store"}
	}
	return n.loads.add(ctx, load)
}

// appendLoads appends load records to the rollout topic.
func (n *Node) appendLoads(ctx context.Context, batch []LoadRecord) error {
	var records []Record
	for _, load := range batch {
		value, err := json.Marshal(rolloutRecord{Load: &load})
		if err != nil {
			return errors.Wrap(err, "load record")
		}
		records = append(records, Record{Value: value})
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := n.store.Append(callCtx, topicRollout, 0, records, NoCondition)
	if err != nil {
		n.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
			return logrus.Fields{"Topic": topicRollout.Name, "Entries": len(batch), "Endpoint": batch[0].Engine, "Error": err.Error()}
		})
	}
	return err
}
