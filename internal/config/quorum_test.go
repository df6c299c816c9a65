package config

import (
	"os"
	"strings"
	"testing"
	"time"
	"wingmount/internal/control"
)

const quorumFile = `listen = "127.0.0.1:7950"
world = "world.toml"
state = "state"
`

const quorumSection = `[quorum]
id = 2
region = "south"
above = 17
[[quorum.member]]
id = 1
region = "north"
address = "h1:1"
via = "127.0.0.1:9"
[[quorum.member]]
id = 2
region = "south"
address = "h2:1"
`

func TestParseControlWithQuorumReturnsMemberConfig(t *testing.T) {
	c, err := ParseControl([]byte(quorumFile + quorumSection))
	if err != nil {
		t.Fatal(err)
	}
	m := c.MemberConfig(control.ServerConfig{Listen: c.Listen})
	if m.ID != 2 || m.Region != "south" || m.AboveIncarnation != 17 || len(m.InitialMembers) != 2 || m.InitialMembers[1].Address != "h2:1" || m.AddressOverrides[1] != "127.0.0.1:9" || len(m.AddressOverrides) != 1 {
		t.Errorf("got %+v, want the settings of the file", m)
	}
	if m.Leadership.LeaderLease != 2*time.Minute || m.Tick != 100*time.Millisecond || m.ElectionTicks != 15 {
		t.Errorf("got %+v, want the defaults", m)
	}
	single, err := ParseControl([]byte(quorumFile))
	if err != nil || single.Quorum != nil {
		t.Errorf("got %+v, error %v without the section, want nil", single.Quorum, err)
	}
}

func TestParseInvalidQuorumReportsErrors(t *testing.T) {
	for old, c := range map[string]struct{ with, want string }{
		"id = 2\nregion = \"south\"\nabove":   {"above", "quorum.id: is missing"},
		"above = 17":                          {"above = 17000000", "quorum.above: 17000000 is more than"},
		"id = 2\nregion = \"south\"\naddress": {"id = 1\nregion = \"south\"\naddress", "quorum.member 2 (id 1).id: is 0 or a duplicate"},
		"\"h1:1\"":                            {"\"h1\"", "quorum.member 1 (id 1).address: \"h1\" is not HOST:PORT"},
		"\"127.0.0.1:9\"":                     {"\"nowhere\"", "quorum.member 1 (id 1).via: \"nowhere\" is not HOST:PORT"},
		"[quorum]":                            {"[quorum]\nlength = \"3m\"", "quorum.length: 3m0s is not between 1s and 2m53.0025s: another machine must be able to take over before leases of 3m0s end"},
		"[quorum]\n":                          {"[quorum]\ntick = \"1us\"\n", "quorum.tick: 1µs is not between"},
		"[quorum]\nid":                        {"[quorum]\nelection_ticks = 3\nid", "quorum.election_ticks: 3 is not between"},
		"[[quorum.member]]\nid = 1":           {"[[quorum.member]]\nname = \"x\"\nid = 1", "unknown key quorum.member.name"},
	} {
		text := quorumFile + strings.Replace(quorumSection, old, c.with, 1)
		if _, err := ParseControl([]byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got error %v, want %q", c.with, err, c.want)
		}
	}
}

// The file in deploy is valid, documents each key, and a majority remains if one region fails.
func TestDeployedQuorumIsValidAndDocumentsKeys(t *testing.T) {
	text, err := os.ReadFile("../../deploy/quorum.toml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseControl(text)
	if err != nil {
		t.Fatal(err)
	}
	regions := map[string]int{}
	for _, m := range c.Quorum.Members {
		regions[m.Region]++
	}
	for region, members := range regions {
		if 2*(len(c.Quorum.Members)-members) <= len(c.Quorum.Members) {
			t.Errorf("got no majority without region %s, want one", region)
		}
	}
	for _, key := range []string{"id", "region", "length", "tick", "election_ticks", "# above", "address", "# via"} {
		if !strings.Contains(string(text), "\n"+key+" = ") {
			t.Errorf("got no key %s in deploy/quorum.toml, want it documented", key)
		}
	}
}
