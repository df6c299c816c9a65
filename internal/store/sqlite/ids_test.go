package sqlite

import (
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/storetest"
	"wingmount/internal/testkit"

	"github.com/ncruces/go-sqlite3"
	"pgregory.net/rapid"
)

// A hashTable finds the same entries as a list, even if hashes collide.
func TestHashTableFindsSameEntriesAsList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x hashTable
		var list []entry
		for i := range rapid.IntRange(0, 60).Draw(t, "steps") {
			h := uint64(rapid.IntRange(0, 5).Draw(t, "hash"))
			if len(list) > 0 && rapid.Bool().Draw(t, "remove") {
				k := rapid.IntRange(0, len(list)-1).Draw(t, "which")
				x.remove(list[k])
				x.remove(entry{list[k].hash, -1}) // not in the table
				list = append(list[:k:k], list[k+1:]...)
			} else {
				x.add(entry{h, int64(i)})
				list = append(list, entry{h, int64(i)})
			}
			want := map[int64]bool{}
			for _, e := range list {
				if e.hash == h {
					want[e.seq] = true
				}
			}
			got := x.find(h, nil)
			for _, seq := range got {
				if !want[seq] {
					t.Fatalf("hash %d: found removed or unknown seq %d", h, seq)
				}
			}
			if len(got) != len(want) || x.len() != len(list) || len(x.entries()) != len(list) {
				t.Fatalf("hash %d: found %v, want %v; got %d entries in total, want %d", h, got, want, x.len(), len(list))
			}
		}
	})
}

// Across many segments, restarts and sweeps, an id is a duplicate for exactly as long as its response is on record, and
// is accepted again afterwards.
func TestIDIsDuplicateWhileResponseIsOnRecord(t *testing.T) {
	c := config(t.TempDir())
	c.segment = 16
	const n = 500
	s, _ := mustOpen(t, c)
	ms := make([]*message.Message, n)
	for i := range ms {
		ms[i] = storetest.NewMessage(fmt.Sprint("m", i), 0)
	}
	parallel(16, n, func(i int) {
		testkit.Must(t, s.Accept(ctx, ms[i]))
		testkit.Must(t, s.Complete(ctx, store.Completion{Message: ms[i], Response: message.FinalResponse{Kind: message.Rejected, RetryAfter: time.Duration(i) * time.Millisecond}}))
		if i%10 != 0 { // the other responses remain pending
			testkit.Must(t, s.MarkNotified(ctx, ms[i]))
		}
	})
	isDuplicate := func(s store.Store, i int) bool {
		var duplicate *store.DuplicateError
		err := s.Accept(ctx, storetest.NewMessage(ms[i].ID, 0))
		switch {
		case err == nil:
			return false
		case !errors.As(err, &duplicate):
			t.Fatal(err)
		case duplicate.Response == nil || duplicate.Response.RetryAfter != time.Duration(i)*time.Millisecond:
			t.Fatalf("%s: got response %+v, want one with a retry after %d ms", ms[i].ID, duplicate.Response, i)
		}
		return true
	}
	for restart := range 3 {
		for i := range ms {
			if !isDuplicate(s, i) {
				t.Fatalf("%s after %d restarts: accepted, want it rejected as a duplicate", ms[i].ID, restart)
			}
		}
		testkit.Must(t, s.Close())
		s, _ = mustOpen(t, c)
	}
	testkit.Must(t, s.Close())
	db, err := sqlite3.Open("file:" + c.Path)
	testkit.Must(t, err)
	count := func(table string) int64 {
		t.Helper()
		v, err := queryInt(db, "SELECT count(*) FROM "+table)
		testkit.Must(t, err)
		return v
	}
	if segments := count("segment"); segments < n/16/2 {
		t.Errorf("sealed segments: got %d, want %d or more", segments, n/16/2)
	}
	c.ResponseRetention = 0
	s, _ = mustOpen(t, c)
	testkit.Eventually(t, "notified responses deleted", func() bool { return count("answer") == n/10 })
	for i := range ms {
		if isDuplicate(s, i) != (i%10 == 0) {
			t.Errorf("%s: got duplicate %v, want %v", ms[i].ID, i%10 != 0, i%10 == 0)
		}
	}
	for i := 0; i < n; i += 10 {
		testkit.Must(t, s.MarkNotified(ctx, ms[i]))
	}
	testkit.Eventually(t, "all responses deleted", func() bool { return count("answer") == 0 })
	testkit.Eventually(t, "their segments deleted", func() bool { return count("segment") == 0 && count("bucket") == 0 })
	testkit.Must(t, s.Close())
	testkit.Must(t, db.Close())
}

