package control

import (
	"path/filepath"
	"testing"
	"time"
	"wingmount/decide/lease"
	"wingmount/internal/testkit"
)

// A newer incarnation is on disk before Apply gets the assignments of the same reply. Otherwise an agent that fails in
// between would accept an older incarnation after its restart.
func TestAgentPersistsIncarnationBeforeApply(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.json")
	persisted := func() lease.Incarnation {
		t.Helper()
		var state agentState
		testkit.Must(t, readState(path, &state))
		return state.Incarnation
	}
	var atApply lease.Incarnation
	agent, err := NewAgent(AgentConfig{
		Node: "n1", Addresses: []string{"127.0.0.1:9"}, StateFile: path,
		Apply: func(Update) { atApply = persisted() },
	})
	testkit.Must(t, err)
	defer func() { testkit.Must(t, agent.lock.Close()) }()
	request, _ := agent.nextRequest()
	testkit.Must(t, agent.handleReply(pollReply{Reply: lease.Reply{
		Incarnation: 5, Session: lease.SessionID(5)<<40 | 1, Sequence: request.Sequence, Duration: time.Minute, Version: 1, Complete: true,
	}}))
	if atApply != 5 || persisted() != 5 {
		t.Errorf("got incarnation %d on disk during Apply and %d afterwards, want 5", atApply, persisted())
	}
}
