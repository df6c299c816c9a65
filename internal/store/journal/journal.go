// Package journal implements a store of record for a platform that gives each node one small folder: checksummed records in
// segments, bounded in bytes on disk at every moment.
//
// What a call has written when it returns survives a crash of the process, but not one of the machine: nothing is synced. A
// final response is retained after the client was notified for as long as the message's own record is in the folder: the
// oldest segment is compacted first, when capacity is needed.
//
// # Concurrency
//
// A [Journal] is safe for concurrent use; its mutex guards all of its state, and the folder. An [Inspector] reads the folder
// without a lock, also while a node writes to it.
//
// Start reading at [Journal]. segment.go writes and compacts the segments, record.go has the form of the records, and
// replay.go reads them when the node starts.
package journal

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sort"
	"sync"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

const (
	// MinDisk is the least MaxBytes, in bytes, in which a journal of messages with the longest bodies can be compacted.
	MinDisk = 512 << 10
	// messageOverheadBytes is the capacity reserved for each message beyond its own bytes: for the records of its attempts,
	// their outcomes and its response, and for its state when it is copied.
	messageOverheadBytes = 512
	// blockBytes is the unit in which the platform counts files.
	blockBytes = 512
	// segmentsInLimit is the share of one segment: one in so many of MaxBytes, and one message at least.
	segmentsInLimit = 24
	// segmentOverheadBytes is the least capacity of a segment beyond one body.
	segmentOverheadBytes = 4 << 10
	// spareSegments can't be used for messages: one has records that do not count any more, one is the next segment, and one
	// has copies that exist together with the originals while a segment is compacted.
	spareSegments = 3
)

// Journal is a store of record in the segments of one folder. The oldest segment is compacted first, by copying its pending
// messages to the newest: so a message's record is never removed after that of its response.
type Journal struct {
	dir             string
	maxBytes        int64 // in the folder
	maxSegmentBytes int64
	notifyDelivered bool // clients are notified of deliveries too
	log             *slog.Logger

	mu            sync.Mutex // guards all below
	file          *os.File   // the newest segment
	segments      []segment  // oldest first
	buf           []byte     // of write
	nextSeq       policy.MessageID
	pending       map[policy.MessageID]*message.Message
	pendingByID   map[string]*message.Message
	segmentOf     map[policy.MessageID]uint64 // the segment with the last recordAccepted of each pending message
	reservedBytes int64                       // for the pending messages: see reservedFor
	completed     map[string]completedMessage // by id
	// unwrittenOutcomes has the record of the last outcome of each pending message for which it could not be written.
	unwrittenOutcomes map[policy.MessageID][]byte

	// Set by the replay, for Open and the Inspector.
	latestTime     time.Time                        // on record
	endpointHealth map[string]*store.EndpointHealth // of earlier processes
	faults         []string                         // what could not be read
	tornTails      int                              // segments whose end a crash has cut off
}

// completedMessage is a message that is not pending any more.
type completedMessage struct {
	response message.FinalResponse
	segment  uint64 // with the message's record: without it a restarted process does not know the id
}

// Config configures a journal.
type Config struct {
	Dir      string // an existing folder
	MaxBytes int64  // bound of the folder's bytes on disk, at least MinDisk
	// NotifyDelivered is set if clients are notified of deliveries as of other final responses.
	NotifyDelivered bool
	// Names are those that the node uses. If there are none, no names are persisted, and the caller ensures that numbers
	// keep their meaning.
	Names store.Names
}

