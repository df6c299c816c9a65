package lease

import (
	"testing"
	"wingmount/decide/placement"
)

// A refresh must reach every holder of the destination also if a reply is lost, so replies contain the assignment until
// the holder confirms it. Other nodes receive nothing, and no quota changes.
func TestRefreshSendsAssignmentUntilConfirmed(t *testing.T) {
	m := newModel(2, 2, faults{})
	m.grantor.SetOwners(m.now, 0, []placement.NodeID{"n0"})
	m.grantor.SetOwners(m.now, 1, []placement.NodeID{"n0", "n1"})
	m.settle(t)
	before, _ := m.processes[0].holder.Assignment(0)

	m.grantor.Refresh(0)
	m.grantor.Refresh(7) // no node is assigned destination 7
	lost := m.reply(t, m.processes[0].holder.Renew(m.processes[0].clock))
	if len(lost.Assignments) != 1 || lost.Assignments[0] != before {
		t.Fatalf("after the refresh: got %+v, want only %+v", lost.Assignments, before)
	}
	again := m.reply(t, m.processes[0].holder.Renew(m.processes[0].clock))
	if len(again.Assignments) != 1 {
		t.Fatalf("after a lost reply: got %+v, want one assignment", again.Assignments)
	}
	update, err := m.processes[0].holder.Receive(m.processes[0].clock, again)
	if err != nil || len(update.Assignments) != 0 {
		t.Fatalf("changes by the refresh: got %+v, %v, want none", update.Assignments, err)
	}
	if third := m.reply(t, m.processes[0].holder.Renew(m.processes[0].clock)); len(third.Assignments) != 0 {
		t.Fatalf("after the confirmation: got %+v, want no assignment", third.Assignments)
	}
	if other := m.reply(t, m.processes[1].holder.Renew(m.processes[1].clock)); len(other.Assignments) != 0 {
		t.Fatalf("a node without the destination: got %+v, want no assignment", other.Assignments)
	}
}

// reply returns the grantor's reply to a request.
func (m *model) reply(t *testing.T, request Request) Reply {
	t.Helper()
	session, err := m.grantor.Receive(m.now, request)
	if err != nil {
		t.Fatal(err)
	}
	reply, err := m.grantor.Answer(m.now, session, request)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}
