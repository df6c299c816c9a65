package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// core is a member without goroutines or clocks. Its caller calls raw.Tick, passes it received messages and sends the
// messages that processReady passes to send.
type core struct {
	config    Config
	raw       *raft.RawNode
	memory    *raft.MemoryStorage
	disk      *disk
	confState *pb.ConfState
	applied   uint64
	// compacting is set while another goroutine encodes a snapshot.
	compacting bool
	compactAt  int64 // size of the log file, in bytes, at which a compaction starts
	// membersChanged is set when the membership has changed since the latest snapshot. An added member can't start
	// from a snapshot that does not list it, so startCompaction creates a new one.
	membersChanged bool
}

// newCore opens the member's folder, bootstraps an empty log, and restores the state machine.
func newCore(config Config) (*core, error) {
	d, stored, err := openDisk(config.Dir)
	if err != nil {
		return nil, err
	}
	c := &core{config: config, disk: d, memory: stored.memory, confState: &pb.ConfState{}, compactAt: config.CompactBytes}
	if stored.empty && len(config.InitialMembers) > 0 {
		if err := c.bootstrap(); err != nil {
			return nil, errors.Join(err, d.close())
		}
	}
	if err := c.restore(); err != nil {
		return nil, errors.Join(err, d.close())
	}
	c.raw, err = raft.NewRawNode(&raft.Config{
		ID:                        config.ID,
		ElectionTick:              config.ElectionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   c.memory,
		Applied:                   c.applied,
		MaxSizePerMsg:             maxMessageEntryBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    logger{config.Log},
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("starting a member: %w", err), d.close())
	}
	return c, nil
}

// bootstrapIndex is the index of the snapshot at the start of a new log.
const bootstrapIndex = 1

// bootstrap writes a new log for the initial members. All of them write an identical one.
func (c *core) bootstrap() error {
	index, term := uint64(bootstrapIndex), uint64(1)
	snapshot := &pb.Snapshot{
		Data:     c.config.InitialState,
		Metadata: &pb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &pb.ConfState{Voters: c.config.InitialMembers}},
	}
	state := &pb.HardState{Term: &term, Commit: &index}
	if err := c.disk.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := c.disk.replaceLog(index, state, nil); err != nil {
		return err
	}
	return errors.Join(c.memory.ApplySnapshot(snapshot), c.memory.SetHardState(state))
}

// restore loads the snapshot at the start of the log into the state machine.
func (c *core) restore() error {
	snapshot, err := c.memory.Snapshot()
	if err != nil {
		return fmt.Errorf("reading the snapshot: %w", err)
	}
	if raft.IsEmptySnap(snapshot) {
		return nil
	}
	c.confState = snapshot.GetMetadata().GetConfState()
	c.applied = snapshot.GetMetadata().GetIndex()
	if err := c.config.Machine.Restore(snapshot.GetData()); err != nil {
		return fmt.Errorf("%w: the snapshot: %w", ErrDamaged, err)
	}
	c.config.Machine.Applied()
	return nil
}

// receive processes a message from another member. It returns ErrRegressed if the commit index in a heartbeat exceeds
// the index of this member's last entry. An error stops the member.
func (c *core) receive(m *pb.Message) error {
	if m.GetTo() != c.config.ID || raft.IsLocalMsg(m.GetType()) {
		return nil
	}
	if m.GetType() == pb.MsgHeartbeat && m.GetTerm() >= c.raw.BasicStatus().GetTerm() {
		// The commit index in a heartbeat never exceeds the last entry that this member has acknowledged to the leader.
		last, err := c.memory.LastIndex()
		if err != nil {
			return err
		}
		if m.GetCommit() > last {
			return fmt.Errorf("%w: it ends at %d, and %d was acknowledged", ErrRegressed, last, m.GetCommit())
		}
	}
	if err := c.raw.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("a message of member %d: %w", m.GetFrom(), err)
	}
	return nil
}

// processReady handles pending raft.Ready values until none is left: it persists entries and hard state, passes
// messages to send, and applies committed entries. Entries, votes and terms are synced to disk before the
// messages that depend on them are sent and before entries are applied. An error stops the member.
func (c *core) processReady(send func([]*pb.Message)) error {
	applied := c.applied
	for c.raw.HasReady() {
		ready := c.raw.Ready()
		if err := c.persist(ready); err != nil {
			return err
		}
		send(ready.Messages)
		if err := c.apply(ready); err != nil {
			return err
		}
		c.raw.Advance(ready)
	}
	if c.applied != applied {
		c.config.Machine.Applied()
	}
	return nil
}

// persist stores the snapshot, entries and hard state of a raft.Ready on disk and in memory.
func (c *core) persist(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := c.persistSnapshot(ready.Snapshot, ready.HardState); err != nil {
			return err
		}
	}
	if err := c.disk.append(ready.HardState, ready.Entries, ready.MustSync); err != nil {
		return err
	}
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		if err := c.memory.SetHardState(ready.HardState); err != nil {
			return err
		}
	}
	return c.memory.Append(ready.Entries)
}

// persistSnapshot replaces the log with a snapshot received from the leader.
func (c *core) persistSnapshot(snapshot *pb.Snapshot, state *pb.HardState) error {
	if err := c.disk.writeSnapshot(snapshot); err != nil {
		return err
	}
	if state == nil {
		current, _, err := c.memory.InitialState()
		if err != nil {
			return err
		}
		state = current
	}
	if err := c.disk.replaceLog(snapshot.GetMetadata().GetIndex(), state, nil); err != nil {
		return err
	}
	return c.memory.ApplySnapshot(snapshot)
}

// apply passes a snapshot received from the leader, and committed entries, to the state machine.
func (c *core) apply(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := c.config.Machine.Restore(ready.Snapshot.GetData()); err != nil {
			return fmt.Errorf("%w: a snapshot of the leader: %w", ErrDamaged, err)
		}
		c.applied = ready.Snapshot.GetMetadata().GetIndex()
		c.confState = ready.Snapshot.GetMetadata().GetConfState()
	}
	for _, entry := range ready.CommittedEntries {
		if err := c.applyEntry(entry); err != nil {
			return err
		}
		c.applied = entry.GetIndex()
	}
	return nil
}

// applyEntry applies one entry. A membership change carries an entry for the state machine in its context.
func (c *core) applyEntry(entry *pb.Entry) error {
	switch entry.GetType() {
	case pb.EntryNormal:
		if len(entry.GetData()) > 0 { // a new leader appends an empty entry at the start of its term
			c.config.Machine.Apply(entry.GetIndex(), entry.GetData())
		}
	case pb.EntryConfChangeV2:
		change, err := readMemberChange(entry.GetData())
		if err != nil {
			return fmt.Errorf("%w: entry %d: %w", ErrDamaged, entry.GetIndex(), err)
		}
		c.confState = c.raw.ApplyConfChange(change)
		c.membersChanged = true
		c.config.Machine.Apply(entry.GetIndex(), change.GetContext())
	default:
		return fmt.Errorf("%w: entry %d is of type %v", ErrDamaged, entry.GetIndex(), entry.GetType())
	}
	return nil
}
