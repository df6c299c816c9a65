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
	take, known, answered, past, drop, dropPast, answer, told, call, endpoint, meta *sqlite3.Stmt
	oldAnswers, dropAnswer, oldCalls, oldEndpoints                                  *sqlite3.Stmt
	all                                                                             []*sqlite3.Stmt
}

func (st *statements) prepare(c *sqlite3.Conn) error {
	for _, p := range []struct {
		to   **sqlite3.Stmt
		text string
	}{
		{&st.take, `INSERT INTO message SELECT ?1, ?2, ?3, ?4, ?5, ?6, ?7, ?8
			WHERE NOT EXISTS (SELECT 1 FROM answer WHERE id = ?2) ON CONFLICT (id) DO NOTHING`},
		{&st.answered, `SELECT kind, retry FROM answer WHERE id = ?1`},
		{&st.past, `INSERT INTO past SELECT ?1, ?2, ?3, ?4, ?5 WHERE EXISTS (SELECT 1 FROM message WHERE seq = ?1)
			ON CONFLICT (seq) DO UPDATE SET attempts = ?2, flags = ?3, ran = ?4, zone = ?5`},
		{&st.answer, `INSERT INTO answer SELECT seq, id, ?2, ?3, dest, coalesce((SELECT attempts FROM past WHERE seq = ?1), 0), taken, ?4, ?5
			FROM message WHERE seq = ?1`},
		{&st.drop, `DELETE FROM message WHERE seq = ?1`},
		{&st.dropPast, `DELETE FROM past WHERE seq = ?1`},
		{&st.told, `UPDATE answer SET told = ?2 WHERE seq = ?1 AND told IS NULL`},
		{&st.call, `INSERT INTO call (endpoint, at) VALUES (?1, ?2)`},
		{&st.endpoint, `INSERT INTO endpoint VALUES (?1, ?2, ?3) ON CONFLICT (name) DO UPDATE SET failed = ?2, back = ?3`},
		{&st.meta, `UPDATE meta SET commits = ?1, latest = max(latest, ?2)`},
		{&st.oldAnswers, `SELECT seq, told FROM answer WHERE seq > ?1 ORDER BY seq LIMIT ?2`},
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
	return st.Exec()
}

// Begin implements [group.Backend].
func (s *file) Begin() error {
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
	if err := s.write(batch, results); err != nil {
		if !s.conn.GetAutocommit() {
			if e := s.conn.Exec("ROLLBACK"); e != nil {
				s.log.Error("store: rolling back", "err", e)
			}
		}
		return nil, err
	}
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
		return err
	}
	s.commits++
	return nil
}

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
	if err := exec(s.st.take, m.Seq, m.ID, m.Key, m.Class, m.Dest, m.Deadline.UnixMicro(), o.At.UnixMicro(), m.Body); err != nil {
		return nil, err
	}
	if s.conn.Changes() > 0 {
		return nil, nil
	}
	known := &store.KnownError{}
	st := s.st.answered
	if err := st.BindText(1, m.ID); err != nil {
		return nil, err
	}
	if st.Step() {
		known.End = &message.End{Kind: message.Kind(st.ColumnInt(0)), RetryAfter: time.Duration(st.ColumnInt64(1)) * time.Millisecond}
	}
	return known, st.Reset()
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
		for _, err := range []error{
			exec(s.st.answer, o.Seqs[i], int(e.Kind), e.RetryAfter.Milliseconds(), o.At.UnixMicro(), told),
			exec(s.st.drop, o.Seqs[i]), exec(s.st.dropPast, o.Seqs[i]),
		} {
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// Idle implements [group.Backend]: it deletes a slice of what is too old to be kept.
func (s *file) Idle(now time.Time) (err error) {
	var old []int64
	st := s.st.oldAnswers
	if err := errors.Join(st.BindInt64(1, s.swept), st.BindInt(2, sweepMax)); err != nil {
		return err
	}
	seen := 0
	for st.Step() {
		seen++
		s.swept = st.ColumnInt64(0)
		if told := st.ColumnInt64(1); told != 0 && told < now.Add(-s.cfg.Keep).UnixMicro() {
			old = append(old, s.swept)
		}
	}
	if err := st.Reset(); err != nil {
		return err
	}
	if seen < sweepMax || len(old) == 0 {
		s.swept = 0 // from the oldest again: what is behind a slice of young ones is young
	}
	if len(old) == 0 && now.Before(s.sweepAt) {
		return nil
	}
	s.sweepAt = now.Add(10 * time.Second)
	if err := s.Begin(); err != nil {
		return err
	}
	defer func() {
		if err != nil && !s.conn.GetAutocommit() {
			err = errors.Join(err, s.conn.Exec("ROLLBACK"))
		}
	}()
	for _, seq := range old {
		if err := exec(s.st.dropAnswer, seq); err != nil {
			return err
		}
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
	return s.conn.Exec("COMMIT")
}

// recover reads what is owed. It runs before the writer does.
func (s *file) recover() (store.Recovered, policy.MessageID, error) {
	r := store.Recovered{Memories: map[string]*store.Memory{}}
	rows := func(query string, row func(*sqlite3.Stmt)) error {
		st, _, err := s.conn.Prepare(query)
		if err != nil {
			return fmt.Errorf("reading what is owed: %w", err)
		}
		defer st.Close()
		for st.Step() {
			row(st)
		}
		if err := st.Err(); err != nil {
			return fmt.Errorf("reading what is owed: %w", err)
		}
		return nil
	}
	var latest, last int64
	err := errors.Join(
		rows(`SELECT m.seq, id, key, class, dest, deadline, body, coalesce(attempts, 0), coalesce(flags, 0), coalesce(ran, 0), coalesce(zone, 0),
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
		rows(`SELECT name, failed, back FROM endpoint`, func(st *sqlite3.Stmt) {
			e := store.Memory{FailedAt: message.FromMicros(st.ColumnInt64(1)), BackAt: message.FromMicros(st.ColumnInt64(2))}
			r.Memories[st.ColumnText(0)] = &e
		}),
		rows(`SELECT endpoint, at FROM call ORDER BY n`, func(st *sqlite3.Stmt) {
			name := st.ColumnText(0)
			if r.Memories[name] == nil {
				r.Memories[name] = &store.Memory{}
			}
			r.Memories[name].Sent = append(r.Memories[name].Sent, time.UnixMicro(st.ColumnInt64(1)))
		}),
		rows(`SELECT latest FROM meta`, func(st *sqlite3.Stmt) { latest = st.ColumnInt64(0) }),
		// A number is never given twice, also when the message that had it is gone.
		rows(`SELECT max(coalesce((SELECT seq FROM sqlite_sequence WHERE name = 'message'), 0), coalesce((SELECT max(seq) FROM answer), 0))`,
			func(st *sqlite3.Stmt) { last = st.ColumnInt64(0) }))
	if err != nil {
		return store.Recovered{}, 0, err
	}
	r.Rebase(message.FromMicros(latest), time.Now())
	return r, policy.MessageID(last), nil
}
