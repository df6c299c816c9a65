package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"wingmount/decide/leadership"
	"wingmount/decide/lease"
	"wingmount/internal/clusterspec"
	"wingmount/internal/consensus"
)

// QuorumMember is one of the initial members of a quorum.
type QuorumMember struct {
	ID      leadership.MemberID
	Region  string
	Address string // HOST:PORT at which nodes and the other members reach it
}

// MemberConfig configures a member of a quorum. Fields left zero get defaults.
type MemberConfig struct {
	// ServerConfig configures the server that runs while this member leads its region. NoEarlierLeases and
	// AboveIncarnation apply to a new log only: see InitialMembers. Spec is not used. StateDir contains the log.
	ServerConfig
	ID     leadership.MemberID
	Region string
	// InitialMembers are the members of a new log. All of them must be configured with the same list. It applies only if
	// NoEarlierLeases is set and there is no log yet; a member without a log and without NoEarlierLeases waits until the
	// others add it.
	InitialMembers []QuorumMember
	// Leadership configures how long a leader may act without the quorum, and the limits of clock errors.
	Leadership leadership.Config
	// Tick and ElectionTicks: see consensus.Config.
	Tick          time.Duration
	ElectionTicks int
	// AddressOverrides replaces the replicated addresses of other members for requests of this machine.
	AddressOverrides map[leadership.MemberID]string
	clock            func() clockValues
	transport        http.RoundTripper // to the other members; if nil, the member creates its own
}

// Limits of the interval at which a member checks whether a proposal is due.
const (
	proposalChecksPerLease   = 60
	maxProposalCheckInterval = time.Second
)

// proposalCheckInterval returns the time between two checks whether a proposal is due.
func proposalCheckInterval(leaderLease time.Duration) time.Duration {
	return min(maxProposalCheckInterval, leaderLease/proposalChecksPerLease)
}

// MaxLeaderLease returns the longest leader lease with which another member still takes over before the leases of nodes
// expire. It allows for the time since a node's latest renewal when the leader fails, and for the pause before the node
// reaches the next leader. For that pause it subtracts maxBackoff, though a pause may be 100 ms longer: see
// docs/ROADMAP.md.
func MaxLeaderLease(nodeLease time.Duration, maxDrift float64, slack time.Duration) time.Duration {
	sinceRenewal := min(DefaultPollWait, nodeLease/renewalsPerLease)
	return time.Duration(float64(nodeLease-sinceRenewal-maxBackoff-slack) * (1 - maxDrift))
}

func (c MemberConfig) withDefaults() MemberConfig {
	c.ServerConfig = c.ServerConfig.withDefaults()
	if c.Leadership.LeaderLease <= 0 {
		c.Leadership.LeaderLease = leadership.DefaultLeaderLease
	}
	if c.Leadership.MaxDrift <= 0 {
		c.Leadership.MaxDrift = leadership.DefaultMaxDrift
	}
	if c.Leadership.Slack <= 0 {
		c.Leadership.Slack = leadership.DefaultSlack
	}
	c.Leadership.NodeLease = c.Lease
	if c.clock == nil {
		c.clock = systemClock()
	}
	return c
}

// Member is one control machine of a quorum. While it leads its region it assigns destinations to the region's nodes.
// Its exported methods may be called from any goroutine.
type Member struct {
	config     MemberConfig
	process    leadership.ProcessID
	lock       *os.File
	listener   net.Listener
	machine    *stateMachine
	log        *consensus.Node
	transport  *consensus.Transport
	origin     string // see consensus.Origin
	voters     *voteClient
	wake       chan struct{}
	background sync.WaitGroup // vote requests and reloads in progress
	specSlot   chan struct{}  // occupied by a change of the cluster spec

	mu      sync.Mutex // guards elector and clock; locked after Server.mu
	elector *leadership.Elector
	clock   *clock
	started time.Time

	view    *stateView                   // the latest applied view; owned by the Run goroutine
	leading *regionLeader                // nil for a follower; owned by the Run goroutine
	serving atomic.Pointer[regionLeader] // the value of leading, for other goroutines
}

// Errors of a member.
var (
	// errNotLeader reports that this member does not lead its region now. Its text, which clients receive, uses the
	// older term for that.
	errNotLeader = errors.New("this control machine does not hold its region now")
	// ErrNoQuorum reports that a change was not committed in time. It may be committed later.
	ErrNoQuorum = errors.New("the change was not agreed in time: it may be, later")
	// ErrInvalidMemberConfig reports a MemberConfig that lacks a required field.
	ErrInvalidMemberConfig = errors.New("member config requires an id above 0 and a region")
)

// NewMember opens the log and listens. The caller must call Run. It returns ErrInvalidMemberConfig if config lacks a
// required field, ErrLocked if another process uses the state folder, and consensus.ErrDamaged if the log is damaged.
func NewMember(config MemberConfig) (*Member, error) {
	config = config.withDefaults()
	if config.ID == 0 || config.Region == "" {
		return nil, ErrInvalidMemberConfig
	}
	if config.Lease > lease.MaxDuration {
		return nil, fmt.Errorf("lease duration %v exceeds the maximum of %v", config.Lease, lease.MaxDuration)
	}
	if err := os.MkdirAll(config.StateDir, 0o700); err != nil {
		return nil, fmt.Errorf("creating the state folder: %w", err)
	}
	lock, err := lockFile(filepath.Join(config.StateDir, lockName))
	if err != nil {
		return nil, err
	}
	m, err := newMember(config, lock)
	if err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	return m, nil
}

