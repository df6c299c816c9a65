package sqlite

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/storetest"
	"wingmount/internal/testkit"
	"wingmount/policy"

	"github.com/ncruces/go-sqlite3"
)

// TestMeasureStoreThroughput measures the figures of docs/operate/store.md. It takes long, and no other load may run on the
// machine:
//
//	WINGMOUNT_MEASURE=1 go test -run TestMeasureStoreThroughput -v ./internal/store/sqlite
//
// WINGMOUNT_MEASURE_ROWS=10000000 sets the maximum number of final responses in the file. The rates are messages per
// second, each with an accept, an attempt, a delivery and its notification.
func TestMeasureStoreThroughput(t *testing.T) {
	if os.Getenv("WINGMOUNT_MEASURE") == "" {
		t.Skip("a measurement: set WINGMOUNT_MEASURE")
	}
	maxRows := 1_000_000
	if v := os.Getenv("WINGMOUNT_MEASURE_ROWS"); v != "" {
		var err error
		maxRows, err = strconv.Atoi(v)
		testkit.Must(t, err)
	}
	const clients, rounds = 64, 5
	for _, d := range []Durability{Power, Process} {
		dir := t.TempDir()
		c := Config{Path: filepath.Join(dir, "a.db"), Durability: d, ResponseRetention: time.Hour, NotifyDelivered: true}
		var grouped, raw, single []float64
		for r := range rounds { // alternating, so that other load on the machine affects all three
			s, _ := mustOpen(t, c)
			grouped = append(grouped, storeRate(t, s, clients, 20_000, fmt.Sprint("a", r)))
			testkit.Must(t, s.Close())
			raw = append(raw, rawRate(t, filepath.Join(dir, "raw.db"), d, clients, 20_000, r))
			single = append(single, rawRate(t, filepath.Join(dir, "single.db"), d, 1, 3_000, r))
		}
		a, b, one := median(grouped), median(raw), median(single)
		t.Logf("durability %d, %d clients: store %.0f/s, same rows raw in groups %.0f/s (ratio %.2f), one transaction a message %.0f/s (ratio %.1f)",
			d, clients, a, b, a/b, one, a/one)
	}
	// Measure with final responses in the file, alternating between new files and the full one.
	dir := t.TempDir()
	full := Config{Path: filepath.Join(dir, "full.db"), Durability: Power, ResponseRetention: 100 * time.Hour, NotifyDelivered: true, NoCheck: true}
	filled := 0
	for _, rows := range []int{maxRows / 10, maxRows} {
		fill(t, full, filled, rows)
		filled = rows
		var with, without []float64
		for r := range rounds {
			empty := Config{Path: filepath.Join(dir, fmt.Sprint("empty", rows, r)), Durability: Power, ResponseRetention: 100 * time.Hour, NotifyDelivered: true}
			s, _ := mustOpen(t, empty)
			without = append(without, storeRate(t, s, clients, 20_000, fmt.Sprint("b", rows, r)))
			testkit.Must(t, s.Close())
			s, _ = mustOpen(t, full)
			with = append(with, storeRate(t, s, clients, 20_000, fmt.Sprint("c", rows, r)))
			testkit.Must(t, s.Close())
		}
		info, err := os.Stat(full.Path)
		testkit.Must(t, err)
		t.Logf("%d final responses (%d MB): %.0f/s, %.0f/s in an empty file (ratio %.2f)",
			rows, info.Size()>>20, median(with), median(without), median(with)/median(without))
	}
	// Measure recovery.
	c := Config{Path: filepath.Join(dir, "owed.db"), Durability: Process}
	s, _ := mustOpen(t, c)
	parallel(clients, 100_000, func(i int) {
		testkit.Must(t, s.Accept(ctx, storetest.NewMessage(fmt.Sprint("owed", i), 500)))
	})
	testkit.Must(t, s.Close())
	s = nil // for the garbage collector
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	s, r := mustOpen(t, c)
	took := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("recovery of %d pending messages of 500 bytes: %v, %d MB of heap", len(r.Pending), took.Round(time.Millisecond), (after.HeapAlloc-before.HeapAlloc)>>20)
	runtime.KeepAlive(r)
	testkit.Must(t, s.Close())
}

func median(v []float64) float64 {
	return slices.Sorted(slices.Values(v))[len(v)/2]
}

// parallel calls f with 0 to n-1 from several goroutines.
func parallel(workers, n int, f func(i int)) {
	var wg sync.WaitGroup
	var next atomic.Int64
	for range workers {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				f(i)
			}
		})
	}
	wg.Wait()
}

// scatteredID returns an id with a random position in an index, like the ids of clients.
func scatteredID(prefix string, i int) string {
	return fmt.Sprintf("%016x-%s-%d", uint64(i+1)*0x9e3779b97f4a7c15, prefix, i)
}

