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

// delegationTimeout bounds a call about delegated items. Another instance responds within a few ms, setting up
// a connection adds 6 ms, and an instance slowed to a quarter of its speed still responds in time.
const delegationTimeout = 250 * time.Millisecond

// OfferArgs lists items that are offered to the instance that is the gateway of their engines.
type OfferArgs struct {
	From   model.InstanceID
	Offers []jujubebatch.Offer
}

// OfferReply is the reply to an offer: whether each item was accepted, in the order of the offers, and the number of
// items that the instance has for each engine.
type OfferReply struct {
	Taken []bool
	Loads map[model.EndpointID]int
	// Throttled is how long the rate of an engine allows no further request; engines that it allows one aren't listed.
	Throttled map[model.EndpointID]time.Duration
	// IsOutdated is true if the instance starts no items because of the age of its view of the log, or as it has deferred their submission.
	// Their engines are then reached directly.
	IsOutdated bool
}

// ConfirmArgs lists items of which the called instance reports whether it still has them.
type ConfirmArgs struct {
	Items []jujubebatch.ItemRef
}

// ConfirmReply reports for each item, in the order of the request, whether the instance still has it.
type ConfirmReply struct {
	Has []bool
}

// Offer accepts items from another instance, unless this one is starting or leaving.
func (r *Relay) Offer(args OfferArgs, reply *OfferReply) error {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	reply.Loads, reply.Throttled = make(map[model.EndpointID]int), make(map[model.EndpointID]time.Duration)
	acceptedCount := 0
	for _, offer := range args.Offers {
		isOutdated := !n.mayStart(offer.Submission) || n.scheduler.IsDeferred(offer.Submission)
		accepted := n.ready && n.state == jujuberegistry.Ready && !isOutdated && n.scheduler.AcceptOffer(now, offer)
		reply.IsOutdated = reply.IsOutdated || isOutdated
		reply.Taken = append(reply.Taken, accepted)
		reply.Loads[offer.Engine] = 0
		if accepted {
			acceptedCount++
		}
	}
	for id := range reply.Loads {
		reply.Loads[id] = n.scheduler.EngineLoad(id)
		if remaining := n.scheduler.ThrottledFor(now, id); remaining > 0 {
			reply.Throttled[id] = remaining
		}
	}
	n.log.Write(jujubeevent.ItemsTaken, func() logrus.Fields {
		return logrus.Fields{"From": args.From, "Offered": len(args.Offers), "Taken": acceptedCount, "Loads": reply.Loads}
	})
	n.notifyChange()
	return nil
}

// Confirm reports which of the items that the calling instance delegated to this one are still here.
func (r *Relay) Confirm(args ConfirmArgs, reply *ConfirmReply) error {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ref := range args.Items {
		if !n.mayStart(ref.Submission) {
			n.scheduler.ReturnWaitingItem(ref)
		}
		reply.Has = append(reply.Has, n.scheduler.HasItem(ref))
	}
	return nil
}

// sendOffers offers items with their contents to the gateway that should run them.
func (n *Node) sendOffers(action jujubebatch.OfferItems) {
	ctx, cancel := context.WithTimeout(n.tomb.Context(nil), delegationTimeout)
	defer cancel()
	var reply OfferReply
	err := n.fillContents(ctx, action.Offers)
	if err == nil {
		args := OfferArgs{From: n.identity.Instance, Offers: action.Offers}
		err = n.store.pool.Call(ctx, n.peerAddresses()[action.To], "Relay.Offer", args, &reply)
	}
	acceptedCount := 0
	for _, accepted := range reply.Taken {
		if accepted {
			acceptedCount++
		}
	}
	if err == nil {
		n.metrics.countOffers("Taken", acceptedCount)
		n.metrics.countOffers("Refused", len(action.Offers)-acceptedCount)
	} else {
		n.metrics.countOffers("Unanswered", len(action.Offers))
	}
	n.log.Write(jujubeevent.ItemsOffered, func() logrus.Fields {
		return logrus.Fields{"To": action.To, "Offered": len(action.Offers), "Taken": acceptedCount, "Error": errorText(err)}
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if err != nil {
		n.scheduler.HandleOfferFailure(now, action)
	} else {
		n.scheduler.HandleOfferReply(now, action, reply.Taken, reply.Loads)
		for id, remaining := range reply.Throttled {
			n.scheduler.Throttle(id, now.Add(remaining))
		}
		if reply.IsOutdated {
			n.scheduler.BypassGateway(now, action.To)
		}
	}
	n.notifyChange()
}

// fillContents reads the contents that the items send to their engines; each chunk is read once.
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

// confirmDelegated asks an instance which of the items delegated to it remain there.
func (n *Node) confirmDelegated(action jujubebatch.ConfirmItems) {
	ctx, cancel := context.WithTimeout(n.tomb.Context(nil), delegationTimeout)
	defer cancel()
	var reply ConfirmReply
	err := n.store.pool.Call(ctx, n.peerAddresses()[action.To], "Relay.Confirm", ConfirmArgs{Items: action.Items}, &reply)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.scheduler.HandleConfirmReply(time.Now(), action.To, action.Items, reply.Has)
		return
	}
	n.scheduler.HandleConfirmFailure(time.Now(), action.To)
	n.log.Write(jujubeevent.LoanUnconfirmed, func() logrus.Fields {
		return logrus.Fields{"To": action.To, "Items": len(action.Items), "Error": err.Error()}
	})
}
