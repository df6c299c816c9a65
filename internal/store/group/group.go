// Package group is the part of a store of record that does not depend on the database: what
// is decided in memory, in the order of the calls, and a queue that one goroutine writes in
// transactions of many records.
//
// While the database can't be written new messages are refused at once; everything else
// waits in the queue, bounded by the messages that are held, until it is written.
package group

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

const (
	// batchMax is how many records go into one transaction at most. After one that failed the
	// next has half as many, down to batchMin, and after a good one twice as many again: a
	// database so slow that a full one outlasts its time would never get any further.
	batchMax, batchMin = 512, 8
	// takeShare is which part of these are takes at least, where so many wait: one in eight.
	takeShare = 8
	// retryPause is the pause after a transaction that failed.
	retryPause = 50 * time.Millisecond
	// closeWait is how long Close tries to write what is left.
	closeWait = 5 * time.Second
	// idleEvery is how often the backend may see to other things.
	idleEvery = 200 * time.Millisecond
	// impliedAfter is how long an answer may wait to be written, once the time of its message
	// is up, until it is told as the lease implies it.
	impliedAfter = 100 * time.Millisecond
	impliedEvery = 25 * time.Millisecond
	// findMax is how many ids may be asked for at once. Who asks for one more hears that the
	// store is not available.
	findMax = 256
)

// Kind of a record.
type Kind int

// The kinds.
const (
	Take    Kind = iota
	Attempt      // Pasts, Endpoint
	Outcome      // Pasts, Endpoint, Memory; with Ends for a message that is over with it
	End          // Ends
	Told
)

// Record is one record on its way to the database. A backend changes nothing of it.
type Record struct {
	Kind     Kind
	Seqs     []policy.MessageID
	Message  *message.Message // Take
	Pasts    []message.Past
	Ends     []message.End
	Over     bool // Ends: nothing is to be told
	Endpoint string
	At       time.Time
	Until    time.Time     // Attempt: when the call is given up at the latest
	Memory   *store.Memory // Outcome: the endpoint's as it is now, nil where it did not change

	state  state // guarded by the queue
	waited bool  // somebody waits for done
	done   chan error
}

type state int

const (
	queued state = iota
	claimed
	left // claimed, and its caller waits no more
	withdrawn
	decided
)

// Backend is the database. All calls come from one goroutine.
type Backend interface {
	// Begin begins a transaction, or fails where that can't be done soon. Until it returns
	// nil a take can be withdrawn.
	Begin() error
	// Commit writes records in the transaction that has begun. It returns what takes that
	// are not taken hear, nil for all other records. With an error nothing is on record and
	// the transaction is gone; a backend that can't tell finds out before it returns.
	Commit(batch []*Record) ([]error, error)
	// Idle lets the backend see to other things. It is called now and then, also under load.
	Idle(now time.Time) error
	// Full tells whether an error means that there is no room.
	Full(err error) bool
	// Closing tells that the queue closes: a Commit that can't find out by a time what is on
	// record returns store.ErrUndecided. It is called once, by another goroutine.
	Closing(by time.Time)
	// Close lets go of the database.
	Close() error
}

// Taker is a backend whose database other nodes use too.
type Taker interface {
	// TakeOver makes messages this node's own that another left, of those that run as many
	// as there is room for, or more where their time is nearly up. It comes soon again as long
	// as it returns some.
	TakeOver(now time.Time, room int) (store.Recovered, error)
}

// Finder is a backend that can be asked for ids between two transactions.
type Finder interface {
	// Find tells what takes of these ids would hear: a store.KnownError each, or nil.
	Find(ids []string) ([]error, error)
}

// Implier is a backend whose owner's lease answers messages that have no answer on record.
type Implier interface {
	// ImpliedUntil is until when that holds, by this machine's clock: a message whose time
	// ends by then, and that is not answered on record when the lease ends, has failed. It
	// is safe for concurrent use.
	ImpliedUntil() time.Time
}

