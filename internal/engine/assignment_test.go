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

// newAssignedEngine returns an engine whose destinations are assigned to nodes.
func newAssignedEngine() (*Engine, *fakes) {
	e, f := newEngine(testSettings)
	e.quotas = newAssignedQuotas(true)
	return e, f
}

// batchedLimits returns the assigned limits in the module's batch by endpoint name, and empties the batch.
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

// wantLimits checks the limits in the module's batch, and empties the batch.
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

// A change of quotas, lease or endpoints passes only the affected endpoints' limits to the module.
func TestQuotaChangeUpdatesOnlyAffectedLimits(t *testing.T) {
	e, _ := newAssignedEngine()
	list := directory.List{Complete: true}
	for name, destination := range map[string]int{"a1": 1, "a2": 1, "b": 2, "c": 3} {
		m := member(name, destination, directory.Active)
		m.Size = 20
		list.Members = append(list.Members, m)
	}
	e.handle(EndpointsChanged{List: list})
	none := policy.NoCalls
	wantLimits(t, "without a lease", e, map[string]float64{"a1": none, "a2": none, "b": none, "c": none})
	valid, invalid := true, false
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{1: 0.5, 2: 0.25, 9: 1}}})
	wantLimits(t, "with quotas and no lease", e, map[string]float64{"a1": none, "a2": none, "b": none})
	e.handle(assignmentChanged{leaseValid: &valid})
	wantLimits(t, "with a lease", e, map[string]float64{"a1": 10, "a2": 10, "b": 5})
	e.handle(assignmentChanged{leaseValid: &valid})
	wantLimits(t, "with an unchanged lease", e, map[string]float64{})
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{2: 0, 3: 1}}})
	wantLimits(t, "with changed quotas", e, map[string]float64{"b": none, "c": 20})
	removed := member("a2", 1, directory.Removed)
	e.handle(EndpointsChanged{List: directory.List{Members: []directory.Member{removed, member("a3", 1, directory.Active)}}})
	wantLimits(t, "after one endpoint was removed and one added", e, map[string]float64{"a2": 0.5, "a3": 0.5})
	e.evict(time.Now())
	e.handle(assignmentChanged{leaseValid: &invalid})
	wantLimits(t, "after the lease became invalid", e, map[string]float64{"a1": none, "a3": none, "c": none})
	if n := len(e.quotas.endpoints[1]); n != 2 {
		t.Errorf("got %d endpoints of destination 1, want 2", n)
	}
}

// Without a valid lease the engine makes no call. A waiting message is sent when the node has a quota and a lease, and the
// change counts as applied only after the module's step.
func TestNoCallWithoutLease(t *testing.T) {
	e, f := newAssignedEngine()
	e.handle(EndpointsChanged{List: directory.List{Complete: true, Members: []directory.Member{member("s1", 7, directory.Active)}}})
	e.handle(MessageAccepted{Message: &message.Message{Seq: 1, ID: "m", Destination: 7, Deadline: time.Now().Add(20 * time.Second)}})
	e.step(t.Context())
	if len(f.calls) != 0 {
		t.Fatalf("got %d calls without a lease, want none", len(f.calls))
	}
	valid := true
	done := make(chan struct{})
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{7: 1}}, leaseValid: &valid, done: done})
	select {
	case <-done:
		t.Fatal("the change counts as applied before the module's step")
	default:
	}
	e.step(t.Context())
	<-done
	if len(f.calls) != 1 {
		t.Errorf("got %d calls with a lease, want 1", len(f.calls))
	}
}

// SetAssignment and SetLeaseValid return when the change is applied, or when Run has returned. Guards against a caller that
// blocks after the engine has stopped.
func TestSetAssignmentWaitsUntilApplied(t *testing.T) {
	e, _ := newAssignedEngine()
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		e.Run(ctx, make(chan struct{}))
	}()
	e.SetAssignment(Assignment{Quotas: map[int]float64{7: 1}})
	e.SetLeaseValid(true)
	cancel()
	<-returned
	if e.quotas.byDestination[7] != 1 || !e.quotas.leaseValid {
		t.Errorf("got quotas %v, valid lease %v, want 1 for destination 7, true", e.quotas.byDestination, e.quotas.leaseValid)
	}
	e.SetLeaseValid(false) // must not block although Run has returned
}

