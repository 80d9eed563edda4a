package jujubeslope

import (
	"context"
	"net"
	"net/rpc"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
)

// exchange answers as an instance does; net/rpc finds its method by its form.
type exchange struct{}

// Exchange answers with an empty message.
func (exchange) Exchange(message model.PeerMessage, reply *model.PeerMessage) error {
	*reply = model.PeerMessage{From: message.From, Digest: message.Digest}
	return nil
}

// studyConnections measures kept connections between instances: both ends of each are in this process, as an instance
// has about as many to others as from others.
func studyConnections(_ context.Context, report *Report) error {
	for _, count := range []int{32, 128, 256, 369} {
		if err := keepConnections(report, count); err != nil {
			return err
		}
	}
	return nil
}

func keepConnections(report *Report, count int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	defer func() { _ = listener.Close() }()
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", exchange{}); err != nil {
		return errors.Wrap(err, "register")
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go server.ServeConn(connection)
		}
	}()
	var clients []*rpc.Client
	defer func() {
		for _, client := range clients {
			_ = client.Close()
		}
	}()
	megabytes, err := grown(func() (any, error) {
		for range count {
			client, err := rpc.Dial("tcp", listener.Addr().String())
			if err != nil {
				return nil, errors.Wrap(err, "dial")
			}
			clients = append(clients, client)
			var reply model.PeerMessage
			message := model.PeerMessage{From: newMember(0).ID, Probe: true, Digest: 1}
			if err := client.Call("Peer.Exchange", message, &reply); err != nil {
				return nil, errors.Wrap(err, "call")
			}
		}
		return clients, nil
	})
	if err != nil {
		return err
	}
	report.add(axis{"kept peers", targetInstances - 1}, count, "memory of connections to and from peers", "MB", megabytes)
	return nil
}
