package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
)

// AgentConfig configures a node's agent. Fields left zero get defaults.
type AgentConfig struct {
	Node      placement.NodeID
	Addresses []string // HOST:PORT of control machines, tried in turn
	// StateFile stores the highest incarnation seen and the process id. The file with the suffix .lock is locked from
	// NewAgent until Run returns. With a state file, a restarted node takes over the assignments of its killed process
	// at once; without it, only after the lease has expired.
	StateFile string
	// Apply applies changed assignments. It is called sequentially, in order. The agent confirms the assignments to the
	// control machine once Apply returns, so Apply must be quick. It may call the agent.
	Apply func(Update)
	// ReceiveConfigs means that the node has no destinations in its own settings: the control machine sends it the
	// configs of its assigned destinations.
	ReceiveConfigs bool
	// LeaseChanged is called after the lease has begun or ended; LeaseValid reports the change without delay. It is
	// called sequentially, and not while Apply runs. The assignments of a new lease are applied before the call.
	LeaseChanged func(valid bool)
	// PollWait is how long a poll waits for an update, 3 s if zero. It is limited to a third of the lease.
	PollWait       time.Duration
	OwnerCacheTTL  time.Duration // how long results of Locate are cached, 5 s if zero
	OwnerCacheSize int           // the maximum number of cached results, 4096 if zero
	// Transport sends the requests; nodes of one process may share one. If nil, the agent creates its own.
	Transport http.RoundTripper
	Log       *slog.Logger
	clock     func() clockValues
}

// Defaults of an AgentConfig.
const (
	DefaultPollWait       = 3 * time.Second
	DefaultOwnerCacheTTL  = 5 * time.Second
	DefaultOwnerCacheSize = 4096
)

func (c AgentConfig) withDefaults() AgentConfig {
	if c.Apply == nil {
		c.Apply = func(Update) {}
	}
	if c.LeaseChanged == nil {
		c.LeaseChanged = func(bool) {}
	}
	if c.PollWait <= 0 {
		c.PollWait = DefaultPollWait
	}
	if c.OwnerCacheTTL <= 0 {
		c.OwnerCacheTTL = DefaultOwnerCacheTTL
	}
	if c.OwnerCacheSize <= 0 {
		c.OwnerCacheSize = DefaultOwnerCacheSize
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.clock == nil {
		c.clock = systemClock()
	}
	return c
}

// Update describes the changes that a poll received.
type Update struct {
	lease.Update
	// Configs contains configs of assigned destinations, including all that have changed; some may be unchanged. It is
	// empty unless AgentConfig.ReceiveConfigs is set.
	Configs []clusterspec.DestinationConfig
}

// Agent maintains a node's lease and its assignments. Its methods may be called from any goroutine.
type Agent struct {
	config AgentConfig
	client *client
	owners *ownerCache
	state  agentState
	lock   *os.File // of the state file; nil if there is no state file

	callbacks     sync.Mutex // locked while Apply or LeaseChanged runs
	reportedValid bool       // the latest argument of LeaseChanged; guarded by callbacks

	mu            sync.Mutex
	clock         *clock
	holder        *lease.Holder
	duration      time.Duration      // of the latest lease
	cancelPoll    context.CancelFunc // cancels the poll in progress; nil if no poll may be canceled
	pollBegan     time.Time          // start of the poll in progress
	reportPending bool               // there are changes to report that the poll in progress does not include
}

// agentState is the content of an agent's state file.
type agentState struct {
	Incarnation lease.Incarnation `json:"incarnation"`
	Process     lease.ProcessID   `json:"process"`
}

// ErrInvalidAgentConfig reports an AgentConfig without Addresses, or whose Node is empty or longer than
// lease.MaxNameLength.
var ErrInvalidAgentConfig = errors.New("agent config requires a valid node name and an address of a control process")

// NewAgent returns an agent without a lease. The caller must call Run. It returns ErrInvalidAgentConfig, ErrLocked if
// another agent has locked the lock file, and an error if that file can't be read, decoded or written. Without a state
// file nothing is locked, and the node's next process cannot take over this one's assignments before its lease expires.
func NewAgent(config AgentConfig) (*Agent, error) {
	config = config.withDefaults()
	if config.Node == "" || len(config.Node) > lease.MaxNameLength || len(config.Addresses) == 0 {
		return nil, ErrInvalidAgentConfig
	}
	a := &Agent{
		config: config,
		client: newClient(config.Addresses, config.Transport),
		owners: newOwnerCache(config.OwnerCacheTTL, config.OwnerCacheSize),
		clock:  newClock(config.clock),
	}
	previous, err := a.openState()
	if err != nil {
		return nil, err
	}
	a.holder = lease.NewHolder(lease.HolderConfig{
		Node:        config.Node,
		Process:     a.state.Process,
		Replaces:    previous.Process,
		Incarnation: previous.Incarnation,
	})
	return a, nil
}

// openState locks the state file and writes this process to it. It returns the previous state.
func (a *Agent) openState() (agentState, error) {
	a.state.Process = lease.ProcessID(rand.Uint64() | 1)
	if a.config.StateFile == "" {
		return agentState{}, nil
	}
	lock, err := lockFile(a.config.StateFile + ".lock")
	if err != nil {
		return agentState{}, err
	}
	var previous agentState
	err = readState(a.config.StateFile, &previous)
	if err == nil {
		a.state.Incarnation = previous.Incarnation
		err = writeState(a.config.StateFile, a.state)
	}
	if err != nil {
		return previous, errors.Join(err, lock.Close())
	}
	a.lock = lock
	return previous, nil
}

// Run polls until the context is done, and then gives up the lease. The node must have stopped sending by then. Apply
// and LeaseChanged are not called after Run has returned.
func (a *Agent) Run(ctx context.Context) error {
	defer a.client.close()
	expiry := time.AfterFunc(time.Hour, a.reportLease)
	expiry.Stop()
	failures := 0
	for ctx.Err() == nil {
		began := time.Now()
		err := a.poll(ctx)
		a.reportLease()
		a.scheduleExpiry(expiry)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			failures = 0
			pause(ctx, minPollInterval-time.Since(began))
			continue
		}
		failures++
		a.config.Log.Warn("control: lease not renewed", "node", a.config.Node, "err", err)
		if rounds := failures / len(a.config.Addresses); failures%len(a.config.Addresses) == 0 {
			pause(ctx, backoff(rounds)) // every address has failed once more
		}
	}
	expiry.Stop()
	a.closeLease()
	if a.lock != nil {
		return a.lock.Close()
	}
	return nil
}

