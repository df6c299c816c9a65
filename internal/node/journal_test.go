package node

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"wingmount/policy"
)

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func mustOpen(t *testing.T, dir string, limit int64) (*journal, []*message) {
	t.Helper()
	j, owed, err := openJournal(dir, limit, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.close() })
	return j, owed
}

func newMessage(id string, size int) *message {
	return &message{id: id, key: "k-" + id, dest: 7, deadline: time.Now().Add(20 * time.Second), body: make([]byte, size)}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// dirSize counts a folder as the platform does.
func dirSize(t *testing.T, dir string) int64 {
	t.Helper()
	files, err := os.ReadDir(dir)
	must(t, err)
	sum := int64(0)
	for _, f := range files {
		info, err := f.Info()
		must(t, err)
		sum += onDisk(info.Size())
	}
	return sum
}

// A new life finds what was taken, what lies behind it, and what is owed.
func TestJournalRestoresWhatIsOwed(t *testing.T) {
	dir := t.TempDir()
	j, _ := mustOpen(t, dir, minDisk)
	at := time.Now().Add(-3 * time.Second).Truncate(time.Microsecond)
	fresh, tried, out, turned, over, done := newMessage("fresh", 10), newMessage("tried", 0), newMessage("out", 3),
		newMessage("turned", 3), newMessage("over", 5), newMessage("done", 5)
	fresh.body = []byte("0123456\r\n9")
	for _, m := range []*message{fresh, tried, out, turned, over, done} {
		must(t, j.take(m))
	}
	must(t, j.attempt(tried, "e1", 1, at))
	must(t, j.outcome(tried, policy.TimedOut, "e1", at))
	must(t, j.attempt(tried, "e1", 1, at.Add(time.Second)))
	must(t, j.outcome(tried, policy.Full, "e1", at.Add(time.Second)))
	must(t, j.attempt(out, "e2", 1, at))
	must(t, j.attempt(turned, "e2", 1, at))
	must(t, j.outcome(turned, policy.Full, "e2", at))
	must(t, j.ended(over, newNotice("over", true, 500*time.Millisecond)))
	must(t, j.attempt(done, "e3", 0, at))
	must(t, j.closed(done, "e3", at))
	must(t, j.close())

	again, owed := mustOpen(t, dir, minDisk)
	got := map[string]*message{}
	for _, m := range owed {
		got[m.id] = m
	}
	if len(got) != 5 || got["done"] != nil {
		t.Fatalf("owed %v, want all but done", got)
	}
	m := got["fresh"]
	if string(m.body) != string(fresh.body) || m.key != "k-fresh" || m.dest != 7 || m.past != (past{}) ||
		m.deadline.UnixMicro() != fresh.deadline.UnixMicro() {
		t.Errorf("fresh came back as %+v", m)
	}
	if p := got["tried"].past; p.attempts != 2 || !p.mayRun || !p.settled || p.ranZone != 1 || !p.ranAt.Equal(at) {
		t.Errorf("tried came back with %+v", p)
	}
	if p := got["out"].past; p.attempts != 1 || !p.mayRun || !p.settled || p.out {
		t.Errorf("out came back with %+v: an attempt without an outcome may have run", p)
	}
	if p := got["turned"].past; p.attempts != 1 || p.mayRun {
		t.Errorf("turned came back with %+v: it never ran", p)
	}
	if n := got["over"].notice; n == nil || !n.HandedBack() || n.RetryInMs != 500 {
		t.Errorf("over came back with notice %+v", n)
	}
	if e := again.memories["e1"]; e == nil || len(e.sent) != 2 || !e.failedAt.Equal(at) || !e.backAt.IsZero() {
		t.Errorf("e1 is remembered as %+v", e)
	}
	next := newMessage("next", 1)
	must(t, again.take(next))
	if next.seq <= done.seq {
		t.Errorf("number %d was given before", next.seq)
	}
}

// A process that is killed may leave half a record, or a disk a broken one.
func TestJournalSurvivesATornTail(t *testing.T) {
	for name, spoil := range map[string]func([]byte) []byte{
		"torn":    func(b []byte) []byte { return b[:len(b)-5] },
		"head":    func(b []byte) []byte { return append(b, 9, 9, 9) },
		"length":  func(b []byte) []byte { return append(b, 255, 255, 255, 255, 0, 0, 0, 0) },
		"changed": func(b []byte) []byte { b[len(b)-3] ^= 1; return b },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			j, _ := mustOpen(t, dir, minDisk)
			must(t, j.take(newMessage("a", 100)))
			must(t, j.take(newMessage("b", 100)))
			must(t, j.close())
			path := segmentPath(dir, 1)
			data, err := os.ReadFile(path)
			must(t, err)
			must(t, os.WriteFile(path, spoil(data), 0o600))
			j, owed := mustOpen(t, dir, minDisk)
			if len(owed) == 0 || owed[0].id != "a" {
				t.Fatalf("owed %v, want a at least", owed)
			}
			must(t, j.take(newMessage("c", 100)))
			must(t, j.close())
			_, owed = mustOpen(t, dir, minDisk)
			if last := owed[len(owed)-1]; last.id != "c" {
				t.Errorf("what was written behind the torn tail is lost: last is %q", last.id)
			}
		})
	}
}

