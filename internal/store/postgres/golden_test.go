package postgres

import (
	"path/filepath"
	"testing"
	"testing/synctest"
	"wingmount/internal/store/storetest"
	"wingmount/internal/testkit"

	"github.com/ncruces/go-sqlite3"
)

// The schema and rows that earlier versions wrote, as the stand-in for a server keeps them. That of schema 4 has no table for
// the rules in use.
const (
	goldenDatabase  = "database.sql"
	schema4Database = "database-schema4.sql"
)

// The store writes the schema and the rows that it always wrote.
func TestGoldenWrite(t *testing.T) {
	dir := t.TempDir()
	srv := stoppedServer(t, dir)
	synctest.Test(t, func(t *testing.T) {
		c := config(srv, "n1")
		c.Names = storetest.GoldenNames
		s, _, err := Open(ctx, c, testkit.QuietLog())
		testkit.Must(t, err)
		storetest.WriteGoldenHistory(t, s)
		testkit.Must(t, s.Close())
	})
	testkit.Must(t, srv.Close())
	// How many transactions were made of the calls is not fixed.
	testkit.Golden(t, goldenDatabase, []byte(storetest.DatabaseText(t, filepath.Join(dir, "pg.db"), "lease.commits")))
}

// A database that an earlier version wrote is read with every field as it was.
func TestGoldenRead(t *testing.T) {
	for _, database := range []string{schema4Database, goldenDatabase} {
		t.Run(database, func(t *testing.T) { testGoldenRead(t, database) })
	}
}

func testGoldenRead(t *testing.T, database string) {
	t.Helper()
	dir := t.TempDir()
	db, err := sqlite3.Open("file:" + filepath.Join(dir, "pg.db"))
	testkit.Must(t, err)
	testkit.Must(t, db.Exec(string(testkit.ReadGolden(t, database))))
	testkit.Must(t, db.Close())
	srv, err := server(dir)
	testkit.Must(t, err)
	if database == goldenDatabase { // an inspector reads the present schema only
		i, err := Inspect(ctx, srv.URL())
		testkit.Must(t, err)
		testkit.Golden(t, "entries.txt", []byte(storetest.EntriesText(t, i)))
		testkit.Must(t, i.Close())
	}
	c := config(srv, "n1")
	c.Names = storetest.GoldenNames
	s, r, err := Open(ctx, c, testkit.QuietLog())
	testkit.Must(t, err)
	testkit.Golden(t, "recovered.txt", []byte(storetest.RecoveredText(r)))
	storetest.CheckGoldenIDs(t, s)
	testkit.Must(t, s.Close())
	testkit.Must(t, srv.Close())
}
