package jujubenode

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"jujubepier.example/entry/modules/jujubepeer"
)

// RelayArgs are the arguments of a relayed call.
type RelayArgs struct {
	Topic   Topic
	Part    int
	Records []Record
	// Position is the condition of an append or the offset of a read.
	Position int64
	// After is the key after which a page starts.
	After    string
	Wait     time.Duration
	MaxBytes int
	Timeout  time.Duration
}

// RelayReply is the store's response to a relayed call.
type RelayReply struct {
	Records []Record
	// Offset is the first offset of an append; for reads it is the end of the partition.
	Offset int64
	// More is true for a page of the newest records if other keys follow.
	More bool
	// At most one of the errors is set.
	Failed    *ErrStore
	Condition *ErrCondition
	Trimmed   *ErrTrimmed
}

func (r RelayReply) asError() error {
	switch {
	case r.Failed != nil:
		return *r.Failed
	case r.Condition != nil:
		return *r.Condition
	case r.Trimmed != nil:
		return *r.Trimmed
	}
	return nil
}

// setError stores an error in an encodable form.
func (r *RelayReply) setError(err error) {
	var storeErr ErrStore
	var condition ErrCondition
	var trimmed ErrTrimmed
	switch {
	case err == nil:
	case errors.As(err, &condition):
		r.Condition = &condition
	case errors.As(err, &trimmed):
		r.Trimmed = &trimmed
	case errors.As(err, &storeErr):
		r.Failed = &storeErr
	default:
		r.Failed = &ErrStore{Call: "relay", Done: true, Reason: err.Error()}
	}
}

// Relay serves the calls of other instances. Calls to the store are made directly and never relayed again; while the store doesn't
// answer this instance either, they fail at once.
type Relay struct {
	node  *Node
	store Store
	ctx   context.Context
}

// errNoDirectPath returns the error of a call for another instance that wasn't made.
func errNoDirectPath(call string) error {
	return ErrStore{Call: call, Reason: "the store doesn't answer this instance"}
}

// Append appends records on behalf of another instance.
func (r *Relay) Append(args RelayArgs, reply *RelayReply) error {
	if !r.node.store.isDirect(args.Topic, args.Part) {
		reply.setError(errNoDirectPath("Relay.Append"))
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, args.Timeout)
	defer cancel()
	offset, err := r.store.Append(ctx, args.Topic, args.Part, args.Records, args.Position)
	reply.Offset = offset
	reply.setError(err)
	return nil
}

// Read returns records to another instance.
func (r *Relay) Read(args RelayArgs, reply *RelayReply) error {
	if !r.node.store.isDirect(args.Topic, args.Part) {
		reply.setError(errNoDirectPath("Relay.Read"))
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, args.Timeout)
	defer cancel()
	batch, err := r.store.Read(ctx, args.Topic, args.Part, args.Position, args.Wait, args.MaxBytes)
	reply.Records, reply.Offset = r.node.redacted(args.Topic, batch.Records), batch.End
	reply.setError(err)
	return nil
}

// Newest returns a page of the newest records to another instance.
func (r *Relay) Newest(args RelayArgs, reply *RelayReply) error {
	if !r.node.store.isDirect(args.Topic, args.Part) {
		reply.setError(errNoDirectPath("Relay.Newest"))
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, args.Timeout)
	defer cancel()
	page, err := r.store.Newest(ctx, args.Topic, args.After)
	reply.Records, reply.Offset, reply.More = r.node.redacted(args.Topic, page.Records), page.End, page.More
	reply.setError(err)
	return nil
}

// servePeers serves the calls of other instances until the context ends.
func (n *Node) servePeers(ctx context.Context, listener net.Listener) error {
	receiver := &Relay{node: n, store: n.directStore, ctx: ctx}
	return jujubepeer.ServeWithTunnels(ctx, listener, receiver, n.endpointPath.openForPeer)
}
