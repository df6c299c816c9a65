package pgserver

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/ncruces/go-sqlite3"
)

// defaultLockTimeout is how long a statement waits for a lock without lock_timeout.
const defaultLockTimeout = time.Minute

// database is one session's connection to SQLite.
type database struct{ conn *sqlite3.Conn }

// openDatabase opens the database file, with the functions of PostgreSQL that the dialect has.
func openDatabase(path string, now func() time.Time) (*database, error) {
	conn, err := sqlite3.Open("file:" + path)
	if err != nil {
		return nil, err
	}
	err = errors.Join(
		conn.BusyTimeout(defaultLockTimeout),
		conn.Exec("PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF"),
		conn.CreateFunction("now_us", 0, 0, func(ctx sqlite3.Context, _ ...sqlite3.Value) { ctx.ResultInt64(now().UnixMicro()) }),
		conn.CreateFunction("pg_is_in_recovery", 0, 0, func(ctx sqlite3.Context, _ ...sqlite3.Value) { ctx.ResultBool(false) }),
	)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return &database{conn}, nil
}

func (d *database) close() { _ = d.conn.Close() }

// rollback rolls the transaction back if one is open.
func (d *database) rollback() error {
	if d.conn.GetAutocommit() {
		return nil
	}
	return d.exec(context.Background(), "ROLLBACK")
}

// exec runs a statement without parameters and rows.
func (d *database) exec(ctx context.Context, text string) error {
	old := d.conn.SetInterrupt(ctx)
	defer d.conn.SetInterrupt(old)
	return withState(d.conn.Exec(text))
}

func (d *database) setReadOnly(readOnly bool) error {
	return withState(d.conn.Exec(fmt.Sprintf("PRAGMA query_only=%t", readOnly)))
}

// set applies lock_timeout, in milliseconds and 0 for the default, and ignores other settings.
func (d *database) set(text string) error {
	match := settingPattern.FindStringSubmatch(text)
	if match == nil || !strings.EqualFold(match[1], "lock_timeout") {
		return nil
	}
	milliseconds, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(match[2], "ms")))
	if err != nil {
		return newStateError(stateInvalidParameter, "lock_timeout is no number")
	}
	timeout := time.Duration(milliseconds) * time.Millisecond
	if timeout == 0 {
		timeout = defaultLockTimeout
	}
	return withState(d.conn.BusyTimeout(timeout))
}

// prepare returns a statement with the types of its parameters and its columns.
func (x *session) prepare(text string, parameterTypes []uint32) (*statement, error) {
	st := &statement{text: text, parameterOIDs: parameterOIDs(text, parameterTypes)}
	switch firstWord(text) {
	case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SET", "DISCARD", "DEALLOCATE", "RESET", "":
		return st, nil
	}
	if x.status == statusFailed {
		return nil, errTransactionFailed
	}
	prepared, _, err := x.db.conn.Prepare(translate(text))
	if err != nil {
		return nil, withState(err)
	}
	if prepared == nil {
		return nil, newStateError(stateSyntaxError, "an empty statement")
	}
	defer func() { _ = prepared.Close() }()
	for i := range prepared.ColumnCount() {
		st.columns = append(st.columns, describeColumn(prepared, i))
	}
	return st, nil
}

// describeColumn returns the description of a column. One without a declared type is a bigint.
func describeColumn(prepared *sqlite3.Stmt, column int) pgproto3.FieldDescription {
	oid, ok := typeOIDs[strings.ToLower(prepared.ColumnDeclType(column))]
	if !ok {
		oid = oidInt8
	}
	return pgproto3.FieldDescription{Name: []byte(prepared.ColumnName(column)), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1}
}

// run runs a statement, passes each row to send, and returns the tag of the completed command.
func (d *database) run(ctx context.Context, p *portal, send func([][]byte)) (tag string, err error) {
	prepared, _, err := d.conn.Prepare(translate(p.text))
	if err != nil {
		return "", withState(err)
	}
	defer func() { _ = prepared.Close() }()
	old := d.conn.SetInterrupt(ctx)
	defer d.conn.SetInterrupt(old)
	for i, value := range p.values {
		if err := bindValue(prepared, i+1, value); err != nil {
			return "", withState(err)
		}
	}
	before := d.conn.TotalChanges()
	rows := 0
	for prepared.Step() {
		rows++
		if len(p.columns) > 0 {
			send(encodeRow(prepared, p))
		}
	}
	if err := prepared.Err(); err != nil {
		return "", withState(err)
	}
	return commandTag(p.text, rows, d.conn.TotalChanges()-before), nil
}

// bindValue sets a parameter of a statement, counted from 1.
func bindValue(prepared *sqlite3.Stmt, parameter int, value any) error {
	switch v := value.(type) {
	case nil:
		return prepared.BindNull(parameter)
	case int64:
		return prepared.BindInt64(parameter, v)
	case bool:
		return prepared.BindBool(parameter, v)
	case string:
		return prepared.BindText(parameter, v)
	case []byte:
		if len(v) == 0 {
			return prepared.BindZeroBlob(parameter, 0)
		}
		return prepared.BindBlob(parameter, v)
	}
	return nil
}

// encodeRow returns the current row in the formats of a portal.
func encodeRow(prepared *sqlite3.Stmt, p *portal) [][]byte {
	values := make([][]byte, len(p.columns))
	for i := range values {
		values[i] = encodeColumn(prepared, i, p.columns[i].DataTypeOID, formatAt(p.resultFormats, i))
	}
	return values
}

// commandTag returns the tag of a completed command (protocol, 'CommandComplete').
func commandTag(text string, rows int, changed int64) string {
	switch command := firstWord(text); command {
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", changed)
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", command, changed)
	case "SELECT", "WITH":
		return fmt.Sprintf("SELECT %d", rows)
	default:
		return command
	}
}
