// Package intents keeps a node answering while its store of record is slow, locked or gone:
// a bounded local log beside a store. What must be durable before the node acts goes into
// the log when the store does not write it within its patience, and lands in the store,
// once, when that is back.
//
// Only one node may own the messages of such a store: what is in the log no other node sees.
// New messages are never taken into the log. The log outlasts what Sync says, and is empty
// whenever the store has everything.
package intents

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"sync"
	"time"

	"wingmount/internal/fail"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// Config is what a log is told.
type Config struct {
	Path string // of the file
	// MaxBytes bounds the file; once it is full, what needs the log fails as the store does.
	// A record takes 40 bytes and the name of an endpoint.
	MaxBytes int64
	// Patience is how long the store may take before the log is used. Below 0 it is used at
	// once.
	Patience time.Duration
	// Sync syncs each record, so that it outlasts the machine's end.
	Sync bool
}

// Where a crash matters.
var (
	atWritten  = fail.New("store/intents/after-write")
	atTruncate = fail.New("store/intents/before-truncate")
	atReplay   = fail.New("store/intents/during-replay")
)

// Kinds of record.
const (
	recAttempt   = 1 // an attempt may be out
	recDelivered = 2 // the last attempt was delivered
	recEnd       = 3 // a final answer may be told
)

const recordHead = 8

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Store is a store with a log beside it.
type Store struct {
	store.Store // takes, outcomes and tellings go there as they are
	cfg         Config
	log         *slog.Logger
	spent       context.Context // has ended
	stop        context.CancelFunc
	closing     context.Context

	mu      sync.Mutex
	f       *os.File
	size    int64
	landing bool // the log holds what the store may lack, and a goroutine waits for it
	running sync.WaitGroup
}

// Open puts a log beside a store that has just been opened, and writes into the store what
// the log of an earlier life holds. What was recovered is brought up to date.
func Open(ctx context.Context, c Config, inner store.Store, r *store.Recovered, log *slog.Logger) (*Store, error) {
	f, err := os.OpenFile(c.Path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the log of intents: %w", err)
	}
	s := &Store{Store: inner, cfg: c, log: log, f: f}
	spent, cancel := context.WithCancel(context.Background())
	cancel()
	s.spent = spent
	s.closing, s.stop = context.WithCancel(context.Background())
	if err := s.replay(ctx, r); err != nil {
		return nil, errors.Join(fmt.Errorf("replaying the log of intents %s: %w", c.Path, err), f.Close())
	}
	return s, nil
}

// replay writes what the log holds and the store lacks, in order, and empties the log.
func (s *Store) replay(ctx context.Context, r *store.Recovered) error {
	data, err := os.ReadFile(s.cfg.Path)
	if err != nil {
		return err
	}
	owed := map[policy.MessageID]*message.Message{}
	for _, m := range r.Owed {
		owed[m.Seq] = m
	}
	over := map[policy.MessageID]bool{}
	n := 0
	for len(data) > 0 {
		rec, rest, ok := decode(data)
		if !ok {
			s.log.Warn("store: torn tail of the log of intents", "bytes", len(data))
			break
		}
		data = rest
		m := owed[rec.seq]
		// What the store has already is passed over: an answer that is told, or a step that
		// is behind the message.
		if m == nil || m.End != nil || over[rec.seq] {
			continue
		}
		n++
		switch rec.kind {
		case recAttempt:
			if m.Past.Attempts >= rec.attempts {
				continue
			}
			err = s.Store.Attempt(ctx, store.Attempt{Endpoint: rec.endpoint, Zone: rec.zone, At: rec.at, Messages: []*message.Message{m}})
		case recDelivered:
			err = s.Store.Outcome(ctx, store.Outcome{Message: m, Outcome: policy.Delivered, Endpoint: rec.endpoint, At: rec.at})
			over[rec.seq] = true
		case recEnd:
			err = s.Store.End(ctx, store.Ending{Message: m, End: rec.end})
		}
		if err == nil {
			err = atReplay.At()
		}
		if err != nil {
			return err
		}
	}
	if n > 0 {
		s.log.Info("store: the log of intents has landed", "records", n)
	}
	if err := s.Store.End(ctx); err != nil { // all of it is durable
		return err
	}
	kept := r.Owed[:0]
	for _, m := range r.Owed {
		if over[m.Seq] && m.End == nil {
			continue // delivered, and nobody is told
		}
		m.Past.Interrupt()
		kept = append(kept, m)
	}
	r.Owed = kept
	return s.truncate()
}

func (s *Store) truncate() error {
	if err := atTruncate.At(); err != nil {
		return err
	}
	if err := s.f.Truncate(0); err != nil {
		return fmt.Errorf("emptying the log of intents: %w", err)
	}
	s.size = 0
	return nil
}

// bound is the context that the store gets: its patience, or none while it is known not to
// keep up.
func (s *Store) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.landing || s.cfg.Patience < 0 {
		return s.spent, func() {}
	}
	return context.WithTimeout(ctx, s.cfg.Patience)
}

// OnLate implements [store.Late], where the store does.
func (s *Store) OnLate(f func(*message.Message)) {
	if l, ok := s.Store.(store.Late); ok {
		l.OnLate(f)
	}
}

// Find implements [store.Finder], where the store does.
func (s *Store) Find(ctx context.Context, id string) error {
	if f, ok := s.Store.(store.Finder); ok {
		return f.Find(ctx, id)
	}
	return fmt.Errorf("%w: it can't be asked for an id", store.ErrUnavailable)
}

