package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
	"wingmount/internal/config"
	"wingmount/internal/control"
	"wingmount/internal/directory"
	"wingmount/internal/engine"
	"wingmount/internal/inflight"
	"wingmount/internal/store"

	httpingress "wingmount/internal/ingress/http"
)

// releaseInterval is how often the node checks whether a destination that it only completes messages for is empty.
const releaseInterval = 100 * time.Millisecond

// Errors of [assignment.Locate].
var (
	errNoLease = errors.New("this node has no lease")
	errNoOwner = errors.New("no other node owns the destination")
)

// agent is what the node needs of a [control.Agent].
type agent interface {
	Run(ctx context.Context) error
	LeaseValid() bool
	Assignment(destination placement.DestinationID) (lease.Assignment, bool)
	ReportUnfinished(destinations ...placement.DestinationID)
	Release(destination placement.DestinationID) bool
	Locate(ctx context.Context, destination placement.DestinationID) ([]control.Owner, error)
}

// assignableEngine is what an assignment needs of an engine.
type assignableEngine interface {
	SetAssignment(assignment engine.Assignment)
	SetLeaseValid(valid bool)
}

// assignment is a node's side of the assignment of destinations. It sets the node's quotas in the engine, decides which
// messages are accepted ([assignment.Accepts]) and which calls may be made ([assignment.MayCall]), and releases
// destinations once their messages are complete. Its methods are safe for concurrent use between start and stop.
type assignment struct {
	node        placement.NodeID
	regionQuota float64 // fraction of each rate limit that the region may use
	distributed bool    // the control process has the endpoints of destinations, not the node's file
	log         *slog.Logger
	agent       agent
	engine      assignableEngine
	registry    *inflight.Registry

	mu sync.Mutex
	// completing are the destinations that messages are not accepted for any more, and that are not released. The value
	// is whether unfinished messages without an assignment were reported.
	completing map[placement.DestinationID]bool

	running sync.WaitGroup
	cancel  context.CancelFunc // set by start
}

// newAssignment returns the assignment of a configuration file, nil if it has none. The engine and the registry are to
// be set by join before start.
func newAssignment(f *config.File, log *slog.Logger) (*assignment, error) {
	section := f.Assignment
	if section == nil {
		return nil, nil
	}
	a := &assignment{
		node: placement.NodeID(f.Name), regionQuota: section.RegionShare, distributed: section.Distributed(), log: log,
		completing: map[placement.DestinationID]bool{},
	}
	agent, err := control.NewAgent(control.AgentConfig{
		Node: a.node, Addresses: section.Control, StateFile: section.State,
		Apply: a.apply, ReceiveConfigs: a.distributed, LeaseChanged: a.leaseChanged, OwnerCacheTTL: time.Duration(section.OwnersKeptFor), OwnerCacheSize: section.OwnersMax, Log: log,
	})
	if err != nil {
		return nil, fmt.Errorf("taking part in the assignment: %w", err)
	}
	a.agent = agent
	return a, nil
}

// join sets the engine and the registry.
func (a *assignment) join(engine assignableEngine, registry *inflight.Registry) {
	a.engine, a.registry = engine, registry
}

// adopted records that a message of a destination was adopted. The destination may have been assigned to another node
// since the message was submitted.
func (a *assignment) adopted(destination int) {
	if a.Accepts(destination) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.completing[placement.DestinationID(destination)] = false
}

// recovered reports the destinations of unfinished messages of an earlier process. It is called before start.
func (a *assignment) recovered(r store.Recovered) {
	unfinished := map[placement.DestinationID]struct{}{}
	for _, m := range r.Pending {
		if m.FinalResponse == nil {
			unfinished[placement.DestinationID(m.Destination)] = struct{}{}
		}
	}
	for destination := range unfinished {
		a.agent.ReportUnfinished(destination)
		a.completing[destination] = true
	}
}

// start begins to take part in the assignment.
func (a *assignment) start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.running.Go(func() {
		if err := a.agent.Run(ctx); err != nil && ctx.Err() == nil {
			a.log.Error("assignment: the agent has ended", "err", err)
		}
	})
	a.running.Go(func() { a.releaseCompleted(ctx) })
}

// stop returns the lease, and ends. No call may be made any more.
func (a *assignment) stop() {
	a.cancel()
	a.running.Wait()
}

// apply puts changed assignments in force. When it returns, the module follows the new quotas.
func (a *assignment) apply(update control.Update) {
	changed := engine.Assignment{Quotas: make(map[int]float64, len(update.Assignments))}
	if a.distributed {
		changed.Endpoints = endpointsOf(update)
	}
	a.mu.Lock()
	for _, assigned := range update.Assignments {
		quota := assigned.Quota
		if assigned.Removed {
			quota = 0
		}
		changed.Quotas[int(assigned.Destination)] = quota * a.regionQuota
		a.setCompleting(assigned)
	}
	a.mu.Unlock()
	a.log.Info("assignment: changed", "destinations", len(changed.Quotas), "records", len(update.Configs), "complete", update.Complete)
	a.engine.SetAssignment(changed)
}

