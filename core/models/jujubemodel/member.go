package jujubemodel

// MemberState is the state of an entry instance as others see it.
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
	// PeerAddress is where other entry instances connect.
	PeerAddress string
	// CallerAddress is where callers connect.
	CallerAddress string
	State         MemberState
	// Refutation grows when a living instance contradicts a suspicion against its incarnation.
	Refutation int64
}

// RumourKind tells what a rumour is about.
type RumourKind string

// Kinds of rumours.
const (
	RumourMember          RumourKind = "Member"
	RumourEndpointLeaving RumourKind = "EndpointLeaving"
	RumourDrain           RumourKind = "Drain"
	RumourConfig          RumourKind = "Config"
	RumourWeights         RumourKind = "Weights"
	RumourStepAttempt     RumourKind = "StepAttempt"
	RumourSuspect         RumourKind = "Suspect"
	RumourQuarantine      RumourKind = "Quarantine"
	RumourSuccessor       RumourKind = "Successor"
	RumourFence           RumourKind = "Fence"
)

// Rumour is a piece of soft state. For one Kind and Key the higher Version wins and is never followed by a lower one.
type Rumour struct {
	Kind    RumourKind
	Key     string
	Version int64
	// Payload is at most 1 KB of JSON; its form depends on Kind.
	Payload []byte `json:",omitempty"`
}

// PeerMessage is what two entry instances exchange for membership (net/rpc, Peer.Exchange).
type PeerMessage struct {
	From        InstanceID
	Incarnation Incarnation
	// Probe asks for an answer; with Target set, the receiver probes Target for the sender.
	Probe  bool
	Target InstanceID
	// TargetAlive answers an indirect probe.
	TargetAlive bool
	Rumours     []Rumour
	// Digest is a hash of the sender's rumour table; a receiver whose digest differs answers with WantKeys or rumours.
	Digest uint64
	// Versions lists the sender's rumours by key hash when the digests differ.
	Versions map[uint64]int64
}
