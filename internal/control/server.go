package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
)

// ServerConfig configures a server. Fields left zero get defaults.
type ServerConfig struct {
	Listen   string            // HOST:PORT; with port 0 any free port, see Server.Addr
	SpecFile string            // cluster spec as TOML, see clusterspec.Parse; read if Spec is nil
	Spec     *clusterspec.Spec // the cluster spec itself
	StateDir string            // folder of the state file, which contains the incarnation
	// NoEarlierLeases asserts that no control machine has ever granted a lease to these nodes, so that the first one
	// grants leases without a grace period.
	NoEarlierLeases bool
	// AboveIncarnation is a lower bound: the next incarnation is greater. An operator sets it after the state was lost
	// or restored from a backup, and only if no other control machine is running.
	AboveIncarnation lease.Incarnation
	Lease            time.Duration // lease.DefaultDuration if zero
	MaxDrift         float64       // lease.DefaultMaxDrift if zero
	Slack            time.Duration // lease.DefaultSlack if zero
	// Window is the time over which destinations count calls. Quota that a node gives up is granted again only after
	// this time. 2 s if zero; no delay if negative.
	Window      time.Duration
	MaxSessions int     // lease.DefaultMaxSessions if zero
	LoadBound   float64 // placement.DefaultLoadBound if zero
	// Debounce is how long changes are collected before a new placement, 500 ms if zero.
	Debounce time.Duration
	// InitialWait is how long the first placement waits for nodes without a session, 5 s if zero. Otherwise the first
	// nodes to connect would get all destinations, and then give most of them up again.
	InitialWait time.Duration
	// RestartGrace is how long a node that has closed its session remains an owner, one minute if zero, so that a
	// restart moves no destination. The other owners get its quota in the meantime.
	RestartGrace time.Duration
	// ReloadOn triggers a reload of the spec file, for instance on a signal. If nil, there is no such trigger.
	ReloadOn <-chan os.Signal
	Log      *slog.Logger
}

// Defaults of a ServerConfig.
const (
	DefaultDebounce     = 500 * time.Millisecond
	DefaultInitialWait  = 5 * time.Second
	DefaultRestartGrace = time.Minute
	DefaultWindow       = 2 * time.Second
)

// Limits of the HTTP server.
const (
	headerTimeout    = 5 * time.Second
	bodyTimeout      = 10 * time.Second
	writeTimeout     = 10 * time.Second
	idleTimeout      = 2 * time.Minute
	shutdownTimeout  = 2 * time.Second
	maxHeaderBytes   = 8 << 10
	maxSmallRequest  = 64 << 10 // bytes; a longer request needs a slot of largeRequests
	maxRequest       = 16 << 20 // bytes
	maxLargeRequests = 16       // concurrent
)

