package gossip

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"time"
	"wingmount/decide/evidence"
	"wingmount/decide/gossip"
	"wingmount/decide/membership"
)

// A datagram is a header, updates, reports and a signature over all before it, in this order, with numbers in network
// byte order (docs/design/gossip.md has the table):
//
//	version 1 | cluster 4 | from 4 | to 4 | key 2 | incarnation 8 | to's incarnation 4 | counter 4 | sent 8 |
//	kind 1 | seq 4 | target 4 | digest 8 | updates 4 bits, reports 4 bits
//	update: member 4 | status 1 | incarnation 8 | from 4
//	report: endpoint 8 | zone 2 | age 2, ms | span 2, ms | calls 1 | failed 1
const (
	// MaxDatagram is the longest datagram, in bytes.
	MaxDatagram  = 256
	version      = 1
	headerLength = 57
	updateLength = 17
	reportLength = 16
	bodyCapacity = MaxDatagram - headerLength - ed25519.SignatureSize
	maxItems     = 15      // in four bits
	signedPrefix = "wing1" // keeps a signature from being valid for another use
)

// Capacity returns how many reports fit beside so many updates.
func Capacity(updates int) int { return (bodyCapacity - updates*updateLength) / reportLength }

// PeerID returns the number of a node, by its name. The configuration is checked for names with the same number.
func PeerID(name string) membership.Peer {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return membership.Peer(max(1, h.Sum32()))
}

// zoneID returns the number of an availability zone, by its name.
func zoneID(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() & math.MaxUint16)
}

// keyID returns two bytes that select one of a peer's keys.
func keyID(k ed25519.PublicKey) uint16 {
	sum := sha256.Sum256(k)
	return binary.BigEndian.Uint16(sum[:])
}

// header is the part of a datagram before its updates.
type header struct {
	cluster        uint32
	from, to       membership.Peer
	key            uint16
	incarnation    uint64 // of the sender
	toIncarnation  uint32 // the last 32 bits of the addressee's, as the sender knows it; 0 if it does not
	counter        uint32 // of the sender's process, for this addressee
	sent           int64  // Unix milliseconds, by the sender's clock
	kind           membership.Kind
	seq            uint32
	target         membership.Peer
	digest         uint64
	updates, items int
}

// errForm is the error of bytes that are no datagram of this form.
var errForm = errors.New("it is no datagram of this form")

// parseHeader parses a header and checks the length of the datagram. It returns errForm if either is wrong.
func parseHeader(b []byte) (h header, err error) {
	if len(b) < headerLength+ed25519.SignatureSize || len(b) > MaxDatagram || b[0] != version {
		return h, errForm
	}
	be := binary.BigEndian
	h = header{
		cluster: be.Uint32(b[1:]), from: membership.Peer(be.Uint32(b[5:])), to: membership.Peer(be.Uint32(b[9:])), key: be.Uint16(b[13:]),
		incarnation: be.Uint64(b[15:]), toIncarnation: be.Uint32(b[23:]), counter: be.Uint32(b[27:]), sent: int64(be.Uint64(b[31:])),
		kind: membership.Kind(b[39]), seq: be.Uint32(b[40:]), target: membership.Peer(be.Uint32(b[44:])), digest: be.Uint64(b[48:]),
		updates: int(b[56] >> 4), items: int(b[56] & maxItems),
	}
	if len(b) != headerLength+h.updates*updateLength+h.items*reportLength+ed25519.SignatureSize {
		return h, errForm
	}
	return h, nil
}

// packet parses the rest of a datagram whose signature is valid. now is this node's clock, and transit the time from
// sending to receiving.
func (h header) packet(b []byte, now, transit time.Duration) gossip.Packet {
	be := binary.BigEndian
	p := gossip.Packet{Packet: membership.Packet{Kind: h.kind, Seq: h.seq, Target: h.target, Digest: h.digest}}
	b = b[headerLength:]
	for range h.updates {
		p.Updates = append(p.Updates, membership.Update{
			Member: membership.Peer(be.Uint32(b)), Status: membership.Status(b[4]),
			Incarnation: be.Uint64(b[5:]), From: membership.Peer(be.Uint32(b[13:])),
		})
		b = b[updateLength:]
	}
	for range h.items {
		to := now - transit - time.Duration(be.Uint16(b[10:]))*time.Millisecond
		p.Reports = append(p.Reports, evidence.Report{
			Endpoint: evidence.Endpoint(be.Uint64(b)), Zone: int(be.Uint16(b[8:])),
			From: to - time.Duration(be.Uint16(b[12:]))*time.Millisecond, To: to, Calls: int(b[14]), Failed: int(b[15]),
		})
		b = b[reportLength:]
	}
	return p
}

// encode returns a signed datagram, or an error if the packet does not fit.
func encode(h header, p gossip.Packet, now time.Duration, key ed25519.PrivateKey) ([]byte, error) {
	if len(p.Updates) > maxItems || len(p.Reports) > maxItems || len(p.Updates)*updateLength+len(p.Reports)*reportLength > bodyCapacity {
		return nil, fmt.Errorf("a packet with %d updates and %d items of evidence is longer than %d bytes", len(p.Updates), len(p.Reports), MaxDatagram)
	}
	be := binary.BigEndian
	b := make([]byte, 0, MaxDatagram)
	b = append(b, version)
	b = be.AppendUint32(b, h.cluster)
	b = be.AppendUint32(b, uint32(h.from))
	b = be.AppendUint32(b, uint32(h.to))
	b = be.AppendUint16(b, h.key)
	b = be.AppendUint64(b, h.incarnation)
	b = be.AppendUint32(b, h.toIncarnation)
	b = be.AppendUint32(b, h.counter)
	b = be.AppendUint64(b, uint64(h.sent))
	b = append(b, byte(p.Kind))
	b = be.AppendUint32(b, p.Seq)
	b = be.AppendUint32(b, uint32(p.Target))
	b = be.AppendUint64(b, p.Digest)
	b = append(b, byte(len(p.Updates)<<4|len(p.Reports)))
	for _, u := range p.Updates {
		b = be.AppendUint32(b, uint32(u.Member))
		b = append(b, byte(u.Status))
		b = be.AppendUint64(b, u.Incarnation)
		b = be.AppendUint32(b, uint32(u.From))
	}
	for _, e := range p.Reports {
		b = be.AppendUint64(b, uint64(e.Endpoint))
		b = be.AppendUint16(b, uint16(e.Zone))
		b = be.AppendUint16(b, millis(now-e.To))
		b = be.AppendUint16(b, millis(e.To-e.From))
		calls, failed := e.Calls, e.Failed
		if calls > math.MaxUint8 { // the fraction is kept
			calls, failed = math.MaxUint8, (failed*math.MaxUint8+calls/2)/calls
		}
		b = append(b, byte(calls), byte(failed))
	}
	return append(b, ed25519.Sign(key, signed(b))...), nil
}

// millis returns a time in milliseconds, limited to 16 bits.
func millis(d time.Duration) uint16 {
	return uint16(min(math.MaxUint16, max(0, d.Round(time.Millisecond).Milliseconds())))
}

func signed(b []byte) []byte { return append([]byte(signedPrefix), b...) }

// verify reports whether a datagram is signed by a key.
func verify(b []byte, key ed25519.PublicKey) bool {
	body, signature := b[:len(b)-ed25519.SignatureSize], b[len(b)-ed25519.SignatureSize:]
	return ed25519.Verify(key, signed(body), signature)
}