func newMember(config MemberConfig, lock *os.File) (*Member, error) {
	initial, state, err := config.initialLog()
	if err != nil {
		return nil, err
	}
	m := &Member{
		config:   config,
		process:  leadership.ProcessID(rand.Uint64() | 1),
		lock:     lock,
		origin:   consensus.Origin(initial, state),
		voters:   newVoteClient(config.transport),
		wake:     make(chan struct{}, 1),
		specSlot: make(chan struct{}, 1),
		clock:    newClock(config.clock),
		started:  time.Now(),
	}
	m.transport = consensus.NewTransport(m.origin, config.transport, config.Log)
	m.machine = newStateMachine(m.process, m.wakeUp)
	m.elector = leadership.NewElector(m.clockReading(), leadership.Member{ID: config.ID, Region: config.Region}, m.process, config.Leadership)
	m.log, err = consensus.Open(consensus.Config{
		ID: uint64(config.ID), Dir: config.StateDir, InitialMembers: initial, InitialState: state, Machine: m.machine,
		Tick: config.Tick, ElectionTicks: config.ElectionTicks, Log: config.Log,
	}, m.transport)
	if err != nil {
		return nil, err
	}
	m.transport.SetReporter(m.log)
	m.transport.SetMembers(m.otherAddresses(m.initialAddresses()))
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	m.listener = newBoundedListener(listener, 2*config.MaxSessions+extraConnections)
	return m, nil
}

// initialLog returns the members and the encoded state of a new log; nil if the member waits until the others add it.
func (c MemberConfig) initialLog() (ids []uint64, state []byte, err error) {
	if !c.NoEarlierLeases {
		return nil, nil, nil
	}
	members := slices.Clone(c.InitialMembers)
	slices.SortFunc(members, func(a, b QuorumMember) int { return cmp.Compare(a.ID, b.ID) })
	for _, member := range members {
		ids = append(ids, uint64(member.ID))
	}
	state, err = initialState(members, c.AboveIncarnation, c.Lease)
	return ids, state, err
}

// initialAddresses returns the addresses of the members at the start: the replicated ones, or the configured ones if
// there is no replicated state yet. A member that is added later uses the configured ones until it has received the log.
func (m *Member) initialAddresses() map[leadership.MemberID]string {
	view := m.machine.view()
	if len(view.Addresses) > 0 {
		return view.Addresses
	}
	addresses := map[leadership.MemberID]string{}
	for _, member := range m.config.InitialMembers {
		addresses[member.ID] = member.Address
	}
	return addresses
}

// otherAddresses returns the addresses at which this machine reaches the other members.
func (m *Member) otherAddresses(addresses map[leadership.MemberID]string) map[uint64]string {
	others := make(map[uint64]string, len(addresses))
	for id, address := range addresses {
		if id != m.config.ID {
			others[uint64(id)] = cmp.Or(m.config.AddressOverrides[id], address)
		}
	}
	return others
}

// Addr returns the address that the member listens on.
func (m *Member) Addr() string { return m.listener.Addr().String() }

// clockReading returns the time for the elector: Latest includes the time for which the machine was suspended, Earliest
// does not. The caller holds mu, or has the only reference to the member. Latest never decreases (see clock), so the
// elector never has to handle a backward step.
func (m *Member) clockReading() leadership.ClockReading {
	return leadership.ClockReading{Latest: m.clock.now(), Earliest: time.Since(m.started)}
}

// wakeUp makes the Run goroutine check the replicated state. It does not block.
func (m *Member) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run takes part in the quorum until the context is done, and then resigns the leadership of the region. It returns an
// error of the listener or of closing the lock file.
//
// Run continues when the log has stopped, for instance after a disk error: it logs "control: member stopped", and
// consensus.Status.Stopped contains the reason. HTTP requests are still answered, and changes by operators return
// consensus.ErrStopped. A leader can then extend its lease by votes only, as long as all other members of its region
// vote for it. If the region has no other members, the leader can extend its lease without limit.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logContext, stopLog := context.WithCancel(context.WithoutCancel(ctx)) // the resignation still needs the log
	defer stopLog()
	var log sync.WaitGroup
	log.Go(func() {
		if err := m.log.Run(logContext); err != nil {
			m.config.Log.Error("control: member stopped", "err", err)
		}
	})
	served := make(chan error, 1)
	go func() {
		served <- serve(ctx, m.listener, m.handler(ctx), m.config.Log)
		cancel()
	}()
	m.loop(ctx)
	m.resign()
	err := <-served
	stopLog()
	log.Wait()
	m.background.Wait()
	m.voters.close()
	return errors.Join(err, m.lock.Close())
}

// loop applies new views and sends proposals that are due, until the context is done.
func (m *Member) loop(ctx context.Context) {
	ticker := time.NewTicker(proposalCheckInterval(m.config.Leadership.LeaderLease))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.wake:
		case <-m.config.ReloadOn:
			m.background.Go(func() {
				if err := m.Reload(ctx); err != nil {
					m.config.Log.Error("control: spec not reloaded", "err", err)
				}
			})
		}
		m.applyView()
		m.updateRole(ctx)
		m.propose(ctx)
	}
}

// applyView passes a new view of the replicated state to the elector, the transport and, on a leader, the server.
func (m *Member) applyView() {
	view := m.machine.takeView()
	if view == nil {
		return
	}
	m.view = view
	if m.leading != nil {
		m.leading.publish(view)
	}
	m.transport.SetMembers(m.otherAddresses(view.Addresses))
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clockReading()
	m.elector.Apply(now, view.Leadership, 0)
	for _, nonce := range view.effective {
		m.elector.Apply(now, view.Leadership, nonce)
	}
}

// Spec returns the replicated cluster spec as of the latest entry that this member has applied. The caller must not
// modify it.
func (m *Member) Spec() *clusterspec.Spec { return m.machine.view().Spec }
