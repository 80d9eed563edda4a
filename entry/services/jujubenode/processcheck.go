package jujubenode

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// processCheckTimeout bounds a check of an endpoint's process, including the connections that other instances open for it.
	processCheckTimeout = 400 * time.Millisecond
	// maxProcessWitnesses bounds the other instances that take part in a check.
	maxProcessWitnesses = 2
)

// processState is what a check of an endpoint's process found out.
type processState int

const (
	processUnknown processState = iota
	// processAlive means that the process accepts connections.
	processAlive
	// processGone means that its host refuses connections.
	processGone
)

// checkProcess finds out whether the process of an endpoint still lives. Links may refuse connections as well, so another instance
// has to confirm that the process is gone.
func (p *endpointPath) checkProcess(ctx context.Context, address string) processState {
	ctx, cancel := context.WithTimeout(ctx, processCheckTimeout)
	defer cancel()
	state := p.dialProcess(ctx, address)
	if state == processAlive {
		return state
	}
	n := p.node
	n.mu.Lock()
	witnesses, addresses := p.choosePeers(time.Now())
	n.mu.Unlock()
	for _, witness := range witnesses[:min(len(witnesses), maxProcessWitnesses)] {
		var reply CheckProcessReply
		if err := n.store.pool.Call(ctx, addresses[witness.ID], "Relay.CheckProcess", CheckProcessArgs{Address: address}, &reply); err != nil {
			continue
		}
		switch {
		case reply.Alive:
			return processAlive
		case reply.Gone:
			return processGone
		}
	}
	if len(witnesses) > 0 {
		return processUnknown
	}
	return state
}

// dialProcess checks over this instance's own links.
func (p *endpointPath) dialProcess(ctx context.Context, address string) processState {
	conn, err := p.connectDirectly(ctx, address)
	switch {
	case err == nil:
		_ = conn.Close()
		return processAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return processGone
	}
	return processUnknown
}

// CheckProcessArgs names the endpoint to check.
type CheckProcessArgs struct {
	Address string
}

// CheckProcessReply is the result; neither is true if it isn't known.
type CheckProcessReply struct {
	Alive, Gone bool
}

// CheckProcess checks an endpoint's process for another instance.
func (r *Relay) CheckProcess(args CheckProcessArgs, reply *CheckProcessReply) error {
	n := r.node
	n.mu.Lock()
	_, isEndpoint := n.scheduler.EngineAt(args.Address)
	isEndpoint = isEndpoint && !n.isCutOff()
	n.mu.Unlock()
	if !isEndpoint {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, processCheckTimeout)
	defer cancel()
	state := n.endpointPath.dialProcess(ctx, args.Address)
	reply.Alive, reply.Gone = state == processAlive, state == processGone
	return nil
}
