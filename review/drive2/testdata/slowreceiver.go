package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["results"] = playResults }

// playResults: a node on SQLite posts its final responses to a receiver that takes 4 ms to commit a line. The receiver
// answers 503 for 10 s, and is sound before and after.
func playResults(r *run) error {
	const (
		line     = 4 * time.Millisecond
		rate     = 37 // messages a second
		traffic  = 14 * time.Second
		downFrom = 2 * time.Second
		downTo   = 12 * time.Second
		end      = 80 * time.Second
	)
	p := newPartner(r, 12*time.Second)
	at, err := p.endpoint("billing-ops", "ops-building", func([]string) (int, time.Duration, time.Duration) { return 0, 0, 50 * time.Millisecond })
	if err != nil {
		return err
	}
	answers, err := newReceiver(r, line)
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
[[class]]
name = "meter-message"
repeat = "keyed"
window = "12s"
group = "building"
wanted = "3s"
deadline = "28s"
late_worth = 0.5
[[destination]]
number = 7
name = "billing partner"
  [[destination.endpoint]]
  name = "billing-ops"
  address = %q
  building = "ops-building"
`, listen, answers.address, at))
	if err != nil {
		return err
	}
	node, err := r.start("node", "bin/wingmount run --config "+config)
	if err != nil {
		return err
	}
	if err := awaitReady(node, listen, 10*time.Second); err != nil {
		return err
	}
	start := time.Now()
	if r.trouble {
		time.AfterFunc(downFrom, func() { answers.setDown(true); r.logf("the receiver answers 503 from now on") })
		time.AfterFunc(downTo, func() { answers.setDown(false); r.logf("the receiver is back") })
	}
	var mu sync.Mutex
	var taken []string
	var sending sync.WaitGroup
	for i := 0; time.Since(start) < traffic; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / rate)))
		sending.Go(func() {
			id := fmt.Sprint("bill-", i)
			status, err := submit(listen, handIn{id, "meter-message", "key-" + id, 7, 28 * time.Second, []byte("payment")})
			r.notef("client: %s is answered %d, %v", id, status, err)
			if status == 202 {
				mu.Lock()
				taken = append(taken, id)
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	r.logf("%d messages were taken on", len(taken))
	missing := func() (ids []string) {
		for _, id := range taken {
			if len(answers.of(id)) == 0 {
				ids = append(ids, id)
			}
		}
		return ids
	}
	for next := time.Now(); time.Since(start) < end && len(missing()) > 0; next = next.Add(5 * time.Second) {
		time.Sleep(time.Until(next))
		ids, requests := answers.count()
		r.logf("%d ids have arrived in %d requests, %d are missing", ids, requests, len(missing()))
	}
	if !node.running() {
		return fmt.Errorf("the node has ended: %v", node.err)
	}
	r.keepLogs("node", 12)
	ran := 0
	for _, id := range taken {
		ran += min(1, len(p.effects(id)))
	}
	lost := missing()
	r.logf("%d of %d taken messages ran at the partner; %d final responses never arrived", ran, len(taken), len(lost))
	if len(taken) < rate {
		return fmt.Errorf("only %d messages were taken on", len(taken))
	}
	if len(lost) > 0 {
		return fmt.Errorf("%w: %d of %d messages had no final response %v after the receiver was back", errBroken, len(lost), len(taken), end-downTo)
	}
	return nil
}
