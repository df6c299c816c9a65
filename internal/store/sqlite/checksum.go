package sqlite

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"

	"github.com/cespare/xxhash/v2"
	"github.com/ncruces/go-sqlite3"
)

// Each row has a checksum of its other columns, so that a changed bit in a record is found when the file is opened. It is
// part of the row and not of the page: any SQLite program may move pages from the WAL into the database file, as the last
// one to close the file does, and only this program computes the page checksums of the library.

// checksumSchema is the first schema version whose rows have checksums. Rows of earlier versions keep noChecksum until they
// are updated.
const checksumSchema = 5

// noChecksum is stored in rows that an earlier version wrote, which are not verified.
const noChecksum = 0

// checksumFunction is the SQL function that computes the checksum of its arguments.
const checksumFunction = "row_checksum"

// checkedTables contains the columns of each table that its checksum covers.
var checkedTables = []struct{ name, columns string }{
	{"meta", "one, commits, latest, seed"},
	{"message", "seq, id, key, class, dest, deadline, taken, body"},
	{"past", "seq, attempts, flags, ran, zone"},
	{"answer", "seq, id, segment, kind, retry, dest, attempts, taken, ended, told"},
	{"endpoint", "name, failed, back"},
	{"call", "endpoint, at"},
	{"segment", "n, kept, next"},
	{"bucket", "segment, n, entries"},
	{"name", "kind, n, name"},
}

// errDamagedRow is returned for a row that does not match its checksum.
var errDamagedRow = errors.New("rows do not match their checksums")

// openConnection opens a database file for the store or an inspector. Page checksums, which files of earlier versions have,
// are not verified: see the comment at the start of this file.
func openConnection(name string, flags sqlite3.OpenFlag) (*sqlite3.Conn, error) {
	c, err := sqlite3.OpenFlags(name, flags)
	if err != nil {
		return nil, err
	}
	err = errors.Join(
		c.Exec("PRAGMA checksum_verification=OFF"),
		c.CreateFunction(checksumFunction, -1, sqlite3.DETERMINISTIC|sqlite3.DIRECTONLY, newRowChecksum()))
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

// newRowChecksum returns the SQL function [checksumFunction] of one connection. The type of each value, and the length of a
// text or blob, are part of the checksum.
func newRowChecksum() sqlite3.ScalarFunction {
	var row []byte // reused by all calls, which are made one at a time
	return func(ctx sqlite3.Context, values ...sqlite3.Value) {
		row = row[:0]
		for _, v := range values {
			var err error
			if row, err = appendValue(row, v); err != nil {
				ctx.ResultError(err)
				return
			}
		}
		sum := int64(xxhash.Sum64(row))
		if sum == noChecksum {
			sum++
		}
		ctx.ResultInt64(sum)
	}
}

// appendValue appends the type and the content of a value.
func appendValue(row []byte, v sqlite3.Value) ([]byte, error) {
	kind := v.Type()
	row = append(row, byte(kind))
	var data []byte
	switch kind {
	case sqlite3.NULL:
		return row, nil
	case sqlite3.INTEGER:
		return binary.LittleEndian.AppendUint64(row, uint64(v.Int64())), nil
	case sqlite3.TEXT:
		data = v.RawText()
	case sqlite3.BLOB:
		data = v.RawBlob()
	default:
		return row, fmt.Errorf("%s: unsupported type %v", checksumFunction, kind)
	}
	row = binary.LittleEndian.AppendUint64(row, uint64(len(data)))
	return append(row, data...), nil
}

// checkContent returns an error if the pages, indexes or rows of a file with a schema version are damaged.
func checkContent(c *sqlite3.Conn, path string, version int) error {
	if err := checkPages(c, path); err != nil || version < checksumSchema {
		return err
	}
	if err := checkRows(c, path); err != nil {
		return err
	}
	return checkSequence(c, path)
}

// checkRows returns an error that names the table if a row does not match its checksum.
func checkRows(c *sqlite3.Conn, path string) error {
	for _, t := range checkedTables {
		n, err := queryInt(c, fmt.Sprintf("SELECT count(*) FROM %s WHERE checksum NOT IN (%d, %s(%s))", t.name, noChecksum, checksumFunction, t.columns))
		if err != nil {
			return fmt.Errorf("%s is damaged; it was not changed: %w", path, err)
		}
		if n > 0 {
			return fmt.Errorf("%s is damaged; it was not changed: table %s: %d %w", path, t.name, n, errDamagedRow)
		}
	}
	return nil
}

// checkSequence returns an error if a sequence number on record is above the highest assigned one that the file has: it
// would be assigned a second time.
func checkSequence(c *sqlite3.Conn, path string) error {
	n, err := queryInt(c, `SELECT count(*) FROM message WHERE seq > (SELECT coalesce(max(seq), 0) FROM sqlite_sequence WHERE name = 'message')`)
	if err != nil {
		return fmt.Errorf("%s is damaged; it was not changed: %w", path, err)
	}
	if n > 0 {
		return fmt.Errorf("%s is damaged; it was not changed: %d messages have a sequence number that was not assigned", path, n)
	}
	return nil
}

// warnOfStalePages logs a warning if a file of an earlier version has pages that do not match their page checksums: they are
// damaged, or another program has moved them from the WAL. The rows of such a file have no checksums that would tell which.
func warnOfStalePages(c *sqlite3.Conn, path string, log *slog.Logger) error {
	if err := c.Exec("PRAGMA checksum_verification=ON"); err != nil {
		return err
	}
	if err := checkPages(c, path); err != nil {
		log.Warn("store: pages do not match their checksums; another program wrote them, or they are damaged", "path", path, "err", err)
	}
	return c.Exec("PRAGMA checksum_verification=OFF")
}
