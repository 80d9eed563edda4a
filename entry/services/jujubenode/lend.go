package jujubenode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujuberegistry"
)

// lendTimeout bounds a call about lent items. Another instance answers within some ms; a new connection takes 6 ms more,
// and one that is slowed to a quarter still keeps to it.
const lendTimeout = 250 * time.Millisecond

// OfferArgs offer items to the instance that keeps their engines.
type OfferArgs struct {
	From   model.InstanceID
	Offers []jujubebatch.Offer
}

// OfferReply says which of the items were taken, in the order of the offers, and how many items the instance has for each
// engine.
type OfferReply struct {
	Taken []bool
	Loads map[model.EndpointID]int
}

// ConfirmArgs ask whether an instance still has items.
type ConfirmArgs struct {
	Items []jujubebatch.ItemRef
}

// ConfirmReply answers in the order of the items.
type ConfirmReply struct {
	Has []bool
}

// Offer takes items from another instance, unless this one is starting or leaving.
func (r *Relay) Offer(args OfferArgs, reply *OfferReply) error {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	reply.Loads = make(map[model.EndpointID]int)
	count := 0
	for _, offer := range args.Offers {
		taken := n.ready && n.state == jujuberegistry.Ready && n.batches.Take(now, offer)
		reply.Taken = append(reply.Taken, taken)
		reply.Loads[offer.Engine] = 0
		if taken {
			count++
		}
	}
	for id := range reply.Loads {
		reply.Loads[id] = n.batches.Load(id)
	}
	n.log.Write(jujubeevent.ItemsTaken, func() logrus.Fields {
		return logrus.Fields{"From": args.From, "Offered": len(args.Offers), "Taken": count, "Loads": reply.Loads}
	})
	n.wakeUp()
	return nil
}

// Confirm tells another instance whether the items that it lent are still here.
func (r *Relay) Confirm(args ConfirmArgs, reply *ConfirmReply) error {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ref := range args.Items {
		reply.Has = append(reply.Has, n.batches.Has(ref))
	}
	return nil
}

// offer sends items with their contents to the instance that should run them.
func (n *Node) offer(action jujubebatch.OfferItems) {
	ctx, cancel := context.WithTimeout(n.tomb.Context(nil), lendTimeout)
	defer cancel()
	var reply OfferReply
	err := n.fillContents(ctx, action.Offers)
	if err == nil {
		args := OfferArgs{From: n.identity.Instance, Offers: action.Offers}
		err = n.store.pool.Call(ctx, n.peerAddresses()[action.To], "Relay.Offer", args, &reply)
	}
	taken := 0
	for _, one := range reply.Taken {
		if one {
			taken++
		}
	}
	if err == nil {
		n.metrics.countOffers("Taken", taken)
		n.metrics.countOffers("Refused", len(action.Offers)-taken)
	} else {
		n.metrics.countOffers("Unanswered", len(action.Offers))
	}
	n.log.Write(jujubeevent.ItemsOffered, func() logrus.Fields {
		return logrus.Fields{"To": action.To, "Offered": len(action.Offers), "Taken": taken, "Error": errorText(err)}
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.batches.FailOffer(time.Now(), action)
	} else {
		n.batches.NoteOffer(time.Now(), action, reply.Taken, reply.Loads)
	}
	n.wakeUp()
}

// fillContents reads what the items send to an engine, each chunk once.
func (n *Node) fillContents(ctx context.Context, offers []jujubebatch.Offer) error {
	chunks := map[jujubebatch.Pointer]jujubebatch.Chunk{}
	for i := range offers {
		offer := &offers[i]
		if offer.Given.Headers != nil {
			continue
		}
		chunk, ok := chunks[offer.Content.Chunk]
		if !ok {
			var err error
			if chunk, err = n.partitionOf(offer.Submission).fetchChunk(ctx, offer.Content); err != nil {
				return err
			}
			chunks[offer.Content.Chunk] = chunk
		}
		offer.Given = chunk.Contents[offer.Content.Index]
	}
	return nil
}

// confirm asks an instance for the items that it was lent.
func (n *Node) confirm(action jujubebatch.ConfirmItems) {
	ctx, cancel := context.WithTimeout(n.tomb.Context(nil), lendTimeout)
	defer cancel()
	var reply ConfirmReply
	err := n.store.pool.Call(ctx, n.peerAddresses()[action.To], "Relay.Confirm", ConfirmArgs{Items: action.Items}, &reply)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.batches.NoteConfirmed(time.Now(), action.To, action.Items, reply.Has)
		return
	}
	n.batches.FailConfirm(time.Now(), action.To)
	n.log.Write(jujubeevent.LoanUnconfirmed, func() logrus.Fields {
		return logrus.Fields{"To": action.To, "Items": len(action.Items), "Error": err.Error()}
	})
}
