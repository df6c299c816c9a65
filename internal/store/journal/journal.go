// Package journal is the store of record of a platform that gives each node one small
// folder: checksummed records in segments, bounded in bytes on disk at every moment.
//
// What a call has written when it returns outlasts the process, also one that is killed,
// but not the machine: nothing is synced. An answer that has been told is known for as long
// as the message's own record lies in the folder: the oldest segment is cleaned first, when
// room is needed.
package journal

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"wingmount/internal/fail"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

const (
	// MinDisk is the least room in which a journal of full bodies can be cleaned.
	MinDisk = 512 << 10
	// recordHead is the length and the checksum before each record.
	recordHead = 8
	// ownShare is room counted for each message beyond what is written of it: its
	// attempts, their outcomes, its end, and its state when it is moved on.
	ownShare = 512
	// block is the unit in which the platform counts files.
	block = 512
)

// Kinds of record.
const (
	recTaken   = 1 // a message with all that lies behind it; replaces what came before
	recAttempt = 2 // written before the first byte of an attempt
	recOutcome = 3 // how the last attempt ended
	recEnded   = 4 // ended undelivered; the notice is owed
	recClosed  = 5 // nothing is owed any more; delivered where it names an endpoint
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Where a crash matters: between all changes to the folder.
var (
	atWrite = fail.New("store/journal/before-write")
	atDone  = fail.New("store/journal/after-write")
	atRoll  = fail.New("store/journal/after-roll")
	atClean = fail.New("store/journal/before-remove")
)

func (j *Journal) remember(endpoint string) *store.Memory {
	if j.memories[endpoint] == nil {
		j.memories[endpoint] = &store.Memory{}
	}
	return j.memories[endpoint]
}

// segment is one file of the journal.
type segment struct {
	number uint64
	size   int64
}

// Journal keeps what outlasts the process: records in segments of one folder.
// The oldest segment is cleaned first, by writing what still counts of it to the
// newest: so an end never goes before the message that it ends. It is safe for
// concurrent use.
type Journal struct {
	dir     string
	limit   int64 // bytes in the folder at most
	tell    bool  // deliveries are owed until they are told
	segSize int64
	log     *slog.Logger

	mu       sync.Mutex
	file     *os.File // the newest segment
	segments []segment
	live     map[policy.MessageID]*message.Message
	ids      map[string]*message.Message // live, by id
	answers  map[string]answer           // told, by id
	latest   time.Time                   // the latest time on record, until Open returns
	home     map[policy.MessageID]uint64 // the segment with the last recTaken of each
	liveSize int64
	next     policy.MessageID
	memories map[string]*store.Memory // of the lives before this one, until Open returns
	faults   []string                 // what could not be read
	torn     int                      // tails that a crash has cut off
	buf      []byte
}

func segmentPath(dir string, n uint64) string {
	return filepath.Join(dir, fmt.Sprintf("journal-%016d", n))
}

func onDisk(n int64) int64 { return (n + block - 1) / block * block }

// answer is the answer of a message that has been told, and the segment that holds the
// message's record: without it the next life would not know the id.
type answer struct {
	end     message.End
	segment uint64
}

// Config is what a journal is told.
type Config struct {
	Dir      string // the folder, which is there
	MaxBytes int64  // in the folder at most: MinDisk at least
	// TellDelivered says that deliveries are told like other answers.
	TellDelivered bool
	// Names are those that the node uses. Without any none are kept: then it is others who see
	// to it that numbers keep their meaning.
	Names store.Names
}

// Open replays the journal in a folder.
func Open(c Config, log *slog.Logger) (*Journal, store.Recovered, error) {
	j := newJournal(c, log)
	if err := j.replayAll(); err != nil {
		return nil, store.Recovered{}, err
	}
	names, err := j.names(c.Names)
	if err != nil {
		return nil, store.Recovered{}, err
	}
	// Always a new segment: nothing is ever written behind a torn tail.
	if err := j.roll(); err != nil {
		return nil, store.Recovered{}, err
	}
	owed := make([]*message.Message, 0, len(j.live))
	for _, m := range j.live {
		m.Past.Interrupt()
		owed = append(owed, m)
		j.ids[m.ID] = m
		j.liveSize += cost(m)
	}
	sort.Slice(owed, func(a, b int) bool { return owed[a].Seq < owed[b].Seq })
	r := store.Recovered{Owed: owed, Memories: j.memories, Names: names}
	r.Rebase(j.latest, time.Now())
	j.memories = nil // the node's from here on
	return j, r, nil
}

// replay takes in one segment up to its end or its torn tail.
func (j *Journal) replay(n uint64, data []byte) {
	j.segments = append(j.segments, segment{number: n, size: int64(len(data))})
	for at := 0; at < len(data); {
		rest := data[at:]
		if len(rest) < recordHead {
			j.torn++
			j.log.Warn("journal: torn tail", "segment", n, "at", at)
			return
		}
		size := int64(binary.LittleEndian.Uint32(rest))
		if size > int64(len(rest)-recordHead) {
			j.torn++
			j.log.Warn("journal: torn tail", "segment", n, "at", at)
			return
		}
		payload := rest[recordHead : recordHead+size]
		if crc32.Checksum(payload, crcTable) != binary.LittleEndian.Uint32(rest[4:]) {
			j.faults = append(j.faults, fmt.Sprintf("segment %d, byte %d: bad checksum, the rest of the segment is passed over", n, at))
			j.log.Warn("journal: bad checksum, the rest of the segment is passed over", "segment", n, "at", at)
			return
		}
		if err := j.apply(n, payload); err != nil {
			j.faults = append(j.faults, fmt.Sprintf("segment %d, byte %d: an unreadable record: %v", n, at, err))
			j.log.Warn("journal: unreadable record", "segment", n, "at", at, "err", err)
		}
		at += recordHead + int(size)
	}
}

// apply takes one record into the state.
func (j *Journal) apply(segment uint64, payload []byte) error {
	r := reader{b: payload}
	kind, seq := r.u8(), policy.MessageID(r.uvarint())
	j.next = max(j.next, seq+1)
	m := j.live[seq]
	switch kind {
	case recTaken:
		m = &message.Message{Seq: seq}
		m.ID, m.Key = string(r.bytes()), string(r.bytes())
		m.Class, m.Dest = int(r.uvarint()), int(r.uvarint())
		m.Deadline = time.UnixMicro(int64(r.uvarint()))
		m.Past.Attempts, m.Past.RanZone = int(r.uvarint()), int(r.uvarint())
		flags := r.u8()
		m.Past.SetFlags(int64(flags))
		if at := r.uvarint(); m.Past.MayRun {
			m.Past.RanAt = time.UnixMicro(int64(at))
		}
		if flags&8 != 0 {
			m.End = r.end()
		}
		m.Body = append([]byte(nil), r.bytes()...)
		if r.bad {
			return io.ErrUnexpectedEOF
		}
		j.live[seq], j.home[seq] = m, segment
	case recAttempt:
		name, zone, at := string(r.bytes()), int(r.uvarint()), time.UnixMicro(int64(r.uvarint()))
		if r.bad {
			break
		}
		j.seen(at)
		if e := j.remember(name); len(e.Sent) == 0 || !e.Sent[len(e.Sent)-1].Equal(at) {
			e.Sent = append(e.Sent, at)
		}
		if m != nil {
			m.Past.Attempt(zone, at)
		}
	case recOutcome:
		outcome, name, at := policy.Outcome(r.u8()), string(r.bytes()), time.UnixMicro(int64(r.uvarint()))
		if r.bad {
			break
		}
		j.seen(at)
		if m != nil {
			m.Past.Outcome(outcome)
			if outcome == policy.Delivered { // where deliveries are told
				m.End = &message.End{Kind: message.Delivered}
			}
		}
		if e := j.memories[name]; outcome == policy.Delivered && e != nil && e.BackAt.IsZero() {
			e.BackAt = at
		}
		switch outcome {
		case policy.Failed, policy.TimedOut, policy.Unreachable, policy.Reset:
			e := j.remember(name)
			e.FailedAt, e.BackAt = at, time.Time{}
		}
	case recEnded:
		if e := r.end(); m != nil && !r.bad && m.End == nil {
			m.End = e
		}
	case recClosed:
		name, at := string(r.bytes()), time.UnixMicro(int64(r.uvarint()))
		if !r.bad {
			j.seen(at)
			if e := j.remember(name); name != "" && e.BackAt.IsZero() {
				e.BackAt = at
			}
		}
		if m != nil {
			j.forget(m, name)
		}
	default:
		return fmt.Errorf("unknown kind %d", kind)
	}
	if r.bad {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// seen keeps the latest time on record.
func (j *Journal) seen(at time.Time) {
	if at.After(j.latest) {
		j.latest = at
	}
}

// cost is the room that a message may take up until nothing is owed for it.
func cost(m *message.Message) int64 { return int64(len(m.Body)+len(m.ID)+len(m.Key)) + ownShare }

// Find implements [store.Finder].
func (j *Journal) Find(_ context.Context, id string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.find(id)
}

// find is [Journal.Find] with the lock held.
func (j *Journal) find(id string) error {
	if known := j.ids[id]; known != nil {
		return &store.KnownError{End: known.End}
	}
	if told, ok := j.answers[id]; ok {
		return &store.KnownError{End: &told.end}
	}
	return nil
}

// Take implements [store.Store].
func (j *Journal) Take(_ context.Context, m *message.Message) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.find(m.ID); err != nil {
		return err
	}
	// Three segments are left: for records that no longer count, for the next one,
	// and for a copy made while old and new lie there together.
	if j.liveSize+cost(m) > j.limit-3*j.segSize {
		return store.ErrFull
	}
	m.Seq = j.next
	if err := j.append(takenRecord(m), m); err != nil {
		return err
	}
	j.next++
	j.live[m.Seq], j.ids[m.ID] = m, m
	j.liveSize += cost(m)
	return nil
}

// Attempt implements [store.Store]. The module counts the key's window when it decides;
// making the connection may have taken until after it.
func (j *Journal) Attempt(_ context.Context, a store.Attempt) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, m := range a.Messages {
		if j.live[m.Seq] == nil || m.End != nil {
			return fmt.Errorf("message %s: %w", m.ID, store.ErrOver)
		}
		if m.Past.Forgotten(m.Window, a.At) {
			return fmt.Errorf("message %s: %w", m.ID, store.ErrForgotten)
		}
	}
	for _, m := range a.Messages {
		b := record(recAttempt, m.Seq)
		b = appendBytes(b, []byte(a.Endpoint))
		b = binary.AppendUvarint(b, uint64(a.Zone))
		b = binary.AppendUvarint(b, uint64(a.At.UnixMicro()))
		if err := j.append(b, nil); err != nil {
			return fmt.Errorf("message %s: %w", m.ID, err)
		}
		m.Past.Attempt(a.Zone, a.At)
	}
	return nil
}

// Outcome implements [store.Store].
func (j *Journal) Outcome(_ context.Context, o store.Outcome) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	m := o.Message
	if j.live[m.Seq] == nil {
		return nil
	}
	switch {
	case o.Outcome == policy.Delivered && !j.tell:
		return j.closed(m, o.Endpoint, o.At)
	case o.Over && o.Outcome != policy.Delivered:
		return j.closed(m, "", o.At)
	}
	if m.End != nil {
		return nil
	}
	m.Past.Outcome(o.Outcome)
	if o.Outcome == policy.Delivered {
		m.End = &message.End{Kind: message.Delivered} // one record says both
	}
	b := appendBytes(append(record(recOutcome, m.Seq), byte(o.Outcome)), []byte(o.Endpoint))
	return j.append(binary.AppendUvarint(b, uint64(o.At.UnixMicro())), nil)
}

