package sqlite

import (
	"errors"
	"fmt"
	"time"

	"github.com/ncruces/go-sqlite3"

	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/group"
	"wingmount/policy"
)

// statements are prepared once.
type statements struct {
	take, answered, running, inBucket, past, drop, dropPast, answer, told, call, endpoint, meta *sqlite3.Stmt
	segment, bucket, keptLess, dropSegment, dropBuckets                                         *sqlite3.Stmt
	oldAnswers, dropAnswer, oldCalls, oldEndpoints                                              *sqlite3.Stmt
	all                                                                                         []*sqlite3.Stmt
}

func (st *statements) prepare(c *sqlite3.Conn) error {
	for _, p := range []struct {
		to   **sqlite3.Stmt
		text string
	}{
		{&st.take, `INSERT INTO message VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7, ?8) ON CONFLICT (id) DO NOTHING`},
		{&st.answered, `SELECT id, kind, retry FROM answer WHERE seq = ?1`},
		{&st.running, `SELECT 1 FROM message WHERE id = ?1`},
		{&st.inBucket, `SELECT entries FROM bucket WHERE segment = ?1 AND n = ?2`},
		{&st.past, `INSERT INTO past SELECT ?1, ?2, ?3, ?4, ?5 WHERE EXISTS (SELECT 1 FROM message WHERE seq = ?1)
			ON CONFLICT (seq) DO UPDATE SET attempts = ?2, flags = ?3, ran = ?4, zone = ?5`},
		{&st.answer, `INSERT INTO answer SELECT seq, id, ?6, ?2, ?3, dest, coalesce((SELECT attempts FROM past WHERE seq = ?1), 0), taken, ?4, ?5
			FROM message WHERE seq = ?1 RETURNING id`},
		{&st.segment, `INSERT INTO segment VALUES (?1, ?2, ?3)`},
		{&st.bucket, `INSERT INTO bucket VALUES (?1, ?2, ?3)`},
		{&st.keptLess, `UPDATE segment SET kept = kept - ?2 WHERE n = ?1`},
		{&st.dropSegment, `DELETE FROM segment WHERE n = ?1`},
		{&st.dropBuckets, `DELETE FROM bucket WHERE segment = ?1`},
		{&st.drop, `DELETE FROM message WHERE seq = ?1`},
		{&st.dropPast, `DELETE FROM past WHERE seq = ?1`},
		{&st.told, `UPDATE answer SET told = ?2 WHERE seq = ?1 AND told IS NULL`},
		{&st.call, `INSERT INTO call (endpoint, at) VALUES (?1, ?2)`},
		{&st.endpoint, `INSERT INTO endpoint VALUES (?1, ?2, ?3) ON CONFLICT (name) DO UPDATE SET failed = ?2, back = ?3`},
		{&st.meta, `UPDATE meta SET commits = ?1, latest = max(latest, ?2)`},
		{&st.oldAnswers, `SELECT seq, told, segment, id FROM answer WHERE seq > ?1 ORDER BY seq LIMIT ?2`},
		{&st.dropAnswer, `DELETE FROM answer WHERE seq = ?1`},
		{&st.oldCalls, `DELETE FROM call WHERE n IN (SELECT n FROM call ORDER BY n LIMIT ?2) AND at < ?1`},
		{&st.oldEndpoints, `DELETE FROM endpoint WHERE name IN (SELECT name FROM endpoint WHERE max(failed, back) < ?1 LIMIT ?2)`},
	} {
		s, _, err := c.PrepareFlags(p.text, sqlite3.PREPARE_PERSISTENT)
		if err != nil {
			return fmt.Errorf("preparing %q: %w", p.text, err)
		}
		*p.to = s
		st.all = append(st.all, s)
	}
	return nil
}

func (st *statements) close() {
	for _, s := range st.all {
		_ = s.Close() // tells the error of its last step once more
	}
	st.all = nil
}

// exec binds and runs a statement that returns nothing.
func exec(st *sqlite3.Stmt, args ...any) error {
	if err := bind(st, args...); err != nil {
		return err
	}
	return st.Exec()
}

