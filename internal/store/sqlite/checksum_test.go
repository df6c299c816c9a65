package sqlite

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/internal/store/storetest"
	"wingmount/internal/testkit"
	"wingmount/policy"
)

// copyWAL does what a program with plain SQLite does when it is the last one to close a database file: it copies the newest
// committed version of each page from the WAL into the file, byte for byte, and removes the WAL.
func copyWAL(t *testing.T, c Config) (pages int) {
	t.Helper()
	const walHeaderBytes, frameHeaderBytes = 32, 24
	wal, err := os.ReadFile(c.Path + "-wal")
	testkit.Must(t, err)
	file, err := os.OpenFile(c.Path, os.O_RDWR, 0)
	testkit.Must(t, err)
	salt := string(wal[16:24])
	uncommitted := map[uint32][]byte{}
	for frames := wal[walHeaderBytes:]; len(frames) >= frameHeaderBytes+pageBytes; frames = frames[frameHeaderBytes+pageBytes:] {
		if string(frames[8:16]) != salt {
			break // left by an earlier use of the WAL
		}
		uncommitted[binary.BigEndian.Uint32(frames)] = frames[frameHeaderBytes : frameHeaderBytes+pageBytes]
		databasePages := binary.BigEndian.Uint32(frames[4:])
		if databasePages == 0 {
			continue
		}
		for page, content := range uncommitted {
			_, err := file.WriteAt(content, int64(page-1)*pageBytes)
			testkit.Must(t, err)
			pages++
		}
		testkit.Must(t, file.Truncate(int64(databasePages)*pageBytes))
		clear(uncommitted)
	}
	testkit.Must(t, file.Close())
	testkit.Must(t, os.Remove(c.Path+"-wal"))
	testkit.Must(t, os.RemoveAll(c.Path+"-shm"))
	return pages
}

// Guards against a store that never starts again after another SQLite program was the last one to close its file.
func TestOpenAfterCheckpointByOtherProgram(t *testing.T) {
	dir, image := t.TempDir(), t.TempDir()
	s, _ := mustOpen(t, config(dir))
	const n = 50
	for i := range n {
		testkit.Must(t, s.Accept(ctx, storetest.NewMessage(fmt.Sprint("m", i), 3000)))
	}
	testkit.Must(t, storetest.Image(dir, image)) // the files that a killed process leaves
	testkit.Must(t, s.Close())
	c := config(image)
	if pages := copyWAL(t, c); pages == 0 {
		t.Fatal("the WAL contained no committed pages")
	}
	s, r := mustOpen(t, c)
	if len(r.Pending) != n {
		t.Errorf("pending messages: got %d, want %d", len(r.Pending), n)
	}
	for _, m := range r.Pending {
		testkit.Must(t, s.Complete(ctx, store.Completion{Message: m, Response: message.FinalResponse{Kind: message.Rejected}}))
	}
	testkit.Must(t, s.Close())
	i, err := Inspect(c.Path)
	testkit.Must(t, err)
	testkit.Must(t, i.Check(ctx))
	testkit.Must(t, i.Close())
}

// Guards against a file of an earlier version, which has page checksums, that does not open since another program has
// written its pages.
func TestOpenOldFileWithStalePageChecksums(t *testing.T) {
	const pageChecksumBytes = 8
	c := goldenConfig(t.TempDir())
	testkit.CopyGolden(t, goldenFile, c.Path)
	data, err := os.ReadFile(c.Path)
	testkit.Must(t, err)
	if data[20] != pageChecksumBytes {
		t.Fatalf("reserved bytes of a page: got %d, want %d", data[20], pageChecksumBytes)
	}
	for end := pageBytes; end <= len(data); end += pageBytes {
		clear(data[end-pageChecksumBytes : end])
	}
	testkit.Must(t, os.WriteFile(c.Path, data, 0o600))
	for _, wantWarning := range []bool{true, false} { // the first open migrates the file
		var log strings.Builder
		s, r, err := Open(c, slog.New(slog.NewTextHandler(&log, nil)))
		testkit.Must(t, err)
		if len(r.Pending) == 0 {
			t.Error("no pending messages")
		}
		if got := strings.Contains(log.String(), "pages do not match their checksums"); got != wantWarning {
			t.Errorf("got warning %t, want %t: %s", got, wantWarning, log.String())
		}
		storetest.CheckGoldenIDs(t, s)
		testkit.Must(t, s.Close())
	}
}

// Guards against a changed bit that is not found: with any bit of the file flipped, the store either does not open or has
// exactly the rows that it had before.
func TestFlippedBitIsFoundOrHarmless(t *testing.T) {
	c := config(t.TempDir())
	c.Names = store.Names{Classes: []string{"urgent", "bulk"}, Zones: []string{"north", "south"}}
	s, _ := mustOpen(t, c)
	at := time.Now()
	for i := range 40 {
		m := storetest.NewMessage(fmt.Sprint("m", i), 700*(i%8))
		testkit.Must(t, s.Accept(ctx, m))
		if i%2 == 0 {
			testkit.Must(t, s.RecordAttempt(ctx, store.Attempt{Endpoint: fmt.Sprint("e", i%3), At: at, Messages: []*message.Message{m}}))
			testkit.Must(t, s.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: policy.Failed, Endpoint: fmt.Sprint("e", i%3), At: at}))
		}
		if i%3 == 0 {
			testkit.Must(t, s.Complete(ctx, store.Completion{Message: m, Response: message.FinalResponse{Kind: message.Rejected}}))
		}
		if i%6 == 0 {
			testkit.Must(t, s.MarkNotified(ctx, m))
		}
	}
	testkit.Must(t, s.Close())
	// The order of calls has no meaning, and the schema's text is not compared: SQLite rejects it if it can't be parsed.
	rows := func(path string) string {
		text := storetest.DatabaseText(t, path, "call.n", "sqlite_sequence.seq", "sqlite_sequence.name")
		return text[strings.Index(text, "INSERT INTO answer"):]
	}
	want := rows(c.Path)
	original, err := os.ReadFile(c.Path)
	testkit.Must(t, err)
	const seed, flips = 20261204, 400
	rng := rand.New(rand.NewPCG(seed, seed))
	found := 0
	for range flips {
		flipped := config(t.TempDir())
		bit := rng.IntN(8 * len(original))
		data := append([]byte(nil), original...)
		data[bit/8] ^= 1 << (bit % 8)
		testkit.Must(t, os.WriteFile(flipped.Path, data, 0o600))
		i, err := Inspect(flipped.Path)
		if err != nil {
			found++
			continue
		}
		if err := i.Check(ctx); err != nil {
			found++
		} else if got := rows(flipped.Path); got != want {
			t.Errorf("seed %d: bit %d of page %d, byte %d: the rows differ, and no error was found", seed, bit%8, bit/8/pageBytes+1, bit/8%pageBytes)
		}
		testkit.Must(t, i.Close())
	}
	t.Logf("seed %d: %d of %d flipped bits were found, the others changed no row", seed, found, flips)
}