// End implements [store.Store].
func (j *Journal) End(_ context.Context, ends ...store.Ending) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all error
	for _, e := range ends {
		m := e.Message
		if j.live[m.Seq] == nil || m.End != nil {
			continue
		}
		m.End = &e.End
		if err := j.append(appendEnd(record(recEnded, m.Seq), m.End), nil); err != nil {
			all = errors.Join(all, fmt.Errorf("message %s: %w", m.ID, err))
		}
	}
	return all
}

// Told implements [store.Store].
func (j *Journal) Told(_ context.Context, ms ...*message.Message) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all error
	for _, m := range ms {
		if j.live[m.Seq] == nil {
			continue
		}
		if err := j.closed(m, "", time.Now()); err != nil {
			all = errors.Join(all, fmt.Errorf("message %s: %w", m.ID, err))
		}
	}
	return all
}

// closed writes that nothing is owed for a message any more. It names the endpoint that
// took it, if one did.
func (j *Journal) closed(m *message.Message, endpoint string, at time.Time) error {
	j.liveSize -= cost(m)
	delete(j.ids, m.ID)
	j.forget(m, endpoint)
	b := appendBytes(record(recClosed, m.Seq), []byte(endpoint))
	return j.append(binary.AppendUvarint(b, uint64(at.UnixMicro())), nil)
}

