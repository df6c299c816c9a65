package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
	"wingmount/internal/control"
	"wingmount/internal/directory"
	"wingmount/internal/engine"
	"wingmount/internal/inflight"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/testkit"

	"go.uber.org/goleak"

	httpingress "wingmount/internal/ingress/http"
)

// fakeAgent is an agent whose answers a test sets.
type fakeAgent struct {
	mu          sync.Mutex
	inForce     bool
	assignments map[placement.DestinationID]lease.Assignment
	unfinished  []placement.DestinationID
	released    []placement.DestinationID
	owners      []control.Owner
	err         error
}

func (f *fakeAgent) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (f *fakeAgent) LeaseValid() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForce
}

func (f *fakeAgent) Assignment(d placement.DestinationID) (lease.Assignment, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.assignments[d]
	return a, ok
}

func (f *fakeAgent) ReportUnfinished(all ...placement.DestinationID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unfinished = append(f.unfinished, all...)
}

func (f *fakeAgent) Release(d placement.DestinationID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, d)
	return true
}

func (f *fakeAgent) Locate(context.Context, placement.DestinationID) ([]control.Owner, error) {
	return f.owners, f.err
}

// fakeEngine records the quotas and endpoints that are set.
type fakeEngine struct {
	quotas       map[int]float64
	endpoints    map[int][]directory.Member // of the latest assignment
	leaseInForce bool
}

func (f *fakeEngine) SetAssignment(assignment engine.Assignment) {
	maps.Copy(f.quotas, assignment.Quotas)
	f.endpoints = assignment.Endpoints
}

func (f *fakeEngine) SetLeaseValid(valid bool) { f.leaseInForce = valid }

func newTestAssignment() (*assignment, *fakeAgent, *fakeEngine) {
	agent := &fakeAgent{inForce: true, assignments: map[placement.DestinationID]lease.Assignment{}}
	engine := &fakeEngine{quotas: map[int]float64{}}
	a := &assignment{
		node: "n1", regionQuota: 0.5, log: testkit.QuietLog(), agent: agent, engine: engine, registry: inflight.New(inflight.Config{}),
		completing: map[placement.DestinationID]bool{},
	}
	return a, agent, engine
}

// assign gives the agent assignments, and has the node apply them.
func assign(a *assignment, agent *fakeAgent, all ...lease.Assignment) {
	agent.mu.Lock()
	for _, assigned := range all {
		if assigned.Removed {
			delete(agent.assignments, assigned.Destination)
		} else {
			agent.assignments[assigned.Destination] = assigned
		}
	}
	agent.mu.Unlock()
	a.apply(control.Update{Update: lease.Update{Assignments: all}})
}

// The engine gets the region's part of each quota, the ingress what is accepted, and the carrier what may be sent.
func TestAssignmentsApply(t *testing.T) {
	a, agent, engine := newTestAssignment()
	assign(a, agent, lease.Assignment{Destination: 1, Quota: 0.5, Accepting: true}, lease.Assignment{Destination: 2, Quota: 1},
		lease.Assignment{Destination: 3, Accepting: true})
	if engine.quotas[1] != 0.25 || engine.quotas[2] != 0.5 || engine.quotas[3] != 0 {
		t.Errorf("got quotas %v", engine.quotas)
	}
	for d, want := range map[int][2]bool{1: {true, true}, 2: {false, true}, 3: {true, false}, 4: {false, false}} {
		if a.Accepts(d) != want[0] || a.MayCall(d) != want[1] {
			t.Errorf("destination %d: got accepts %v, may call %v, want %v", d, a.Accepts(d), a.MayCall(d), want)
		}
	}
	agent.inForce = false
	if a.Accepts(1) || a.MayCall(1) {
		t.Error("without a lease: got messages accepted or calls permitted")
	}
	a.leaseChanged(true)
	if !engine.leaseInForce {
		t.Error("the engine was not given the lease")
	}
}

// Where the control process has the endpoints, the engine gets those of the configurations that arrive, and none for
// removed destinations; the engine of a node with a list of its own gets none.
func TestDestinationConfigsApply(t *testing.T) {
	a, agent, engine := newTestAssignment()
	record := clusterspec.DestinationConfig{Destination: 1, Limit: 20, RoutesApart: true, Bundle: 3, Endpoints: []clusterspec.Endpoint{
		{Name: "a", Address: "h:1", Zone: "b1"}, {Name: "b", Address: "h:2", Zone: "b2", Draining: true},
	}}
	agent.assignments[1] = lease.Assignment{Destination: 1, Quota: 0.5, Accepting: true}
	update := control.Update{
		Update:  lease.Update{Assignments: []lease.Assignment{agent.assignments[1], {Destination: 2, Removed: true}}},
		Configs: []clusterspec.DestinationConfig{record},
	}
	a.apply(update)
	if engine.endpoints != nil || engine.quotas[1] != 0.25 {
		t.Errorf("a node with its own list: got endpoints %v and quotas %v", engine.endpoints, engine.quotas)
	}
	a.distributed = true
	a.apply(update)
	want := map[int][]directory.Member{2: nil, 1: {
		{ID: record.EndpointID(record.Endpoints[0]), HostPort: "h:1", Zone: "b1", Kind: record.Kind(), Destination: 1, Phase: directory.Active, Size: 20},
		{ID: record.EndpointID(record.Endpoints[1]), HostPort: "h:2", Zone: "b2", Kind: record.Kind(), Destination: 1, Phase: directory.Draining, Size: 20},
	}}
	if !reflect.DeepEqual(engine.endpoints, want) {
		t.Errorf("got endpoints %+v, want %+v", engine.endpoints, want)
	}
	a.apply(control.Update{Update: lease.Update{Complete: true}})
	if engine.endpoints == nil {
		t.Error("an empty assignment looks like that of a node with its own list")
	}
}