// endpointsOf returns the endpoints of the destinations that an update configures, and an empty list for each
// destination that it removes.
func endpointsOf(update control.Update) map[int][]directory.Member {
	endpoints := make(map[int][]directory.Member, len(update.Configs))
	for _, assigned := range update.Assignments {
		if assigned.Removed {
			endpoints[int(assigned.Destination)] = nil
		}
	}
	for _, destination := range update.Configs {
		endpoints[int(destination.Destination)] = members(destination)
	}
	return endpoints
}

// members returns the endpoints of a destination's configuration as members of a directory's list.
func members(record clusterspec.DestinationConfig) []directory.Member {
	all := make([]directory.Member, 0, len(record.Endpoints))
	for _, endpoint := range record.Endpoints {
		phase := directory.Active
		if endpoint.Draining {
			phase = directory.Draining
		}
		all = append(all, directory.Member{
			ID: record.EndpointID(endpoint), HostPort: endpoint.Address, Zone: endpoint.Zone,
			Kind: record.Kind(), Destination: int(record.Destination), Phase: phase, Size: record.Limit,
		})
	}
	return all
}

// setCompleting records whether a destination is to be released once it has no messages. A removed one may have
// messages that were accepted before the lease ended. The caller has the lock.
func (a *assignment) setCompleting(assigned lease.Assignment) {
	if assigned.Accepting {
		delete(a.completing, assigned.Destination)
		return
	}
	a.completing[assigned.Destination] = false
}

// leaseChanged sets whether calls may be made.
func (a *assignment) leaseChanged(inForce bool) {
	a.log.Info("assignment: lease", "in_force", inForce)
	a.engine.SetLeaseValid(inForce)
}

// releaseCompleted releases completed destinations at intervals, until the context ends.
func (a *assignment) releaseCompleted(ctx context.Context) {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.release()
	}
}

// release releases the completing destinations without unfinished messages, and reports those with some.
//
// No message is accepted for them meanwhile: the ingress checks Accepts again after each reservation, and a reservation
// counts as unfinished.
func (a *assignment) release() {
	for _, destination := range a.completingDestinations() {
		if a.registry.Unfinished(int(destination)) > 0 {
			a.reportUnfinished(destination)
			continue
		}
		a.agent.Release(destination)
		a.released(destination)
	}
}

// reportUnfinished requests a quota for a destination with unfinished messages, unless it has one or was reported.
func (a *assignment) reportUnfinished(destination placement.DestinationID) {
	if _, assigned := a.agent.Assignment(destination); assigned {
		return
	}
	a.mu.Lock()
	reported, completing := a.completing[destination]
	if completing {
		a.completing[destination] = true
	}
	a.mu.Unlock()
	if completing && !reported {
		a.agent.ReportUnfinished(destination)
	}
}

// completingDestinations returns the destinations that are to be released.
func (a *assignment) completingDestinations() []placement.DestinationID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.completing))
}

// released records that a destination is released, unless messages are accepted for it again.
func (a *assignment) released(destination placement.DestinationID) {
	if assigned, ok := a.agent.Assignment(destination); ok && assigned.Quota > 0 && !assigned.Accepting {
		return // assigned again meanwhile: it is released at the next check
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.completing, destination)
}

// MayCall implements [egress.CallAuthorizer]: a call needs a valid lease and a quota.
func (a *assignment) MayCall(destination int) bool {
	if !a.agent.LeaseValid() {
		return false
	}
	assigned, ok := a.agent.Assignment(placement.DestinationID(destination))
	return ok && assigned.Quota > 0
}

// Distributed implements [httpingress.Ownership]: it reports whether the control process has the endpoints.
func (a *assignment) Distributed() bool { return a.distributed }

// Accepts implements [httpingress.Ownership]: a message is accepted with a valid lease, and while its destination is
// assigned for new messages.
func (a *assignment) Accepts(destination int) bool {
	if !a.agent.LeaseValid() {
		return false
	}
	assigned, ok := a.agent.Assignment(placement.DestinationID(destination))
	return ok && assigned.Accepting
}

// Locate implements [httpingress.Ownership]: it returns the address of another node that owns a destination, a random one
// if several do.
func (a *assignment) Locate(ctx context.Context, destination int) (string, error) {
	if !a.agent.LeaseValid() {
		return "", errNoLease
	}
	owners, err := a.agent.Locate(ctx, placement.DestinationID(destination))
	if a.distributed && errors.Is(err, control.ErrUnknownDestination) {
		return "", fmt.Errorf("%w: %w", httpingress.ErrNoDestination, err)
	}
	if err != nil {
		return "", err
	}
	var others []string
	for _, owner := range owners {
		if owner.Node != a.node && httpingress.ValidOwner(owner.Address) {
			others = append(others, owner.Address)
		}
	}
	if len(others) == 0 {
		return "", errNoOwner
	}
	return others[rand.IntN(len(others))], nil
}
