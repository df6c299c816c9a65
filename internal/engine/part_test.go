package engine

import (
	"context"
	"testing"
	"time"

	"wingmount/decide/terms"
	"wingmount/internal/directory"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

func newAssignedEngine() (*Engine, *fakes) {
	e, f := newEngine(keyed)
	e.shares = newShares(true)
	return e, f
}

// listedLimits are the limits that the module is about to hear, by the names of endpoints.
func listedLimits(e *Engine) map[string]float64 {
	limits := map[string]float64{}
	for _, event := range e.batch {
		if listed, ok := event.(policy.Listed); ok {
			for _, entry := range listed.Entries {
				limits[e.endpoints[entry.Endpoint].Name] = entry.Limit
			}
		}
	}
	e.batch = nil
	return limits
}

func wantLimits(t *testing.T, when string, e *Engine, want map[string]float64) {
	t.Helper()
	got := listedLimits(e)
	if len(got) != len(want) {
		t.Errorf("%s: the module hears %v, want %v", when, got, want)
		return
	}
	for name, limit := range want {
		if got[name] != limit {
			t.Errorf("%s: the module hears %v, want %v", when, got, want)
		}
	}
}

// The module hears the limits of the endpoints that a change of shares concerns, and of no others.
func TestShares(t *testing.T) {
	e, _ := newAssignedEngine()
	list := directory.List{Complete: true}
	for name, cell := range map[string]int{"a1": 1, "a2": 1, "b": 2, "c": 3} {
		m := member(name, cell, directory.Active)
		m.Size = 20
		list.Members = append(list.Members, m)
	}
	e.handle(list)
	none := terms.NoCalls
	wantLimits(t, "without a lease", e, map[string]float64{"a1": none, "a2": none, "b": none, "c": none})
	yes, no := true, false
	e.handle(shareUpdate{shares: map[int]float64{1: 0.5, 2: 0.25, 9: 1}})
	wantLimits(t, "with shares and no lease", e, map[string]float64{"a1": none, "a2": none, "b": none})
	e.handle(shareUpdate{leased: &yes})
	wantLimits(t, "with a lease", e, map[string]float64{"a1": 10, "a2": 10, "b": 5})
	e.handle(shareUpdate{leased: &yes})
	wantLimits(t, "with the same lease", e, map[string]float64{})
	e.handle(shareUpdate{shares: map[int]float64{2: 0, 3: 1}})
	wantLimits(t, "with other shares", e, map[string]float64{"b": none, "c": 20})
	left := member("a2", 1, directory.Left)
	e.handle(directory.List{Members: []directory.Member{left, member("a3", 1, directory.Active)}})
	wantLimits(t, "after an endpoint went and one came", e, map[string]float64{"a2": 0.5, "a3": 0.5})
	e.evict(time.Now())
	e.handle(shareUpdate{leased: &no})
	wantLimits(t, "once the lease ends", e, map[string]float64{"a1": none, "a3": none, "c": none})
	if n := len(e.shares.endpoints[1]); n != 2 {
		t.Errorf("%d endpoints of a destination are known, want 2", n)
	}
}

// Without a lease nothing is sent; what waits goes once there is a share.
func TestNothingSentWithoutLease(t *testing.T) {
	e, f := newAssignedEngine()
	e.handle(directory.List{Complete: true, Members: []directory.Member{member("s1", 7, directory.Active)}})
	e.handle(&message.Message{Seq: 1, ID: "m", Dest: 7, Deadline: time.Now().Add(20 * time.Second)})
	e.step(context.Background())
	if len(f.calls) != 0 {
		t.Fatalf("%d calls without a lease", len(f.calls))
	}
	yes := true
	done := make(chan struct{})
	e.handle(shareUpdate{shares: map[int]float64{7: 1}, leased: &yes, done: done})
	select {
	case <-done:
		t.Fatal("an update counts as followed before the step")
	default:
	}
	e.step(context.Background())
	<-done
	if len(f.calls) != 1 {
		t.Errorf("%d calls with a lease, want 1", len(f.calls))
	}
}

// Who sets shares waits until the module follows them, or the engine has ended.
func TestSetSharesWaits(t *testing.T) {
	e, _ := newAssignedEngine()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(ctx, make(chan struct{}))
	}()
	e.SetShares(map[int]float64{7: 1})
	e.SetLeased(true)
	cancel()
	<-ended
	if e.shares.of[7] != 1 || !e.shares.leased {
		t.Errorf("shares %v, leased %v", e.shares.of, e.shares.leased)
	}
	e.SetLeased(false) // the engine has ended
}

// Where destinations are not assigned the module hears of no limit.
func TestNoShares(t *testing.T) {
	e, f := newEngine(keyed)
	e.Use(Parts{Store: fakeStore{f: f}, Carrier: f, Admission: f, Notifier: f, Memories: map[string]*store.Memory{}, Log: testkit.QuietLog()})
	e.handle(directory.List{Complete: true, Members: []directory.Member{member("s1", 7, directory.Active)}})
	wantLimits(t, "without assignment", e, map[string]float64{"s1": 0})
	if e.shares.endpoints[7] != nil {
		t.Error("endpoints are kept for an assignment that there is not")
	}
}
