package node

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"wingmount/policy"
)

const (
	// minDisk is the least room in which a journal of full bodies can be cleaned.
	minDisk = 512 << 10
	// maxBody is the longest body of a message.
	maxBody = 64 << 10
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

var (
	// errNoRoom refuses a message for which the journal has no room.
	errNoRoom = errors.New("the journal is full")
	// errLate says that a message which may have run can't be sent any more.
	errLate  = errors.New("the destination has forgotten the key")
	crcTable = crc32.MakeTable(crc32.Castagnoli)
)

// message is one message that the node has taken on.
type message struct {
	seq      policy.MessageID
	id       string
	key      string
	class    int
	dest     int
	deadline time.Time
	body     []byte
	window   time.Duration // how long its key is remembered, 0 where it has none

	// The rest is owned by the journal.
	past   past
	notice *notice // the end that is owed, nil while it runs
}

// past is what a message has behind it, as the module counts it.
type past struct {
	attempts int
	settled  bool // a finished attempt may have run
	out      bool // the last attempt has no outcome yet
	mayRun   bool
	ranAt    time.Time
	ranZone  int
}

func (p *past) attempt(zone int, at time.Time) {
	p.attempts++
	p.out = true
	if !p.mayRun {
		p.mayRun, p.ranAt, p.ranZone = true, at, zone
	}
}

func (p *past) outcome(neverRan bool) {
	p.out = false
	if !neverRan {
		p.settled = true
	} else if !p.settled {
		p.mayRun = false
	}
}

// memory is what the records tell of an endpoint, for the next life of the node.
type memory struct {
	sent     []time.Time // calls, one for a bundle
	failedAt time.Time   // the last failure
	backAt   time.Time   // the first success since, zero while there is none
}

func (j *journal) remember(endpoint string) *memory {
	if j.memories[endpoint] == nil {
		j.memories[endpoint] = &memory{}
	}
	return j.memories[endpoint]
}

// segment is one file of the journal.
type segment struct {
	number uint64
	size   int64
}

// journal keeps what outlasts the process: records in segments of one folder.
// The oldest segment is cleaned first, by writing what still counts of it to the
// newest: so an end never goes before the message that it ends. It is safe for
// concurrent use.
type journal struct {
	dir     string
	limit   int64 // bytes in the folder at most
	segSize int64
	log     *slog.Logger

	mu       sync.Mutex
	file     *os.File // the newest segment
	segments []segment
	live     map[policy.MessageID]*message
	home     map[policy.MessageID]uint64 // the segment with the last recTaken of each
	liveSize int64
	next     policy.MessageID
	memories map[string]*memory // of the lives before this one
	buf      []byte
}

func segmentPath(dir string, n uint64) string {
	return filepath.Join(dir, fmt.Sprintf("journal-%016d", n))
}

func onDisk(n int64) int64 { return (n + block - 1) / block * block }

// openJournal replays the journal in a folder. The messages that are owed
// something come back in the order in which they were taken.
func openJournal(dir string, limit int64, log *slog.Logger) (*journal, []*message, error) {
	j := &journal{dir: dir, limit: limit, log: log, next: 1, segSize: max(limit/24, maxBody+4<<10),
		live: map[policy.MessageID]*message{}, home: map[policy.MessageID]uint64{}, memories: map[string]*memory{}}
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, fmt.Errorf("opening the journal: %w", err)
	}
	for _, f := range files {
		var n uint64
		if _, err := fmt.Sscanf(f.Name(), "journal-%016d", &n); err != nil || !strings.HasPrefix(f.Name(), "journal-") {
			continue
		}
		if err := j.replay(n); err != nil {
			return nil, nil, err
		}
	}
	// Always a new segment: nothing is ever written behind a torn tail.
	if err := j.roll(); err != nil {
		return nil, nil, err
	}
	owed := make([]*message, 0, len(j.live))
	for _, m := range j.live {
		if m.past.out { // when the process ended; it may have run, or may yet
			m.past.out, m.past.settled = false, true
		}
		owed = append(owed, m)
		j.liveSize += cost(m)
	}
	sort.Slice(owed, func(a, b int) bool { return owed[a].seq < owed[b].seq })
	return j, owed, nil
}

