package control

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"
	"wingmount/decide/leadership"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
	"wingmount/internal/consensus"
)

// Timing of changes that wait until they are committed.
const (
	commitTimeout         = 10 * time.Second
	proposalRetryInterval = 500 * time.Millisecond
	resignTimeout         = time.Second
)

// propose sends the elector's proposal, if one is due, and requests votes if the quorum does not respond.
func (m *Member) propose(ctx context.Context) {
	m.mu.Lock()
	now := m.clockReading()
	proposal, due := m.elector.Propose(now)
	request, voters, votesNeeded := m.elector.RequestVotes(now)
	m.mu.Unlock()
	if due {
		c := command{ID: rand.Uint64(), Join: proposal.Join, Candidacy: proposal.Candidacy, Renewal: proposal.Renewal}
		if err := m.proposeOnce(c); err != nil {
			m.config.Log.Debug("control: proposal failed", "err", err)
		}
	}
	if m.log.Status().Learner { // it has received the entry that added it; it now asks to become a voter
		if text, err := json.Marshal(command{ID: rand.Uint64()}); err == nil {
			_ = m.log.ProposeVoter(uint64(m.config.ID), text) // retried at the next check
		}
	}
	if !votesNeeded {
		return
	}
	for _, id := range voters {
		address := cmp.Or(m.config.AddressOverrides[id], m.view.Addresses[id])
		m.background.Go(func() { m.requestVote(ctx, request, id, address) })
	}
}

// requestVote requests the vote of a member of the region to extend the leader lease.
func (m *Member) requestVote(ctx context.Context, request leadership.VoteRequest, id leadership.MemberID, address string) {
	granted, err := m.voters.request(ctx, address, request)
	if err != nil || !granted {
		m.config.Log.Debug("control: vote not granted", "member", id, "err", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.elector.RecordVote(m.clockReading(), request.Nonce, id)
}

// proposeOnce proposes a command without waiting until it is committed.
func (m *Member) proposeOnce(c command) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return m.log.Propose(text)
}

// commit proposes a command every proposalRetryInterval until it is committed, and returns its outcome: nil, ErrConflict
// or ErrNoEffect. It returns ErrNoQuorum when the context is done, and consensus.ErrStopped or consensus.ErrTooLong if
// the command can't be proposed. It retries after consensus.ErrBusy (the queue is full).
//
// A command may be committed twice. Applying it a second time changes nothing, unless it is a part of a change to the
// spec: then parts that are already staged may be discarded. The later parts fail with ErrConflict, and the entire
// change has no effect.
func (m *Member) commit(ctx context.Context, c command, propose func(text []byte) error) error {
	c.ID = rand.Uint64()
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	outcome := m.machine.awaitOutcome(c.ID)
	defer m.machine.stopAwaiting(c.ID)
	again := time.NewTicker(proposalRetryInterval)
	defer again.Stop()
	for {
		if err := propose(text); err != nil && !errors.Is(err, consensus.ErrBusy) {
			return err
		}
		select {
		case err := <-outcome:
			return err
		case <-again.C:
		case <-ctx.Done():
			return ErrNoQuorum
		}
	}
}

// resign ends this member's leadership and commits the resignation, so that another member can take over immediately.
func (m *Member) resign() {
	if m.role() == leader {
		m.stopLeading()
		m.mu.Lock()
		term := m.elector.Term()
		m.mu.Unlock()
		m.logTransition(slog.LevelInfo, leader, term)
	}
	m.mu.Lock()
	resignation, elected := m.elector.Resign(m.clockReading())
	m.mu.Unlock()
	if !elected {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := m.commit(ctx, command{Resignation: &resignation}, m.log.Propose); err != nil {
		m.config.Log.Warn("control: resignation not committed", "err", err)
	}
}

// Drain sets whether a node is draining: a draining node owns no destination. The change is committed when Drain
// returns without an error. It returns a *NodeError for an unknown node, and the errors of commit except ErrConflict,
// after which it retries.
func (m *Member) Drain(ctx context.Context, node placement.NodeID, draining bool) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for {
		view := m.machine.view()
		known := slices.ContainsFunc(view.Spec.Nodes, func(n clusterspec.Node) bool { return n.Name == string(node) })
		if !known {
			return &NodeError{Node: node}
		}
		c := command{Drain: &setDraining{Node: node, Draining: draining, Previous: view.DrainVersion}}
		if err := m.commit(ctx, c, m.log.Propose); !errors.Is(err, ErrConflict) {
			return err
		}
	}
}

// Reload reads this machine's spec file and proposes its difference from the replicated spec. It returns the errors of
// clusterspec.Load and of SetSpec.
func (m *Member) Reload(ctx context.Context) error {
	spec, err := clusterspec.Load(m.config.SpecFile)
	if err != nil {
		return err
	}
	return m.SetSpec(ctx, spec)
}

// SetSpec proposes the difference between the replicated spec and the given one. The change is atomic, and committed
// when SetSpec returns without an error. See changeSpec for the errors.
func (m *Member) SetSpec(ctx context.Context, spec *clusterspec.Spec) error {
	return m.changeSpec(ctx, func(current *clusterspec.Spec) clusterspec.Delta { return clusterspec.Diff(current, spec) })
}

// ApplyDelta proposes a delta in the same way as SetSpec. Omitted fields of the delta get their defaults.
func (m *Member) ApplyDelta(ctx context.Context, delta clusterspec.Delta) error {
	delta.SetDefaults()
	return m.changeSpec(ctx, func(*clusterspec.Spec) clusterspec.Delta { return delta })
}

// changeSpec computes a delta from the replicated spec and proposes it in parts, one after the other. It returns
// errSpecBusy if another change of the spec through this member is in progress, an error that wraps lease.ErrMalformed
// if the resulting spec would be invalid, ErrConfigsWithdrawn, and the errors of commit.
func (m *Member) changeSpec(ctx context.Context, deltaFrom func(current *clusterspec.Spec) clusterspec.Delta) error {
	select {
	case m.specSlot <- struct{}{}:
		defer func() { <-m.specSlot }()
	default:
		return errSpecBusy
	}
	view := m.machine.view()
	delta := deltaFrom(view.Spec)
	if delta.Empty() {
		return nil
	}
	next := view.Spec.Apply(delta)
	if err := next.Validate(); err != nil {
		return fmt.Errorf("%w: %w", lease.ErrMalformed, err)
	}
	if view.Spec.DistributesConfigs() && !next.DistributesConfigs() {
		return ErrConfigsWithdrawn
	}
	parts, err := delta.Split()
	if err != nil {
		return err
	}
	change := rand.Uint64()
	for i, part := range parts {
		c := command{SpecChange: &specChange{Change: change, Previous: view.SpecVersion, Part: i, Last: i == len(parts)-1, Delta: part}}
		if err := m.commitPart(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// commitPart commits one part of a change of the spec.
func (m *Member) commitPart(ctx context.Context, c command) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return m.commit(ctx, c, m.log.Propose)
}

// addMember adds a member. The new member starts without a log and receives it from the others. It is a learner until
// then, and counts towards a majority afterwards.
func (m *Member) addMember(ctx context.Context, member addMember) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return m.commit(ctx, command{AddMember: &member},
		func(text []byte) error { return m.log.ProposeLearner(uint64(member.Member), text) })
}

// removeMember removes a member that has stopped permanently.
func (m *Member) removeMember(ctx context.Context, id leadership.MemberID) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return m.commit(ctx, command{RemoveMember: &removeMember{Member: id}},
		func(text []byte) error { return m.log.ProposeRemove(uint64(id), text) })
}
