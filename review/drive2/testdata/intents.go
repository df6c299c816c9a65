package main

import (
	"fmt"
	"path/filepath"
	"strings"
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

// playIntents: a node on SQLite. While another program has the write lock of its file, one of two buildings is shut and
// turns messages away unseen; they go to the other building, which is slow. The node is killed and started again.
func playIntents(r *run) error {
	const (
		window       = 12 * time.Second
		messages     = 12
		partners     = 4 // in the same two buildings
		firstPartner = 10
		slow         = 1400 * time.Millisecond // a usual call of 160 ms, 8.8 times slower
	)
	p := newPartner(r, window)
	var shut atomic.Bool
	shut.Store(true)
	r.logf("the endpoints in ops-building are shut from now on")
	opens := time.Now().Add(6 * time.Second) // shut for 5.9 to 21 s
	endpoint := func(name, building string, open func() bool) (string, error) {
		return p.endpoint(name, building, func([]string) (int, time.Duration, time.Duration) {
			if !open() {
				return 503, 0, 0
			}
			return 0, 0, slow
		})
	}
	var destinations strings.Builder
	for i := range partners {
		ops, err := endpoint(fmt.Sprint("billing-ops-", i), "ops-building", func() bool { return !shut.Load() })
		if err != nil {
			return err
		}
		annex, err := endpoint(fmt.Sprint("billing-annex-", i), "annex", func() bool { return true })
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
	// Two retailers keep the node's slots busy, so that messages gather.
	other := newPartner(r, window)
	var retail [2]string
	for i := range retail {
		var err error
		if retail[i], err = other.endpoint(fmt.Sprint("retail-", i), "annex", func([]string) (int, time.Duration, time.Duration) { return 0, 0, slow }); err != nil {
			return err
		}
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
[[destination]]
number = 8
name = "retailer 8"
  [[destination.endpoint]]
  name = "retail-8"
  address = %q
  building = "annex"
[[destination]]
number = 9
name = "retailer 9"
  [[destination.endpoint]]
  name = "retail-9"
  address = %q
  building = "annex"
%s`, listen, answers.address, retail[0], retail[1], destinations.String()))
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
	for i := range 8 {
		m := handIn{fmt.Sprint("retail-", i), "meter-message", fmt.Sprint("key-r", i), 8 + i%2, 28 * time.Second, []byte("usage")}
		if status, err := submit(listen, m); status != 202 {
			return fmt.Errorf("%s: %d, %v", m.id, status, err)
		}
	}
	until := time.Now().Add(slow) // the slots are busy
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
	time.Sleep(time.Until(until) + 900*time.Millisecond)
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
	time.Sleep(time.Until(opens))
	shut.Store(false)
	r.logf("ops-building is open")
	time.Sleep(time.Until(until) + 29*time.Second)
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
