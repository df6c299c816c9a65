package journal

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"wingmount/internal/store"
)

// inspectTries is how often a folder is read again that a node cleans meanwhile.
const inspectTries = 20

// Inspector looks at the folder of a journal, also while a node works on it.
type Inspector struct{ dir string }

// Inspect looks at a folder, which must be there.
func Inspect(dir string) (*Inspector, error) {
	if _, err := os.ReadDir(dir); err != nil {
		return nil, fmt.Errorf("looking at the journal: %w", err)
	}
	return &Inspector{dir}, nil
}

// read replays the folder as it is at one moment, and begins no segment. A segment that a
// node removes while it is read was moved on: the folder is read again.
func (i *Inspector) read() (*Journal, error) {
	var err error
	for range inspectTries {
		j := newJournal(Config{Dir: i.dir}, slog.New(slog.DiscardHandler))
		if err = j.replayAll(); err == nil {
			return j, nil
		}
		if !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
	}
	return nil, err
}

// Check implements [store.Inspector]. A tail that is torn is what a crash leaves, and no damage; a
// record that can't be read in the middle of a segment is.
func (i *Inspector) Check(context.Context) error {
	j, err := i.read()
	if err != nil {
		return err
	}
	var all []error
	for _, f := range j.faults {
		all = append(all, fmt.Errorf("%s: %s", i.dir, f))
	}
	return errors.Join(all...)
}

// Stat implements [store.Inspector].
func (i *Inspector) Stat(context.Context) ([]store.Figure, error) {
	j, err := i.read()
	if err != nil {
		return nil, err
	}
	running, owed, attempts := 0, 0, 0
	for _, m := range j.live {
		if m.FinalResponse != nil {
			owed++
			continue
		}
		running++
		attempts += m.History.Attempts
	}
	last := "-"
	if !j.latest.IsZero() {
		last = j.latest.Format("2006-01-02 15:04:05.000")
	}
	return []store.Figure{
		{Name: "segments", Value: len(j.segments)},
		{Name: "bytes", Value: j.diskSize()},
		{Name: "last attempt or telling", Value: last},
		{Name: "running", Value: running},
		{Name: "attempts at running", Value: attempts},
		{Name: "answers owed", Value: owed},
		{Name: "answers kept", Value: len(j.answers)},
		{Name: "torn tails", Value: j.tornTails},
	}, nil
}

// Entries implements [store.Inspector]. Of what was told the journal has only the answer; those come
// first, by their ids.
func (i *Inspector) Entries(_ context.Context, id string, hand func(store.Entry) error) error {
	j, err := i.read()
	if err != nil {
		return err
	}
	var all []store.Entry
	for name, a := range j.answers {
		all = append(all, store.Entry{ID: name, State: "told", Outcome: a.end.Kind.String(), RetryInMs: a.end.RetryAfter.Milliseconds()})
	}
	for _, m := range j.live {
		e := store.Entry{
			Seq: int64(m.Seq), ID: m.ID, State: "running", Dest: m.Destination, Bytes: len(m.Body), Attempts: m.History.Attempts,
			Outstanding: m.History.Outstanding, MayHaveRun: m.History.MayHaveRun,
		}
		deadline := m.Deadline
		e.Deadline = &deadline
		if m.FinalResponse != nil {
			e.State, e.Outcome, e.RetryInMs = "owed", m.FinalResponse.Kind.String(), m.FinalResponse.RetryAfter.Milliseconds()
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b store.Entry) int { return cmp.Or(cmp.Compare(a.Seq, b.Seq), strings.Compare(a.ID, b.ID)) })
	for _, e := range all {
		if id != "" && e.ID != id {
			continue
		}
		if err := hand(e); err != nil {
			return err
		}
	}
	return nil
}

// Backup implements [store.Inspector]: it copies the segments in their order, so that the copy is the
// journal up to some moment, into a folder that appears under its name once it is whole.
func (i *Inspector) Backup(_ context.Context, to string) (err error) {
	if _, err := os.Stat(to); !errors.Is(err, os.ErrNotExist) {
		return errors.Join(fmt.Errorf("%s is there already", to), err)
	}
	part := to + ".part"
	for range inspectTries {
		if err := errors.Join(os.RemoveAll(part), os.Mkdir(part, 0o700)); err != nil {
			return err
		}
		if err = i.copyTo(part); !errors.Is(err, os.ErrNotExist) {
			break
		}
	}
	if err != nil {
		return errors.Join(fmt.Errorf("copying %s: %w", i.dir, err), os.RemoveAll(part))
	}
	return os.Rename(part, to)
}

func (i *Inspector) copyTo(dir string) error {
	files, err := openSegments(i.dir)
	if err != nil {
		return err
	}
	defer closeAll(files)
	for _, from := range files {
		into, err := os.OpenFile(filepath.Join(dir, filepath.Base(from.Name())), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		_, err = io.Copy(into, from)
		if err := errors.Join(err, into.Sync(), into.Close()); err != nil {
			return err
		}
	}
	return nil
}

// Close implements [store.Inspector].
func (i *Inspector) Close() error { return nil }
