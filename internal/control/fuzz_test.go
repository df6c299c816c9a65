package control

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
)

// Requests of faulty nodes must neither crash the grantor nor open more sessions than MaxSessions.
func FuzzRequest(f *testing.F) {
	for _, request := range []lease.Request{
		{Node: "n1", Process: 7, Sequence: 1},
		{
			Node: "n1", Process: 7, Sequence: 2, Session: 1<<40 + 1, Incarnation: 1, AppliedVersion: 3,
			Released: []lease.Release{{Destination: 1, Epoch: 1<<40 + 1}}, Unfinished: []placement.DestinationID{4},
		},
		{
			Node: "n2", Process: 8, Sequence: 1, Session: 5, Reclaiming: true,
			Reclaims: []lease.Assignment{{Destination: 1, Epoch: 2, Quota: 0.5, Accepting: true}},
		},
		{Node: "n1", Process: 7, Sequence: 3, Closing: true},
	} {
		text, err := json.Marshal(request)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text, text)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		grantor := lease.NewGrantor(0, 2, lease.Config{Duration: time.Second, MaxSessions: 3, MaxUnfinished: 3})
		grantor.SetOwners(0, 1, []placement.NodeID{"n1", "n2"})
		for i, text := range [][]byte{first, second, first} {
			request, err := parsePoll(text)
			if err != nil {
				continue
			}
			now := time.Duration(i) * time.Second
			session, err := grantor.Receive(now, request.Request)
			if err == nil && session != 0 {
				_, _ = grantor.Answer(now, session, request.Request)
			}
		}
		for _, destination := range []placement.DestinationID{1, 4} {
			grantor.Grants(destination)
		}
		if grantor.SessionCount() > 3 {
			t.Fatalf("got %d sessions, want 3 at most", grantor.SessionCount())
		}
	})
}

// Replies of a faulty control machine must not crash the agent. It must reject invalid configs, quotas outside 0 to 1
// and excessive leases, and have no assignments after an error.
func FuzzReply(f *testing.F) {
	reply := pollReply{
		Reply: lease.Reply{
			Incarnation: 1, Session: 1<<40 + 1, Sequence: 1, Duration: time.Second, Version: 2, Complete: true,
			Assignments: []lease.Assignment{{Destination: 1, Epoch: 1<<40 + 1, Quota: 0.5, Accepting: true}},
		},
		Configs: []clusterspec.DestinationConfig{testConfig(1)},
	}
	text, err := json.Marshal(reply)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"incarnation":1,"sequence":1,"claims_wanted":true}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var reply pollReply
		if decodeResponse(bytes.NewReader(text), maxReplyBytes, &reply) != nil {
			return
		}
		agent := &Agent{config: AgentConfig{Node: "n1"}.withDefaults(), holder: lease.NewHolder(lease.HolderConfig{Node: "n1", Process: 1})}
		holder := agent.holder
		holder.Renew(0)
		_, err := holder.Receive(time.Millisecond, reply.Reply)
		for _, received := range agent.validConfigs(reply.Configs) {
			if received.Validate() != nil {
				t.Fatalf("got invalid config %+v", received)
			}
		}
		if err != nil && (holder.Valid(time.Millisecond) || holder.Len() > 0) {
			t.Fatalf("got assignments or a lease after error %v", err)
		}
		for assignment := range holder.Assignments {
			if quota := holder.Quota(time.Millisecond, assignment.Destination); !(quota >= 0 && quota <= 1) {
				t.Fatalf("got a quota of %v", quota)
			}
		}
		if holder.Expiry() > lease.MaxDuration {
			t.Fatalf("got lease expiry %v, want lease.MaxDuration at most", holder.Expiry())
		}
	})
}

// Malformed responses to lookups of owners must not crash the client.
func FuzzOwners(f *testing.F) {
	f.Add([]byte(`{"destination":1,"owners":[{"node":"n1","address":"127.0.0.1:9001"}]}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		var owners Owners
		_ = decodeResponse(bytes.NewReader(text), maxOwnersBytes, &owners)
	})
}

const specText = `
[[node]]
name = "n1"
region = "north"
zone = "a"
weight = 2
address = "10.0.0.1:8080"

[[node]]
name = "n2"
region = "north"
zone = "b"
address = "10.0.0.2:8080"

[[destination]]
number = 1
name = "clinic"
rate = 20
owners = 1

[[destination]]
number = 70000
rate = 5
region = "north"
`

// An operator reloads an invalid spec file. The server must keep its spec, and apply a valid file that is reloaded
// later.
func TestReloadAppliesOnlyValidSpec(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "world.toml")
	if err := os.WriteFile(path, []byte(specText), 0o600); err != nil {
		t.Fatal(err)
	}
	reload := make(chan os.Signal, 1)
	config := testServerConfig(t, nil)
	config.SpecFile, config.ReloadOn = path, reload
	server, _ := startServer(t, config)
	if err := os.WriteFile(path, []byte("nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := server.Reload(); err == nil {
		t.Fatal("got no error for an invalid file")
	}
	if state := server.State(); state.Destinations != 2 {
		t.Fatalf("got state %+v, want the previous spec", state)
	}
	if err := os.WriteFile(path, []byte(specText+"[[destination]]\nnumber=9\nrate=1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	reload <- os.Interrupt
	eventually(t, "the new spec is applied", func() bool { return server.State().Destinations == 3 })
}