// forget lets go of a message whose answer has been told, and keeps the answer.
func (j *Journal) forget(m *message.Message, endpoint string) {
	a := answer{segment: j.home[m.Seq]}
	switch {
	case m.End != nil:
		a.end = *m.End
	case endpoint != "":
		a.end.Kind = message.Delivered
	}
	j.answers[m.ID] = a
	delete(j.live, m.Seq)
	delete(j.home, m.Seq)
}

// Close implements [store.Store].
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.file.Close()
}

// append writes one record, after making room for it. Taken is the message that
// the record holds whole, if it does.
func (j *Journal) append(payload []byte, taken *message.Message) error {
	size := int64(len(payload) + recordHead)
	if err := j.makeRoom(size); err != nil {
		return err
	}
	return j.write(payload, taken)
}

func (j *Journal) write(payload []byte, taken *message.Message) error {
	size := int64(len(payload) + recordHead)
	if last := &j.segments[len(j.segments)-1]; last.size > 0 && last.size+size > j.segSize {
		if err := j.roll(); err != nil {
			return err
		}
	}
	last := &j.segments[len(j.segments)-1]
	j.buf = binary.LittleEndian.AppendUint32(j.buf[:0], uint32(len(payload)))
	j.buf = binary.LittleEndian.AppendUint32(j.buf, crc32.Checksum(payload, crcTable))
	j.buf = append(j.buf, payload...)
	if err := atWrite.At(); err != nil {
		return fmt.Errorf("writing the journal: %w", err)
	}
	if n, err := j.file.Write(j.buf); err != nil {
		// Part of a record may lie there now. It must not hide what comes after.
		last.size += int64(n)
		if n > 0 {
			if t := j.file.Truncate(last.size - int64(n)); t == nil {
				last.size -= int64(n)
			} else if r := j.roll(); r != nil {
				err = errors.Join(err, r)
			}
		}
		return fmt.Errorf("writing the journal: %w", err)
	}
	last.size += size
	if taken != nil {
		j.home[taken.Seq] = last.number
	}
	_ = atDone.At() // it is written, whatever an error says
	return nil
}

