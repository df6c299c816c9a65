package engine

import (
	"context"
	"slices"
	"testing"
	"time"
	"wingmount/internal/directory"
	"wingmount/internal/message"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

func newAssignedEngine() (*Engine, *fakes) {
	e, f := newEngine(testSettings)
	e.quotas = newAssignedQuotas(true)
	return e, f
}

// batchedLimits returns the limits in the batch for the module, by the names of endpoints, and empties the batch.
func batchedLimits(e *Engine) map[string]float64 {
	limits := map[string]float64{}
	for _, event := range e.batch {
		if list, ok := event.(policy.EndpointUpdate); ok {
			for _, entry := range list.Entries {
				limits[e.endpoints[entry.Endpoint].Name] = entry.AssignedRate
			}
		}
	}
	e.batch = nil
	return limits
}

func wantLimits(t *testing.T, when string, e *Engine, want map[string]float64) {
	t.Helper()
	got := batchedLimits(e)
	if len(got) != len(want) {
		t.Errorf("%s: got limits %v, want %v", when, got, want)
		return
	}
	for name, limit := range want {
		if got[name] != limit {
			t.Errorf("%s: got limits %v, want %v", when, got, want)
		}
	}
}

// The module gets the limits of the endpoints that a change of quotas concerns, and of no others.
func TestQuotas(t *testing.T) {
	e, _ := newAssignedEngine()
	list := directory.List{Complete: true}
	for name, cell := range map[string]int{"a1": 1, "a2": 1, "b": 2, "c": 3} {
		m := member(name, cell, directory.Active)
		m.Size = 20
		list.Members = append(list.Members, m)
	}
	e.handle(EndpointsChanged{List: list})
	none := policy.NoCalls
	wantLimits(t, "without a lease", e, map[string]float64{"a1": none, "a2": none, "b": none, "c": none})
	yes, no := true, false
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{1: 0.5, 2: 0.25, 9: 1}}})
	wantLimits(t, "with quotas and no lease", e, map[string]float64{"a1": none, "a2": none, "b": none})
	e.handle(assignmentChanged{leaseValid: &yes})
	wantLimits(t, "with a lease", e, map[string]float64{"a1": 10, "a2": 10, "b": 5})
	e.handle(assignmentChanged{leaseValid: &yes})
	wantLimits(t, "with the same lease", e, map[string]float64{})
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{2: 0, 3: 1}}})
	wantLimits(t, "with other quotas", e, map[string]float64{"b": none, "c": 20})
	left := member("a2", 1, directory.Removed)
	e.handle(EndpointsChanged{List: directory.List{Members: []directory.Member{left, member("a3", 1, directory.Active)}}})
	wantLimits(t, "after an endpoint went and one came", e, map[string]float64{"a2": 0.5, "a3": 0.5})
	e.evict(time.Now())
	e.handle(assignmentChanged{leaseValid: &no})
	wantLimits(t, "once the lease ends", e, map[string]float64{"a1": none, "a3": none, "c": none})
	if n := len(e.quotas.endpoints[1]); n != 2 {
		t.Errorf("got %d endpoints of a destination, want 2", n)
	}
}

// Without a lease nothing is sent; what waits is sent once there is a quota.
func TestNothingSentWithoutLease(t *testing.T) {
	e, f := newAssignedEngine()
	e.handle(EndpointsChanged{List: directory.List{Complete: true, Members: []directory.Member{member("s1", 7, directory.Active)}}})
	e.handle(MessageAccepted{Message: &message.Message{Seq: 1, ID: "m", Destination: 7, Deadline: time.Now().Add(20 * time.Second)}})
	e.step(t.Context())
	if len(f.calls) != 0 {
		t.Fatalf("got %d calls without a lease, want none", len(f.calls))
	}
	yes := true
	done := make(chan struct{})
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{7: 1}}, leaseValid: &yes, done: done})
	select {
	case <-done:
		t.Fatal("a change counts as applied before the step")
	default:
	}
	e.step(t.Context())
	<-done
	if len(f.calls) != 1 {
		t.Errorf("got %d calls with a lease, want 1", len(f.calls))
	}
}