// replay reads one segment up to its end or its torn tail.
func (j *journal) replay(n uint64) error {
	data, err := os.ReadFile(segmentPath(j.dir, n))
	if err != nil {
		return fmt.Errorf("replaying the journal: %w", err)
	}
	j.segments = append(j.segments, segment{number: n, size: int64(len(data))})
	for at := 0; at < len(data); {
		rest := data[at:]
		if len(rest) < recordHead {
			j.log.Warn("journal: torn tail", "segment", n, "at", at)
			return nil
		}
		size := int64(binary.LittleEndian.Uint32(rest))
		if size > int64(len(rest)-recordHead) {
			j.log.Warn("journal: torn tail", "segment", n, "at", at)
			return nil
		}
		payload := rest[recordHead : recordHead+size]
		if crc32.Checksum(payload, crcTable) != binary.LittleEndian.Uint32(rest[4:]) {
			j.log.Warn("journal: bad checksum, the rest of the segment is passed over", "segment", n, "at", at)
			return nil
		}
		if err := j.apply(n, payload); err != nil {
			j.log.Warn("journal: unreadable record", "segment", n, "at", at, "err", err)
		}
		at += recordHead + int(size)
	}
	return nil
}

// apply takes one record into the state.
func (j *journal) apply(segment uint64, payload []byte) error {
	r := reader{b: payload}
	kind, seq := r.u8(), policy.MessageID(r.uvarint())
	j.next = max(j.next, seq+1)
	m := j.live[seq]
	switch kind {
	case recTaken:
		m = &message{seq: seq}
		m.id, m.key = string(r.bytes()), string(r.bytes())
		m.class, m.dest = int(r.uvarint()), int(r.uvarint())
		m.deadline = time.UnixMicro(int64(r.uvarint()))
		m.past.attempts, m.past.ranZone = int(r.uvarint()), int(r.uvarint())
		flags := r.u8()
		m.past.settled, m.past.out, m.past.mayRun = flags&1 != 0, flags&2 != 0, flags&4 != 0
		if at := r.uvarint(); m.past.mayRun {
			m.past.ranAt = time.UnixMicro(int64(at))
		}
		if flags&8 != 0 {
			m.notice = r.notice(m.id)
		}
		m.body = append([]byte(nil), r.bytes()...)
		if r.bad {
			return io.ErrUnexpectedEOF
		}
		j.live[seq], j.home[seq] = m, segment
	case recAttempt:
		name, zone, at := string(r.bytes()), int(r.uvarint()), time.UnixMicro(int64(r.uvarint()))
		if r.bad {
			break
		}
		if e := j.remember(name); len(e.sent) == 0 || !e.sent[len(e.sent)-1].Equal(at) {
			e.sent = append(e.sent, at)
		}
		if m != nil {
			m.past.attempt(zone, at)
		}
	case recOutcome:
		outcome, name, at := policy.Outcome(r.u8()), string(r.bytes()), time.UnixMicro(int64(r.uvarint()))
		if r.bad {
			break
		}
		if m != nil {
			m.past.outcome(neverRan(outcome))
		}
		switch outcome {
		case policy.Failed, policy.TimedOut, policy.Unreachable, policy.Reset:
			e := j.remember(name)
			e.failedAt, e.backAt = at, time.Time{}
		}
	case recEnded:
		if m != nil {
			m.notice = r.notice(m.id)
		}
	case recClosed:
		name, at := string(r.bytes()), time.UnixMicro(int64(r.uvarint()))
		if e := j.remember(name); name != "" && !r.bad && e.backAt.IsZero() {
			e.backAt = at
		}
		delete(j.live, seq)
		delete(j.home, seq)
	default:
		return fmt.Errorf("unknown kind %d", kind)
	}
	if r.bad {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// cost is the room that a message may take up until nothing is owed for it.
func cost(m *message) int64 { return int64(len(m.body)+len(m.id)+len(m.key)) + ownShare }

// take journals a new message and numbers it.
func (j *journal) take(m *message) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	// Three segments are left: for records that no longer count, for the next one,
	// and for a copy made while old and new lie there together.
	if j.liveSize+cost(m) > j.limit-3*j.segSize {
		return errNoRoom
	}
	m.seq = j.next
	if err := j.append(takenRecord(m), m); err != nil {
		return err
	}
	j.next++
	j.live[m.seq] = m
	j.liveSize += cost(m)
	return nil
}

// attempt journals that a message is about to be sent. The module counts the key's
// window when it decides; making the connection may have taken until after it.
func (j *journal) attempt(m *message, endpoint string, zone int, at time.Time) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.live[m.seq] == nil {
		return nil
	}
	if m.window > 0 && m.past.mayRun && at.Sub(m.past.ranAt) >= m.window {
		return errLate
	}
	b := record(recAttempt, m.seq)
	b = appendBytes(b, []byte(endpoint))
	b = binary.AppendUvarint(b, uint64(zone))
	b = binary.AppendUvarint(b, uint64(at.UnixMicro()))
	if err := j.append(b, nil); err != nil {
		return err
	}
	m.past.attempt(zone, at)
	return nil
}

