package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wingmount/internal/fail"
	"wingmount/internal/rig"
	"wingmount/internal/standin/partner"
)

// killRun is one life cut short at a failure point, and the life after it.
type killRun struct {
	store, point string
	pass         int
	maxMB, body  int
	messages     int
}

// run sends messages of all classes to a sound partner and to one that fails, kills the node
// at the point, starts it again and counts. Every message that was taken must have one
// answer, in time, and no effect beyond what its class allows.
func (k killRun) run(t *testing.T) rig.Tally {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	defer cancel()
	r, err := rig.New(rig.Config{Dir: t.TempDir(), Command: []string{os.Args[0]}, Env: []string{"WINGMOUNT_TEST_NODE=1", "GORACE=atexit_sleep_ms=0"},
		Store: k.store, Deadline: 3 * time.Second, Destinations: 2, Takes: 20 * time.Millisecond, MaxMB: k.maxMB, Body: k.body,
		Slack: 3 * time.Second}) // the machine may be busy: what is late is the demo's to show
	must(t, err)
	defer func() { must(t, r.Close()) }()
	r.Destinations[1].System.Set(partner.Fails)
	p, err := r.Start(ctx, fmt.Sprintf("%s=kill@%d", k.point, k.pass))
	if p == nil {
		t.Fatal(err)
	}
	var sending sync.WaitGroup
	var errs atomic.Pointer[error]
	if err != nil { // killed on its way up
		<-p.Ended()
		r.CountKill()
		p, err = r.Start(ctx, "")
		must(t, err)
	}
	hand := func(from, to int) {
		for i := from; i < to; i++ {
			sending.Go(func() {
				class := []string{rig.Keyed, rig.Idempotent, rig.Unsafe}[i%3]
				if err := r.Hand(ctx, fmt.Sprint("m", i), class, 1+i/3%2); err != nil {
					errs.Store(&err)
				}
			})
			time.Sleep(5 * time.Millisecond) // the pace of traffic, no wait for anything
		}
	}
	hand(0, k.messages)
	if r.Kills == 0 {
		select {
		case <-p.Ended():
			r.CountKill()
			p, err = r.Start(ctx, "")
			must(t, err)
		case <-ctx.Done():
			p.Kill()
			t.Fatalf("%s was never passed %d times", k.point, k.pass)
		}
	}
	hand(k.messages, k.messages+6)
	sending.Wait()
	if e := errs.Load(); e != nil {
		t.Error(*e)
	}
	r.Settle(ctx)
	p.Kill()
	tally := r.Tally()
	if broken := tally.Broken(); len(broken) > 0 || tally.Kills != 1 {
		t.Errorf("broken: %v; %+v\n%s", broken, tally, p.Log())
	}
	return tally
}

// Every failure point, every store, every class: nothing that was taken is lost, answered
// twice, run twice or out twice. The points are walked by enumeration.
func TestKilledAtEveryPoint(t *testing.T) {
	var points, messages, taken atomic.Int64
	t.Run("points", func(t *testing.T) {
		for _, store := range []string{"sqlite", "journal"} {
			for _, point := range fail.Names("") {
				if strings.HasPrefix(point, "store/") && !strings.HasPrefix(point, "store/"+store+"/") {
					continue
				}
				k := killRun{store: store, point: point, pass: 5, messages: 24}
				switch {
				case strings.HasPrefix(point, "engine/"), strings.Contains(point, "migrat"), strings.Contains(point, "retention"):
					k.pass = 1 // at the start, or rare
				case point == "store/journal/after-roll", point == "store/journal/before-remove":
					// Segments are begun and cleaned as the folder fills.
					k.pass, k.maxMB, k.body, k.messages = 2, 4, 60_000, 120
				}
				t.Run(store+" "+strings.ReplaceAll(point, "/", "."), func(t *testing.T) {
					t.Parallel()
					tally := k.run(t)
					points.Add(1)
					messages.Add(int64(tally.Handed))
					taken.Add(int64(tally.Taken))
				})
			}
		}
	})
	t.Logf("%d points and stores, %d messages handed in, %d taken", points.Load(), messages.Load(), taken.Load())
	if points.Load() == 0 {
		t.Error("no points")
	}
}
