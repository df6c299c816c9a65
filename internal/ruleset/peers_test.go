package ruleset

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/testkit"

	"pgregory.net/rapid"
)

// peerTimeout is the longest time-out of a message in these tests.
const peerTimeout = 10 * time.Second

// sharedRules is what the nodes of a test have announced, on a clock of its own.
type sharedRules struct {
	now   time.Duration
	nodes map[string]*sharedNode
}

type sharedNode struct {
	store.PeerRules
	goneAt time.Duration
}

func newSharedRules() *sharedRules { return &sharedRules{nodes: map[string]*sharedNode{}} }

// start makes a node one that has not announced its rules, as a store does when it opens.
func (s *sharedRules) start(name string) store.RuleSharer {
	s.nodes[name] = &sharedNode{PeerRules: store.PeerRules{Node: name}}
	return sharerOf{s, name}
}

func (s *sharedRules) stop(name string) {
	s.nodes[name].State, s.nodes[name].goneAt = store.PeerGone, s.now
}

// sharerOf is the store of one node.
type sharerOf struct {
	shared *sharedRules
	node   string
}

func (s sharerOf) AnnounceRules(_ context.Context, use store.RuleUse) error {
	n := s.shared.nodes[s.node]
	n.RuleUse, n.State = use, store.PeerRunning
	return nil
}

func (s sharerOf) PeerRules(context.Context) (peers []store.PeerRules, err error) {
	for name, n := range s.shared.nodes {
		if name == s.node {
			continue
		}
		p := n.PeerRules
		p.GoneFor = s.shared.now - n.goneAt
		peers = append(peers, p)
	}
	return peers, nil
}

// peerFixture returns a fixture of a node that shares its keys.
func peerFixture(tb testing.TB, dir, name string, shared *sharedRules) *fixture {
	tb.Helper()
	f := newFixture(tb, filepath.Join(dir, name))
	testkit.Must(tb, os.MkdirAll(filepath.Join(dir, name), 0o700))
	f.keyRetention = 0
	f.peers = shared.start(name)
	return f
}

// syncAll does what the managers do at each tick, so often that each sees what the others have announced.
func syncAll(tb testing.TB, ms ...*Manager) {
	tb.Helper()
	for range 3 {
		for _, m := range ms {
			testkit.Must(tb, m.syncPeers(context.Background()))
			testkit.Must(tb, m.advanceChange())
		}
	}
}

// Guards against a message that runs twice: after a change of rules a node must not give a message a new key while a
// message of another node on the same store uses its previous one, whichever of the two reads the new file first.
func TestChangedKeyWaitsForUseAtOtherNode(t *testing.T) {
	shared, dir := newSharedRules(), t.TempDir()
	f1, f2 := peerFixture(t, dir, "n1", shared), peerFixture(t, dir, "n2", shared)
	m1, m2 := f1.start(false), f2.start(false)
	syncAll(t, m1, m2)
	expectKey(t, m1, input("1", "x", "p"), "x")
	f2.ruleFile = "body.b"
	testkit.Must(t, m2.Reload())
	syncAll(t, m1, m2)
	expectKey(t, m2, input("2", "x", "p"), "")
	expectKey(t, m2, input("3", "q", "q"), "q") // both rule sets give the same key
	expectKey(t, m1, input("4", "y", "r"), "y") // the other node has the previous rules
	complete(m1, "1")
	complete(m1, "4")
	syncAll(t, m1, m2)
	expectKey(t, m2, input("5", "y", "r"), "")
	expectKey(t, m1, input("6", "z", "s"), "z")
	f1.ruleFile = "body.b"
	testkit.Must(t, m1.Reload())
	syncAll(t, m1, m2)
	expectKey(t, m2, input("7", "z", "s"), "")
	complete(m1, "6")
	complete(m2, "3")
	syncAll(t, m1, m2)
	expectKey(t, m2, input("7", "z", "s"), "s")
	expectKey(t, m1, input("8", "x", "p"), "p")
	if m1.ChangeInProgress() || m2.ChangeInProgress() {
		t.Error("got a change in progress, want it completed at both nodes")
	}
}