// roll starts a new segment.
func (j *Journal) roll() error {
	n := uint64(1)
	if len(j.segments) > 0 {
		n = j.segments[len(j.segments)-1].number + 1
	}
	f, err := os.OpenFile(segmentPath(j.dir, n), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("starting a segment of the journal: %w", err)
	}
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			j.log.Warn("journal: closing a segment", "err", err)
		}
	}
	j.file = f
	j.segments = append(j.segments, segment{number: n})
	_ = atRoll.At() // it has begun
	return nil
}

func (j *Journal) diskSize() int64 {
	sum := int64(0)
	for _, s := range j.segments {
		sum += onDisk(s.size)
	}
	return sum
}

// makeRoom cleans the oldest segments until a record fits, with a segment's room
// to spare: a cleaned segment and its copy lie there together for a moment.
func (j *Journal) makeRoom(size int64) error {
	for tries := 2 * len(j.segments); j.diskSize()+size+j.segSize+2*block > j.limit; tries-- {
		if tries <= 0 || len(j.segments) < 2 {
			return store.ErrFull
		}
		if err := j.clean(); err != nil {
			return err
		}
	}
	return nil
}

// clean moves what still counts of the oldest segment on, and removes it.
func (j *Journal) clean() error {
	oldest := j.segments[0]
	var move []*message.Message
	for seq, n := range j.home {
		if n == oldest.number {
			move = append(move, j.live[seq])
		}
	}
	sort.Slice(move, func(a, b int) bool { return move[a].Seq < move[b].Seq })
	for _, m := range move {
		if err := j.write(takenRecord(m), m); err != nil {
			return err
		}
	}
	if err := atClean.At(); err != nil {
		return fmt.Errorf("cleaning the journal: %w", err)
	}
	if err := os.Remove(segmentPath(j.dir, oldest.number)); err != nil {
		return fmt.Errorf("cleaning the journal: %w", err)
	}
	j.segments = j.segments[1:]
	for id, a := range j.answers {
		if a.segment <= oldest.number {
			delete(j.answers, id)
		}
	}
	return nil
}

func record(kind byte, seq policy.MessageID) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(seq))
}

func appendBytes(b, data []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(data))), data...)
}

// takenRecord holds a message with all that lies behind it.
func takenRecord(m *message.Message) []byte {
	b := record(recTaken, m.Seq)
	b = appendBytes(appendBytes(b, []byte(m.ID)), []byte(m.Key))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.Class)), uint64(m.Dest))
	b = binary.AppendUvarint(b, uint64(m.Deadline.UnixMicro()))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.Past.Attempts)), uint64(m.Past.RanZone))
	flags := byte(m.Past.Flags())
	if m.End != nil {
		flags |= 8
	}
	ranAt := uint64(0)
	if m.Past.MayRun {
		ranAt = uint64(m.Past.RanAt.UnixMicro())
	}
	b = binary.AppendUvarint(append(b, flags), ranAt)
	if m.End != nil {
		b = appendEnd(b, m.End)
	}
	return appendBytes(b, m.Body)
}

func appendEnd(b []byte, e *message.End) []byte {
	return binary.AppendUvarint(append(b, byte(e.Kind)), uint64(e.RetryAfter.Milliseconds()))
}

// reader reads the fields of a record in turn.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) u8() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.b)) {
		r.bad, r.b = true, nil
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) end() *message.End {
	e := &message.End{Kind: message.Kind(r.u8())}
	if e.Kind > message.Delivered {
		r.bad = true
	}
	e.RetryAfter = time.Duration(r.uvarint()) * time.Millisecond
	return e
}
