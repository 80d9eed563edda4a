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
	// loadNotice bounds how long a begun load keeps items away when its end isn't told: a load takes 0.9 s.
	loadNotice = 1500 * time.Millisecond
	// loadWriters is how many appends of load records are made at a time, so that one without an answer doesn't hold up all.
	loadWriters = 2
	// loadPause gathers load records for one append. With 3,000 engines 900 loads begin and end each second, more than the
	// store's writes; gathered they are 200 appends a second at most. An order waits that much longer for a load of 0.9 s.
	loadPause = 5 * time.Millisecond
	// loadQueue bounds the load records that wait; it holds those of a second.
	loadQueue = 2048
)

// loadNote is a load record that waits to be written.
type loadNote struct {
	load    LoadRecord
	written chan error
}

// tellLoad writes a load for the other instances.
func (n *Node) tellLoad(ctx context.Context, load LoadRecord) error {
	if n.store.isAwayForAll(time.Now()) {
		n.tellPeers(ctx, "Relay.Tell", load)
		return ErrStore{Call: "load", Reason: "the store is away for all"}
	}
	note := loadNote{load: load, written: make(chan error, 1)}
	select {
	case n.loads <- note:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "load record")
	}
	select {
	case err := <-note.written:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "load record")
	}
}

// writeLoads appends the load records that wait until the context ends, as many as there are in one append.
func (n *Node) writeLoads(ctx context.Context) error {
	for {
		var notes []loadNote
		select {
		case <-ctx.Done():
			return nil
		case note := <-n.loads:
			notes = append(notes, note)
		}
		sleep(ctx, loadPause)
		notes = drain(n.loads, notes)
		err := n.appendLoads(ctx, notes)
		for _, note := range notes {
			note.written <- err
		}
	}
}

func (n *Node) appendLoads(ctx context.Context, notes []loadNote) error {
	var records []Record
	for _, note := range notes {
		value, err := json.Marshal(rolloutRecord{Load: &note.load})
		if err != nil {
			return errors.Wrap(err, "load record")
		}
		records = append(records, Record{Value: value})
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := n.store.Append(call, topicRollout, 0, records, NoCondition)
	if err != nil {
		n.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
			return logrus.Fields{"Topic": topicRollout.Name, "Entries": len(notes), "Endpoint": notes[0].load.Engine, "Error": err.Error()}
		})
	}
	return err
}

// drain adds what is queued to a list without waiting.
func drain[T any](queue <-chan T, list []T) []T {
	for {
		select {
		case one := <-queue:
			list = append(list, one)
		default:
			return list
		}
	}
}