// storeRate returns the messages per second that a store processes for n messages of concurrent clients.
func storeRate(t *testing.T, s store.Store, clients, n int, prefix string) float64 {
	t.Helper()
	start := time.Now()
	parallel(clients, n, func(i int) {
		m := storetest.NewMessage(scatteredID(prefix, i), 500)
		testkit.Must(t, s.Accept(ctx, m))
		testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: "e1", At: time.Now(), Messages: []*message.Message{m}}))
		testkit.Must(t, s.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.Delivered, Endpoint: "e1", At: time.Now()}))
		testkit.Must(t, s.MarkNotified(ctx, m))
	})
	return float64(n) / time.Since(start).Seconds()
}

// rawRate writes the same rows by the same statements without a store, and returns the messages per second. The parameter
// group is the number of messages in a transaction.
func rawRate(t *testing.T, path string, d Durability, group, n, round int) float64 {
	t.Helper()
	s, _ := mustOpen(t, Config{Path: path, Durability: d, ResponseRetention: time.Hour, NotifyDelivered: true})
	testkit.Must(t, s.Close())
	db, err := openConnection("file:"+path, sqlite3.OPEN_READWRITE)
	testkit.Must(t, err)
	sync := map[Durability]string{Power: "FULL", Process: "NORMAL"}[d]
	testkit.Must(t, db.Exec("PRAGMA synchronous="+sync+"; PRAGMA wal_autocheckpoint=1000; PRAGMA cache_size=-16384"))
	var st statements
	testkit.Must(t, st.prepare(db))
	body := storetest.NewMessage("x", 500).Body
	now := time.Now().UnixMicro()
	base := round * 2 * n
	start := time.Now()
	tx := func(f func(seq int)) {
		testkit.Must(t, db.Exec("BEGIN IMMEDIATE"))
		for i := range group {
			f(base + i + 1)
		}
		testkit.Must(t, exec(st.meta, int64(base), now))
		testkit.Must(t, db.Exec("COMMIT"))
	}
	for done := 0; done < n; done += group {
		tx(func(seq int) {
			testkit.Must(t, exec(st.accept, seq, scatteredID("r", seq), "key", 1, 7, now, now, body))
		})
		tx(func(seq int) {
			testkit.Must(t, exec(st.call, "e1", now))
			testkit.Must(t, exec(st.history, seq, 1, 6, now, 0))
		})
		tx(func(seq int) {
			testkit.Must(t, exec(st.history, seq, 1, 5, now, 0))
			testkit.Must(t, bind(st.recordResponse, seq, 2, 0, now, nil, 0))
			for st.recordResponse.Step() {
			}
			testkit.Must(t, st.recordResponse.Reset())
			testkit.Must(t, exec(st.deleteMessage, seq))
			testkit.Must(t, exec(st.deleteHistory, seq))
		})
		tx(func(seq int) { testkit.Must(t, exec(st.markNotified, seq, now)) })
		base += group
	}
	took := time.Since(start)
	st.close()
	testkit.Must(t, db.Close())
	return float64(n) / took.Seconds()
}

// fill increases the number of final responses in a file from one number to another.
func fill(t *testing.T, c Config, from, to int) {
	t.Helper()
	s, _ := mustOpen(t, c)
	testkit.Must(t, s.Close())
	db, err := openConnection("file:"+c.Path, sqlite3.OPEN_READWRITE)
	testkit.Must(t, err)
	testkit.Must(t, db.Exec("PRAGMA synchronous=OFF; PRAGMA cache_size=-65536"))
	st, _, err := db.Prepare("INSERT INTO answer VALUES (?1, ?2, ?4, 2, 0, 7, 1, ?3, ?3, ?3, row_checksum(?1, ?2, ?4, 2, 0, 7, 1, ?3, ?3, ?3))")
	testkit.Must(t, err)
	now := time.Now().UnixMicro()
	last, err := queryInt(db, "SELECT coalesce(max(seq), 0) FROM answer")
	testkit.Must(t, err)
	openSegment, err := queryInt(db, "SELECT coalesce(max(segment), 0) + 1 FROM answer")
	testkit.Must(t, err)
	const rowsPerTransaction = 100_000
	for i := from; i < to; {
		testkit.Must(t, db.Exec("BEGIN IMMEDIATE"))
		for range min(rowsPerTransaction, to-i) {
			i++
			seq := last + int64(i-from)
			testkit.Must(t, exec(st, seq, scatteredID("f", i), now, openSegment+seq/maxSegmentResponses))
		}
		testkit.Must(t, db.Exec("COMMIT"))
	}
	testkit.Must(t, st.Close())
	testkit.Must(t, db.Close())
}
