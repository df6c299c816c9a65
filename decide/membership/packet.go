package membership

// Peer identifies a node.
type Peer uint32

// Status is the status of a member in a node's view.
type Status uint8

// The statuses, in order of precedence: for the same incarnation, a later status overrides an earlier one.
const (
	Alive Status = iota
	Suspect
	Dead // it did not respond and did not refute the suspicion in time
	Left // it announced that it leaves the cluster
)

// Update is one node's view of a member.
type Update struct {
	Member      Peer
	Status      Status
	Incarnation uint64
	From        Peer // the node that suspects the member; only with Suspect
}

// Kind is the type of a packet.
type Kind uint8

// The packet kinds.
const (
	Ping    Kind = iota // requests an Ack
	Ack                 // response to the Ping or PingReq with this Seq
	PingReq             // requests a Ping of Target and the forwarding of its Ack
	Nack                // response to a PingReq: Target has not responded yet
	Gossip              // requests no response; contains updates and the caller's data
)

// Packet is a message between nodes. It contains at most MaxUpdates updates.
type Packet struct {
	Kind    Kind
	Seq     uint32 // sequence number of the probe; a response has that of its request
	Target  Peer   // set in PingReq and its responses
	Digest  uint64 // hash of the sender's own state and of the members that it considers present
	Updates []Update
}

// Outgoing is a packet to send.
type Outgoing struct {
	To Peer
	Packet
}

// MaxUpdates is the maximum number of updates in a packet.
const MaxUpdates = 7
