package jujubenode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujuberegistry"
	"jujubepier.example/core/services/jujubeusage"
)

// peerTimeout bounds a message to another instance.
const peerTimeout = 400 * time.Millisecond

// Empty is the reply of a call without a result.
type Empty struct{ Unused bool }

// LeftArgs announces that an instance has left and no longer runs anything.
type LeftArgs struct {
	Instance model.InstanceID
	// HandedOver are the entries, without their texts, that another instance appends.
	HandedOver []jujubebatch.Entry
	// Usage is the instance's last statement of its counts; nil where the reports of usage aren't a duty.
	Usage *jujubeusage.Statement
}

// HandOverArgs contains the entries that an instance couldn't append before it left.
type HandOverArgs struct {
	Entries []jujubebatch.Entry
}

// BlobsArgs request blobs that the called instance has written.
type BlobsArgs struct {
	Part     int
	Pointers []jujubebatch.Pointer
}

// BlobsReply holds the records of each blob; none for a blob that isn't cached any more.
type BlobsReply struct {
	Blobs [][][]byte
}

// GiveBlobs returns blobs from the cache to another instance that can't read them from the store.
func (r *Relay) GiveBlobs(args BlobsArgs, reply *BlobsReply) error {
	for _, pointer := range args.Pointers {
		records, _ := r.node.blobCache.get(blobKey{args.Part, pointer})
		reply.Blobs = append(reply.Blobs, records)
	}
	return nil
}

// Tell applies a load that couldn't be written to the log.
func (r *Relay) Tell(load LoadRecord, _ *Empty) error {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyLoad(time.Now(), load)
	n.notifyChange()
	return nil
}

// Left removes an instance that has left but couldn't remove its record from the log.
func (r *Relay) Left(args LeftArgs, _ *Empty) error {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.registry.Remove(args.Instance)
	if args.Usage != nil {
		n.applyUsageRecord(jujubeusage.Record{Left: args.Usage})
	}
	for _, entry := range args.HandedOver {
		n.scheduler.MarkHandedOver(time.Now(), entry, false)
	}
	n.notifyChange()
	return nil
}

// HandOver accepts entries to append. Appending an entry that is already on the log has no effect.
func (r *Relay) HandOver(args HandOverArgs, _ *Empty) error {
	n := r.node
	n.log.Write(jujubeevent.EntriesTaken, func() logrus.Fields { return logrus.Fields{"Entries": len(args.Entries)} })
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, entry := range args.Entries {
		if id, ok := entry.SubmissionID(); ok {
			n.scheduler.MarkHandedOver(time.Now(), entry, true)
			n.enqueue(jujubebatch.AppendEntry{Submission: id, Entry: entry})
			if entry.End != nil {
				n.takeOwedEnd(id)
			}
		}
	}
	return nil
}

// broadcast sends a message to all other live instances concurrently and waits for their replies.
func (n *Node) broadcast(ctx context.Context, method string, args any) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	addresses := n.peerAddresses()
	done := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { done <- n.store.pool.Call(ctx, address, method, args, &Empty{}) }()
	}
	failed := 0
	for range addresses {
		if err := <-done; err != nil {
			failed++
		}
	}
	n.log.Write(jujubeevent.PeersTold, func() logrus.Fields {
		return logrus.Fields{"Method": method, "Peers": len(addresses), "Failed": failed}
	})
}

// handOver passes entries to another ready instance, and returns them without their texts.
func (n *Node) handOver(ctx context.Context, entries []jujubebatch.Entry) []jujubebatch.Entry {
	n.mu.Lock()
	var addresses []string
	for _, heartbeat := range n.liveInstances {
		if heartbeat.Instance != n.identity.Instance && heartbeat.State == jujuberegistry.Ready && heartbeat.PeerAddress != "" {
			addresses = append(addresses, heartbeat.PeerAddress)
		}
	}
	n.mu.Unlock()
	for _, address := range addresses {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := n.store.pool.Call(callCtx, address, "Relay.HandOver", HandOverArgs{Entries: entries}, &Empty{})
		cancel()
		n.log.Write(jujubeevent.EntriesHandedOver, func() logrus.Fields {
			return logrus.Fields{"Entries": len(entries), "Peer": address, "Error": errorText(err)}
		})
		if err == nil {
			return stripTexts(entries)
		}
	}
	return nil
}

func stripTexts(entries []jujubebatch.Entry) []jujubebatch.Entry {
	var stripped []jujubebatch.Entry
	for _, entry := range entries {
		if entry.Result != nil {
			result := *entry.Result
			result.Text = ""
			stripped = append(stripped, jujubebatch.Entry{Result: &result})
		}
	}
	return stripped
}
