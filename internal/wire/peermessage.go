package wire

import "wingmount/policy"

// peerMessageSize is the length of a message between instances, in bytes: two bits of the event, then the tag, the
// highest byte first.
const peerMessageSize = 3

// DecodePeerMessage reads a message of another instance. It reports false if the bytes are none, which is not an error:
// another instance may be faulty.
func DecodePeerMessage(b []byte) (policy.PeerMessage, bool) {
	if len(b) != peerMessageSize {
		return policy.PeerMessage{}, false
	}
	v := uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
	return policy.PeerMessage{Tag: policy.Tag(v & (1<<policy.TagBits - 1)), Event: policy.PeerEvent(v >> policy.TagBits)}, true
}

// EncodePeerMessage writes a message for the other instances.
func EncodePeerMessage(a policy.NotifyPeers) []byte {
	v := uint32(a.Event)<<policy.TagBits | uint32(a.Tag)
	return []byte{byte(v >> 16), byte(v >> 8), byte(v)}
}
