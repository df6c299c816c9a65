package sqlite

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"

	"github.com/ncruces/go-sqlite3"
)

var (
	duringBackup       = failpoint.New("store/sqlite/during-backup")
	beforeBackupRename = failpoint.New("store/sqlite/before-backup-rename")
)

// Inspector implements [store.Inspector] on the file of a store, also while a node uses it. It does not change the file,
// and is not safe for concurrent use.
type Inspector struct {
	path string
	conn *sqlite3.Conn
}

// Inspect opens the file of a store, for reading and writing although it does not change it. It returns an error if the file
// is not a store, or if its schema is not the one of this program.
func Inspect(path string) (*Inspector, error) {
	c, err := openConnection("file:"+path, sqlite3.OPEN_READWRITE|sqlite3.OPEN_URI)
	if err != nil {
		return nil, fmt.Errorf("opening %s: %w", path, err)
	}
	i := &Inspector{path: path, conn: c}
	err = func() error {
		if _, err := c.Config(sqlite3.DBCONFIG_NO_CKPT_ON_CLOSE, true); err != nil {
			return err
		}
		if err := c.BusyTimeout(openTimeout); err != nil {
			return err
		}
		v, err := version(c, path)
		if err != nil {
			return err
		}
		if v < len(migrations) {
			return fmt.Errorf("%s has schema version %d, want %d: run 'wingmount store migrate', or start the node", path, v, len(migrations))
		}
		return nil
	}()
	if err != nil {
		return nil, singleLineError{errors.Join(err, c.Close())}
	}
	return i, nil
}

// Close closes the file.
func (i *Inspector) Close() error { return i.conn.Close() }

// Check implements [store.Inspector]. It reads all pages, indexes and rows, and compares the file with its witness.
func (i *Inspector) Check(context.Context) error {
	st, _, err := i.conn.Prepare("PRAGMA integrity_check(10)")
	if err != nil {
		return singleLineError{err}
	}
	defer func() { _ = st.Close() }()
	for st.Step() {
		if text := st.ColumnText(0); text != "ok" {
			return singleLineError{fmt.Errorf("%s is damaged: %s", i.path, text)}
		}
	}
	if err := st.Err(); err != nil {
		return singleLineError{fmt.Errorf("%s is damaged: %w", i.path, err)}
	}
	if err := errors.Join(checkRows(i.conn, i.path), checkSequence(i.conn, i.path)); err != nil {
		return singleLineError{err}
	}
	// The witness is read first: a node that is running writes each commit to the file before it writes it to the witness.
	want, _ := readWitness(i.path + "-witness")
	commits, err := queryInt(i.conn, "SELECT commits FROM meta")
	if err != nil {
		return err
	}
	if want > commits {
		return fmt.Errorf("%s: %w: got %d, want %d", i.path, errLostCommits, commits, want)
	}
	return nil
}

// Stat implements [store.Inspector].
func (i *Inspector) Stat(context.Context) ([]store.Figure, error) {
	f := []store.Figure{{Name: "schema", Value: int64(len(migrations))}}
	for _, q := range []struct{ name, query string }{
		{"commits", "SELECT commits FROM meta"},
		{"last commit", "SELECT latest FROM meta"},
		{"running", "SELECT count(*) FROM message"},
		{"oldest running", "SELECT coalesce(min(taken), 0) FROM message"},
		{"attempts at running", "SELECT coalesce(sum(attempts), 0) FROM past"},
		{"answers owed", "SELECT count(*) FROM answer WHERE told IS NULL"},
		{"answers kept", "SELECT count(*) FROM answer WHERE told IS NOT NULL"},
		{"segments of ids", "SELECT count(*) FROM segment"},
		{"pages", "PRAGMA page_count"},
		{"free pages", "PRAGMA freelist_count"},
	} {
		n, err := queryInt(i.conn, q.query)
		if err != nil {
			return nil, singleLineError{err}
		}
		var v any = n
		switch q.name {
		case "last commit", "oldest running":
			if v = "-"; n > 0 {
				v = message.FromUnixMicros(n).Format("2006-01-02 15:04:05.000")
			}
		}
		f = append(f, store.Figure{Name: q.name, Value: v})
	}
	return append(f, store.Figure{Name: "bytes a page", Value: int64(pageBytes)}, store.Figure{Name: "WAL bytes", Value: fileBytes(i.path + "-wal")},
		store.Figure{Name: "intent bytes", Value: fileBytes(i.path + "-intents")}), nil
}

