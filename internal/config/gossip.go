package config

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"slices"
	"wingmount/decide/membership"
	"wingmount/internal/gossip"
)

// Limits of [gossip].
const (
	minGossipDatagrams = 4
	maxGossipDatagrams = 1000
)

// MaxPeers is the maximum number of peers in a file.
const MaxPeers = 1024

// Gossip is the section with the nodes that exchange observations of the health of endpoints. Gossip is disabled if
// Listen is empty.
type Gossip struct {
	Listen   string `toml:"listen"`
	Cluster  string `toml:"cluster"`
	Building string `toml:"building"` // availability zone of this node
	Key      string `toml:"key"`      // file of the private key
	State    string `toml:"state"`    // file of the persisted state; empty means gossip.state
	// Datagrams is the maximum send rate of the node in datagrams a second; 0 means 16. The node verifies the
	// signatures of at most three times as many a second from the known address of a peer.
	Datagrams int    `toml:"datagrams"`
	Peers     []Peer `toml:"peer"`
}

// Peer is a node of the cluster. The node itself may be among the peers.
type Peer struct {
	Name    string   `toml:"name"`
	Address string   `toml:"address"`
	Keys    []string `toml:"keys"` // public keys in base64
}

// check reports the errors of the section. own is the name of the node.
func (g *Gossip) check(own string, c *checker) {
	if g.Listen == "" {
		if g.hasSettings() {
			c.report("gossip.listen", "is missing")
		}
		return
	}
	c.address("gossip.listen", g.Listen)
	c.required("gossip.cluster", g.Cluster)
	c.required("gossip.building", g.Building)
	c.required("gossip.key", g.Key)
	c.within("gossip.datagrams", g.Datagrams, minGossipDatagrams, maxGossipDatagrams)
	if len(g.Peers) > MaxPeers {
		c.report("gossip.peer", "got %d peers, want at most %d", len(g.Peers), MaxPeers)
	}
	g.checkPeers(own, c)
}

// hasSettings reports whether the section has any setting except listen.
func (g *Gossip) hasSettings() bool {
	return g.Cluster != "" || g.Building != "" || g.Key != "" || g.State != "" || g.Datagrams != 0 || len(g.Peers) > 0
}

func (g *Gossip) checkPeers(own string, c *checker) {
	names := map[membership.Peer]string{gossip.PeerID(own): own}
	ownSeen, hasSeed := false, false
	for i, peer := range g.Peers {
		where := fmt.Sprintf("gossip.peer %d (%q)", i+1, peer.Name)
		c.required(where+".name", peer.Name)
		id := gossip.PeerID(peer.Name)
		isOwn := peer.Name == own
		if other, exists := names[id]; exists && (!isOwn || ownSeen) {
			c.report(where+".name", "%q has the same name or the same number", other)
		}
		names[id] = peer.Name
		ownSeen = ownSeen || isOwn
		if peer.Address != "" {
			c.address(where+".address", peer.Address)
			hasSeed = hasSeed || !isOwn
		}
		peer.checkKeys(where, c)
	}
	if !hasSeed && len(g.Peers) > 0 {
		c.report("gossip.peer", "no other peer has an address, so this node could not contact any")
	}
}

func (p *Peer) checkKeys(where string, c *checker) {
	if len(p.Keys) == 0 {
		c.report(where+".keys", "is missing")
	}
	for i, key := range p.Keys {
		if _, err := parsePublicKey(key); err != nil {
			c.report(fmt.Sprintf("%s.keys[%d]", where, i), "%v", err)
		}
	}
}

var errPublicKey = errors.New("must be an Ed25519 public key in base64, as printed by 'wingmount peers key'")

func parsePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, errPublicKey
	}
	return key, nil
}

// GossipPeers returns the peers of the file.
func (f *File) GossipPeers() []gossip.Peer {
	var peers []gossip.Peer
	for _, p := range f.Gossip.Peers {
		peer := gossip.Peer{Name: p.Name, Address: p.Address}
		for _, text := range p.Keys {
			key, err := parsePublicKey(text)
			if err == nil { // File.check has reported the error
				peer.Keys = append(peer.Keys, key)
			}
		}
		peers = append(peers, peer)
	}
	return peers
}

// GossipKey reads the node's private key. If the node itself is among the peers, its public key must be one of that
// peer's keys.
func (f *File) GossipKey() (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(f.Gossip.Key)
	if err != nil {
		return nil, fmt.Errorf("gossip.key: %w", err)
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, fmt.Errorf("gossip.key: %s is not a PEM file", f.Gossip.Key)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("gossip.key: %s: %w", f.Gossip.Key, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("gossip.key: %s is not an Ed25519 key", f.Gossip.Key)
	}
	if !f.allowsGossipKey(key) {
		return nil, fmt.Errorf("gossip.key: gossip.peer %q does not list the public key of %s", f.Name, f.Gossip.Key)
	}
	return key, nil
}

// allowsGossipKey reports whether the node is not among the peers, or is one of them with this key.
func (f *File) allowsGossipKey(key ed25519.PrivateKey) bool {
	for _, p := range f.GossipPeers() {
		if p.Name == f.Name {
			return slices.ContainsFunc(p.Keys, func(k ed25519.PublicKey) bool { return k.Equal(key.Public()) })
		}
	}
	return true
}

// NewGossipKey generates a private key, writes it to a new file as PKCS #8 in PEM (RFC 5958, RFC 8410), and returns the
// public key in base64.
func NewGossipKey(path string) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", fmt.Errorf("generating a key: %w", err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return "", fmt.Errorf("generating a key: %w", err)
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return "", fmt.Errorf("generating a key: %w", err)
	}
	if err := errors.Join(pem.Encode(file, &pem.Block{Type: "PRIVATE KEY", Bytes: der}), file.Sync(), file.Close()); err != nil {
		return "", fmt.Errorf("generating a key: %w", err)
	}
	return base64.StdEncoding.EncodeToString(public), nil
}