// Guards against a message that runs twice: a node that starts with other rules than the running ones gives no message a key
// until it has their rules. A change does not wait for ever for a node that is gone.
func TestStartWithOtherRulesWaitsForThem(t *testing.T) {
	shared, dir := newSharedRules(), t.TempDir()
	f1, f2 := peerFixture(t, dir, "n1", shared), peerFixture(t, dir, "n2", shared)
	m1, m2 := f1.start(false), f2.start(false)
	syncAll(t, m1, m2)
	shared.stop("n2")
	f1.ruleFile = "body.b"
	testkit.Must(t, m1.Reload())
	syncAll(t, m1)
	expectKey(t, m1, input("1", "x", "p"), "")
	shared.now += peerTimeout
	syncAll(t, m1)
	expectKey(t, m1, input("1", "x", "p"), "p")

	f2.peers = shared.start("n2")
	m2 = f2.start(false) // its record and its file have the rules from before
	syncAll(t, m1, m2)
	expectKey(t, m2, input("2", "x", "p"), "")
	f2.ruleFile = "body.b"
	testkit.Must(t, m2.Reload())
	complete(m1, "1")
	syncAll(t, m1, m2)
	expectKey(t, m2, input("2", "x", "p"), "p")
}

// sharedUse is the use of a key by a message of one of several nodes.
type sharedUse struct {
	node, id, key string
	reading       int
	unfinished    bool
	until         time.Duration // when the key became free, or becomes free as the node is gone; 0 while it is in use
}

// Two messages of one reading never have different keys while both are in use, whatever nodes start, stop, and read new
// rule files in whatever order.
func TestNodesNeverGiveOneReadingTwoKeys(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "ruleset")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		shared := newSharedRules()
		fixtures, managers := map[string]*fixture{}, map[string]*Manager{}
		names := []string{"n1", "n2", "n3"}
		for _, name := range names {
			fixtures[name] = peerFixture(noTB{}, dir, name, shared)
			shared.stop(name)
		}
		shared.now = peerTimeout
		var uses []sharedUse
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "node")
			f, m := fixtures[name], managers[name]
			switch op := rapid.SampledFrom([]string{"start", "stop", "file", "reload", "sync", "sync", "evaluate", "evaluate", "complete", "wait"}).Draw(t, "op"); {
			case op == "wait":
				shared.now += time.Duration(rapid.IntRange(1, 6).Draw(t, "seconds")) * time.Second
			case op == "file":
				f.ruleFile = rapid.SampledFrom([]string{"body.a", "body.b", "body.a + body.b"}).Draw(t, "rules")
			case op == "start" && m == nil:
				f.peers = shared.start(name)
				var unfinished []*message.Message
				for u := range uses {
					if uses[u].node == name && uses[u].unfinished && uses[u].until > shared.now {
						uses[u].until = 0
						unfinished = append(unfinished, &message.Message{ID: uses[u].id, Key: uses[u].key})
					}
				}
				managers[name] = f.start(false, unfinished...)
			case m == nil:
			case op == "stop":
				shared.stop(name)
				delete(managers, name)
				for u := range uses {
					if uses[u].node == name && uses[u].until == 0 {
						uses[u].until = shared.now + peerTimeout
					}
				}
			case op == "reload":
				testkit.Must(f.tb, m.Reload())
			case op == "sync":
				testkit.Must(f.tb, m.syncPeers(context.Background()))
				testkit.Must(f.tb, m.advanceChange())
			case op == "complete":
				for u := range uses {
					if uses[u].node == name && uses[u].until == 0 {
						complete(m, uses[u].id)
						uses[u].until, uses[u].unfinished = shared.now, false
						break
					}
				}
			case op == "evaluate":
				reading := rapid.IntRange(0, 2).Draw(t, "reading")
				id := fmt.Sprint("m", i)
				r, err := m.Evaluate(input(id, fmt.Sprint("a", reading), fmt.Sprint("b", reading)))
				if err != nil {
					continue
				}
				accepted++
				for _, u := range uses {
					if u.reading == reading && u.key != r.Key && (u.until == 0 || u.until > shared.now) {
						t.Fatalf("step %d: %s accepts reading %d with key %q, which %s has in use with key %q", i, name, reading, r.Key, u.node, u.key)
					}
				}
				uses = append(uses, sharedUse{node: name, id: id, key: r.Key, reading: reading, unfinished: true})
			}
		}
	})
	if accepted == 0 {
		t.Error("got no message accepted")
	}
}
