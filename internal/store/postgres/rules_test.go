package postgres

import (
	"errors"
	"reflect"
	"testing"
	"time"
	"wingmount/internal/store"
	"wingmount/internal/store/storetest"
	"wingmount/internal/testkit"
)

// expectPeers checks what a node reads of the others. The time since which a node is gone is only checked to be positive.
func expectPeers(t *testing.T, s *Store, want ...store.PeerRules) {
	t.Helper()
	got, err := s.PeerRules(ctx)
	testkit.Must(t, err)
	for i := range got {
		if got[i].State == store.PeerGone && got[i].GoneFor >= 0 {
			got[i].GoneFor = 0
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got peers %+v, want %+v", got, want)
	}
}

// The nodes of a database see which rules the others use. A new process has announced nothing, and one that it has replaced
// can't announce anything any more.
func TestPeerRulesAreThoseOfTheNewestProcess(t *testing.T) {
	srv := start(t)
	a, _ := open(t, config(srv, "a"))
	b, _ := open(t, config(srv, "b"))
	expectPeers(t, a, store.PeerRules{Node: "b"})
	use := store.RuleUse{Active: "new", Previous: "old", Drained: true}
	testkit.Must(t, b.AnnounceRules(ctx, use))
	expectPeers(t, a, store.PeerRules{Node: "b", RuleUse: use, State: store.PeerRunning})
	again, _ := open(t, config(srv, "b"))
	expectPeers(t, a, store.PeerRules{Node: "b"})
	if err := b.AnnounceRules(ctx, use); !errors.Is(err, store.ErrFenced) {
		t.Errorf("announcement by a replaced process: got %v, want ErrFenced", err)
	}
	expectPeers(t, a, store.PeerRules{Node: "b"})
	use.Previous = ""
	testkit.Must(t, again.AnnounceRules(ctx, use))
	expectPeers(t, a, store.PeerRules{Node: "b", RuleUse: use, State: store.PeerRunning})
	testkit.Must(t, again.Close())
	expectPeers(t, a, store.PeerRules{Node: "b", RuleUse: use, State: store.PeerGone})
	testkit.Must(t, b.Close())
	testkit.Must(t, a.Close())
}

// Guards against a message that runs twice: a node whose lease has expired counts as gone only once it can't renew it, or it
// would go on with the rules that the others have replaced.
func TestPeerWithExpiredLeaseIsFenced(t *testing.T) {
	srv := start(t)
	a, _ := open(t, config(srv, "a"))
	b, _ := open(t, config(srv, "b"))
	use := store.RuleUse{Active: "old", Drained: true}
	testkit.Must(t, b.AnnounceRules(ctx, use))
	_, err := a.backend.pool.Exec(ctx, "UPDATE lease SET until = 1 WHERE node = 'b'")
	testkit.Must(t, err)
	expectPeers(t, a, store.PeerRules{Node: "b", RuleUse: use, State: store.PeerGone})
	if err := b.Accept(ctx, storetest.NewMessage("m", 10)); !errors.Is(err, store.ErrFenced) {
		t.Errorf("accept by a node that counts as gone: got %v, want ErrFenced", err)
	}
	time.Sleep(10 * time.Millisecond)
	peers, err := a.PeerRules(ctx)
	testkit.Must(t, err)
	if peers[0].GoneFor < 10*time.Millisecond || peers[0].GoneFor > time.Minute {
		t.Errorf("got %v since the node was fenced, want 10ms or more", peers[0].GoneFor)
	}
	testkit.Must(t, b.Close())
	testkit.Must(t, a.Close())
}

// A node of a version that does not announce its rules is known as such, also when its lease has expired.
func TestPeerOfOlderVersionIsUnknown(t *testing.T) {
	srv := start(t)
	a, _ := open(t, config(srv, "a"))
	_, err := a.backend.pool.Exec(ctx, "INSERT INTO lease (node, epoch, commits, until) VALUES ('old', 1, 0, $1::bigint)", time.Now().Add(time.Hour).UnixMicro())
	testkit.Must(t, err)
	expectPeers(t, a, store.PeerRules{Node: "old", State: store.PeerUnknown})
	_, err = a.backend.pool.Exec(ctx, "UPDATE lease SET until = 1 WHERE node = 'old'")
	testkit.Must(t, err)
	expectPeers(t, a, store.PeerRules{Node: "old", State: store.PeerGone})
	testkit.Must(t, a.Close())
}
