package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// compaction is a snapshot in progress that will replace the log up to and including index.
type compaction struct {
	index     uint64
	confState *pb.ConfState
	encode    func() ([]byte, error)
	data      []byte
	err       error
}

// startCompaction returns a compaction for the caller to run, or nil if none is due. A compaction is due when the log
// file has reached compactAt or the membership has changed, and no other compaction is in progress.
func (c *core) startCompaction() *compaction {
	if c.compacting || c.disk.size < c.compactAt && !c.membersChanged {
		return nil
	}
	snapshot, err := c.memory.Snapshot()
	if err != nil || snapshot.GetMetadata().GetIndex() >= c.applied {
		return nil
	}
	c.compacting, c.membersChanged = true, false
	return &compaction{index: c.applied, confState: c.confState, encode: c.config.Machine.Snapshot()}
}

// run encodes the captured state. Node calls it outside the member's goroutine.
func (k *compaction) run() { k.data, k.err = k.encode() }

// finishCompaction writes the snapshot of a compaction that has run, and replaces the log with the entries after its
// index.
func (c *core) finishCompaction(k *compaction) error {
	c.compacting = false
	if k.err != nil {
		return fmt.Errorf("taking a snapshot: %w", k.err)
	}
	snapshot, err := c.memory.CreateSnapshot(k.index, k.confState, k.data)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil // a newer snapshot from the leader was stored in the meantime
	}
	if err != nil {
		return fmt.Errorf("taking a snapshot: %w", err)
	}
	if err := c.disk.writeSnapshot(snapshot); err != nil {
		return err
	}
	state, _, err := c.memory.InitialState()
	if err != nil {
		return err
	}
	entries, err := c.entriesAfter(k.index)
	if err != nil {
		return err
	}
	if err := c.disk.replaceLog(k.index, state, entries); err != nil {
		return err
	}
	c.compactAt = c.disk.size + max(c.config.CompactBytes, int64(len(k.data)))
	return c.trimMemory(k.index)
}

// entriesAfter returns the entries after index.
func (c *core) entriesAfter(index uint64) ([]*pb.Entry, error) {
	last, err := c.memory.LastIndex()
	if err != nil || last <= index {
		return nil, err
	}
	return c.memory.Entries(index+1, last+1, raftNoLimit)
}

// raftNoLimit disables the size limit when entries are read from raft.MemoryStorage.
const raftNoLimit = ^uint64(0)

// trimMemory drops entries up to and including index from memory, except for the latest retainedLogBytes of them.
func (c *core) trimMemory(index uint64) error {
	first, err := c.memory.FirstIndex()
	if err != nil || first > index {
		return err
	}
	entries, err := c.memory.Entries(first, index+1, raftNoLimit)
	if err != nil {
		return err
	}
	retained := 0
	for at := len(entries) - 1; at >= 0; at-- {
		if retained += len(entries[at].GetData()); retained > retainedLogBytes {
			return c.memory.Compact(entries[at].GetIndex())
		}
	}
	return nil
}
