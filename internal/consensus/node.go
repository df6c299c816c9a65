package consensus

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// maxPendingRequests bounds the request queue of a member's goroutine.
const maxPendingRequests = 1024

// Sender sends messages to other members. Its methods do not block on the network.
type Sender interface {
	// Send queues a message, or drops it if it can't be sent.
	Send(m Message)
	// Close cancels requests in progress and waits until they have ended.
	Close()
}

// Message is an encoded message to another member.
type Message struct {
	To       uint64
	Snapshot bool // the message carries a snapshot and may be large
	Text     []byte
}

// Status is a member's view of the quorum.
type Status struct {
	ID      uint64 `json:"id"`
	Leader  uint64 `json:"leader"` // 0 if unknown
	Term    uint64 `json:"term"`
	Applied uint64 `json:"applied"`
	Commit  uint64 `json:"commit"`
	LogSize int64  `json:"log_size"` // size of the log file in bytes
	// Learner reports that the member receives the log but does not count toward a majority yet: see ProposeVoter.
	Learner bool   `json:"learner,omitempty"`
	Stopped string `json:"stopped,omitempty"` // reason why the member has stopped, empty while it runs
}

// Node is a running member. Its methods may be called from any goroutine.
type Node struct {
	core     *core
	sender   Sender
	requests chan func() error
	done     chan struct{} // closed when the member has stopped
	status   atomic.Pointer[Status]
}

// Open opens a member's folder and restores the state machine. The caller must then call Run.
func Open(config Config, sender Sender) (*Node, error) {
	if config.ID == 0 {
		return nil, errors.New("opening a member: Config.ID must not be 0")
	}
	c, err := newCore(config.withDefaults())
	if err != nil {
		return nil, err
	}
	n := &Node{core: c, sender: sender, requests: make(chan func() error, maxPendingRequests), done: make(chan struct{})}
	n.publish(nil)
	return n, nil
}

// Run participates in the quorum until the context ends, and then returns nil. It returns an error if the member can't
// continue, for example when its disk fails. Run closes the sender and the member's files before it returns.
func (n *Node) Run(ctx context.Context) (err error) {
	finished := make(chan *compaction, 1)
	defer func() {
		if caught := recover(); caught != nil {
			failure, fromLibrary := caught.(libraryPanic)
			if !fromLibrary {
				panic(caught)
			}
			err = fmt.Errorf("%w: %s", ErrStopped, failure.text)
		}
		err = errors.Join(err, n.stop(err, finished))
	}()
	ticker := time.NewTicker(n.core.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.core.raw.Tick()
		case request := <-n.requests:
			if err := request(); err != nil {
				return err
			}
		case k := <-finished:
			if err := n.core.finishCompaction(k); err != nil {
				return err
			}
		}
		if err := n.core.processReady(n.send); err != nil {
			return err
		}
		if k := n.core.startCompaction(); k != nil {
			go func() {
				k.run()
				finished <- k
			}()
		}
		n.publish(nil)
	}
}

// stop publishes the reason, closes the sender, waits for a compaction in progress and closes the log file. Run calls
// it once, when it returns.
func (n *Node) stop(reason error, finished <-chan *compaction) error {
	n.publish(reason)
	close(n.done)
	n.sender.Close()
	if n.core.compacting {
		<-finished
	}
	return n.core.disk.close()
}

// send encodes messages and passes them to the sender.
func (n *Node) send(messages []*pb.Message) {
	for _, m := range messages {
		text, err := proto.Marshal(m)
		if err != nil {
			n.core.config.Log.Error("quorum: message not encoded", "to", m.GetTo(), "err", err)
			continue
		}
		n.sender.Send(Message{To: m.GetTo(), Snapshot: m.GetType() == pb.MsgSnap, Text: text})
	}
}

