// Package forger floods a node with gossip datagrams in a peer's name without that peer's private key. It writes the
// format of docs/design/gossip.md by itself, so that it does not depend on the code under test.
//
// Start reading at [Flood], which keeps no state between calls.
package forger

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net"
	"time"
)

const (
	// burst is how many datagrams are sent at a time.
	burst = 50
	// version is the first byte of a datagram.
	version = 1
	// incarnation is higher than that of any real process.
	incarnation = 1 << 62
	// The sizes of the fields after the header of a ping without updates and evidence, in their order. Those after the
	// time are zero.
	counterSize     = 4
	timeSize        = 8
	kindSize        = 1
	numberSize      = 4
	targetSize      = 4
	digestSize      = 8
	updateCountSize = 1
	emptyPingSize   = counterSize + timeSize + kindSize + numberSize + targetSize + digestSize + updateCountSize
)

// Target is who is flooded, and in whose name.
type Target struct {
	Address, Name string // of the node that is flooded
	Cluster       string
	Peer          string // name of the peer that the datagrams claim to be from
	Key           string // the peer's public key, in base64
}

// Flood sends datagrams for a time, rate a second, which is above 0, and returns how many. They pass every check of the node except that
// of the signature.
func Flood(ctx context.Context, target Target, rate int, duration time.Duration) (sent int, err error) {
	datagram, err := newDatagram(target)
	if err != nil {
		return 0, err
	}
	connection, err := net.Dial("udp", target.Address)
	if err != nil {
		return 0, fmt.Errorf("forging datagrams: %w", err)
	}
	defer func() { _ = connection.Close() }()
	ticker := time.NewTicker(time.Second * burst / time.Duration(rate))
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return sent, ctx.Err()
		case <-ticker.C:
		}
		for range burst {
			sent++
			if err := datagram.forge(uint32(sent), time.Now()); err != nil {
				return sent, err
			}
			_, _ = connection.Write(datagram.bytes) // the kernel may drop it
		}
	}
	return sent, nil
}

// datagram is a ping whose counter, time and signature change with each sending.
type datagram struct {
	bytes     []byte
	counter   int // offset of the counter, which the time follows
	signature int // offset
}

// newDatagram returns a datagram that claims to be from the target's peer.
func newDatagram(target Target) (*datagram, error) {
	key, err := base64.StdEncoding.DecodeString(target.Key)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("forging datagrams: %q is no public key", target.Key)
	}
	keySum := sha256.Sum256(key)
	b := []byte{version}
	for _, name := range []string{target.Cluster, target.Peer, target.Name} {
		b = binary.BigEndian.AppendUint32(b, nameHash(name))
	}
	b = append(b, keySum[0], keySum[1])
	b = binary.BigEndian.AppendUint64(b, incarnation)
	b = binary.BigEndian.AppendUint32(b, 0) // the target's incarnation is not known
	d := &datagram{counter: len(b), signature: len(b) + emptyPingSize}
	d.bytes = append(b, make([]byte, emptyPingSize+ed25519.SignatureSize)...)
	return d, nil
}

// nameHash returns how datagrams identify a cluster or a node.
func nameHash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum32()
}

// forge sets the counter, the time and a random signature.
func (d *datagram) forge(counter uint32, now time.Time) error {
	binary.BigEndian.PutUint32(d.bytes[d.counter:], counter)
	binary.BigEndian.PutUint64(d.bytes[d.counter+counterSize:], uint64(now.UnixMilli()))
	if _, err := rand.Read(d.bytes[d.signature:]); err != nil {
		return fmt.Errorf("forging datagrams: %w", err)
	}
	return nil
}