// SetAssignment returns when the module follows the quotas, or when the engine has ended.
func TestSetAssignmentWaits(t *testing.T) {
	e, _ := newAssignedEngine()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(ctx, make(chan struct{}))
	}()
	e.SetAssignment(Assignment{Quotas: map[int]float64{7: 1}})
	e.SetLeaseValid(true)
	cancel()
	<-ended
	if e.quotas.byDestination[7] != 1 || !e.quotas.leaseValid {
		t.Errorf("got quotas %v, lease in force %v, want 1 for destination 7, true", e.quotas.byDestination, e.quotas.leaseValid)
	}
	e.SetLeaseValid(false) // the engine has ended
}

// Where destinations are not assigned the module gets no limit.
func TestUnassigned(t *testing.T) {
	e, f := newEngine(testSettings)
	e.Use(Dependencies{Store: fakeStore{f: f}, Carrier: f, Admission: f, Notifier: f, HealthHistory: HealthHistory{}, Log: testkit.QuietLog()})
	e.handle(EndpointsChanged{List: directory.List{Complete: true, Members: []directory.Member{member("s1", 7, directory.Active)}}})
	wantLimits(t, "without assignment", e, map[string]float64{"s1": 0})
	if e.quotas.endpoints[7] != nil {
		t.Error("endpoints are kept for quotas though destinations are not assigned")
	}
}

// endpointNames returns the names of a destination's endpoints in the directory's list.
func endpointNames(e *Engine, destination int) []string {
	var names []string
	for _, endpoint := range e.quotas.endpoints[destination] {
		if !endpoint.removed {
			names = append(names, endpoint.Name)
		}
	}
	slices.Sort(names)
	return names
}

// An assignment sets the endpoints of some destinations, and removes their others; other destinations stay.
func TestAssignmentSetsEndpoints(t *testing.T) {
	e, f := newAssignedEngine()
	yes := true
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{1: 0.5, 2: 1}, Endpoints: map[int][]directory.Member{
		1: {member("a1", 1, directory.Active), member("a2", 1, directory.Active)}, 2: {member("b", 2, directory.Active)},
	}}, leaseValid: &yes})
	wantLimits(t, "with the first assignment", e, map[string]float64{"a1": 0.5, "a2": 0.5, "b": 1})
	if !e.listComplete {
		t.Error("the assignment does not count as a list")
	}
	changed := member("a1", 1, directory.Active)
	changed.Size = 8
	e.handle(assignmentChanged{Assignment: Assignment{Endpoints: map[int][]directory.Member{1: {changed, member("a3", 1, directory.Active)}}}})
	wantLimits(t, "with changed endpoints", e, map[string]float64{"a1": 4, "a2": 0.5, "a3": 0.5})
	if got := endpointNames(e, 1); !slices.Equal(got, []string{"a1", "a3"}) {
		t.Errorf("destination 1: got %q, want a1 and a3", got)
	}
	if got := endpointNames(e, 2); !slices.Equal(got, []string{"b"}) {
		t.Errorf("destination 2: got %q, want b", got)
	}
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{1: 0}, Endpoints: map[int][]directory.Member{1: nil}}})
	if got := endpointNames(e, 1); len(got) != 0 {
		t.Errorf("an unassigned destination: got %q, want none", got)
	}
	e.step(t.Context())
	e.evict(time.Now())
	if len(e.endpoints) != 1 || len(f.calls) != 0 {
		t.Errorf("got %d endpoints, want 1", len(e.endpoints))
	}
}

// Messages wait for a destination that is unassigned, and are sent once it is assigned again.
func TestMessagesWaitForTheirDestination(t *testing.T) {
	e, f := newAssignedEngine()
	yes := true
	there := Assignment{Quotas: map[int]float64{7: 1}, Endpoints: map[int][]directory.Member{7: {member("s1", 7, directory.Active)}}}
	e.handle(assignmentChanged{Assignment: there, leaseValid: &yes})
	e.step(t.Context())
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{7: 0}, Endpoints: map[int][]directory.Member{7: nil}}})
	e.handle(MessageAccepted{Message: &message.Message{Seq: 1, ID: "m", Destination: 7, Deadline: time.Now().Add(20 * time.Second)}})
	e.step(t.Context())
	e.evict(time.Now())
	if len(f.calls) != 0 {
		t.Fatalf("got %d calls without an endpoint, want none", len(f.calls))
	}
	e.handle(assignmentChanged{Assignment: there})
	e.step(t.Context())
	if len(f.calls) != 1 {
		t.Errorf("got %d calls once the destination is back, want 1", len(f.calls))
	}
}
