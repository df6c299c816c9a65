package lease

import (
	"fmt"
	"testing"
	"time"
	"wingmount/decide/placement"
)

// simulatedNodes contains a grantor and the holders of all nodes, connected without a network.
type simulatedNodes struct {
	tb              testing.TB
	now             time.Duration
	grantor         *Grantor
	holders         []*Holder
	sentAssignments int // number of assignments in all replies
}

func newSimulatedNodes(tb testing.TB, nodes, destinations int) *simulatedNodes {
	tb.Helper()
	f := &simulatedNodes{tb: tb, grantor: NewGrantor(0, 1, Config{NoEarlierLeases: true, Window: time.Second})}
	for i := range nodes {
		f.holders = append(f.holders, NewHolder(HolderConfig{Node: nodeName(i), Process: 1}))
	}
	for i := range destinations {
		f.grantor.SetOwners(0, placement.DestinationID(i), []placement.NodeID{nodeName(i % nodes), nodeName((i + 1) % nodes)})
	}
	return f
}

func nodeName(i int) placement.NodeID { return placement.NodeID(fmt.Sprintf("n%d", i)) }

// renewAll has all nodes renew once, except for the excluded ones.
func (f *simulatedNodes) renewAll(excluded map[int]bool) {
	f.now += time.Second
	f.grantor.Advance(f.now)
	for i, holder := range f.holders {
		if excluded[i] {
			continue
		}
		request := holder.Renew(f.now)
		session, err := f.grantor.Receive(f.now, request)
		if err != nil {
			f.tb.Fatal(err)
		}
		reply, err := f.grantor.Answer(f.now, session, request)
		if err != nil {
			f.tb.Fatal(err)
		}
		if _, err := holder.Receive(f.now, reply); err != nil {
			f.tb.Fatal(err)
		}
		f.sentAssignments += len(reply.Assignments)
	}
}

// renewRepeatedly calls renewAll count times. It returns the number of assignments in the replies.
func (f *simulatedNodes) renewRepeatedly(count int, excluded map[int]bool) int {
	before := f.sentAssignments
	for range count {
		f.renewAll(excluded)
	}
	return f.sentAssignments - before
}

// The number of sent assignments must depend on the number of changes, not of destinations. Otherwise each renewal and
// each failed node costs the control process work in proportion to the size of the cluster.
func TestRenewalsSendOnlyChangedAssignments(t *testing.T) {
	const nodes, destinations = 100, 5000
	f := newSimulatedNodes(t, nodes, destinations)
	start := f.renewRepeatedly(8, nil)
	if most := 4 * 2 * destinations; start > most {
		t.Errorf("at the start: got %d assignments in replies, want %d at most", start, most)
	}
	if unchanged := f.renewRepeatedly(5, nil); unchanged != 0 {
		t.Errorf("without changes: got %d assignments in replies, want 0", unchanged)
	}
	// One node fails: its quotas go to the other owners, and no other node gets an assignment.
	failed := map[int]bool{7: true}
	ended := f.renewRepeatedly(int(DefaultDuration/time.Second)+10, failed)
	if f.grantor.HasSession(nodeName(7)) {
		t.Fatal("the failed node: got a session, want none")
	}
	owned := 2 * destinations / nodes
	if most := 2 * owned; ended > most {
		t.Errorf("after the failure of a node with %d destinations: got %d assignments in replies, want %d at most", owned, ended, most)
	}
}

func BenchmarkFirstRenewals(b *testing.B) {
	for b.Loop() {
		f := newSimulatedNodes(b, 1500, 170_000)
		f.renewRepeatedly(8, nil)
	}
}

func BenchmarkUnchangedRenewals(b *testing.B) {
	f := newSimulatedNodes(b, 1500, 170_000)
	f.renewRepeatedly(8, nil)
	for b.Loop() {
		f.renewAll(nil)
	}
}
