package storetest

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
	"wingmount/internal/store"

	"github.com/ncruces/go-sqlite3"
)

// timeText returns a time as golden files have it.
func timeText(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000000Z")
}

// RecoveredText returns every field of what a store has recovered as text that is compared with golden files. Its words
// and their order stay when fields are renamed.
func RecoveredText(recovered store.Recovered) string {
	var b strings.Builder
	for _, m := range recovered.Pending {
		fmt.Fprintf(&b, "message %d id=%q key=%q class=%d dest=%d deadline=%s body=%q\n", m.Seq, m.ID, m.Key, m.Class, m.Destination, timeText(m.Deadline), m.Body)
		history := m.History
		fmt.Fprintf(&b, "  past attempts=%d settled=%t out=%t may_run=%t ran_at=%s ran_zone=%d\n", history.Attempts, history.CompletedMayHaveRun, history.Outstanding, history.MayHaveRun, timeText(history.RanAt), history.RanZone)
		if response := m.FinalResponse; response != nil {
			fmt.Fprintf(&b, "  end kind=%d retry=%v implied=%t\n", response.Kind, response.RetryAfter, response.Implied)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(recovered.EndpointHealth)) {
		health := recovered.EndpointHealth[name]
		fmt.Fprintf(&b, "endpoint %s failed=%s back=%s sent", name, timeText(health.FailedAt), timeText(health.RecoveredAt))
		for _, at := range health.CallTimes {
			b.WriteString(" " + timeText(at))
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "names classes=%q zones=%q\n", recovered.Names.Classes, recovered.Names.Zones)
	return b.String()
}

// DatabaseText returns the schema and the rows of a SQLite database as statements, which are the same for files of the
// same content. Columns named in masked, as TABLE.COLUMN, are written as 0.
func DatabaseText(t *testing.T, path string, masked ...string) string {
	t.Helper()
	connection, err := sqlite3.Open("file:" + path)
	must(t, err)
	defer func() { must(t, connection.Close()) }()
	var b strings.Builder
	var tables []string
	query(t, connection, "SELECT type, name, sql FROM sqlite_schema WHERE sql IS NOT NULL ORDER BY rowid", func(statement *sqlite3.Stmt) {
		if name := statement.ColumnText(1); statement.ColumnText(0) == "table" {
			tables = append(tables, name)
		}
		if !strings.HasPrefix(statement.ColumnText(1), "sqlite_") { // SQLite creates its own tables and indexes
			b.WriteString(statement.ColumnText(2) + ";\n")
		}
	})
	slices.Sort(tables)
	for _, table := range tables {
		var rows []string
		query(t, connection, "SELECT * FROM "+table, func(statement *sqlite3.Stmt) {
			var values []string
			for i := range statement.ColumnCount() {
				if slices.Contains(masked, table+"."+statement.ColumnName(i)) {
					values = append(values, "0")
					continue
				}
				values = append(values, valueText(statement, i))
			}
			rows = append(rows, fmt.Sprintf("INSERT INTO %s VALUES (%s);\n", table, strings.Join(values, ", ")))
		})
		slices.Sort(rows)
		b.WriteString(strings.Join(rows, ""))
	}
	return b.String()
}

// query runs a query and calls a function for each row.
func query(t *testing.T, connection *sqlite3.Conn, text string, row func(*sqlite3.Stmt)) {
	t.Helper()
	statement, _, err := connection.Prepare(text)
	must(t, err)
	for statement.Step() {
		row(statement)
	}
	must(t, statement.Close())
}

// valueText returns a column as a literal of SQL.
func valueText(statement *sqlite3.Stmt, i int) string {
	switch statement.ColumnType(i) {
	case sqlite3.NULL:
		return "NULL"
	case sqlite3.TEXT:
		return "'" + strings.ReplaceAll(statement.ColumnText(i), "'", "''") + "'"
	case sqlite3.BLOB:
		return fmt.Sprintf("x'%x'", statement.ColumnBlob(i, nil))
	case sqlite3.INTEGER, sqlite3.FLOAT:
	}
	return statement.ColumnText(i)
}

// EntriesText returns the entries of all messages in an inspector, as the lines of JSON that operators read.
func EntriesText(t *testing.T, inspector store.Inspector) string {
	t.Helper()
	must(t, inspector.Check(ctx))
	var b strings.Builder
	must(t, inspector.Entries(ctx, "", func(e store.Entry) error {
		for _, at := range []**time.Time{&e.Accepted, &e.Deadline, &e.Completed, &e.Notified} {
			if *at != nil {
				utc := (*at).UTC()
				*at = &utc
			}
		}
		line, err := json.Marshal(e)
		b.Write(append(line, '\n'))
		return err
	}))
	return b.String()
}