// Attempt implements [store.Store].
func (s *Store) Attempt(ctx context.Context, a store.Attempt) error {
	within, cancel := s.bound(ctx)
	defer cancel()
	err := s.Store.Attempt(within, a)
	if !errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
		return err
	}
	recs := make([]rec, len(a.Messages))
	for i, m := range a.Messages {
		recs[i] = rec{kind: recAttempt, seq: m.Seq, attempts: m.Past.Attempts, zone: a.Zone, at: a.At, endpoint: a.Endpoint}
	}
	return s.spill(err, recs)
}

// Outcome implements [store.Store].
func (s *Store) Outcome(ctx context.Context, o store.Outcome) error {
	if o.Outcome != policy.Delivered {
		return s.Store.Outcome(ctx, o)
	}
	within, cancel := s.bound(ctx)
	defer cancel()
	err := s.Store.Outcome(within, o)
	if !errors.Is(err, store.ErrUnavailable) {
		return err
	}
	return s.spill(err, []rec{{kind: recDelivered, seq: o.Message.Seq, at: o.At, endpoint: o.Endpoint}})
}

// End implements [store.Store].
func (s *Store) End(ctx context.Context, ends ...store.Ending) error {
	within, cancel := s.bound(ctx)
	defer cancel()
	err := s.Store.End(within, ends...)
	if !errors.Is(err, store.ErrUnavailable) {
		return err
	}
	var recs []rec
	for _, e := range ends {
		if m := e.Message; m.End != nil { // the answer that stands, whoever gave it
			recs = append(recs, rec{kind: recEnd, seq: m.Seq, end: *m.End})
		}
	}
	return s.spill(err, recs)
}

// spill writes records into the log, all or none, and sees to it that they land. Why is
// what the store said.
func (s *Store) spill(why error, recs []rec) error {
	var b []byte
	for _, r := range recs {
		b = r.append(b)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Err() != nil {
		return why
	}
	if s.size+int64(len(b)) > s.cfg.MaxBytes {
		return fmt.Errorf("%w, and the log of intents is full", why)
	}
	if _, err := s.f.WriteAt(b, s.size); err != nil {
		// What lies there in part is overwritten by the next, or is a torn tail.
		return errors.Join(why, fmt.Errorf("writing the log of intents: %w", err), s.f.Truncate(s.size))
	}
	if s.cfg.Sync {
		if err := s.f.Sync(); err != nil {
			return errors.Join(why, fmt.Errorf("syncing the log of intents: %w", err), s.f.Truncate(s.size))
		}
	}
	s.size += int64(len(b))
	_ = atWritten.At() // it is written, whatever an error says
	if !s.landing {
		s.landing = true
		s.log.Warn("store: it does not keep up, the log of intents is used", "err", why)
		s.running.Go(s.land)
	}
	return nil
}

// land waits until the store has all that is in the log, and empties it.
func (s *Store) land() {
	for {
		s.mu.Lock()
		size := s.size
		s.mu.Unlock()
		// The store applies records in the order of their calls: what was called before
		// this is durable when it returns.
		if err := s.Store.End(s.closing); err != nil {
			if s.closing.Err() != nil {
				return // the log stays for the next life
			}
			s.log.Error("store: landing the log of intents", "err", err)
			select {
			case <-s.closing.Done():
				return
			case <-time.After(time.Second):
			}
			continue
		}
		s.mu.Lock()
		if s.size == size {
			err := s.truncate()
			s.landing = err != nil
			s.mu.Unlock()
			if err == nil {
				s.log.Info("store: it keeps up again")
				return
			}
			s.log.Error("store", "err", err)
			continue
		}
		s.mu.Unlock()
	}
}

// Close implements [store.Store]. What the store can't write in its time stays in the log.
func (s *Store) Close() error {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	s.running.Wait()
	err := s.Store.Close()
	if err == nil {
		err = s.f.Truncate(0) // the store has everything
	}
	return errors.Join(err, s.f.Close())
}

// rec is one record.
type rec struct {
	kind     byte
	seq      policy.MessageID
	attempts int // recAttempt: with this one
	zone     int
	at       time.Time
	endpoint string
	end      message.End
}

// append writes length, CRC-32C and the fields.
func (r rec) append(b []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, recordHead)...)
	b = append(b, r.kind)
	for _, v := range []uint64{uint64(r.seq), uint64(r.attempts), uint64(r.zone), uint64(max(0, r.at.UnixMicro())),
		uint64(r.end.Kind), uint64(r.end.RetryAfter.Milliseconds())} {
		b = binary.AppendUvarint(b, v)
	}
	b = append(b, r.endpoint...)
	payload := b[start+recordHead:]
	binary.LittleEndian.PutUint32(b[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[start+4:], crc32.Checksum(payload, crcTable))
	return b
}

// decode reads the first record of data. It reports false where there is none that is whole.
func decode(data []byte) (r rec, rest []byte, ok bool) {
	if len(data) < recordHead {
		return r, nil, false
	}
	size := int64(binary.LittleEndian.Uint32(data))
	if size < 1 || size > int64(len(data)-recordHead) {
		return r, nil, false
	}
	payload := data[recordHead : recordHead+size]
	if crc32.Checksum(payload, crcTable) != binary.LittleEndian.Uint32(data[4:]) {
		return r, nil, false
	}
	r.kind = payload[0]
	fields := payload[1:]
	var v [6]uint64
	for i := range v {
		n := 0
		if v[i], n = binary.Uvarint(fields); n <= 0 {
			return r, nil, false
		}
		fields = fields[n:]
	}
	r.seq, r.attempts, r.zone, r.at = policy.MessageID(v[0]), int(v[1]), int(v[2]), time.UnixMicro(int64(v[3]))
	r.end = message.End{Kind: message.Kind(v[4]), RetryAfter: time.Duration(v[5]) * time.Millisecond}
	r.endpoint = string(fields)
	return r, data[recordHead+size:], r.kind >= recAttempt && r.kind <= recEnd
}