// Config is what a queue is told.
type Config struct {
	// TellDelivered says that deliveries are told like other answers.
	TellDelivered bool
	// Next is the number of the first message that is taken.
	Next policy.MessageID
	// Live are the messages that run, as they were recovered.
	Live []*message.Message
	// Memories are copied.
	Memories map[string]*store.Memory
}

// Queue is a store of record on a backend.
type Queue struct {
	cfg     Config
	backend Backend
	log     *slog.Logger

	mu       sync.Mutex
	queue    []*Record // all but takes
	takes    []*Record // written behind the queue: see commit
	finds    []find    // ids that are asked for, findMax at most
	closing  bool
	stuck    error                  // why the last transaction failed, nil once one was good
	lost     error                  // that nothing may be written any more
	late     func(*message.Message) // nil where takes wait until they are decided
	room     func() int             // nil where nothing is taken over
	adopt    func(store.Recovered)
	isLost   chan struct{} // closed once lost is set
	implied  func(*message.Message)
	open     map[policy.MessageID]answer // to be told, and not written yet; kept where there is an Implier
	limit    int                         // records in the next transaction; the writer's alone
	next     policy.MessageID
	live     map[policy.MessageID]*message.Message
	memories map[string]*store.Memory // failures only, to write what changes
	wake     chan struct{}
	done     chan struct{}
}

// answer is one that waits to be written.
type answer struct {
	message *message.Message
	record  *Record
	index   int // in the record's Ends
	at      time.Time
}

// New returns a queue, whose goroutines run until Close.
func New(c Config, b Backend, log *slog.Logger) *Queue {
	s := &Queue{cfg: c, backend: b, log: log, next: c.Next, limit: batchMax, wake: make(chan struct{}, 1), done: make(chan struct{}),
		isLost: make(chan struct{}), live: map[policy.MessageID]*message.Message{}, memories: map[string]*store.Memory{}}
	for _, m := range c.Live {
		s.live[m.Seq] = m
	}
	for name, m := range c.Memories {
		own := store.Memory{FailedAt: m.FailedAt, BackAt: m.BackAt}
		if !own.FailedAt.IsZero() {
			s.memories[name] = &own
		}
	}
	if i, ok := b.(Implier); ok {
		s.open = map[policy.MessageID]answer{}
		go s.imply(i)
	}
	go s.run()
	return s
}

// OnLate implements [store.Late].
func (s *Queue) OnLate(f func(*message.Message)) { s.late = f }

// OnTakeover implements part of [store.Shared] for stores whose backend is a [Taker].
func (s *Queue) OnTakeover(room func() int, adopt func(store.Recovered)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room, s.adopt = room, adopt
}

// OnImplied implements part of [store.Shared].
func (s *Queue) OnImplied(f func(*message.Message)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.implied = f
}

// await notes an answer that is to be told and is not written yet. It is called with the lock
// held.
func (s *Queue) await(m *message.Message, o *Record, index int) {
	if s.open != nil {
		s.open[m.Seq] = answer{m, o, index, time.Now()}
	}
}

// imply tells answers that are not written in time, as their lease implies them, until the
// writer ends. One that is in a transaction whose end is not known is left alone: it may be
// on record as it was given.
func (s *Queue) imply(lease Implier) {
	ticker := time.NewTicker(impliedEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		var tell []*message.Message
		s.mu.Lock()
		now, until := time.Now(), lease.ImpliedUntil()
		for seq, a := range s.open {
			d := a.message.Deadline
			if s.implied == nil || s.lost != nil || a.record.state != queued || d.After(until) || now.Sub(d) < impliedAfter || now.Sub(a.at) < impliedAfter {
				continue
			}
			delete(s.open, seq)
			a.record.Ends[a.index] = message.End{Kind: message.Failed, Implied: true}
			a.message.End = &a.record.Ends[a.index]
			tell = append(tell, a.message)
		}
		f := s.implied
		s.mu.Unlock()
		for _, m := range tell {
			f(m)
		}
	}
}

// Lost implements part of [store.Shared].
func (s *Queue) Lost() <-chan struct{} { return s.isLost }

