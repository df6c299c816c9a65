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

// playBundle: a clump of messages for one partner that takes up to 5 messages in a call. With trouble their bodies have
// 40 KiB each, without it 1 KiB.
func playBundle(r *run) error {
	const messages = 20
	size := 1 << 10
	if r.trouble {
		size = 40 << 10
	}
	p := newPartner(r, 12*time.Second)
	at, err := p.endpoint("s-1", "ops-building", func([]string) (int, time.Duration, time.Duration) { return 0, 0, 250 * time.Millisecond })
	if err != nil {
		return err
	}
	platform, err := newPlatform(r, []member{{"s-1", at, "ops-building", "major", 7, "active", 20, 0}})
	if err != nil {
		return err
	}
	n, err := platform.node(r, siteClass("at_most_once"), 4)
	if err != nil {
		return err
	}
	if _, err := n.startNode(r); err != nil {
		return err
	}
	time.Sleep(time.Second)
	var taken []string
	for i := range messages {
		id := fmt.Sprint("clump-", i)
		status, err := submit(n.listen, handIn{id, "meter-message", "key-" + id, 7, 28 * time.Second, bytes.Repeat([]byte{'0' + byte(i%10)}, size)})
		r.logf("client: %s with %d bytes is answered %d, %v", id, size, status, err)
		if status == 202 {
			taken = append(taken, id)
		}
	}
	time.Sleep(30 * time.Second)
	lost, long := 0, p.tooLong.value()
	for _, id := range taken {
		ran := len(p.effects(id))
		r.logf("%s: ran %d times, notices %v", id, ran, platform.of(id))
		if ran == 0 {
			lost++
		}
	}
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
