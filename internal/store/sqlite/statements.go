package sqlite

import (
	"fmt"
	"wingmount/policy"

	"github.com/ncruces/go-sqlite3"
)

// statements are the prepared statements of a connection.
type statements struct {
	accept, findResponse, findUnfinished, bucketEntries, history, deleteMessage, deleteHistory, recordResponse, markNotified, call, endpoint, meta *sqlite3.Stmt
	segment, bucket, reduceRetained, deleteSegment, deleteBuckets                                                                                  *sqlite3.Stmt
	scanResponses, deleteResponse, deleteOldCalls, deleteOldEndpoints                                                                              *sqlite3.Stmt
	all                                                                                                                                            []*sqlite3.Stmt
}

func (st *statements) prepare(c *sqlite3.Conn) error {
	for _, p := range []struct {
		to   **sqlite3.Stmt
		text string
	}{
		{&st.accept, `INSERT INTO message VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7, ?8, row_checksum(?1, ?2, ?3, ?4, ?5, ?6, ?7, ?8)) ON CONFLICT (id) DO NOTHING`},
		{&st.findResponse, `SELECT id, kind, retry FROM answer WHERE seq = ?1`},
		{&st.findUnfinished, `SELECT 1 FROM message WHERE id = ?1`},
		{&st.bucketEntries, `SELECT entries FROM bucket WHERE segment = ?1 AND n = ?2`},
		{&st.history, `INSERT INTO past SELECT ?1, ?2, ?3, ?4, ?5, row_checksum(?1, ?2, ?3, ?4, ?5) WHERE EXISTS (SELECT 1 FROM message WHERE seq = ?1)
			ON CONFLICT (seq) DO UPDATE SET attempts = ?2, flags = ?3, ran = ?4, zone = ?5, checksum = excluded.checksum`},
		{&st.recordResponse, `INSERT INTO answer SELECT seq, id, ?6, ?2, ?3, dest, n, taken, ?4, ?5, row_checksum(seq, id, ?6, ?2, ?3, dest, n, taken, ?4, ?5)
			FROM (SELECT m.seq, id, dest, taken, coalesce(attempts, 0) AS n FROM message m LEFT JOIN past p ON p.seq = m.seq WHERE m.seq = ?1) RETURNING id`},
		{&st.segment, `INSERT INTO segment VALUES (?1, ?2, ?3, row_checksum(?1, ?2, ?3))`},
		{&st.bucket, `INSERT INTO bucket VALUES (?1, ?2, ?3, row_checksum(?1, ?2, ?3))`},
		{&st.reduceRetained, `UPDATE segment SET kept = kept - ?2, checksum = row_checksum(n, kept - ?2, next) WHERE n = ?1`},
		{&st.deleteSegment, `DELETE FROM segment WHERE n = ?1`},
		{&st.deleteBuckets, `DELETE FROM bucket WHERE segment = ?1`},
		{&st.deleteMessage, `DELETE FROM message WHERE seq = ?1`},
		{&st.deleteHistory, `DELETE FROM past WHERE seq = ?1`},
		{&st.markNotified, `UPDATE answer SET told = ?2, checksum = row_checksum(seq, id, segment, kind, retry, dest, attempts, taken, ended, ?2)
			WHERE seq = ?1 AND told IS NULL`},
		{&st.call, `INSERT INTO call (endpoint, at, checksum) VALUES (?1, ?2, row_checksum(?1, ?2))`},
		{&st.endpoint, `INSERT INTO endpoint VALUES (?1, ?2, ?3, row_checksum(?1, ?2, ?3)) ON CONFLICT (name)
			DO UPDATE SET failed = ?2, back = ?3, checksum = excluded.checksum`},
		{&st.meta, `UPDATE meta SET commits = ?1, latest = max(latest, ?2), checksum = row_checksum(one, ?1, max(latest, ?2), seed)`},
		{&st.scanResponses, `SELECT seq, told, segment, id FROM answer WHERE seq > ?1 ORDER BY seq LIMIT ?2`},
		{&st.deleteResponse, `DELETE FROM answer WHERE seq = ?1`},
		{&st.deleteOldCalls, `DELETE FROM call WHERE n IN (SELECT n FROM call ORDER BY n LIMIT ?2) AND at < ?1`},
		{&st.deleteOldEndpoints, `DELETE FROM endpoint WHERE name IN (SELECT name FROM endpoint WHERE max(failed, back) < ?1 LIMIT ?2)`},
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
		_ = s.Close() // repeats the error of the statement's last step
	}
	st.all = nil
}

// exec binds the arguments to a statement that returns no rows, and runs it.
func exec(st *sqlite3.Stmt, args ...any) error {
	if err := bind(st, args...); err != nil {
		return err
	}
	return st.Exec()
}

// bind binds the arguments to the parameters of a statement.
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
			err = fmt.Errorf("binding parameter %d: unsupported type %T", i+1, a)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// forEachRow runs a query and calls a function for each of its rows.
func (s *backend) forEachRow(query string, row func(*sqlite3.Stmt)) error {
	st, _, err := s.conn.Prepare(query)
	if err != nil {
		return fmt.Errorf("%s: %w", query, err)
	}
	defer func() { _ = st.Close() }()
	for st.Step() {
		row(st)
	}
	if err := st.Err(); err != nil {
		return fmt.Errorf("%s: %w", query, err)
	}
	return nil
}
