// Package consensus replicates a log among the members of a quorum with go.etcd.io/raft/v3. The raft library
// implements the protocol. This package stores the log and its snapshots on disk, sends messages between members over
// HTTP, and orders disk writes, network sends and calls of the state machine.
//
// A [Node] is one member. Only the goroutine of [Node.Run] accesses its state; other goroutines queue requests for it.
// Only that goroutine calls the [StateMachine], except for the encoding of a snapshot. Entries and votes are synced to
// disk before a message that depends on them is sent.
//
// A member stops if its disk fails, or if its folder lacks entries that it has acknowledged to other members.
// [Node.Run] then returns the reason, and the member stays stopped until it is started again.
//
// Start reading at [Node.Run], then core.processReady.
package consensus

import (
	"errors"
	"log/slog"
	"time"
)

// StateMachine applies the entries of the log. Its methods are called by one goroutine.
type StateMachine interface {
	// Apply applies one entry. All members call it with the same entries in the same order.
	Apply(index uint64, data []byte)
	// Applied is called after a batch of entries, before the next batch.
	Applied()
	// Snapshot captures the current state and returns a function that encodes it. Another goroutine calls that
	// function while further entries are applied.
	Snapshot() func() ([]byte, error)
	// Restore replaces the state with the state encoded in a snapshot.
	Restore(data []byte) error
}

// Config configures a member. ID, Dir and Machine are required. Tick, ElectionTicks, CompactBytes and Log have
// defaults; a nil Log discards all log lines.
type Config struct {
	ID  uint64 // id of this member, not 0
	Dir string // folder of the log and its snapshots; no other member may use it
	// InitialMembers lists the voters of a new log, and InitialState is the encoded state that it begins with. Both are
	// ignored if the folder already has a log. A member without a log and without initial members waits until the
	// other members add it.
	InitialMembers []uint64
	InitialState   []byte
	Machine        StateMachine
	// Tick is the unit of the member's timers; 0 or less means DefaultTick. A follower that receives nothing from a
	// leader for ElectionTicks starts an election. ElectionTicks of heartbeatTicks (3) or less means
	// DefaultElectionTicks (15).
	Tick          time.Duration
	ElectionTicks int
	// CompactBytes is the size of the log file at which a snapshot replaces it; 0 or less means DefaultCompactBytes.
	CompactBytes int64
	Log          *slog.Logger
}

// Defaults of a Config.
const (
	DefaultTick          = 100 * time.Millisecond
	DefaultElectionTicks = 15
	DefaultCompactBytes  = 16 << 20
)

// Limits and timing of the raft protocol.
const (
	// MaxEntryBytes is the maximum size of an entry.
	MaxEntryBytes = 1 << 20
	// heartbeatTicks is the leader's heartbeat interval in ticks.
	heartbeatTicks = 3
	// maxMessageEntryBytes bounds the total size of the entries in one message.
	maxMessageEntryBytes = 1 << 20
	// maxInflightMessages bounds the unacknowledged append messages to one member.
	maxInflightMessages = 64
	// maxUncommittedBytes bounds the total size of uncommitted entries at the leader.
	maxUncommittedBytes = 64 << 20
	// retainedLogBytes bounds the compacted entries that stay in memory. They are sent to members that lag slightly
	// and would need a snapshot otherwise.
	retainedLogBytes = 4 << 20
)

// Errors of a member.
var (
	// ErrRegressed reports that the folder lacks entries that this member has acknowledged, for example because it
	// was restored from a backup.
	ErrRegressed = errors.New("the folder is older than what this member has told the others: take the member out, and add it under a new id")
	// ErrDamaged reports an unreadable log or snapshot.
	ErrDamaged = errors.New("the log is damaged")
	// ErrStopped reports that the member no longer runs.
	ErrStopped = errors.New("this member takes no part in the quorum")
	// ErrBusy reports that the member's request queue is full.
	ErrBusy = errors.New("too much waits for the quorum")
	// ErrTooLong reports an entry of more than MaxEntryBytes.
	ErrTooLong = errors.New("the entry is too long")
)

func (c Config) withDefaults() Config {
	if c.Tick <= 0 {
		c.Tick = DefaultTick
	}
	if c.ElectionTicks <= heartbeatTicks {
		c.ElectionTicks = DefaultElectionTicks
	}
	if c.CompactBytes <= 0 {
		c.CompactBytes = DefaultCompactBytes
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}