// The folder stays within its limit at every moment, full bodies are refused before
// it overflows, and nothing that is owed is lost by cleaning.
func TestJournalKeepsItsLimit(t *testing.T) {
	dir := t.TempDir()
	const limit = 1 << 20
	j, _ := mustOpen(t, dir, limit)
	var open []*message
	refused := 0
	for i := range 600 {
		m := newMessage(fmt.Sprint("m", i), maxBody-i%3*30000)
		switch err := j.take(m); {
		case errors.Is(err, errNoRoom):
			refused++
			if len(open) == 0 {
				t.Fatal("refused with nothing held")
			}
			for range 3 { // the newest go, so that old ones must be moved on
				last := open[len(open)-1]
				open = open[:len(open)-1]
				must(t, j.ended(last, newNotice(last.id, false, 0)))
				must(t, j.closed(last, "", time.Now()))
			}
		case err != nil:
			t.Fatal(err)
		default:
			open = append(open, m)
			for range 6 {
				must(t, j.attempt(m, "endpoint", 1, time.Now()))
				must(t, j.outcome(m, policy.Full, "endpoint", time.Now()))
			}
		}
		if size := dirSize(t, dir); size > limit {
			t.Fatalf("%d bytes in the folder after message %d, over %d", size, i, limit)
		}
	}
	if refused == 0 {
		t.Fatal("nothing was refused")
	}
	must(t, j.close())
	_, owed := mustOpen(t, dir, limit)
	if size := dirSize(t, dir); size > limit {
		t.Errorf("%d bytes in the folder after the next start", size)
	}
	if len(owed) != len(open) {
		t.Fatalf("%d messages came back, want %d", len(owed), len(open))
	}
	for i, m := range owed {
		if m.id != open[i].id || len(m.body) != len(open[i].body) || m.past.attempts != 6 {
			t.Errorf("message %d came back as %s with %d bytes and %d attempts", i, m.id, len(m.body), m.past.attempts)
		}
	}
}

// A failed write refuses the message; the journal goes on when the disk does.
func TestJournalRefusesOnAFailedWrite(t *testing.T) {
	dir := t.TempDir()
	j, _ := mustOpen(t, dir, minDisk)
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip("no /dev/full here")
	}
	good := j.file
	j.file = full
	if err := j.take(newMessage("a", 10)); err == nil || errors.Is(err, errNoRoom) {
		t.Fatalf("take on a full disk: %v", err)
	}
	j.file = good
	must(t, full.Close())
	must(t, j.take(newMessage("b", 10)))
	must(t, j.close())
	must(t, os.WriteFile(filepath.Join(dir, "stranger"), []byte("x"), 0o600))
	_, owed := mustOpen(t, dir, minDisk)
	if len(owed) != 1 || owed[0].id != "b" {
		t.Errorf("owed %v, want b", owed)
	}
}

// A journal that refuses new messages still has room for all that the held ones
// need until nothing is owed for them.
func TestFullJournalCarriesItsMessagesToTheirEnd(t *testing.T) {
	for _, size := range []int{0, 900, maxBody} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			dir := t.TempDir()
			j, _ := mustOpen(t, dir, minDisk)
			var open []*message
			for {
				m := newMessage(fmt.Sprint("m", len(open)), size)
				err := j.take(m)
				if errors.Is(err, errNoRoom) {
					break
				}
				must(t, err)
				open = append(open, m)
			}
			for range 6 {
				for _, m := range open {
					must(t, j.attempt(m, "an-endpoint-with-a-long-name", 1, time.Now()))
					must(t, j.outcome(m, policy.TimedOut, "an-endpoint-with-a-long-name", time.Now()))
				}
			}
			for _, m := range open {
				must(t, j.ended(m, newNotice(m.id, false, 0)))
			}
			if n := dirSize(t, dir); n > minDisk {
				t.Errorf("%d bytes in the folder, over %d", n, minDisk)
			}
			for _, m := range open {
				must(t, j.closed(m, "", time.Now()))
			}
			must(t, j.take(newMessage("next", size)))
		})
	}
}