// Open replays the journal of a folder, and begins a new segment. It returns an error if the folder can't be read or
// written; records that can't be read are logged and skipped.
func Open(c Config, log *slog.Logger) (*Journal, store.Recovered, error) {
	j := newJournal(c, log)
	if err := j.replayAll(); err != nil {
		return nil, store.Recovered{}, err
	}
	names, err := j.loadNames(c.Names)
	if err != nil {
		return nil, store.Recovered{}, err
	}
	// Always a new segment: nothing is written after a torn tail.
	if err := j.roll(); err != nil {
		return nil, store.Recovered{}, err
	}
	unfinished := make([]*message.Message, 0, len(j.pending))
	for _, m := range j.pending {
		m.History.RecordInterruption()
		unfinished = append(unfinished, m)
		j.pendingByID[m.ID] = m
		j.reservedBytes += reservedFor(m)
	}
	sort.Slice(unfinished, func(a, b int) bool { return unfinished[a].Seq < unfinished[b].Seq })
	r := store.Recovered{Pending: unfinished, EndpointHealth: j.endpointHealth, Names: names}
	r.Rebase(j.latestTime, time.Now())
	j.endpointHealth = nil // owned by the caller now
	return j, r, nil
}

// reservedFor returns the bytes that a message may need until it is closed.
func reservedFor(m *message.Message) int64 {
	return int64(len(m.Body)+len(m.ID)+len(m.Key)) + messageOverheadBytes
}

// Find implements [store.Finder].
func (j *Journal) Find(_ context.Context, id string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.findLocked(id)
}

// findLocked is [Journal.Find] with the lock held.
func (j *Journal) findLocked(id string) error {
	if known := j.pendingByID[id]; known != nil {
		return &store.DuplicateError{Response: known.FinalResponse}
	}
	if a, ok := j.completed[id]; ok {
		return &store.DuplicateError{Response: &a.response}
	}
	return nil
}

// Accept implements [store.Store].
func (j *Journal) Accept(_ context.Context, m *message.Message) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.findLocked(m.ID); err != nil {
		return err
	}
	if j.reservedBytes+reservedFor(m) > j.maxBytes-spareSegments*j.maxSegmentBytes {
		return store.ErrFull
	}
	m.Seq = j.nextSeq
	if err := j.append(acceptedRecord(m), m); err != nil {
		return err
	}
	j.nextSeq++
	j.pending[m.Seq], j.pendingByID[m.ID] = m, m
	j.reservedBytes += reservedFor(m)
	return nil
}

// RecordAttempt implements [store.Store]. It checks the key window again: the key may have expired while the connection was
// established.
func (j *Journal) RecordAttempt(_ context.Context, a store.Attempt) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, m := range a.Messages {
		if j.pending[m.Seq] == nil || m.FinalResponse != nil {
			return fmt.Errorf("message %s: %w", m.ID, store.ErrCompleted)
		}
		if m.History.KeyExpired(m.KeyWindow, a.At) {
			return fmt.Errorf("message %s: %w", m.ID, store.ErrKeyExpired)
		}
	}
	if err := j.writeMissingOutcomes(a.Messages); err != nil {
		return err
	}
	for _, m := range a.Messages {
		b := record(recordAttempt, m.Seq)
		b = appendBytes(b, []byte(a.Endpoint))
		b = binary.AppendUvarint(b, uint64(a.Zone))
		b = appendTime(b, a.At)
		if err := j.append(b, nil); err != nil {
			return fmt.Errorf("message %s: %w", m.ID, err)
		}
		m.History.RecordAttempt(a.Zone, a.At)
	}
	return nil
}

// RecordOutcome implements [store.Store].
func (j *Journal) RecordOutcome(_ context.Context, o store.Outcome) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	m := o.Message
	if j.pending[m.Seq] == nil {
		return nil
	}
	switch {
	case o.Outcome == policy.Delivered && !j.notifyDelivered:
		return j.closeMessage(m, o.Endpoint, o.At)
	case o.CompletesUndelivered && o.Outcome != policy.Delivered:
		return j.closeMessage(m, "", o.At)
	}
	if m.FinalResponse != nil {
		return nil
	}
	b := appendBytes(append(record(recordOutcome, outcomeSeq(o)), byte(o.Outcome)), []byte(o.Endpoint))
	b = appendTime(b, o.At)
	m.History.RecordOutcome(o.Outcome)
	if o.Outcome == policy.Delivered {
		m.FinalResponse = &message.FinalResponse{Kind: message.Delivered} // the record of the outcome implies it
	}
	err := j.append(b, nil)
	if err != nil {
		j.unwrittenOutcomes[m.Seq] = b
	}
	return err
}