// Pending is how many records wait.
func (s *Queue) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) + len(s.takes)
}

// Stuck is why the last transaction failed, nil where it did not.
func (s *Queue) Stuck() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stuck
}

// add queues a record. It is called with the lock held, so that the queue has the order in
// which things were decided.
func (s *Queue) add(o *Record) {
	o.done = make(chan error, 1)
	if o.Kind == Take {
		s.takes = append(s.takes, o)
	} else {
		s.queue = append(s.queue, o)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// gone tells why nothing is queued any more, nil where it is.
func (s *Queue) gone() error {
	if s.closing {
		return errClosed
	}
	return s.lost
}

// wait waits for a record to be durable.
func (s *Queue) wait(ctx context.Context, o *Record) error {
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
}

var errClosed = fmt.Errorf("%w: it is closed", store.ErrUnavailable)

// Take implements [store.Store]. While the file can't be written it refuses at once.
func (s *Queue) Take(ctx context.Context, m *message.Message) error {
	s.mu.Lock()
	if err := s.gone(); err != nil {
		s.mu.Unlock()
		return err
	}
	if s.stuck != nil {
		err := s.stuck
		s.mu.Unlock()
		return s.refusal(err)
	}
	s.next++
	m.Seq = s.next
	o := &Record{Kind: Take, Message: m, Seqs: []policy.MessageID{m.Seq}, At: time.Now(), waited: true}
	s.add(o)
	s.mu.Unlock()
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	if o.state == queued {
		o.state = withdrawn
		s.mu.Unlock()
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
	if s.late != nil && o.state == claimed {
		o.state = left
		s.mu.Unlock()
		return fmt.Errorf("%w: %w", store.ErrUndecided, ctx.Err())
	}
	s.mu.Unlock()
	return <-o.done // it may be on record in this moment: what came of it must be known
}

// refusal is what a take hears of a transaction that failed.
func (s *Queue) refusal(err error) error {
	if errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrUndecided) {
		return err
	}
	if s.backend.Full(err) {
		return fmt.Errorf("%w: %w", store.ErrFull, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}

// Attempt implements [store.Store].
func (s *Queue) Attempt(ctx context.Context, a store.Attempt) error {
	s.mu.Lock()
	if err := s.gone(); err != nil {
		s.mu.Unlock()
		return err
	}
	o := &Record{Kind: Attempt, Endpoint: a.Endpoint, At: a.At, Until: a.Until, waited: true}
	for _, m := range a.Messages {
		var err error
		if s.live[m.Seq] == nil {
			err = store.ErrOver
		} else if m.Past.Forgotten(m.Window, a.At) {
			err = store.ErrForgotten
		}
		if err != nil {
			s.mu.Unlock()
			return fmt.Errorf("message %s: %w", m.ID, err)
		}
	}
	for _, m := range a.Messages {
		m.Past.Attempt(a.Zone, a.At)
		o.Seqs, o.Pasts = append(o.Seqs, m.Seq), append(o.Pasts, m.Past)
	}
	s.add(o)
	s.mu.Unlock()
	return s.wait(ctx, o)
}

// Outcome implements [store.Store].
func (s *Queue) Outcome(ctx context.Context, out store.Outcome) error {
	m := out.Message
	s.mu.Lock()
	if err := s.gone(); err != nil {
		s.mu.Unlock()
		return err
	}
	if s.live[m.Seq] == nil {
		s.mu.Unlock()
		return nil
	}
	m.Past.Outcome(out.Outcome)
	o := &Record{Kind: Outcome, Seqs: []policy.MessageID{m.Seq}, Pasts: []message.Past{m.Past}, Endpoint: out.Endpoint, At: out.At,
		Memory: s.remember(out)}
	switch {
	case out.Outcome == policy.Delivered:
		o.Ends, o.Over, o.waited = []message.End{{Kind: message.Delivered}}, !s.cfg.TellDelivered, true
		if s.cfg.TellDelivered {
			m.End = &o.Ends[0]
			s.await(m, o, 0)
		}
		delete(s.live, m.Seq)
	case out.Over:
		o.Ends, o.Over = []message.End{{Kind: message.Failed}}, true
		delete(s.live, m.Seq)
	}
	s.add(o)
	s.mu.Unlock()
	if !o.waited {
		return nil
	}
	return s.wait(ctx, o)
}

// remember takes an outcome into what is known of its endpoint. It returns what is to be
// written, nil where nothing changed.
func (s *Queue) remember(o store.Outcome) *store.Memory {
	e := s.memories[o.Endpoint]
	switch o.Outcome {
	case policy.Failed, policy.TimedOut, policy.Unreachable, policy.Reset:
		e = &store.Memory{FailedAt: o.At}
	case policy.Delivered:
		if e == nil || !e.BackAt.IsZero() {
			return nil
		}
		e = &store.Memory{FailedAt: e.FailedAt, BackAt: o.At}
	default:
		return nil
	}
	s.memories[o.Endpoint] = e
	return e
}

// End implements [store.Store].
func (s *Queue) End(ctx context.Context, ends ...store.Ending) error {
	s.mu.Lock()
	if err := s.gone(); err != nil {
		s.mu.Unlock()
		return err
	}
	o := &Record{Kind: End, At: time.Now(), waited: true}
	for _, e := range ends {
		m := e.Message
		if s.live[m.Seq] == nil {
			continue
		}
		m.End = &e.End
		delete(s.live, m.Seq)
		o.Seqs, o.Ends = append(o.Seqs, m.Seq), append(o.Ends, e.End)
		s.await(m, o, len(o.Ends)-1)
	}
	s.add(o)
	s.mu.Unlock()
	return s.wait(ctx, o)
}

// Told implements [store.Store].
func (s *Queue) Told(_ context.Context, ms ...*message.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.gone(); err != nil {
		return err
	}
	o := &Record{Kind: Told, At: time.Now()}
	for _, m := range ms {
		o.Seqs = append(o.Seqs, m.Seq)
	}
	s.add(o)
	return nil
}

// Close implements [store.Store].
func (s *Queue) Close() error {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return errClosed
	}
	s.closing = true
	s.mu.Unlock()
	s.backend.Closing(time.Now().Add(closeWait))
	select {
	case s.wake <- struct{}{}:
	default:
	}
	<-s.done
	s.mu.Lock()
	left := len(s.queue) + len(s.takes)
	s.mu.Unlock()
	var err error
	if left > 0 {
		err = fmt.Errorf("closing the store: %d records could not be written: %w", left, s.stuck)
	}
	return errors.Join(err, s.backend.Close())
}

// run is the writer: it commits what is queued until the store is closed and all is
// written, or it can't be written for closeWait.
func (s *Queue) run() {
	defer close(s.done)
	idle := time.NewTicker(idleEvery)
	defer idle.Stop()
	var until time.Time // when to give up, once the store closes
	looked := time.Now()
	for {
		s.mu.Lock()
		n, closing, stuck := len(s.queue)+len(s.takes), s.closing, s.stuck
		s.mu.Unlock()
		s.answerFinds()
		if closing && until.IsZero() {
			until = time.Now().Add(closeWait)
		}
		if now := time.Now(); stuck == nil && !closing && now.Sub(looked) >= idleEvery {
			looked = now
			if err := s.idle(now); errors.Is(err, store.ErrFenced) {
				s.fenced(err)
				return
			} else if err != nil {
				s.log.Debug("store: idle", "err", err) // the next look does it
			}
		}
		switch {
		// With nothing to write a transaction that changes nothing tells whether takes may
		// come again.
		case n > 0, stuck != nil && !closing:
			err := s.commit()
			if errors.Is(err, store.ErrFenced) {
				s.fenced(err)
				return
			}
			if err == nil {
				if stuck != nil {
					s.log.Info("store: it can be written again")
				}
				continue
			}
			if stuck == nil || stuck.Error() != err.Error() { // once for each trouble
				s.log.Error("store: it can't be written, takes are refused", "err", err)
			}
			if closing && time.Now().After(until) {
				s.fail(err)
				return
			}
			time.Sleep(retryPause)
			continue
		case closing:
			return
		}
		select {
		case <-s.wake:
		case <-idle.C:
		}
	}
}

// idle lets the backend see to other things, and takes over what other nodes left.
func (s *Queue) idle(now time.Time) error {
	if err := s.backend.Idle(now); err != nil {
		return err
	}
	taker, ok := s.backend.(Taker)
	s.mu.Lock()
	room, adopt := s.room, s.adopt
	s.mu.Unlock()
	if !ok || adopt == nil {
		return nil
	}
	r, err := taker.TakeOver(now, room())
	if err != nil || len(r.Owed) == 0 {
		return err
	}
	s.mu.Lock()
	for _, m := range r.Owed {
		if m.End == nil {
			s.live[m.Seq] = m
		}
	}
	s.mu.Unlock()
	adopt(r)
	return nil
}

// fenced ends the writing: nothing is written any more, and everybody hears so.
func (s *Queue) fenced(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Error("store: this node may write nothing more", "err", err)
	s.stuck, s.lost = err, err
	close(s.isLost)
	for _, o := range slices.Concat(s.queue, s.takes) {
		o.done <- err
	}
	s.queue, s.takes = nil, nil
}

// fail ends the waiting for what will not be written any more.
func (s *Queue) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range slices.Concat(s.queue, s.takes) {
		o.done <- s.refusal(err)
	}
}

// commit writes the first records of the queue, and behind them takes, in one transaction: no
// call and no answer waits behind what is only to be taken on, however much that is. A message
// is taken before anything else is recorded of it, so the order within a message stays. If it
// fails, takes hear so and are gone, and all else stays in the queue.
func (s *Queue) commit() error {
	// Nothing is claimed before the file is ours: until then a take can be withdrawn.
	if err := s.backend.Begin(); err != nil {
		s.dropTakes(err)
		return err
	}
	s.mu.Lock()
	n := min(len(s.queue), s.limit-min(len(s.takes), s.limit/takeShare))
	batch := make([]*Record, 0, min(len(s.queue)+len(s.takes), s.limit))
	batch = append(batch, s.queue[:n]...)
	taken := 0
	for taken < len(s.takes) && len(batch) < s.limit {
		if o := s.takes[taken]; o.state != withdrawn {
			batch = append(batch, o)
		}
		taken++
	}
	for _, o := range batch {
		o.state = claimed
	}
	s.mu.Unlock()
	results, err := s.backend.Commit(batch)
	if err != nil {
		s.limit = max(batchMin, s.limit/2)
		s.mu.Lock()
		for _, o := range batch {
			o.state = queued
		}
		s.mu.Unlock()
		s.dropTakes(err)
		return err
	}
	s.limit = min(batchMax, s.limit*2)
	s.mu.Lock()
	s.stuck = nil // before anybody hears of it: whoever does may hand in a message at once
	s.queue, s.takes = slices.Delete(s.queue, 0, n), slices.Delete(s.takes, 0, taken)
	var late []*message.Message
	for i, o := range batch {
		if o.Kind == Take && results[i] == nil {
			s.live[o.Message.Seq] = o.Message
			if o.state == left {
				late = append(late, o.Message)
			}
		}
		o.state = decided
		if len(o.Ends) > 0 {
			for _, seq := range o.Seqs {
				delete(s.open, seq)
			}
		}
	}
	s.mu.Unlock()
	for _, m := range late {
		s.late(m)
	}
	for i, o := range batch {
		o.done <- results[i]
	}
	return nil
}

// dropTakes refuses the takes in the queue: their clients must not wait for a file that
// can't be written now.
func (s *Queue) dropTakes(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuck = err // from here on none comes
	for _, o := range s.takes {
		o.state = withdrawn
		o.done <- s.refusal(err)
	}
	clear(s.takes)
	s.takes = s.takes[:0]
}
