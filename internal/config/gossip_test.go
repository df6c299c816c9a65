package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"wingmount/internal/testkit"
)

// A valid section [gossip] gives key, state file and peers. Each error of the section is reported with its setting.
func TestLoadGossipReturnsPeersOrErrors(t *testing.T) {
	dir := t.TempDir()
	public, err := NewGossipKey(filepath.Join(dir, "a.key"))
	testkit.Must(t, err)
	if _, err := NewGossipKey(filepath.Join(dir, "a.key")); err == nil {
		t.Error("got no error for a key file that exists, want one")
	}
	other, err := NewGossipKey(filepath.Join(dir, "b.key"))
	testkit.Must(t, err)
	peer := func(name, address, key string) string {
		return "[[gossip.peer]]\nname = \"" + name + "\"\naddress = \"" + address + "\"\nkeys = [\"" + key + "\"]\n"
	}
	head := "[gossip]\nlisten = \"127.0.0.1:0\"\ncluster = \"c\"\nbuilding = \"ops\"\nkey = \"a.key\"\n"
	given, err := os.ReadFile("../../deploy/gateway.toml")
	testkit.Must(t, err)
	load := func(section string) (*File, error) {
		path := filepath.Join(dir, "gateway.toml")
		testkit.Must(t, os.WriteFile(path, []byte(string(given)+"\n"+section), 0o600))
		return Load(path)
	}
	f, err := load(head + peer("gateway-1", "127.0.0.1:1", public) + peer("gateway-2", "127.0.0.1:2", other))
	testkit.Must(t, err)
	if _, err := f.GossipKey(); err != nil || f.Gossip.State != filepath.Join(dir, "gossip.state") || len(f.GossipPeers()[1].Keys) != 1 {
		t.Errorf("got %+v, error %v, want a key, a state file and a peer's key", f.Gossip, err)
	}
	for _, c := range []struct{ section, want string }{
		{"[gossip]\ncluster = \"c\"\n", "gossip.listen: is missing"},
		{"[gossip]\nlisten = \"127.0.0.1:1\"\n", "gossip.key: is missing"},
		{head + "datagrams = 3\n", "gossip.datagrams: 3 is not between 4 and 1000"},
		{head + "speed = 3\n", "unknown key gossip.speed"},
		{head + peer("b", "nowhere", other), "\"nowhere\" is not HOST:PORT"},
		{head + peer("b", "", other), "no other peer has an address"},
		{head + peer("b", "127.0.0.1:1", "abc"), "gossip.peer 1 (\"b\").keys[0]"},
		{head + peer("b", "127.0.0.1:1", other) + peer("b", "127.0.0.1:1", other), "has the same name"},
		{head + peer("gateway-1", "127.0.0.1:1", public) + peer("gateway-1", "127.0.0.1:1", public), "has the same name"},
		{head + peer("costarring", "127.0.0.1:1", public) + peer("liquid", "127.0.0.1:1", public), "the same number"},
	} {
		if _, err := load(c.section); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got error %v, want %q", c.section, err, c.want)
		}
	}
	f, err = load(head + peer("gateway-1", "127.0.0.1:1", other) + peer("b", "127.0.0.1:2", public))
	testkit.Must(t, err)
	if _, err := f.GossipKey(); err == nil || !strings.Contains(err.Error(), "does not list the public key") {
		t.Errorf("got error %v for a key that the node's own peer does not list, want one", err)
	}
	f.Gossip.Key = filepath.Join(dir, "gateway.toml")
	if _, err := f.GossipKey(); err == nil || !strings.Contains(err.Error(), "not a PEM file") {
		t.Errorf("got error %v for a file that is not a key, want one", err)
	}
}

// The example in deploy is valid and gets the defaults.
func TestLoadDeployedGossipSetsDefaults(t *testing.T) {
	f, err := Load("../../deploy/gossip.toml")
	testkit.Must(t, err)
	if len(f.GossipPeers()) != 2 || f.Gossip.Datagrams != 16 {
		t.Errorf("got %+v, want 2 peers and 16 datagrams a second", f.Gossip)
	}
}