// fileBytes returns the size of a file, or 0 if it can't be determined.
func fileBytes(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.Size()
}

// Entries implements [store.Inspector]. A query for one id reads all responses on record.
func (i *Inspector) Entries(_ context.Context, id string, visit func(store.Entry) error) error {
	st, _, err := i.conn.Prepare(`SELECT m.seq, id, dest, taken, deadline, coalesce(attempts, 0), coalesce(flags, 0), -1, 0, 0, 0, length(body)
			FROM message m LEFT JOIN past p ON p.seq = m.seq WHERE ?1 = '' OR id = ?1
		UNION ALL SELECT seq, id, dest, taken, 0, attempts, 0, kind, retry, ended, coalesce(told, 0), 0 FROM answer WHERE ?1 = '' OR id = ?1
		ORDER BY 1`)
	if err != nil {
		return singleLineError{err}
	}
	defer func() { _ = st.Close() }()
	if err := st.BindText(1, id); err != nil {
		return err
	}
	for st.Step() {
		e := store.Entry{Seq: st.ColumnInt64(0), ID: st.ColumnText(1), Dest: st.ColumnInt(2), Accepted: optionalTime(st.ColumnInt64(3)), Attempts: st.ColumnInt(5)}
		switch kind := st.ColumnInt(7); {
		case kind < 0:
			e.State = store.StateRunning
			e.Deadline, e.Bytes = optionalTime(st.ColumnInt64(4)), st.ColumnInt(11)
			var p message.History
			p.SetFlags(st.ColumnInt64(6))
			e.MayHaveRun, e.Outstanding = p.MayHaveRun, p.Outstanding
		default:
			e.State, e.Outcome = store.StatePending, message.ResponseKind(kind).String()
			e.RetryInMs, e.Completed, e.Notified = st.ColumnInt64(8), optionalTime(st.ColumnInt64(9)), optionalTime(st.ColumnInt64(10))
			if e.Notified != nil {
				e.State = store.StateNotified
			}
		}
		if err := visit(e); err != nil {
			return err
		}
	}
	if err := st.Err(); err != nil {
		return singleLineError{err}
	}
	return nil
}

// optionalTime converts Unix microseconds, and returns nil for 0.
func optionalTime(us int64) *time.Time {
	if us == 0 {
		return nil
	}
	t := time.UnixMicro(us)
	return &t
}

// Backup implements [store.Inspector]. It writes the copy to a temporary file, which it syncs and then renames. It does not
// overwrite an existing file. While it runs, the WAL grows by the writes of the node.
func (i *Inspector) Backup(_ context.Context, to string) (err error) {
	if _, err := os.Stat(to); !errors.Is(err, os.ErrNotExist) {
		return errors.Join(fmt.Errorf("%s already exists", to), err)
	}
	part := to + ".part"
	if err := os.Remove(part); err != nil && !errors.Is(err, os.ErrNotExist) { // left by an interrupted backup
		return err
	}
	defer func() {
		if err != nil {
			err = singleLineError{errors.Join(err, removeIfExists(part))}
		}
	}()
	st, _, err := i.conn.Prepare("VACUUM INTO ?1")
	if err != nil {
		return err
	}
	defer func() { _ = st.Close() }()
	if err := exec(st, part); err != nil {
		return fmt.Errorf("writing %s: %w", part, err)
	}
	if err := duringBackup.At(); err != nil {
		return err
	}
	for _, path := range []string{part, filepath.Dir(to)} {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		if err := errors.Join(f.Sync(), f.Close()); err != nil {
			return err
		}
	}
	if err := beforeBackupRename.At(); err != nil {
		return err
	}
	return os.Rename(part, to)
}

func removeIfExists(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// Migrate migrates the file of a stopped node to the schema of this program, and returns the schema versions before and
// after.
func Migrate(cfg Config) (from, to int, err error) {
	lock, err := lockFile(cfg.Path)
	if err != nil {
		return 0, 0, err
	}
	defer func() { err = errors.Join(err, lock.Close()) }()
	c, err := openConnection("file:"+cfg.Path, sqlite3.OPEN_READWRITE|sqlite3.OPEN_URI)
	if err != nil {
		return 0, 0, fmt.Errorf("opening %s: %w", cfg.Path, err)
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	if from, err = version(c, cfg.Path); err != nil {
		return 0, 0, singleLineError{err}
	}
	if err := checkContent(c, cfg.Path, from); err != nil {
		return from, from, singleLineError{err}
	}
	return from, len(migrations), migrate(c, from)
}
