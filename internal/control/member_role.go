package control

import (
	"context"
	"log/slog"
	"sync"
	"wingmount/decide/leadership"
	"wingmount/decide/lease"
)

// role is a member's role in its region. It changes in updateRole and resign only:
//
//	follower -> leader    the replicated state names this process as leader, and its leader lease is valid
//	leader -> follower    the replicated state names another process or a later incarnation, or the member stops
//
// A leader whose leader lease has expired remains a leader until the replicated state names another one. Its server
// grants no leases (see Member.mayGrant) unless the leader lease is renewed.
type role string

const (
	follower role = "follower"
	leader   role = "leader"
)

// role returns the current role. Only the Run goroutine calls it.
func (m *Member) role() role {
	if m.leading == nil {
		return follower
	}
	return leader
}

// updateRole starts or stops leading the region according to the replicated state and the leader lease.
func (m *Member) updateRole(ctx context.Context) {
	if m.view == nil {
		return
	}
	m.mu.Lock()
	term, elected := m.elector.Term(), m.elector.Elected()
	_, leaseValid := m.elector.Leading(m.clockReading())
	m.mu.Unlock()
	if m.role() == leader && (!elected || term.Incarnation != m.leading.incarnation) {
		m.stopLeading()
		m.logTransition(slog.LevelWarn, leader, term)
	}
	if m.role() == follower && leaseValid {
		m.startLeading(ctx, term)
		m.logTransition(slog.LevelInfo, follower, term)
	}
}

// logTransition logs a change of role. The level is a warning if this member stops leading for any reason except its own
// shutdown, whether or not another process takes over.
func (m *Member) logTransition(level slog.Level, previous role, term leadership.Term) {
	m.config.Log.Log(context.Background(), level, "control: leadership changed", "region", m.config.Region, "old", previous, "new", m.role(),
		"leader", term.Leader, "incarnation", term.Incarnation)
}

// regionLeader is the part of a member that exists while it leads its region.
type regionLeader struct {
	server      *Server
	incarnation lease.Incarnation
	views       chan *stateView // the latest view, until applyViews receives it
	cancel      context.CancelFunc
	running     sync.WaitGroup
}

// firstIncarnation is the incarnation of a region's first leader, unless AboveIncarnation is set:
// leadership.State.Elect increments a region's incarnation, which starts at 0 or at AboveIncarnation. No lease can have
// been granted before it.
const firstIncarnation lease.Incarnation = 1

// startLeading starts a server that assigns destinations to the region's nodes. Run calls it through updateRole.
func (m *Member) startLeading(ctx context.Context, term leadership.Term) {
	config := m.config.ServerConfig
	config.Spec = m.view.Spec.ForRegion(m.config.Region)
	config.ReloadOn = nil
	state := serverState{Incarnation: term.Incarnation, LongestLease: term.LongestNodeLease, Draining: m.view.Draining}
	earlier := earlierLeases{longest: term.LongestNodeLease, none: term.Incarnation == firstIncarnation}
	server := newRegionServer(config, state, earlier)
	server.onGraceEnd = func(serverState) error {
		m.markEarlierLeasesExpired()
		return nil
	}
	server.mayGrant = func() bool { return m.mayGrant(term.Incarnation) }
	ctx, cancel := context.WithCancel(ctx)
	l := &regionLeader{server: server, incarnation: term.Incarnation, views: make(chan *stateView, 1), cancel: cancel}
	first := m.view
	l.running.Go(func() { server.loop(ctx) })
	l.running.Go(func() { l.applyViews(ctx, first, m.config.Region) })
	m.leading = l
	m.serving.Store(l)
}

// stopLeading stops the server and waits for its goroutines.
func (m *Member) stopLeading() {
	m.serving.Store(nil)
	m.leading.cancel()
	m.leading.running.Wait()
	m.leading = nil
}

// mayGrant reports whether this process may now grant leases under an incarnation. The server calls it with Server.mu
// locked.
func (m *Member) mayGrant(incarnation lease.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, leading := m.elector.Leading(m.clockReading())
	return leading && current == incarnation
}

// publish passes the latest view to applyViews. It does not block, since the leader lease must be renewed while a large
// spec is being applied, which can take a while.
func (l *regionLeader) publish(view *stateView) {
	select {
	case <-l.views: // discard an older view
	default:
	}
	l.views <- view
}

// applyViews applies changes of the cluster spec and of draining nodes to the server until the context is done.
func (l *regionLeader) applyViews(ctx context.Context, previous *stateView, region string) {
	for {
		var view *stateView
		select {
		case <-ctx.Done():
			return
		case view = <-l.views:
		}
		if view.SpecVersion != previous.SpecVersion {
			l.server.applySpec(view.Spec.ForRegion(region)) // validated before it was proposed
		}
		if view.DrainVersion != previous.DrainVersion {
			l.server.setDraining(view.Draining)
		}
		previous = view
	}
}

// markEarlierLeasesExpired records that no lease of an earlier leader is valid. The next renewal writes this to the log.
func (m *Member) markEarlierLeasesExpired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.elector.MarkEarlierLeasesExpired()
}