// outcome journals how the last attempt at a message ended.
func (j *journal) outcome(m *message, o policy.Outcome, endpoint string, at time.Time) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.live[m.seq] == nil {
		return nil
	}
	m.past.outcome(neverRan(o))
	b := appendBytes(append(record(recOutcome, m.seq), byte(o)), []byte(endpoint))
	return j.append(binary.AppendUvarint(b, uint64(at.UnixMicro())), nil)
}

// ended journals that a message is over and that its notice is owed.
func (j *journal) ended(m *message, n *notice) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.live[m.seq] == nil {
		return nil
	}
	m.notice = n
	return j.append(appendNotice(record(recEnded, m.seq), n), nil)
}

// closed journals that nothing is owed for a message any more. It names the
// endpoint that took it, if one did.
func (j *journal) closed(m *message, endpoint string, at time.Time) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.live[m.seq] == nil {
		return nil
	}
	j.liveSize -= cost(m)
	delete(j.live, m.seq)
	delete(j.home, m.seq)
	b := appendBytes(record(recClosed, m.seq), []byte(endpoint))
	return j.append(binary.AppendUvarint(b, uint64(at.UnixMicro())), nil)
}

func (j *journal) close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.file.Close()
}

// append writes one record, after making room for it. Taken is the message that
// the record holds whole, if it does.
func (j *journal) append(payload []byte, taken *message) error {
	size := int64(len(payload) + recordHead)
	if err := j.makeRoom(size); err != nil {
		return err
	}
	return j.write(payload, taken)
}

func (j *journal) write(payload []byte, taken *message) error {
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
		j.home[taken.seq] = last.number
	}
	return nil
}

// roll starts a new segment.
func (j *journal) roll() error {
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
	return nil
}

func (j *journal) diskSize() int64 {
	sum := int64(0)
	for _, s := range j.segments {
		sum += onDisk(s.size)
	}
	return sum
}

// makeRoom cleans the oldest segments until a record fits, with a segment's room
// to spare: a cleaned segment and its copy lie there together for a moment.
func (j *journal) makeRoom(size int64) error {
	for tries := 2 * len(j.segments); j.diskSize()+size+j.segSize+2*block > j.limit; tries-- {
		if tries <= 0 || len(j.segments) < 2 {
			return errNoRoom
		}
		if err := j.clean(); err != nil {
			return err
		}
	}
	return nil
}

// clean moves what still counts of the oldest segment on, and removes it.
func (j *journal) clean() error {
	oldest := j.segments[0]
	var move []*message
	for seq, n := range j.home {
		if n == oldest.number {
			move = append(move, j.live[seq])
		}
	}
	sort.Slice(move, func(a, b int) bool { return move[a].seq < move[b].seq })
	for _, m := range move {
		if err := j.write(takenRecord(m), m); err != nil {
			return err
		}
	}
	if err := os.Remove(segmentPath(j.dir, oldest.number)); err != nil {
		return fmt.Errorf("cleaning the journal: %w", err)
	}
	j.segments = j.segments[1:]
	return nil
}

func record(kind byte, seq policy.MessageID) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(seq))
}

func appendBytes(b, data []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(data))), data...)
}

// takenRecord holds a message with all that lies behind it.
func takenRecord(m *message) []byte {
	b := record(recTaken, m.seq)
	b = appendBytes(appendBytes(b, []byte(m.id)), []byte(m.key))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.class)), uint64(m.dest))
	b = binary.AppendUvarint(b, uint64(m.deadline.UnixMicro()))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.past.attempts)), uint64(m.past.ranZone))
	flags := byte(0)
	for i, set := range []bool{m.past.settled, m.past.out, m.past.mayRun, m.notice != nil} {
		if set {
			flags |= 1 << i
		}
	}
	ranAt := uint64(0)
	if m.past.mayRun {
		ranAt = uint64(m.past.ranAt.UnixMicro())
	}
	b = binary.AppendUvarint(append(b, flags), ranAt)
	if m.notice != nil {
		b = appendNotice(b, m.notice)
	}
	return appendBytes(b, m.body)
}

func appendNotice(b []byte, n *notice) []byte {
	kind := byte(0)
	if n.HandedBack() {
		kind = 1
	}
	return binary.AppendUvarint(append(b, kind), uint64(n.RetryInMs))
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

func (r *reader) notice(id string) *notice {
	handedBack, retry := r.u8() == 1, r.uvarint()
	return newNotice(id, handedBack, time.Duration(retry)*time.Millisecond)
}