func (c ServerConfig) withDefaults() ServerConfig {
	if c.Lease <= 0 {
		c.Lease = lease.DefaultDuration
	}
	if c.Slack <= 0 {
		c.Slack = lease.DefaultSlack
	}
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	if c.MaxSessions <= 0 {
		c.MaxSessions = lease.DefaultMaxSessions
	}
	if c.Debounce <= 0 {
		c.Debounce = DefaultDebounce
	}
	if c.InitialWait <= 0 {
		c.InitialWait = DefaultInitialWait
	}
	if c.RestartGrace <= 0 {
		c.RestartGrace = DefaultRestartGrace
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}

// Server assigns destinations to the nodes of a region. It runs standalone, or inside the [Member] that leads the
// region. Its exported methods may be called from any goroutine.
type Server struct {
	config        ServerConfig
	origin        time.Time
	now           func() time.Duration // returns the monotonic time since origin
	folder        *stateFolder         // nil inside a member, whose state is in the log
	mayGrant      func() bool          // whether leases may be granted now
	listener      net.Listener         // nil inside a member
	table         atomic.Pointer[placement.Table]
	wake          chan struct{} // makes the loop check for due work
	largeRequests chan struct{} // slots for requests longer than maxSmallRequest

	// specChanges is held while a spec is applied, and locked before mu. spec may be read while holding either.
	specChanges sync.Mutex

	// onGraceEnd persists the state once no lease of an earlier incarnation is valid. endGrace calls it with mu locked.
	onGraceEnd func(serverState) error

	mu      sync.Mutex // locked before Member.mu, which mayGrant and onGraceEnd lock
	state   serverState
	spec    *clusterspec.Index
	grantor *lease.Grantor
	polls   map[lease.SessionID]chan struct{} // one per waiting poll; closed when there is an update for it
	// departed contains the nodes that have closed their session, with the time until which they remain owners.
	departed         map[placement.NodeID]time.Duration
	draining         map[placement.NodeID]bool
	placementPending bool
	placementDue     time.Duration // when the pending placement is computed
}

// NewServer reads the cluster spec, begins the next incarnation and listens. The incarnation is on disk when NewServer
// returns. The caller must call Run. NewServer returns the errors of clusterspec.Load, ErrLocked if another process uses
// the state folder, ErrIncarnationsExhausted, and errors of the state file and the listener.
func NewServer(config ServerConfig) (*Server, error) {
	config = config.withDefaults()
	if config.Lease > lease.MaxDuration {
		return nil, fmt.Errorf("lease duration %v exceeds the maximum of %v", config.Lease, lease.MaxDuration)
	}
	if config.Spec == nil {
		spec, err := clusterspec.Load(config.SpecFile)
		if err != nil {
			return nil, err
		}
		config.Spec = spec
	} else if err := config.Spec.Validate(); err != nil {
		return nil, err
	}
	folder, err := openStateFolder(config.StateDir)
	if err != nil {
		return nil, err
	}
	s, err := newServer(config, folder)
	if err != nil {
		return nil, errors.Join(err, folder.close())
	}
	return s, nil
}

func newServer(config ServerConfig, folder *stateFolder) (*Server, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	state, previous, err := folder.beginIncarnation(config.AboveIncarnation, config.Lease)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	noEarlierLeases := config.NoEarlierLeases && previous.Incarnation == 0
	s := newRegionServer(config, state, earlierLeases{longest: previous.LongestLease, none: noEarlierLeases})
	s.folder, s.onGraceEnd = folder, folder.persist
	s.listener = newBoundedListener(listener, 2*config.MaxSessions+extraConnections)
	return s, nil
}

// earlierLeases describes the leases that earlier incarnations may have granted.
type earlierLeases struct {
	longest time.Duration // the longest duration
	none    bool          // no lease was granted
}

// newRegionServer returns a server that grants leases under the incarnation of a state. It has no listener and no
// folder, and does not persist the end of the grace period.
func newRegionServer(config ServerConfig, state serverState, earlier earlierLeases) *Server {
	origin := time.Now()
	s := &Server{
		config:           config,
		origin:           origin,
		now:              func() time.Duration { return time.Since(origin) },
		mayGrant:         func() bool { return true },
		onGraceEnd:       func(serverState) error { return nil },
		wake:             make(chan struct{}, 1),
		largeRequests:    make(chan struct{}, maxLargeRequests),
		state:            state,
		spec:             clusterspec.NewIndex(config.Spec),
		polls:            map[lease.SessionID]chan struct{}{},
		departed:         map[placement.NodeID]time.Duration{},
		draining:         map[placement.NodeID]bool{},
		placementPending: true,
	}
	for _, id := range state.Draining {
		s.draining[id] = true
	}
	s.grantor = lease.NewGrantor(0, state.Incarnation, lease.Config{
		Duration:        config.Lease,
		MaxDrift:        config.MaxDrift,
		Slack:           config.Slack,
		Window:          config.Window,
		EarlierDuration: earlier.longest,
		NoEarlierLeases: earlier.none,
		MaxSessions:     config.MaxSessions,
	})
	s.placementDue = max(s.grantor.GraceEnd(), config.InitialWait) + config.Debounce
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until the context is done. It returns an error of the listener or of unlocking the state folder.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loop sync.WaitGroup
	loop.Go(func() { s.loop(ctx) })
	err := serve(ctx, s.listener, s.handler(ctx), s.config.Log)
	cancel()
	loop.Wait()
	return errors.Join(err, s.folder.close())
}

// serve serves HTTP on a listener until the context is done or the listener fails.
func serve(ctx context.Context, listener net.Listener, handler http.Handler, log *slog.Logger) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	var err error
	select {
	case <-ctx.Done():
	case err = <-served:
	}
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownContext) != nil {
		_ = server.Close()
	}
	if err == nil {
		err = <-served
	}
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return err
}

// loop expires sessions and computes placements when they are due, until the context is done.
func (s *Server) loop(ctx context.Context) {
	for {
		timer := time.NewTimer(s.runDueWork(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.wake:
			timer.Stop()
		case <-s.config.ReloadOn:
			timer.Stop()
			if err := s.Reload(); err != nil {
				s.config.Log.Error("control: spec not reloaded", "err", err)
			}
		case <-timer.C:
		}
	}
}

// Limits of the time that the loop waits.
const (
	minLoopWait = time.Millisecond
	maxLoopWait = time.Minute
)

// runDueWork expires sessions and computes a placement if they are due, and returns the time until the next work is due.
func (s *Server) runDueWork(ctx context.Context) time.Duration {
	s.mu.Lock()
	now := s.now()
	s.expireSessions(now)
	due := s.placementPending && now >= s.placementDue
	s.mu.Unlock()
	if due {
		s.computePlacement(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.now()
	wait := maxLoopWait
	if next, ok := s.grantor.NextDeadline(); ok {
		wait = min(wait, next-now)
	}
	if s.placementPending {
		wait = min(wait, s.placementDue-now)
	}
	return max(wait, minLoopWait)
}