// A destination that is not accepted for is released once it has no message in flight and no reservation.
func TestRelease(t *testing.T) {
	a, agent, _ := newTestAssignment()
	assign(a, agent, lease.Assignment{Destination: 1, Quota: 1, Accepting: true}, lease.Assignment{Destination: 2, Quota: 1})
	a.registry.Reserve("m", 2, 0, 0, time.Second)
	a.release()
	if len(agent.released) != 0 {
		t.Fatalf("got %v released with a reservation, want none", agent.released)
	}
	a.registry.Release("m")
	a.release()
	if !slices.Equal(agent.released, []placement.DestinationID{2}) || len(agent.unfinished) != 0 {
		t.Errorf("got %v released, %v unfinished, want 2 released", agent.released, agent.unfinished)
	}
	agent.assignments[2] = lease.Assignment{Destination: 2}
	a.release()
	a.release()
	if n := len(agent.released); n > 2 {
		t.Errorf("got %d releases, want 2 at most", n)
	}
}

// Messages of an earlier process, and one that is adopted late, are reported once if the node has no assignment.
func TestUnfinished(t *testing.T) {
	a, agent, _ := newTestAssignment()
	a.recovered(store.Recovered{Pending: []*message.Message{{ID: "a", Destination: 5}, {ID: "b", Destination: 5}, {ID: "ended", Destination: 6, FinalResponse: &message.FinalResponse{}}}})
	a.registry.Adopt("a", 5, 0, 0)
	a.registry.Adopt("late", 7, 0, 0)
	a.adopted(7)
	a.release()
	a.release()
	if !slices.Equal(agent.unfinished, []placement.DestinationID{5, 7}) || len(agent.released) != 0 {
		t.Errorf("got %v unfinished, %v released, want 5 and 7 unfinished", agent.unfinished, agent.released)
	}
	assign(a, agent, lease.Assignment{Destination: 7, Quota: 0.5})
	a.release()
	if n := len(agent.unfinished); n != 2 {
		t.Errorf("got %d reports, want 2", n)
	}
}

// Clients are redirected to another node that owns the destination.
func TestLocate(t *testing.T) {
	a, agent, _ := newTestAssignment()
	agent.owners = []control.Owner{{Node: "n1", Address: "h:1"}, {Node: "n2", Address: "h:2"}, {Node: "n3", Address: "h:3/x"}}
	for range 20 {
		if owner, err := a.Locate(t.Context(), 1); owner != "h:2" || err != nil {
			t.Errorf("got %q, %v, want h:2", owner, err)
		}
	}
	agent.err = fmt.Errorf("locating: %w", control.ErrUnknownDestination)
	if _, err := a.Locate(t.Context(), 1); errors.Is(err, httpingress.ErrNoDestination) {
		t.Error("a destination of the node's own list: got ErrNoDestination")
	}
	a.distributed = true
	if _, err := a.Locate(t.Context(), 1); !errors.Is(err, httpingress.ErrNoDestination) {
		t.Errorf("a destination that the control process does not know: got %v, want ErrNoDestination", err)
	}
	agent.err = nil
	agent.owners = agent.owners[:1]
	if _, err := a.Locate(t.Context(), 1); !errors.Is(err, errNoOwner) {
		t.Errorf("without another owner: got %v, want errNoOwner", err)
	}
	agent.err = errors.New("gone")
	if _, err := a.Locate(t.Context(), 1); !errors.Is(err, agent.err) {
		t.Errorf("without the control process: got %v, want its error", err)
	}
	agent.inForce = false
	if _, err := a.Locate(t.Context(), 1); !errors.Is(err, errNoLease) {
		t.Errorf("without a lease: got %v, want errNoLease", err)
	}
}

// The goroutines of an assignment end with stop, and completed destinations are released until then.
func TestStartAndStop(t *testing.T) {
	a, agent, _ := newTestAssignment()
	assign(a, agent, lease.Assignment{Destination: 2})
	a.start()
	deadline := time.Now().Add(10 * time.Second)
	for released := 0; released == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		agent.mu.Lock()
		released = len(agent.released)
		agent.mu.Unlock()
	}
	a.stop()
	if len(agent.released) != 1 {
		t.Errorf("got %v released, want destination 2", agent.released)
	}
	goleak.VerifyNone(t)
}
