package jujubeslope

import (
	"context"
	"net"
	"net/rpc"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
)

// peerService implements the RPC service that instances offer to their peers. net/rpc finds the method by its signature.
type peerService struct{}

// Exchange replies with a message without updates.
func (peerService) Exchange(message model.PeerMessage, reply *model.PeerMessage) error {
	*reply = model.PeerMessage{From: message.From, Digest: message.Digest}
	return nil
}

// studyConnections measures persistent connections between instances. Both ends of each connection are in this process,
// since an instance has about as many outgoing connections as incoming ones.
func studyConnections(_ context.Context, report *Report) error {
	for _, count := range []int{32, 128, 256, 369} {
		err := withPeerServer(func(address string) error { return measureConnectionMemory(report, count, address) })
		if err != nil {
			return err
		}
	}
	for _, calls := range []int{1, 2, 4, 8} {
		err := withPeerServer(func(address string) error { return measureCallBytes(report, calls, address) })
		if err != nil {
			return err
		}
	}
	return nil
}

// withPeerServer calls use with the address of an RPC server that responds to exchanges.
func withPeerServer(use func(address string) error) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	defer func() { _ = listener.Close() }()
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", peerService{}); err != nil {
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

// callPeer sends a probe without updates.
func callPeer(client *rpc.Client) error {
	var reply model.PeerMessage
	message := model.PeerMessage{From: newMember(0).ID, Incarnation: newMember(0).Incarnation, Probe: true, Digest: 1 << 62}
	return errors.Wrap(client.Call("Peer.Exchange", message, &reply), "call")
}

func measureConnectionMemory(report *Report, count int, address string) error {
	var clients []*rpc.Client
	defer func() {
		for _, client := range clients {
			_ = client.Close()
		}
	}()
	megabytes, err := memoryGrowth(func() (any, error) {
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

// measureCallBytes measures the bytes of probes on one connection. The first probe also carries gob's type descriptions.
func measureCallBytes(report *Report, calls int, address string) error {
	proxy, err := startCountingProxy(address)
	if err != nil {
		return err
	}
	defer proxy.close()
	client, err := rpc.Dial("tcp", proxy.address())
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	defer func() { _ = client.Close() }()
	for range calls {
		if err := callPeer(client); err != nil {
			return err
		}
	}
	report.add(axis{"calls on a connection", 1}, calls, "bytes of the calls, both ways", "B", float64(proxy.bytes.Load()))
	return nil
}
