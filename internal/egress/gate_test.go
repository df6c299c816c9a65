package egress

import (
	"testing"
	"time"
)

// CloseUntil never shortens a closure already set.
func TestGateKeepsLatestCloseUntil(t *testing.T) {
	var g Gate
	now := time.Now()
	g.CloseUntil(now.Add(time.Minute))
	g.CloseUntil(now.Add(time.Second))
	if g.IsOpen(now.Add(59*time.Second)) || !g.IsOpen(now.Add(time.Minute)) {
		t.Error("got the gate open before the end of the longer closure or closed at its end, want it closed until then")
	}
}

// After the first CloseAt, others have no effect until Reopen.
func TestDrainGateKeepsFirstCloseAt(t *testing.T) {
	var g DrainGate
	now := time.Now()
	if g.CloseScheduled() || !g.IsOpen(now) {
		t.Error("got a closed gate, want an open one")
	}
	g.CloseAt(now.Add(time.Hour))
	g.CloseAt(now.Add(2 * time.Hour))
	if !g.CloseScheduled() || g.IsOpen(now.Add(time.Hour)) || !g.IsOpen(now.Add(time.Hour-1)) {
		t.Error("got a closing time other than the first, want the first")
	}
	if g.Reopen(); g.CloseScheduled() || !g.IsOpen(now.Add(3*time.Hour)) {
		t.Error("got a closed gate after Reopen, want an open one")
	}
}
