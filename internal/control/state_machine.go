package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
	"wingmount/decide/leadership"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
)

// replicatedState is the state that the log replicates, and the content of a snapshot. Views share its maps, slices and
// pointers, which are therefore replaced and never modified in place. Leadership is cloned for each view instead.
type replicatedState struct {
	Leadership   *leadership.State              `json:"book"`
	Addresses    map[leadership.MemberID]string `json:"addresses"` // of the members, HOST:PORT
	Spec         *clusterspec.Spec              `json:"world"`
	SpecVersion  uint64                         `json:"world_version"`
	Draining     []placement.NodeID             `json:"draining"` // sorted
	DrainVersion uint64                         `json:"drain_version"`
	Staged       *stagedChange                  `json:"staged,omitempty"`
}

// stagedChange is a change of the cluster spec whose last part has not been applied.
type stagedChange struct {
	Change   uint64            `json:"change"`
	NextPart int               `json:"next"`
	Bytes    int               `json:"bytes"` // total size of the commands so far
	Delta    clusterspec.Delta `json:"delta"`
}

// stateView is an immutable copy of the replicated state after a batch of entries.
type stateView struct {
	replicatedState
	// effective contains the nonces of this process's candidacies and renewals that took effect since the previous view.
	effective []leadership.Nonce
}

// stateMachine applies the replicated log. The goroutine of the consensus node calls the methods of
// consensus.StateMachine. The other methods may be called from any goroutine.
type stateMachine struct {
	process leadership.ProcessID // of this member
	notify  func()               // called after each new view; it must not block

	state     replicatedState // owned by the consensus goroutine, like effective
	effective []leadership.Nonce

	mu      sync.Mutex
	pending *stateView // the latest view, nil once takeView has returned it
	current *stateView
	waiting map[uint64]chan error // receivers of outcomes, by command ID
}

func newStateMachine(process leadership.ProcessID, notify func()) *stateMachine {
	m := &stateMachine{process: process, notify: notify, waiting: map[uint64]chan error{}}
	m.state = replicatedState{
		Leadership: leadership.NewState(nil), Addresses: map[leadership.MemberID]string{}, Spec: &clusterspec.Spec{},
	}
	m.current = &stateView{replicatedState: m.state}
	return m
}

// Apply implements consensus.StateMachine.
func (m *stateMachine) Apply(_ uint64, data []byte) {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return // every member ignores it
	}
	err := m.apply(c, len(data))
	m.mu.Lock()
	defer m.mu.Unlock()
	if outcome, ok := m.waiting[c.ID]; ok {
		outcome <- err
		delete(m.waiting, c.ID)
	}
}

// apply applies a command. It must be deterministic: the result depends only on the state and the command.
func (m *stateMachine) apply(c command, size int) error {
	s := &m.state
	switch {
	case c.Join != nil:
		return noEffectUnless(s.Leadership.Join(*c.Join))
	case c.Candidacy != nil:
		return m.recordIfOwn(s.Leadership.Elect(*c.Candidacy), c.Candidacy.Process, c.Candidacy.Nonce)
	case c.Renewal != nil:
		return m.recordIfOwn(s.Leadership.Renew(*c.Renewal), c.Renewal.Process, c.Renewal.Nonce)
	case c.Resignation != nil:
		return noEffectUnless(s.Leadership.Resign(*c.Resignation))
	case c.AddMember != nil:
		return s.addMember(*c.AddMember)
	case c.RemoveMember != nil:
		return s.removeMember(*c.RemoveMember)
	case c.Drain != nil:
		return s.setDraining(*c.Drain)
	case c.SpecChange != nil:
		return s.stageSpecChange(*c.SpecChange, size)
	}
	return ErrNoEffect
}

// noEffectUnless returns ErrNoEffect unless a command was effective.
func noEffectUnless(effective bool) error {
	if effective {
		return nil
	}
	return ErrNoEffect
}

// recordIfOwn records the nonce of an effective candidacy or renewal if it is of this process. It returns ErrNoEffect if
// the command was not effective.
func (m *stateMachine) recordIfOwn(effective bool, process leadership.ProcessID, nonce leadership.Nonce) error {
	if effective && process == m.process {
		m.effective = append(m.effective, nonce)
	}
	return noEffectUnless(effective)
}

func (s *replicatedState) addMember(c addMember) error {
	if !s.Leadership.AddMember(c.Member, c.Region) {
		return fmt.Errorf("%w: member %d is there", ErrNoEffect, c.Member)
	}
	s.Addresses = maps.Clone(s.Addresses)
	s.Addresses[c.Member] = c.Address
	return nil
}

