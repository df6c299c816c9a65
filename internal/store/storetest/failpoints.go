package storetest

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"
	"wingmount/internal/failpoint"
	"wingmount/internal/message"
	"wingmount/internal/store"
	"wingmount/policy"
)

// testFailpoints crashes at every pass of every failure point during a fixed history. Calls that had returned before
// a crash are durable as they promise, and one that was under way took effect completely or not at all.
func (s Suite) testFailpoints(t *testing.T) {
	points := failpoint.Names(s.Failpoints)
	if len(points) == 0 {
		t.Fatalf("got no failure points that begin with %q", s.Failpoints)
	}
	crashes := 0
	for _, point := range points {
		t.Run(filepath.Base(point), func(t *testing.T) {
			passes := 0
			for s.crashAt(t, point, passes+1) {
				passes++
			}
			crashes += passes
			if passes == 0 && !slices.Contains(s.FailpointsElsewhere, point) {
				t.Errorf("%s: got no pass", point)
			}
		})
	}
	t.Logf("%d points, %d crashes", len(points), crashes)
}

// crashRun is one run of the fixed history beside the model, with a crash at one pass of a failure point. The crash
// is an image of the store's files, which are copied while the store waits at the point.
type crashRun struct {
	Suite
	store     store.Store
	at        time.Time // of the first attempt and of all outcomes; each message has its own attempt time and zone
	crashPass int       // the pass that crashes; the first is 1
	models    possibleModels
	// left are the contents that the crash may have left: those before and after the call during which it came. It is nil
	// until then.
	left []*model

	mu       sync.Mutex
	passes   int   // of the failure point; guarded by mu
	imageErr error // of the copy of the files; guarded by mu
}

// crashAt runs the history and crashes at a pass of a point. It reports whether there was such a pass.
func (s Suite) crashAt(t *testing.T, point string, crashPass int) bool {
	t.Helper()
	s.FailpointMessages = cmp.Or(s.FailpointMessages, defaultFailpointMessages)
	s.FailpointBodyBytes = cmp.Or(s.FailpointBodyBytes, defaultFailpointBodyBytes)
	dir := t.TempDir()
	live, image := filepath.Join(dir, "live"), filepath.Join(dir, "image")
	must(t, os.Mkdir(live, 0o700))
	c := &crashRun{Suite: s, crashPass: crashPass, models: possibleModels{current: newModel(), spills: s.Spills}}
	disarm, err := failpoint.Set(point, func() error {
		c.pass(func() error { return Image(live, image) })
		return nil
	})
	must(t, err)
	defer disarm()
	c.runHistory(t, live)
	disarm()
	must(t, c.imageError())
	if c.left == nil {
		return false
	}
	c.checkImage(t, image)
	return true
}

// pass counts a pass of the failure point, and copies the store's files at the one that crashes. It runs in goroutines of
// the store, which an error must not end.
func (c *crashRun) pass(copyFiles func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.passes++; c.passes == c.crashPass {
		c.imageErr = copyFiles()
	}
}

// imageError returns the error of the copy of the store's files.
func (c *crashRun) imageError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.imageErr
}

// runHistory opens the store, runs all messages of the history and closes it.
func (c *crashRun) runHistory(t *testing.T, dir string) {
	t.Helper()
	var err error
	c.store, _, err = c.Open(dir)
	must(t, err)
	c.noteCrash(nil)
	c.at = time.Now().Add(-time.Second).Truncate(time.Microsecond)
	for i := range c.FailpointMessages {
		c.runMessage(t, i)
	}
	must(t, c.store.Close())
	c.noteCrash(nil)
}

// noteCrash notes what the first crash may have left: what was possible before the call that was under way, if there was
// one, and what is possible now.
func (c *crashRun) noteCrash(before []*model) {
	if c.left == nil && c.crashed() {
		c.left = append(before, c.models.all()...)
	}
}

// crashed reports whether the pass that crashes has been reached.
func (c *crashRun) crashed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.passes >= c.crashPass
}

// do makes a call, which is durable or only ordered, and changes the models as the call changes the store.
func (c *crashRun) do(t *testing.T, durable bool, call func() error, change func(*model)) {
	t.Helper()
	before := c.models.all()
	must(t, call())
	c.models.apply(durable, change)
	c.noteCrash(before)
}

// runMessage runs the i-th message of the history. Each fourth is only accepted.
func (c *crashRun) runMessage(t *testing.T, i int) {
	t.Helper()
	id := fmt.Sprint("m", i)
	m := NewMessage(id, c.FailpointBodyBytes+i)
	c.do(t, true, func() error { return c.store.Accept(ctx, m) }, func(model *model) { model.accept(m) })
	if i%4 == 3 {
		return
	}
	zone, at := i%3, c.at.Add(time.Duration(i)*time.Millisecond)
	c.do(t, true, func() error { return c.store.RecordAttempt(ctx, newAttempt(at, zone, m)) },
		func(model *model) { model.byID[id].message.History.RecordAttempt(zone, at) })
	c.recordOutcome(t, m, []policy.Outcome{policy.Delivered, policy.RateLimited, policy.TimedOut}[i%4])
	if i%4 == 1 {
		response := message.FinalResponse{Kind: message.Rejected, RetryAfter: time.Second}
		c.do(t, true, func() error { return c.store.Complete(ctx, store.Completion{Message: m, Response: response}) },
			func(model *model) { model.byID[id].message.FinalResponse = &response })
	}
	if got := c.models.current.byID[id]; got.completed() && !got.notified && i > 4 {
		c.do(t, false, func() error { return c.store.MarkNotified(ctx, m) }, func(model *model) { model.byID[id].notified = true })
	}
}

// recordOutcome records the outcome of a message's attempt. Only that of a delivery is durable.
func (c *crashRun) recordOutcome(t *testing.T, m *message.Message, outcome policy.Outcome) {
	t.Helper()
	record := func() error {
		return c.store.RecordOutcome(ctx, store.Outcome{Message: m, Outcome: outcome, Endpoint: "e1", At: c.at})
	}
	c.do(t, outcome == policy.Delivered, record, func(model *model) {
		changed := model.byID[m.ID]
		changed.message.History.RecordOutcome(outcome)
		if outcome == policy.Delivered {
			changed.message.FinalResponse, changed.notified = &message.FinalResponse{Kind: message.Delivered}, !c.NotifiesDelivered
		}
	})
}

// checkImage opens the store from the image of the crash, and checks that it recovers one of the models that the
// crash may leave.
func (c *crashRun) checkImage(t *testing.T, image string) {
	t.Helper()
	opened, recovered, err := c.Open(image)
	must(t, err)
	defer func() { must(t, opened.Close()) }()
	var differences []string
	for _, m := range c.left {
		difference := m.difference(recovered)
		if difference == "" {
			return
		}
		differences = append(differences, difference)
	}
	t.Errorf("crash at pass %d: got none of the possible contents: %q", c.crashPass, differences)
}