// If destinations are not assigned to nodes, the module gets no assigned limit.
func TestUnassignedDestinationsHaveNoAssignedLimit(t *testing.T) {
	e, f := newEngine(testSettings)
	e.SetDependencies(Dependencies{Store: fakeStore{fakes: f}, Carrier: f, Admission: f, Notifier: f, HealthHistory: HealthHistory{}, Log: testkit.QuietLog()})
	e.handle(EndpointsChanged{List: directory.List{Complete: true, Members: []directory.Member{member("s1", 7, directory.Active)}}})
	wantLimits(t, "without assignment", e, map[string]float64{"s1": 0})
	if e.quotas.endpoints[7] != nil {
		t.Error("got endpoints in the quotas, want none without assignment")
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

// An assignment replaces the endpoints of the destinations in it, and does not change other destinations.
func TestAssignmentReplacesEndpointsOfItsDestinations(t *testing.T) {
	e, f := newAssignedEngine()
	valid := true
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{1: 0.5, 2: 1}, Endpoints: map[int][]directory.Member{
		1: {member("a1", 1, directory.Active), member("a2", 1, directory.Active)}, 2: {member("b", 2, directory.Active)},
	}}, leaseValid: &valid})
	wantLimits(t, "with the first assignment", e, map[string]float64{"a1": 0.5, "a2": 0.5, "b": 1})
	if !e.listComplete {
		t.Error("listComplete: got false after an assignment of endpoints, want true")
	}
	changed := member("a1", 1, directory.Active)
	changed.Size = 8
	e.handle(assignmentChanged{Assignment: Assignment{Endpoints: map[int][]directory.Member{1: {changed, member("a3", 1, directory.Active)}}}})
	wantLimits(t, "with changed endpoints", e, map[string]float64{"a1": 4, "a2": 0.5, "a3": 0.5})
	if got := endpointNames(e, 1); !slices.Equal(got, []string{"a1", "a3"}) {
		t.Errorf("endpoints of destination 1: got %q, want a1 and a3", got)
	}
	if got := endpointNames(e, 2); !slices.Equal(got, []string{"b"}) {
		t.Errorf("endpoints of destination 2: got %q, want b", got)
	}
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{1: 0}, Endpoints: map[int][]directory.Member{1: nil}}})
	if got := endpointNames(e, 1); len(got) != 0 {
		t.Errorf("endpoints of an unassigned destination: got %q, want none", got)
	}
	e.step(t.Context())
	e.evict(time.Now())
	if len(e.endpoints) != 1 || len(f.calls) != 0 {
		t.Errorf("got %d endpoints, %d calls, want 1, 0", len(e.endpoints), len(f.calls))
	}
}

// Messages to an unassigned destination wait, and are sent when it is assigned again.
func TestMessagesWaitUntilDestinationIsAssigned(t *testing.T) {
	e, f := newAssignedEngine()
	valid := true
	assigned := Assignment{Quotas: map[int]float64{7: 1}, Endpoints: map[int][]directory.Member{7: {member("s1", 7, directory.Active)}}}
	e.handle(assignmentChanged{Assignment: assigned, leaseValid: &valid})
	e.step(t.Context())
	e.handle(assignmentChanged{Assignment: Assignment{Quotas: map[int]float64{7: 0}, Endpoints: map[int][]directory.Member{7: nil}}})
	e.handle(MessageAccepted{Message: &message.Message{Seq: 1, ID: "m", Destination: 7, Deadline: time.Now().Add(20 * time.Second)}})
	e.step(t.Context())
	e.evict(time.Now())
	if len(f.calls) != 0 {
		t.Fatalf("got %d calls without an endpoint, want none", len(f.calls))
	}
	e.handle(assignmentChanged{Assignment: assigned})
	e.step(t.Context())
	if len(f.calls) != 1 {
		t.Errorf("got %d calls after the destination was assigned again, want 1", len(f.calls))
	}
}
