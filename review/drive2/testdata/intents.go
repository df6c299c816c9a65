package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ncruces/go-sqlite3"
)

func init() { scenarios["intents"] = playIntents }

// lockDatabase takes the write lock of a SQLite file as another program would, and returns what releases it.
func lockDatabase(path string) (unlock func() error, err error) {
	db, err := sqlite3.Open("file:" + path)
	if err != nil {
		return nil, err
	}
	if err := db.BusyTimeout(5 * time.Second); err != nil {
		return nil, err
	}
	if err := db.Exec("BEGIN IMMEDIATE"); err != nil {
		return nil, err
	}
	return func() error {
		err := db.Exec("ROLLBACK")
		if e := db.Close(); err == nil {
			err = e
		}
		return err
	}, nil
}

// playIntents: a node on SQLite has messages for four partners with an endpoint in each of two buildings, 30% of all messages.
// These partners are slow for 10 s, and their endpoints in ops-building are shut for 6 s. Meanwhile another program has the
// write lock of the node's file, and messages that one building turns away unseen go to the other. The node is killed and
// started again.
func playIntents(r *run) error {
	const (
		window       = 12 * time.Second
		messages     = 12
		partners     = 4 // in the same two buildings
		firstPartner = 10
		retailers    = 4
		retail       = 28                     // messages for retailers, which are sound
		usual        = 200 * time.Millisecond // a call at usual pace: 170 to 300 ms
		slow         = 9 * usual              // 8.8 to 20 times slower
		shutFor      = 6 * time.Second        // 5.9 to 21 s
		slowFor      = 10 * time.Second       // 5.9 to 17 s
	)
	p := newPartner(r, window)
	start := time.Now()
	r.logf("the partners are slow for %v, and shut in ops-building for %v", slowFor, shutFor)
	pace := func() time.Duration {
		if time.Since(start) < slowFor {
			return slow
		}
		return usual
	}
	var refused sync.Map // ids that ops-building has turned away
	var moved atomic.Int64
	ran := make(chan struct{})
	inOps := func(partner int) behaviour { // three of four partners tell until when they are shut
		return func(ids []string) (int, time.Duration, time.Duration) {
			opens := shutFor - time.Since(start)
			if opens <= 0 {
				return 0, 0, pace()
			}
			refused.Store(ids[0], true)
			if partner == partners-1 {
				return 503, 0, 0
			}
			return 429, opens, 0
		}
	}
	inAnnex := func(ids []string) (int, time.Duration, time.Duration) {
		if _, was := refused.Load(ids[0]); was && moved.Add(1) == 2 {
			close(ran)
		}
		return 0, 0, pace()
	}
	var destinations strings.Builder
	for i := range partners {
		ops, err := p.endpoint(fmt.Sprint("billing-ops-", i), "ops-building", inOps(i))
		if err != nil {
			return err
		}
		annex, err := p.endpoint(fmt.Sprint("billing-annex-", i), "annex", inAnnex)
		if err != nil {
			return err
		}
		fmt.Fprintf(&destinations, `
[[destination]]
number = %d
name = "billing partner %d"
routes_apart = true
  [[destination.endpoint]]
  name = "billing-ops-%d"
  address = %q
  building = "ops-building"
  [[destination.endpoint]]
  name = "billing-annex-%d"
  address = %q
  building = "annex"
`, firstPartner+i, i, i, ops, i, annex)
	}
	// Retailers at usual pace keep the node's slots busy, so that messages gather.
	other := newPartner(r, window)
	for i := range retailers {
		at, err := other.endpoint(fmt.Sprint("retail-", i), "annex", func([]string) (int, time.Duration, time.Duration) { return 0, 0, usual })
		if err != nil {
			return err
		}
		fmt.Fprintf(&destinations, `
[[destination]]
number = %d
name = "retailer %d"
  [[destination.endpoint]]
  name = "retail-%d"
  address = %q
  building = "annex"
`, firstPartner+partners+i, i, i, at)
	}
	answers, err := newReceiver(r, 0)
	if err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	config, err := r.write("gateway.toml", fmt.Sprintf(`
name = "gateway-1"
listen = %q
[store]
kind = "sqlite"
path = "wingmount.db"
[answers]
url = "http://%s/answers"
[limits]
held = 200
slots = 8
[[class]]
name = "meter-message"
repeat = "keyed"
window = "12s"
group = "building"
wanted = "3s"
deadline = "28s"
late_worth = 0.5
%s`, listen, answers.address, destinations.String()))
	if err != nil {
		return err
	}
	command := "bin/wingmount run --config " + config
	node, err := r.start("node", command, "WINGMOUNT_DEBUG=1")
	if err != nil {
		return err
	}
	if err := awaitReady(node, listen, 10*time.Second); err != nil {
		return err
	}
	for i := range retail {
		m := handIn{fmt.Sprint("retail-", i), "meter-message", fmt.Sprint("key-r", i), firstPartner + partners + i%retailers, 28 * time.Second, []byte("usage")}
		if status, err := submit(listen, m); status != 202 {
			return fmt.Errorf("%s: %d, %v", m.id, status, err)
		}
	}
	var taken []string
	for i := range messages {
		id := fmt.Sprint("bill-", i)
		status, err := submit(listen, handIn{id, "meter-message", fmt.Sprint("key-", i), firstPartner + i%partners, 28 * time.Second, []byte("payment")})
		r.logf("client: %s is answered %d, %v", id, status, err)
		if status == 202 {
			taken = append(taken, id)
		}
	}
	if len(taken) < messages/2 {
		return fmt.Errorf("%d messages were taken on", len(taken))
	}
	unlock := func() error { return nil }
	if r.trouble {
		if unlock, err = lockDatabase(filepath.Join(r.dir, "wingmount.db")); err != nil {
			return err
		}
		r.logf("another program has the write lock of the database")
	}
	select {
	case <-ran:
		r.logf("two messages that were turned away in ops-building run in annex")
		time.Sleep(slow / 3)
	case <-time.After(4 * time.Second):
		r.logf("less than two messages that were turned away in ops-building run in annex")
	}
	if r.trouble {
		r.logf("the node is killed")
		if err := node.signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-node.exited
		if err := unlock(); err != nil {
			return err
		}
		r.logf("the other program has let go of the database")
		if node, err = r.start("node", command, "WINGMOUNT_DEBUG=1"); err != nil {
			return err
		}
		if err := awaitReady(node, listen, 10*time.Second); err != nil {
			return err
		}
		r.logf("the node is ready again")
	}
	time.Sleep(time.Until(start.Add(shutFor)))
	r.logf("ops-building is open")
	time.Sleep(time.Until(start.Add(30 * time.Second)))
	twice, runs := 0, 0
	for _, id := range taken {
		all := p.effects(id)
		runs += len(all)
		r.logf("%s: ran %d times, answered %v", id, len(all), answers.of(id))
		for _, e := range all {
			r.logf("   at %.3f in %s", e.at.Sub(r.begin).Seconds(), e.building)
		}
		if len(all) > 1 {
			twice++
		}
	}
	r.keepLogs("node", 120)
	if runs == 0 {
		return fmt.Errorf("nothing ran")
	}
	if twice > 0 {
		return fmt.Errorf("%w: %d of %d messages ran twice", errBroken, twice, len(taken))
	}
	return nil
}
