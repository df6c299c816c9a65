package control

import (
	"strings"
	"testing"
	"time"
	"wingmount/decide/leadership"
)

// loggedTransitions returns the fields old, new, leader and incarnation of the role changes in a log, and clears the
// log.
func loggedTransitions(t *testing.T, log *testLog) []string {
	t.Helper()
	log.mu.Lock()
	defer log.mu.Unlock()
	var found []string
	for _, line := range strings.Split(log.text.String(), "\n") {
		if !strings.Contains(line, "leadership changed") {
			continue
		}
		_, fields, _ := strings.Cut(line, "region=north ")
		found = append(found, fields)
	}
	log.text.Reset()
	return found
}

func checkTransitions(t *testing.T, log *testLog, want ...string) {
	t.Helper()
	got := loggedTransitions(t, log)
	if strings.Join(got, "; ") != strings.Join(want, "; ") {
		t.Errorf("got transitions %q, want %q", got, want)
	}
}

// applyTerm applies a replicated state with the given term of the region.
func applyTerm(m *Member, term leadership.Term) {
	state := m.view.Leadership.Clone()
	state.Regions["north"] = term
	m.elector.Apply(m.clockReading(), state, 0)
}

// Operators rely on the log for changes of leadership. Each transition is logged once, including a new term of the same
// process, which stops and restarts the server.
func TestRoleTransitionsAreLoggedOnce(t *testing.T) {
	m, _ := newIdleMember(t)
	log := newTestLog()
	m.config.Log = log.logger()
	m.updateRole(t.Context())
	checkTransitions(t, log)

	term := electMember(t, m, leadership.Term{})
	m.updateRole(t.Context())
	m.updateRole(t.Context())
	checkTransitions(t, log, "old=follower new=leader leader=1 incarnation=1")

	term.Incarnation++ // a later term of the same process
	applyTerm(m, term)
	m.updateRole(t.Context())
	if m.role() != leader || m.leading.incarnation != 2 {
		t.Errorf("got role %s, want leader with incarnation 2", m.role())
	}
	checkTransitions(t, log, "old=leader new=follower leader=1 incarnation=2", "old=follower new=leader leader=1 incarnation=2")

	term.Incarnation++
	term.Leader, term.Process = 2, 77
	applyTerm(m, term)
	m.updateRole(t.Context())
	m.updateRole(t.Context())
	if m.role() != follower || m.serving.Load() != nil {
		t.Errorf("got role %s, want a follower without a server", m.role())
	}
	checkTransitions(t, log, "old=leader new=follower leader=2 incarnation=3")
}

// An elected member whose leader lease has expired does not start leading. If the lease expires while it leads, it
// remains leader but grants no leases.
func TestExpiredLeaderLeasePreventsGrants(t *testing.T) {
	m, current := newIdleMember(t)
	electMember(t, m, leadership.Term{})
	*current = clockValues{monotonic: time.Minute, wall: time.Minute}
	m.updateRole(t.Context())
	if m.role() != follower {
		t.Errorf("at expiry: got role %s, want follower", m.role())
	}

	m, current = newIdleMember(t)
	electMember(t, m, leadership.Term{})
	*current = clockValues{monotonic: time.Minute - 1, wall: time.Minute - 1}
	m.updateRole(t.Context())
	if m.role() != leader {
		t.Fatalf("1ns before expiry: got role %s, want leader", m.role())
	}
	*current = clockValues{monotonic: time.Minute, wall: time.Minute}
	m.updateRole(t.Context())
	if m.role() != leader || m.mayGrant(1) {
		t.Errorf("at expiry: got role %s, mayGrant %v, want leader, false", m.role(), m.mayGrant(1))
	}
}