func bind(st *sqlite3.Stmt, args ...any) error {
	for i, a := range args {
		var err error
		switch a := a.(type) {
		case int64:
			err = st.BindInt64(i+1, a)
		case int:
			err = st.BindInt(i+1, a)
		case policy.MessageID:
			err = st.BindInt64(i+1, int64(a))
		case string:
			err = st.BindText(i+1, a)
		case []byte:
			if len(a) == 0 {
				err = st.BindZeroBlob(i+1, 0)
			} else {
				err = st.BindBlob(i+1, a)
			}
		case nil:
			err = st.BindNull(i + 1)
		default:
			err = fmt.Errorf("can't bind %T", a)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Begin implements [group.Backend]. A segment of ids that is full is sealed first.
func (s *file) Begin() error {
	if s.ids.recent.len() >= s.ids.max {
		// The number of whatever ends from now on: of a message that runs, or a later one.
		next, err := number(s.conn, "SELECT coalesce((SELECT min(seq) FROM message), (SELECT seq + 1 FROM sqlite_sequence WHERE name = 'message'), 0)")
		if err != nil {
			return err
		}
		if err := s.seal(next); err != nil {
			return err
		}
	}
	return s.begin()
}

func (s *file) begin() error {
	if err := s.conn.Exec("BEGIN IMMEDIATE"); err != nil {
		return err
	}
	if err := atBegun.At(); err != nil {
		return errors.Join(err, s.conn.Exec("ROLLBACK"))
	}
	return nil
}

// Commit implements [group.Backend].
func (s *file) Commit(batch []*group.Record) ([]error, error) {
	results := make([]error, len(batch))
	s.ids.begin()
	if err := s.write(batch, results); err != nil {
		if !s.conn.GetAutocommit() {
			if e := s.conn.Exec("ROLLBACK"); e != nil {
				s.log.Error("store: rolling back", "err", e)
			}
		}
		var u unsure
		if errors.As(err, &u) {
			err = s.overwrite(err)
		}
		return nil, err
	}
	s.ids.commit()
	_ = atCommit.At() // it is on record, whatever an error says
	if err := s.wit.write(s.commits, s.boot); err != nil {
		s.log.Warn("store", "err", err) // it lags: a loss that follows may go unseen
	}
	_ = atTold.At()
	return results, nil
}

// write writes records and commits. Results are of the takes.
func (s *file) write(batch []*group.Record, results []error) error {
	room, err := s.room()
	if err != nil {
		return err
	}
	for i, o := range batch {
		if o.Kind == group.Take {
			need := int64(len(o.Message.Body))/pageSize + 1
			if room < need+reservePages {
				results[i] = store.ErrFull
				continue
			}
			room -= need
		}
		if results[i], err = s.record(o); err != nil {
			return err
		}
	}
	if err := atRows.At(); err != nil {
		return err
	}
	latest := time.Now()
	for _, o := range batch {
		if o.At.After(latest) {
			latest = o.At
		}
	}
	if err := exec(s.st.meta, s.commits+1, latest.UnixMicro()); err != nil {
		return err
	}
	if err := s.conn.Exec("COMMIT"); err != nil {
		return unsure{err}
	}
	s.commits++
	return nil
}

// unsure is a COMMIT that has failed. SQLite has rolled back, but where only the sync failed the
// transaction may lie whole in the WAL, until another is written over it: a process that
// starts after a kill in between would find it there.
type unsure struct{ error }

func (u unsure) Unwrap() error { return u.error }

// overwrite writes a transaction over one that has failed, so that it is certain that nothing
// of that is on record. It must change something, or SQLite writes nothing: a microsecond. It
// tries until the store closes.
func (s *file) overwrite(why error) error {
	for {
		err := s.conn.Exec("BEGIN IMMEDIATE; UPDATE meta SET latest = latest + 1; COMMIT")
		if err == nil {
			return why
		}
		if !s.conn.GetAutocommit() {
			err = s.rollback(err)
		}
		if by := s.closing.Load(); by != nil && time.Now().After(*by) {
			return fmt.Errorf("%w: %w", store.ErrUndecided, errors.Join(why, err))
		}
		time.Sleep(overwritePause)
	}
}

// Closing implements [group.Backend].
func (s *file) Closing(by time.Time) { s.closing.Store(&by) }

// room is how many pages may still be filled.
func (s *file) room() (int64, error) {
	if s.cfg.MaxBytes == 0 {
		return 1 << 40, nil
	}
	pages, err := pragma(s.conn, "page_count")
	if err != nil {
		return 0, err
	}
	free, err := pragma(s.conn, "freelist_count")
	if err != nil {
		return 0, err
	}
	return s.cfg.MaxBytes/pageSize - pages + free, nil
}

// record writes one record. What it returns first is for its caller alone; an error ends
// the transaction.
func (s *file) record(o *group.Record) (result, err error) {
	switch o.Kind {
	case group.Take:
		return s.take(o)
	case group.Attempt:
		if err := exec(s.st.call, o.Endpoint, o.At.UnixMicro()); err != nil {
			return nil, err
		}
		return nil, s.past(o)
	case group.Outcome:
		if err := s.past(o); err != nil {
			return nil, err
		}
		if e := o.Memory; e != nil {
			if err := exec(s.st.endpoint, o.Endpoint, e.FailedAt.UnixMicro(), message.Micros(e.BackAt)); err != nil {
				return nil, err
			}
		}
		return nil, s.end(o)
	case group.End:
		return nil, s.end(o)
	case group.Told:
		for _, seq := range o.Seqs {
			if err := exec(s.st.told, seq, o.At.UnixMicro()); err != nil {
				return nil, err
			}
		}
	}
	return nil, nil
}

func (s *file) take(o *group.Record) (result, err error) {
	m := o.Message
	kind, retry, ok, err := s.answered(m.ID)
	if err != nil {
		return nil, err
	}
	if ok {
		return &store.KnownError{End: &message.End{Kind: message.Kind(kind), RetryAfter: time.Duration(retry) * time.Millisecond}}, nil
	}
	if err := exec(s.st.take, m.Seq, m.ID, m.Key, m.Class, m.Dest, m.Deadline.UnixMicro(), o.At.UnixMicro(), m.Body); err != nil {
		return nil, err
	}
	if s.conn.Changes() > 0 {
		return nil, nil
	}
	return &store.KnownError{}, nil
}

func (s *file) past(o *group.Record) error {
	for i, p := range o.Pasts {
		if err := exec(s.st.past, o.Seqs[i], p.Attempts, p.Flags(), message.Micros(p.RanAt), p.RanZone); err != nil {
			return err
		}
	}
	return nil
}

// end moves messages to their answers.
func (s *file) end(o *group.Record) error {
	for i, e := range o.Ends {
		var told any
		if o.Over {
			told = o.At.UnixMicro()
		}
		st := s.st.answer
		if err := bind(st, o.Seqs[i], int(e.Kind), e.RetryAfter.Milliseconds(), o.At.UnixMicro(), told, s.ids.open); err != nil {
			return err
		}
		for st.Step() {
			s.ids.add(st.ColumnText(0), o.Seqs[i])
		}
		if err := errors.Join(st.Reset(), exec(s.st.drop, o.Seqs[i]), exec(s.st.dropPast, o.Seqs[i])); err != nil {
			return err
		}
	}
	return nil
}

// Idle implements [group.Backend]: it deletes a slice of what is too old to be kept.
func (s *file) Idle(now time.Time) (err error) {
	var olds []old
	st := s.st.oldAnswers
	if err := bind(st, s.swept, sweepMax); err != nil {
		return err
	}
	seen := 0
	for st.Step() {
		seen++
		s.swept = st.ColumnInt64(0)
		if told := st.ColumnInt64(1); told != 0 && told < now.Add(-s.cfg.Keep).UnixMicro() {
			olds = append(olds, old{seq: s.swept, segment: st.ColumnInt64(2), hash: s.ids.hash(st.ColumnText(3))})
		}
	}
	if err := st.Reset(); err != nil {
		return err
	}
	if seen < sweepMax || len(olds) == 0 {
		s.swept = 0 // from the oldest again: what is behind a slice of young ones is young
	}
	if len(olds) == 0 && now.Before(s.sweepAt) {
		return nil
	}
	s.sweepAt = now.Add(10 * time.Second)
	if err := s.begin(); err != nil {
		return err
	}
	defer func() {
		if err != nil && !s.conn.GetAutocommit() {
			err = s.rollback(err)
		}
	}()
	done, err := s.drop(olds)
	if err != nil {
		return err
	}
	if err := exec(s.st.oldCalls, now.Add(-callsKept).UnixMicro(), sweepMax); err != nil {
		return err
	}
	if err := exec(s.st.oldEndpoints, now.Add(-endpointsKept).UnixMicro(), sweepMax); err != nil {
		return err
	}
	if err := atSweep.At(); err != nil {
		return err
	}
	if err := s.conn.Exec("COMMIT"); err != nil {
		return err
	}
	done()
	return nil
}

func (s *file) rollback(why error) error { return errors.Join(why, s.conn.Exec("ROLLBACK")) }

// rows runs a query and hands over its rows.
func (s *file) rows(query string, row func(*sqlite3.Stmt)) error {
	st, _, err := s.conn.Prepare(query)
	if err != nil {
		return fmt.Errorf("%s: %w", query, err)
	}
	defer st.Close()
	for st.Step() {
		row(st)
	}
	if err := st.Err(); err != nil {
		return fmt.Errorf("%s: %w", query, err)
	}
	return nil
}

// names reads the names on record, and puts new ones on record before their numbers are used.
func (s *file) names() (_ store.Names, err error) {
	var have store.Names
	lists := have.Lists()
	if err := s.rows("SELECT kind, name FROM name ORDER BY kind, n", func(st *sqlite3.Stmt) {
		if kind := st.ColumnInt(0); kind >= 0 && kind < len(lists) {
			*lists[kind] = append(*lists[kind], st.ColumnText(1))
		}
	}); err != nil {
		return have, err
	}
	all := have.With(s.cfg.Names)
	tx, err := s.conn.BeginImmediate()
	if err != nil {
		return have, err
	}
	defer tx.End(&err)
	st, _, err := s.conn.Prepare("INSERT INTO name VALUES (?1, ?2, ?3)")
	if err != nil {
		return have, err
	}
	defer st.Close()
	for kind, list := range all.Lists() {
		for n := len(*lists[kind]); n < len(*list); n++ {
			if err := exec(st, kind, n, (*list)[n]); err != nil {
				return have, err
			}
		}
	}
	return all, nil
}

// recover reads what is owed. It runs before the writer does.
func (s *file) recover() (store.Recovered, policy.MessageID, error) {
	r := store.Recovered{Memories: map[string]*store.Memory{}}
	var latest, last int64
	err := errors.Join(
		s.rows(`SELECT m.seq, id, key, class, dest, deadline, body, coalesce(attempts, 0), coalesce(flags, 0), coalesce(ran, 0), coalesce(zone, 0),
				-1, 0 FROM message m LEFT JOIN past p ON p.seq = m.seq
			UNION ALL SELECT seq, id, '', 0, dest, 0, x'', attempts, 0, 0, 0, kind, retry FROM answer WHERE told IS NULL
			ORDER BY 1`, func(st *sqlite3.Stmt) {
			m := &message.Message{Seq: policy.MessageID(st.ColumnInt64(0)), ID: st.ColumnText(1), Key: st.ColumnText(2),
				Class: st.ColumnInt(3), Dest: st.ColumnInt(4), Deadline: time.UnixMicro(st.ColumnInt64(5)), Body: st.ColumnBlob(6, nil)}
			m.Past = message.Past{Attempts: st.ColumnInt(7), RanAt: message.FromMicros(st.ColumnInt64(9)), RanZone: st.ColumnInt(10)}
			m.Past.SetFlags(st.ColumnInt64(8))
			m.Past.Interrupt()
			if kind := st.ColumnInt(11); kind >= 0 {
				m.End = &message.End{Kind: message.Kind(kind), RetryAfter: time.Duration(st.ColumnInt64(12)) * time.Millisecond}
			}
			r.Owed = append(r.Owed, m)
		}),
		s.rows(`SELECT name, failed, back FROM endpoint`, func(st *sqlite3.Stmt) {
			e := store.Memory{FailedAt: message.FromMicros(st.ColumnInt64(1)), BackAt: message.FromMicros(st.ColumnInt64(2))}
			r.Memories[st.ColumnText(0)] = &e
		}),
		s.rows(`SELECT endpoint, at FROM call ORDER BY n`, func(st *sqlite3.Stmt) {
			name := st.ColumnText(0)
			if r.Memories[name] == nil {
				r.Memories[name] = &store.Memory{}
			}
			r.Memories[name].Sent = append(r.Memories[name].Sent, time.UnixMicro(st.ColumnInt64(1)))
		}),
		s.rows(`SELECT latest FROM meta`, func(st *sqlite3.Stmt) { latest = st.ColumnInt64(0) }),
		// A number is never given twice, also when the message that had it is gone.
		s.rows(`SELECT max(coalesce((SELECT seq FROM sqlite_sequence WHERE name = 'message'), 0), coalesce((SELECT max(seq) FROM answer), 0))`,
			func(st *sqlite3.Stmt) { last = st.ColumnInt64(0) }))
	if err == nil {
		err = s.loadIDs()
	}
	if err == nil {
		r.Names, err = s.names()
	}
	if err != nil {
		return store.Recovered{}, 0, fmt.Errorf("reading what is owed: %w", err)
	}
	r.Rebase(message.FromMicros(latest), time.Now())
	return r, policy.MessageID(last), nil
}

// Find implements [group.Finder].
func (s *file) Find(ids []string) ([]error, error) {
	results := make([]error, len(ids))
	for i, id := range ids {
		kind, retry, ok, err := s.answered(id)
		if err != nil {
			return nil, err
		}
		if ok {
			results[i] = &store.KnownError{End: &message.End{Kind: message.Kind(kind), RetryAfter: time.Duration(retry) * time.Millisecond}}
			continue
		}
		running, err := s.running(id)
		if err != nil {
			return nil, err
		}
		if running {
			results[i] = &store.KnownError{}
		}
	}
	return results, nil
}

// running tells whether a message without an answer has an id.
func (s *file) running(id string) (bool, error) {
	st := s.st.running
	if err := bind(st, id); err != nil {
		return false, err
	}
	found := st.Step()
	return found, st.Reset()
}
