package jujubemodel

// MemberState is the state of an entry instance as seen by the other instances.
type MemberState string

// States of members.
const (
	MemberAlive   MemberState = "Alive"
	MemberSuspect MemberState = "Suspect"
	MemberLeaving MemberState = "Leaving"
	MemberDead    MemberState = "Dead"
)

// Member is one entry instance.
type Member struct {
	ID          InstanceID
	Incarnation Incarnation
	DataCentre  DataCentre
	// PeerAddress is the address for other entry instances.
	PeerAddress string
	// CallerAddress is the address for callers.
	CallerAddress string
	State         MemberState
	// Refutation increases each time a live instance refutes a suspicion against its incarnation.
	Refutation int64
}

// GossipKind is the subject of a gossip update.
type GossipKind string

// Kinds of gossip updates.
const (
	GossipMember          GossipKind = "Member"
	GossipEndpointLeaving GossipKind = "EndpointLeaving"
	GossipDrain           GossipKind = "Drain"
	GossipConfig          GossipKind = "Config"
	GossipWeights         GossipKind = "Weights"
	GossipStepAttempt     GossipKind = "StepAttempt"
	GossipSuspect         GossipKind = "Suspect"
	GossipCompletion      GossipKind = "Completion"
	GossipQuarantine      GossipKind = "Quarantine"
	GossipSuccessor       GossipKind = "Successor"
	GossipFence           GossipKind = "Fence"
)

// Rumour is a piece of soft state that instances spread by gossip. For the same Kind and Key, a higher Version replaces a
// lower one and is never replaced by a lower one.
type Rumour struct {
	Kind    GossipKind
	Key     string
	Version int64
	// Payload is at most 1 KB of JSON; its schema depends on Kind.
	Payload []byte `json:",omitempty"`
}

// PeerMessage is the argument and reply of Peer.Exchange (net/rpc), the membership protocol between entry instances.
type PeerMessage struct {
	From        InstanceID
	Incarnation Incarnation
	// Probe requests a reply. With Target set, the receiver probes Target on behalf of the sender.
	Probe  bool
	Target InstanceID
	// TargetAlive is the result of an indirect probe.
	TargetAlive bool
	Rumours     []Rumour
	// Digest is a hash of the sender's table of gossip updates. A receiver whose digest differs replies with the digests of
	// its buckets in Versions.
	Digest uint64
	// Versions maps bucket numbers to digests, or key hashes of gossip updates to versions. It is only sent when the digests
	// differ (see jujubemember).
	Versions map[uint64]int64
}