func (s *replicatedState) removeMember(c removeMember) error {
	if !s.Leadership.RemoveMember(c.Member) {
		return fmt.Errorf("%w: there is no member %d", ErrNoEffect, c.Member)
	}
	s.Addresses = maps.Clone(s.Addresses)
	delete(s.Addresses, c.Member)
	return nil
}

func (s *replicatedState) setDraining(c setDraining) error {
	if c.Previous != s.DrainVersion {
		return fmt.Errorf("%w: drains are at version %d", ErrConflict, s.DrainVersion)
	}
	draining := slices.DeleteFunc(slices.Clone(s.Draining), func(id placement.NodeID) bool { return id == c.Node })
	if c.Draining {
		draining = append(draining, c.Node)
		slices.Sort(draining)
	}
	s.Draining = draining
	s.DrainVersion++
	return nil
}

// stageSpecChange stages a part of a change to the cluster spec, and applies the change at its last part. It returns
// ErrConflict if the change is not based on the current version, or if a part is out of order or exceeds the maximum
// size. Part 0 restarts the staging, also when it is committed a second time.
func (s *replicatedState) stageSpecChange(c specChange, size int) error {
	if c.Previous != s.SpecVersion {
		s.Staged = nil
		return fmt.Errorf("%w: the world is at version %d", ErrConflict, s.SpecVersion)
	}
	if c.Part == 0 {
		s.Staged = &stagedChange{Change: c.Change}
	}
	if s.Staged == nil || s.Staged.Change != c.Change || s.Staged.NextPart != c.Part || s.Staged.Bytes+size > clusterspec.MaxBytes {
		return fmt.Errorf("%w: part %d of a change of the world does not follow", ErrConflict, c.Part)
	}
	staged := *s.Staged // a copy, since a view may share the current one
	staged.NextPart++
	staged.Bytes += size
	staged.Delta.Append(c.Delta)
	s.Staged = &staged
	if !c.Last {
		return nil
	}
	s.Spec = s.Spec.Apply(staged.Delta)
	s.SpecVersion++
	s.Staged = nil
	return nil
}

// Applied implements consensus.StateMachine.
func (m *stateMachine) Applied() {
	view := &stateView{replicatedState: m.state, effective: m.effective}
	view.Leadership = m.state.Leadership.Clone()
	m.effective = nil
	m.mu.Lock()
	if m.pending != nil { // the member has not received the pending view: keep its nonces
		view.effective = append(slices.Clone(m.pending.effective), view.effective...)
	}
	m.pending, m.current = view, view
	m.mu.Unlock()
	m.notify()
}

// takeView returns the latest view, or nil if it has already returned that view.
func (m *stateMachine) takeView() *stateView {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.pending
	m.pending = nil
	return view
}

// view returns the latest view.
func (m *stateMachine) view() *stateView {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// awaitOutcome returns a channel that receives the outcome of a command. The caller must call stopAwaiting afterwards.
func (m *stateMachine) awaitOutcome(id uint64) chan error {
	outcome := make(chan error, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[id] = outcome
	return outcome
}

// stopAwaiting removes the channel of a command that awaitOutcome returned.
func (m *stateMachine) stopAwaiting(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting, id)
}

// Snapshot implements consensus.StateMachine.
func (m *stateMachine) Snapshot() func() ([]byte, error) {
	state := m.state
	state.Leadership = m.state.Leadership.Clone()
	return func() ([]byte, error) { return json.Marshal(state) }
}

// Restore implements consensus.StateMachine.
func (m *stateMachine) Restore(data []byte) error {
	var state replicatedState
	if err := json.Unmarshal(data, &state); err != nil {
		return err
	}
	if state.Leadership == nil || state.Spec == nil || state.Addresses == nil {
		return errors.New("snapshot lacks the leadership, the addresses or the cluster spec")
	}
	m.state = state
	return nil
}

// initialState returns the encoded state before the first entry, which is identical on all initial members. If above is
// not 0, the first leader of each region gets a higher incarnation and assumes that leases of up to the longest duration
// may be valid.
func initialState(members []QuorumMember, above lease.Incarnation, longest time.Duration) ([]byte, error) {
	state := replicatedState{Addresses: map[leadership.MemberID]string{}, Spec: &clusterspec.Spec{}}
	var initial []leadership.Member
	for _, m := range members {
		initial = append(initial, leadership.Member{ID: m.ID, Region: m.Region})
		state.Addresses[m.ID] = m.Address
	}
	state.Leadership = leadership.NewState(initial)
	for _, m := range members {
		if above > 0 {
			state.Leadership.Regions[m.Region] = leadership.Term{Revision: leadership.Revision{Incarnation: above}, LongestNodeLease: longest}
		}
	}
	return json.Marshal(state)
}