// The ids in a file that was migrated from the schema without segments are found. The file contains more responses than one
// segment.
func TestIDsOfMigratedFileAreFound(t *testing.T) {
	path := filepath.Join(t.TempDir(), "old.db")
	db, err := sqlite3.Open("file:" + path)
	testkit.Must(t, err)
	testkit.Must(t, db.Exec(migrations[0]))
	testkit.Must(t, db.Exec(migrations[1]))
	testkit.Must(t, db.Exec(fmt.Sprintf("PRAGMA application_id = %d; PRAGMA user_version = 2", applicationID)))
	const n = maxSegmentResponses + 100
	testkit.Must(t, db.Exec(fmt.Sprintf(`WITH RECURSIVE i(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM i WHERE n < %d)
		INSERT INTO answer SELECT n, 'id' || n, 2, n, 7, 1, 1, 1, CASE WHEN n %% 1000 <> 0 THEN 1 END FROM i`, n)))
	testkit.Must(t, db.Close())
	for range 2 {
		s, r := mustOpen(t, Config{Path: path, Durability: Process, ResponseRetention: 1000000 * time.Hour, NotifyDelivered: true})
		if len(r.Pending) != n/1000 {
			t.Errorf("pending messages: got %d, want %d", len(r.Pending), n/1000)
		}
		for _, i := range []int{1, 2, maxSegmentResponses - 1, maxSegmentResponses, maxSegmentResponses + 1, n} {
			var duplicate *store.DuplicateError
			if err := s.Accept(ctx, storetest.NewMessage(fmt.Sprint("id", i), 0)); !errors.As(err, &duplicate) || duplicate.Response == nil || duplicate.Response.RetryAfter != time.Duration(i)*time.Millisecond {
				t.Errorf("id%d: got %v, want a duplicate with a retry after %d ms", i, err, i)
			}
		}
		testkit.Must(t, s.Close())
	}
}

// While segments are added and removed, no filter misses an id of its segment, and few filters match other ids.
func TestSignaturesMissNoIDAndMatchFewOthers(t *testing.T) {
	const size = 200
	x := newSignatures(size)
	rng := rand.New(rand.NewPCG(1, 2))
	live := map[column][]uint64{}
	falsePositives, lookups := 0, 0
	for step := range 400 {
		if step%3 == 2 || len(live) > 150 {
			for c := range live {
				x.remove(c)
				delete(live, c)
				break
			}
		} else {
			hashes := make([]uint64, size)
			for i := range hashes {
				hashes[i] = rng.Uint64()
			}
			c := x.add(hashes)
			if live[c] != nil {
				t.Fatalf("column %v was assigned twice", c)
			}
			live[c] = hashes
		}
		for c, hashes := range live {
			if matches := x.find(hashes[step%size], nil); matches[c.block]&(1<<c.bit) == 0 {
				t.Fatalf("step %d: a hash of column %v was not found", step, c)
			}
		}
		for _, matches := range x.find(rng.Uint64(), nil) {
			falsePositives += bits.OnesCount64(matches)
		}
		lookups += len(live)
	}
	if len(live) < 65 || lookups < 10_000 {
		t.Fatalf("got %d live segments and %d lookups, want 65 and 10000 or more", len(live), lookups)
	}
	if rate := float64(falsePositives) / float64(lookups); rate > 0.003 {
		t.Errorf("rate of false positives: got %.4f, want 0.003 at most", rate)
	}
	for c := range live {
		x.remove(c)
	}
	if len(x.blocks) != 0 {
		t.Errorf("blocks without segments: got %d, want 0", len(x.blocks))
	}
}
