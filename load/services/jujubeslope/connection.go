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
		err := servePeers(func(address string) error { return keepConnections(report, count, address) })
		if err != nil {
			return err
		}
	}
	for _, calls := range []int{1, 2, 4, 8} {
		err := servePeers(func(address string) error { return countCalls(report, calls, address) })
		if err != nil {
			return err
		}
	}
	return nil
}

// servePeers runs a server that answers exchanges.
func servePeers(use func(address string) error) error {
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
	return use(listener.Addr().String())
}

func callPeer(client *rpc.Client) error {
	var reply model.PeerMessage
	message := model.PeerMessage{From: newMember(0).ID, Incarnation: newMember(0).Incarnation, Probe: true, Digest: 1 << 62}
	return errors.Wrap(client.Call("Peer.Exchange", message, &reply), "call")
}

func keepConnections(report *Report, count int, address string) error {
	var clients []*rpc.Client
	defer func() {
		for _, client := range clients {
			_ = client.Close()
		}
	}()
	megabytes, err := grown(func() (any, error) {
		for range count {
			client, err := rpc.Dial("tcp", address)
			if err != nil {
				return nil, errors.Wrap(err, "dial")
			}
			clients = append(clients, client)
			if err := callPeer(client); err != nil {
				return nil, err
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

// countCalls measures the bytes of probes on one connection. The first one also carries the description of the types.
func countCalls(report *Report, calls int, address string) error {
	relay, err := startMeter(address)
	if err != nil {
		return err
	}
	defer relay.close()
	client, err := rpc.Dial("tcp", relay.address())
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	defer func() { _ = client.Close() }()
	for range calls {
		if err := callPeer(client); err != nil {
			return err
		}
	}
	report.add(axis{"calls on a connection", 1}, calls, "bytes of the calls, both ways", "B", float64(relay.bytes.Load()))
	return nil
}
