package main

import (
	"bytes"
	"fmt"
	"time"
)

func init() { scenarios["bundle"] = playBundle }

// siteClass is the class of the site's settings; effect is its Idempotency.
func siteClass(effect string) string {
	return fmt.Sprintf(`{"AimUs": 3000000, "DeadlineUs": 28000000, "Group": "zone", "Idempotency": %q, "LateWorth": 0.5, "Name": "meter-message", "Streamed": false, "WindowUs": 12000000, "Worth": 1.0}`, effect)
}

// playBundle: a clump of messages for one partner that takes up to 5 messages in a call, 13% of all messages; the others go to
// another partner, one by one. With trouble the bodies of the clump have 40 KiB each, without it 1 KiB.
func playBundle(r *run) error {
	const (
		messages = 20  // of the clump
		single   = 130 // of the others
		rate     = 10  // of the others, a second
	)
	size := 1 << 10
	if r.trouble {
		size = 40 << 10
	}
	p := newPartner(r, 12*time.Second)
	at, err := p.endpoint("s-1", "ops-building", func([]string) (int, time.Duration, time.Duration) { return 0, 0, 250 * time.Millisecond })
	if err != nil {
		return err
	}
	other, err := p.endpoint("s-2", "annex", func([]string) (int, time.Duration, time.Duration) { return 0, 0, 250 * time.Millisecond })
	if err != nil {
		return err
	}
	platform, err := newPlatform(r, []member{{"s-1", at, "ops-building", "major", 7, "active", 20, 0}, {"s-2", other, "annex", "general", 8, "active", 20, 0}})
	if err != nil {
		return err
	}
	n, err := platform.node(r, siteClass("at_most_once"), 6)
	if err != nil {
		return err
	}
	if _, err := n.startNode(r); err != nil {
		return err
	}
	time.Sleep(time.Second)
	var taken, others []string
	send := func(id string, destination int, body []byte) bool {
		status, err := submit(n.listen, handIn{id, "meter-message", "key-" + id, destination, 28 * time.Second, body})
		r.logf("client: %s with %d bytes is answered %d, %v", id, len(body), status, err)
		return status == 202
	}
	start := time.Now()
	for i := range single {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / rate)))
		if id := fmt.Sprint("single-", i); send(id, 8, bytes.Repeat([]byte("s"), 1<<10)) {
			others = append(others, id)
		}
		if i != single/2 {
			continue
		}
		for k := range messages {
			if id := fmt.Sprint("clump-", k); send(id, 7, bytes.Repeat([]byte{'0' + byte(k%10)}, size)) {
				taken = append(taken, id)
			}
		}
	}
	time.Sleep(25 * time.Second) // the clump's 28 s are over
	lost, long := 0, p.tooLong.value()
	for _, id := range taken {
		ran := len(p.effects(id))
		r.logf("%s: ran %d times, notices %v", id, ran, platform.of(id))
		if ran == 0 {
			lost++
		}
	}
	ran := 0
	for _, id := range others {
		ran += min(1, len(p.effects(id)))
	}
	r.logf("%d of %d other messages ran", ran, len(others))
	r.keepLogs("node", 200)
	if len(taken) < messages/2 {
		return fmt.Errorf("only %d messages were taken on", len(taken))
	}
	r.logf("%d calls had a body over 64 KiB; %d of %d taken messages never ran at a sound partner", long, lost, len(taken))
	if long > 0 && lost > 0 {
		return fmt.Errorf("%w: %d calls had a body over 64 KiB, and %d of %d taken messages never ran", errBroken, long, lost, len(taken))
	}
	return nil
}