// publish stores the member's status for readers in other goroutines. A non-nil stopped is the reason why it stopped.
func (n *Node) publish(stopped error) {
	basic := n.core.raw.BasicStatus()
	s := &Status{
		ID: n.core.config.ID, Leader: basic.Lead, Term: basic.GetTerm(), Applied: n.core.applied,
		Commit: basic.GetCommit(), LogSize: n.core.disk.size, Learner: slices.Contains(n.core.confState.GetLearners(), n.core.config.ID),
	}
	if stopped != nil {
		s.Stopped = stopped.Error()
	}
	n.status.Store(s)
}

// Status returns the latest published status.
func (n *Node) Status() Status { return *n.status.Load() }

// Done returns a channel that is closed when the member has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// enqueue queues a request for the member's goroutine and does not wait for it. It returns ErrStopped or ErrBusy if the
// request was not queued. An error of the request itself stops the member.
func (n *Node) enqueue(request func() error) error {
	select {
	case <-n.done:
		return ErrStopped
	default:
	}
	select {
	case n.requests <- request:
		return nil
	default:
		return ErrBusy
	}
}

// Propose proposes an entry and does not wait until it is committed. The entry may be committed at any later time,
// more than once, or never.
func (n *Node) Propose(data []byte) error {
	if len(data) > MaxEntryBytes {
		return fmt.Errorf("%w: %d bytes, %d at most", ErrTooLong, len(data), MaxEntryBytes)
	}
	return n.enqueue(func() error {
		n.logDropped(n.core.raw.Propose(data))
		return nil
	})
}

// ProposeLearner proposes to add a member that receives the log, with an entry for the state machine. The member does
// not count toward a majority until ProposeVoter, so a member that is not running yet can't block commits.
func (n *Node) ProposeLearner(id uint64, data []byte) error {
	return n.proposeChange(pb.ConfChangeAddLearnerNode, id, data)
}

// ProposeVoter proposes to count a member toward a majority, with an entry for the state machine.
func (n *Node) ProposeVoter(id uint64, data []byte) error {
	return n.proposeChange(pb.ConfChangeAddNode, id, data)
}

// ProposeRemove proposes to remove a member, with an entry for the state machine.
func (n *Node) ProposeRemove(id uint64, data []byte) error {
	return n.proposeChange(pb.ConfChangeRemoveNode, id, data)
}

func (n *Node) proposeChange(kind pb.ConfChangeType, id uint64, data []byte) error {
	change := &pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{{Type: &kind, NodeId: &id}}, Context: data}
	return n.enqueue(func() error {
		n.logDropped(n.core.raw.ProposeConfChange(change))
		return nil
	})
}

// readMemberChange decodes the data of a membership change entry.
func readMemberChange(data []byte) (*pb.ConfChangeV2, error) {
	change := &pb.ConfChangeV2{}
	return change, proto.Unmarshal(data, change)
}

// logDropped logs an error of a proposal. The raft library drops a proposal if there is no leader or too much is
// uncommitted.
func (n *Node) logDropped(err error) {
	if err != nil {
		n.core.config.Log.Debug("quorum: proposal dropped", "err", err)
	}
}

// Receive queues an encoded message from another member. It returns ErrStopped or ErrBusy if the message was not
// queued.
func (n *Node) Receive(text []byte) error {
	m := &pb.Message{}
	if err := proto.Unmarshal(text, m); err != nil {
		return fmt.Errorf("reading a message: %w", err)
	}
	return n.enqueue(func() error { return n.core.receive(m) })
}

// Unreachable reports to the raft library that a message was not delivered to a member. The report is lost if the
// request queue is full (ErrBusy).
func (n *Node) Unreachable(id uint64) {
	_ = n.enqueue(func() error { // not needed after ErrStopped
		n.core.raw.ReportUnreachable(id)
		return nil
	})
}

// SnapshotSent reports to the raft library whether a snapshot was delivered to a member. The report is lost if the
// request queue is full (ErrBusy).
func (n *Node) SnapshotSent(id uint64, delivered bool) {
	status := raft.SnapshotFinish
	if !delivered {
		status = raft.SnapshotFailure
	}
	_ = n.enqueue(func() error { // not needed after ErrStopped
		n.core.raw.ReportSnapshot(id, status)
		return nil
	})
}
