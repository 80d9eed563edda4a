// Package jujubepeerapi implements the net/rpc API for other entry instances.
package jujubepeerapi

import (
	"context"
	"net"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeconfig"
	"jujubepier.example/core/services/jujubecore"
	"jujubepier.example/entry/modules/jujubepeer"
	"jujubepier.example/entry/services/jujubeentry"
)

// Peer is the net/rpc receiver. net/rpc serves every exported method that has the required signature.
type Peer struct {
	service *jujubeentry.Service
	ctx     context.Context
}

// Exchange handles a message of the membership protocol.
func (p *Peer) Exchange(message model.PeerMessage, reply *model.PeerMessage) error {
	*reply = p.service.HandleExchange(message)
	return nil
}

// Forward handles a non-idempotent call whose key this instance issued.
func (p *Peer) Forward(args jujubeentry.ForwardArgs, reply *jujubeentry.ForwardReply) error {
	ctx, cancel := context.WithTimeout(p.ctx, args.Call.Timeout)
	defer cancel()
	*reply = p.service.HandleForwarded(ctx, args)
	return nil
}

// FetchConfig returns the state of the configuration.
func (p *Peer) FetchConfig(_ jujubeentry.Empty, reply *jujubeconfig.State) error {
	*reply = p.service.ConfigState()
	return nil
}

// ImportClaims imports the idempotency keys of an instance that shuts down.
func (p *Peer) ImportClaims(args jujubeentry.ImportArgs, _ *jujubeentry.Empty) error {
	p.service.ImportKeys(args)
	return nil
}

// GrantSuspect decides, as the coordinator of suspect requests, whether another instance may run one.
func (p *Peer) GrantSuspect(asked jujubecore.SuspectAsked, reply *jujubecore.SuspectAnswered) error {
	*reply = p.service.GrantSuspect(asked)
	return nil
}

// ReleaseSuspect releases a grant after the suspect request has ended.
func (p *Peer) ReleaseSuspect(release jujubecore.SuspectReleased, _ *jujubeentry.Empty) error {
	p.service.HandleRelease(release)
	return nil
}

// Serve serves connections until the context ends, then closes them.
func Serve(ctx context.Context, listener net.Listener, service *jujubeentry.Service) error {
	return jujubepeer.Serve(ctx, listener, &Peer{service: service, ctx: ctx})
}
