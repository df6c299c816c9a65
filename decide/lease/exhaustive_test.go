package lease

import (
	"fmt"
	"strings"
	"testing"
	"wingmount/decide/placement"
)

const (
	// maxSequenceSteps is the number of actions in the longest sequences of TestShortSequencesNeverExceedLimit.
	maxSequenceSteps = 6
	// maxInFlight bounds the number of messages in flight.
	maxInFlight = 2
)

// ownerSets contains the sets of owners that the only destination may have.
var ownerSets = [][]placement.NodeID{{"n0"}, {"n1"}, {"n0", "n1"}}

// exhaustiveActions contains all actions of the small model. An action that is not possible now changes nothing.
var exhaustiveActions = []func(m *model){
	func(m *model) { m.renewIfRoom(0) },
	func(m *model) { m.renewIfRoom(1) },
	func(m *model) { m.deliverIfPresent(0, false) },
	func(m *model) { m.deliverIfPresent(1, false) },
	func(m *model) { m.deliverIfPresent(0, true) },
	func(m *model) { m.dropIfPresent(0) },
	func(m *model) { m.advance(modelDuration / 2) },
	func(m *model) { m.grantor.SetOwners(m.now, 0, ownerSets[0]) },
	func(m *model) { m.grantor.SetOwners(m.now, 0, ownerSets[1]) },
	func(m *model) { m.grantor.SetOwners(m.now, 0, ownerSets[2]) },
	func(m *model) { m.grantor.Refresh(0) },
	func(m *model) { m.releaseIfNotAccepting(0) },
	func(m *model) { m.releaseIfNotAccepting(1) },
}

// renewIfRoom has a process renew unless maxInFlight messages are in flight.
func (m *model) renewIfRoom(process int) {
	if len(m.network) < maxInFlight {
		m.renew(m.processes[process])
	}
}

// deliverIfPresent delivers the message at an index if there is one. A duplicated message also stays in flight, which
// needs room for the answer.
func (m *model) deliverIfPresent(index int, duplicate bool) {
	if index < len(m.network) && (!duplicate || len(m.network) < maxInFlight) {
		m.deliver(index, duplicate)
	}
}

// dropIfPresent loses the message at an index if there is one.
func (m *model) dropIfPresent(index int) {
	if index < len(m.network) {
		m.network = append(m.network[:index:index], m.network[index+1:]...)
	}
}

// releaseIfNotAccepting has a process release the destination unless it is accepting.
func (m *model) releaseIfNotAccepting(process int) {
	holder := m.processes[process].holder
	if assignment, ok := holder.Assignment(0); ok && !assignment.Accepting {
		holder.Release(0)
	}
}

// fingerprint returns a text that identifies the model's state. States with the same text have the same successors.
// Times are relative, so that states at different times are equal; epochs and sequence numbers are included, so some
// equivalent states have different texts.
func (m *model) fingerprint() string {
	var text strings.Builder
	for _, process := range m.processes {
		h := process.holder
		fmt.Fprintf(&text, "%v %v %v %v %v %v %v|", h.hasLease, h.expiry-process.clock, h.pending.sequence, h.pending.sent-process.clock,
			h.session, h.appliedVersion, h.assignments)
		fmt.Fprintf(&text, "%v %v %v|", h.released, h.unfinished, h.sequence)
	}
	for _, n := range m.network {
		fmt.Fprintf(&text, "%v %v %v|", n.process.id, n.request, n.reply)
	}
	g := m.grantor
	for _, id := range []placement.NodeID{"n0", "n1"} {
		if n := g.nodes[id]; n != nil {
			for _, s := range n.sessions {
				fmt.Fprintf(&text, "%v %v %v %v %v|", s.id, s.expiry-m.now, s.version, s.appliedVersion, s.sequence)
			}
		}
	}
	if a := g.allocations[0]; a != nil {
		fmt.Fprintf(&text, "%v:", a.owners)
		for _, granted := range a.grants {
			fmt.Fprintf(&text, "%v %v %v %v|", granted.session.id, granted.assignment(), granted.reserved, granted.version)
		}
	}
	return text.String()
}

// explore runs all sequences of actions up to a length. It continues from each state only once. It returns the number of
// states and the first violation.
func explore(steps int, injected faults) (int, error) {
	seen := map[string]struct{}{}
	paths := [][]byte{nil}
	for range steps {
		var longer [][]byte
		for _, path := range paths {
			for action := range exhaustiveActions {
				next := append(path[:len(path):len(path)], byte(action))
				m, err := replay(next, injected)
				if err != nil {
					return len(seen), fmt.Errorf("after actions %v: %w", next, err)
				}
				fingerprint := m.fingerprint()
				if _, known := seen[fingerprint]; !known {
					seen[fingerprint] = struct{}{}
					longer = append(longer, next)
				}
			}
		}
		paths = longer
	}
	return len(seen), nil
}

// replay runs actions in a new model in which both nodes have a lease and own the destination.
func replay(path []byte, injected faults) (*model, error) {
	m := newModel(2, 1, injected)
	m.grantor.SetOwners(m.now, 0, ownerSets[2])
	for range 3 {
		for _, process := range m.processes {
			if err := m.exchange(process); err != nil {
				return nil, err
			}
		}
	}
	for _, action := range path {
		exhaustiveActions[action](m)
		if err := m.checkAll(); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// No sequence of up to maxSequenceSteps actions may make quotas or reservations exceed the limit. The exploration has to
// find the violation if a lowered quota is granted to another node before its confirmation.
func TestShortSequencesNeverExceedLimit(t *testing.T) {
	steps := maxSequenceSteps
	if testing.Short() {
		steps = 4
	}
	states, err := explore(steps, faults{})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("explored %d states in up to %d steps", states, steps)
	if _, err := explore(steps, faults{ignoreConfirmation: true}); err == nil {
		t.Fatal("with the fault ignoreConfirmation: got no violation, want one")
	}
}
