package main

import (
	"fmt"
	"time"
)

func init() { scenarios["redirect"] = playRedirect }

// playRedirect: a node on SQLite posts its final responses to a receiver. For 6 s the receiver answers each POST with 302
// to a page that says maintenance, and keeps nothing; it is sound before and after.
func playRedirect(r *run) error {
	const (
		messages = 120
		pace     = 100 * time.Millisecond
		awayFrom = 3 * time.Second
		awayTo   = 9 * time.Second
		end      = 45 * time.Second
	)
	p := newPartner(r, 12*time.Second)
	at, err := p.endpoint("billing-ops", "ops-building", func([]string) (int, time.Duration, time.Duration) { return 0, 0, 50 * time.Millisecond })
	if err != nil {
		return err
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
		time.AfterFunc(awayFrom, func() { answers.setAway("/maintenance"); r.logf("the receiver answers 302 from now on") })
		time.AfterFunc(awayTo, func() { answers.setAway(""); r.logf("the receiver is back") })
	}
	var taken []string
	for i := range messages {
		time.Sleep(time.Until(start.Add(time.Duration(i) * pace)))
		id := fmt.Sprint("bill-", i)
		status, err := submit(listen, handIn{id, "meter-message", "key-" + id, 7, 28 * time.Second, []byte("payment")})
		r.notef("client: %s is answered %d, %v", id, status, err)
		if status == 202 {
			taken = append(taken, id)
		}
	}
	if len(taken) < messages/2 {
		return fmt.Errorf("only %d messages were taken on", len(taken))
	}
	var lost []string
	for time.Since(start) < end {
		lost = nil
		for _, id := range taken {
			if len(answers.of(id)) == 0 {
				lost = append(lost, id)
			}
		}
		if len(lost) == 0 && time.Since(start) > awayTo {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.keepLogs("node", 12)
	if !node.running() {
		return fmt.Errorf("the node has ended: %v", node.err)
	}
	r.logf("%d messages were taken on, %d final responses never arrived: %v", len(taken), len(lost), lost)
	if len(lost) > 0 {
		return fmt.Errorf("%w: %d of %d final responses had not arrived %v after the receiver was back", errBroken, len(lost), len(taken), end-awayTo)
	}
	return nil
}
