package sqlite

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
	"wingmount/internal/store/storetest"
	"wingmount/internal/testkit"

	"github.com/ncruces/go-sqlite3"
)

// Databases that earlier versions wrote, without a WAL. Their bytes also depend on the version of SQLite, so the test that
// writes newestGoldenFile compares only its content.
const (
	goldenFile       = "golden/wingmount.db" // schema 4, with page checksums
	newestGoldenFile = "golden/schema5.db"   // with checksums of the rows
)

func goldenConfig(dir string) Config {
	return Config{
		Path: filepath.Join(dir, "wingmount.db"), Durability: Process, ResponseRetention: time.Hour, NotifyDelivered: true, segment: 2,
		Names: storetest.GoldenNames,
	}
}

// The store writes the same schema and rows as earlier versions.
func TestWrittenDatabaseEqualsGolden(t *testing.T) {
	c := goldenConfig(t.TempDir())
	setSeed(t, c)
	synctest.Test(t, func(t *testing.T) {
		s, _, err := Open(c, testkit.QuietLog())
		testkit.Must(t, err)
		storetest.WriteGoldenHistory(t, s)
		testkit.Must(t, s.Close())
	})
	testkit.Must(t, checkpoint(c))
	// The number of transactions depends on the grouping of the calls, so it is not compared.
	testkit.Golden(t, "database.sql", []byte(storetest.DatabaseText(t, c.Path, "meta.commits")))
	if testkit.UpdatesGolden() {
		data, err := os.ReadFile(c.Path)
		testkit.Must(t, err)
		testkit.Golden(t, newestGoldenFile, data)
	}
}

// setSeed creates a file with a fixed seed, so that the hashes of ids are the same in every run.
func setSeed(t *testing.T, c Config) {
	t.Helper()
	s, _ := mustOpen(t, c)
	testkit.Must(t, s.Close())
	db, err := openConnection("file:"+c.Path, sqlite3.OPEN_READWRITE)
	testkit.Must(t, err)
	testkit.Must(t, db.Exec("UPDATE meta SET seed = 42, checksum = row_checksum(one, commits, latest, 42)"))
	testkit.Must(t, db.Close())
}

// A database that an earlier version wrote is read with every field unchanged.
func TestGoldenDatabaseIsReadUnchanged(t *testing.T) {
	for _, file := range []string{goldenFile, newestGoldenFile} {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := goldenConfig(t.TempDir())
			testkit.CopyGolden(t, file, c.Path)
			_, _, err := Migrate(c)
			testkit.Must(t, err)
			i, err := Inspect(c.Path)
			testkit.Must(t, err)
			testkit.Golden(t, "entries.txt", []byte(storetest.EntriesText(t, i)))
			testkit.Must(t, i.Check(ctx))
			testkit.Must(t, i.Close())
			s, r, err := Open(c, testkit.QuietLog())
			testkit.Must(t, err)
			testkit.Golden(t, "recovered.txt", []byte(storetest.RecoveredText(r)))
			storetest.CheckGoldenIDs(t, s)
			testkit.Must(t, s.Close())
		})
	}
}