// outcomeSeq returns the number of the message for the record of an outcome. It is noMessage if the call failed before its
// attempt was recorded: a replay must not take the outcome for that of an earlier attempt, which an earlier process left
// outstanding.
func outcomeSeq(o store.Outcome) policy.MessageID {
	if !o.Message.History.Outstanding && message.ProvesNotRun(o.Outcome) {
		return noMessage
	}
	return o.Message.Seq
}

// writeMissingOutcomes writes the outcomes of earlier attempts of messages that could not be written before. Without them a
// replay would mistake an attempt that did not run for the one that may have run.
func (j *Journal) writeMissingOutcomes(ms []*message.Message) error {
	for _, m := range ms {
		b, missing := j.unwrittenOutcomes[m.Seq]
		if !missing {
			continue
		}
		if err := j.append(b, nil); err != nil {
			return fmt.Errorf("message %s: outcome of the attempt before: %w", m.ID, err)
		}
		delete(j.unwrittenOutcomes, m.Seq)
	}
	return nil
}

// Complete implements [store.Store].
func (j *Journal) Complete(_ context.Context, completions ...store.Completion) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all error
	for _, c := range completions {
		m := c.Message
		if j.pending[m.Seq] == nil || m.FinalResponse != nil {
			continue
		}
		m.FinalResponse = &c.Response
		if err := j.append(appendResponse(record(recordResponse, m.Seq), m.FinalResponse), nil); err != nil {
			all = errors.Join(all, fmt.Errorf("message %s: %w", m.ID, err))
		}
	}
	return all
}

// MarkNotified implements [store.Store].
func (j *Journal) MarkNotified(_ context.Context, ms ...*message.Message) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all error
	for _, m := range ms {
		if j.pending[m.Seq] == nil {
			continue
		}
		if err := j.closeMessage(m, "", time.Now()); err != nil {
			all = errors.Join(all, fmt.Errorf("message %s: %w", m.ID, err))
		}
	}
	return all
}

// closeMessage records that a message is not pending any more. The endpoint is the one that accepted it, or empty if it was
// not delivered.
func (j *Journal) closeMessage(m *message.Message, endpoint string, at time.Time) error {
	j.reservedBytes -= reservedFor(m)
	delete(j.pendingByID, m.ID)
	j.retainResponse(m, endpoint)
	b := appendBytes(record(recordClosed, m.Seq), []byte(endpoint))
	return j.append(appendTime(b, at), nil)
}

// retainResponse removes a message that is not pending any more, and retains its final response.
func (j *Journal) retainResponse(m *message.Message, endpoint string) {
	a := completedMessage{segment: j.segmentOf[m.Seq]}
	switch {
	case m.FinalResponse != nil:
		a.response = *m.FinalResponse
	case endpoint != "":
		a.response.Kind = message.Delivered
	}
	j.completed[m.ID] = a
	delete(j.pending, m.Seq)
	delete(j.segmentOf, m.Seq)
	delete(j.unwrittenOutcomes, m.Seq)
}

// Close implements [store.Store].
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.file.Close()
}

// newJournal returns a journal that has replayed nothing yet.
func newJournal(c Config, log *slog.Logger) *Journal {
	return &Journal{
		dir: c.Dir, maxBytes: c.MaxBytes, notifyDelivered: c.NotifyDelivered, log: log, nextSeq: 1, maxSegmentBytes: max(c.MaxBytes/segmentsInLimit, message.MaxBodyLength+segmentOverheadBytes),
		pending: map[policy.MessageID]*message.Message{}, pendingByID: map[string]*message.Message{}, completed: map[string]completedMessage{},
		segmentOf: map[policy.MessageID]uint64{}, unwrittenOutcomes: map[policy.MessageID][]byte{}, endpointHealth: map[string]*store.EndpointHealth{},
	}
}
