package membership

// Peer names a node.
type Peer uint32

// Status is what is believed of a member.
type Status uint8

// The statuses, in the order in which they win at one incarnation.
const (
	Alive Status = iota
	Suspect
	Dead // it does not answer
	Left // it said so
)

// Update is what one node tells of a member.
type Update struct {
	Member      Peer
	Status      Status
	Incarnation uint64
	From        Peer // who suspects, in a Suspect
}

// Kind is what a packet is for.
type Kind uint8

// The kinds of packet.
const (
	Ping    Kind = iota // answer with Ack
	Ack                 // of the Ping with this Seq
	PingReq             // ping Target, and hand its Ack on
	Nack                // to a PingReq: the Target has not answered yet
	Gossip              // no answer: it carries updates, and what others put beside them
)

// Packet is what goes from node to node. It has MaxUpdates updates at most.
type Packet struct {
	Kind    Kind
	Seq     uint32 // of the probe: an answer has that of its question
	Target  Peer   // PingReq and its answers
	Digest  uint64 // of what the sender believes of all members
	Updates []Update
}

// Out is a packet to send.
type Out struct {
	To Peer
	Packet
}

// MaxUpdates is how many updates travel in a packet.
const MaxUpdates = 7