// reportLease calls LeaseChanged if the lease has begun or ended since the last call.
func (a *Agent) reportLease() {
	a.callbacks.Lock()
	defer a.callbacks.Unlock()
	if valid := a.LeaseValid(); valid != a.reportedValid {
		a.reportedValid = valid
		a.config.LeaseChanged(valid)
	}
}

// scheduleExpiry sets the timer that reports the end of the lease.
func (a *Agent) scheduleExpiry(timer *time.Timer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if delay, valid := a.untilExpired(); valid {
		timer.Reset(delay)
	}
}

// untilExpired returns the delay after which the lease has expired, with a margin of 1 ms, and whether the lease is
// valid now. The caller holds mu.
func (a *Agent) untilExpired() (time.Duration, bool) {
	now := a.clock.now()
	return a.holder.Expiry() - now + time.Millisecond, a.holder.Valid(now)
}

// closeLease gives up the lease and closes the session at the control machine.
func (a *Agent) closeLease() {
	a.mu.Lock()
	request := a.holder.Close(a.clock.now())
	a.mu.Unlock()
	a.reportLease()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := a.client.closeSession(ctx, request); err != nil {
		a.config.Log.Warn("control: session not closed", "node", a.config.Node, "err", err)
	}
}

// LeaseValid reports whether the lease is valid by the node's own clock. It is cheap enough to be called before the
// first byte of each call to a destination.
func (a *Agent) LeaseValid() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Valid(a.clock.now())
}

// LeaseRemaining returns the time until the lease expires, 0 without a valid lease.
func (a *Agent) LeaseRemaining() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	if !a.holder.Valid(now) {
		return 0
	}
	return a.holder.Expiry() - now
}

// Assignment returns the assignment of a destination, whether the lease is valid or not.
func (a *Agent) Assignment(destination placement.DestinationID) (lease.Assignment, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Assignment(destination)
}

// Quota returns the fraction of a destination's limit, 0 to 1, that the node may use now; 0 without a valid lease.
func (a *Agent) Quota(destination placement.DestinationID) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Quota(a.clock.now(), destination)
}

// Len returns the number of destinations that are assigned to the node.
func (a *Agent) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Len()
}

// ReportUnfinished reports destinations for which the node has accepted messages that are not finished, for instance
// when it starts. If such a destination is not assigned to the node, the node gets a quota to finish these messages.
func (a *Agent) ReportUnfinished(destinations ...placement.DestinationID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.ReportUnfinished(destinations...)
	a.requestReport()
}

// Release reports that the node has finished its messages for a destination for which it accepts no new ones.
// The node's quota of the destination is 0 from then on. Release returns false, and changes nothing, if the node still
// accepts messages for the destination.
func (a *Agent) Release(destination placement.DestinationID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.holder.Release(destination) {
		return false
	}
	a.requestReport()
	return true
}

// Locate returns the owners of a destination and their addresses, at most OwnerCacheTTL out of date. It returns
// ErrUnknownDestination if the cluster spec does not contain the destination.
func (a *Agent) Locate(ctx context.Context, destination placement.DestinationID) ([]Owner, error) {
	if owners, ok := a.owners.get(destination, time.Now()); ok {
		return owners, nil
	}
	found, err := a.client.owners(ctx, destination)
	if err != nil {
		return nil, fmt.Errorf("locating destination %d: %w", destination, err)
	}
	a.owners.put(destination, found.Owners, time.Now())
	return found.Owners, nil
}
