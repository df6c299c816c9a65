package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["refused"] = playRefused }

// playRefused: a partner that drops repeats of a key for 12 s at all its endpoints goes silent for 15 s, just after it has
// run some messages. Their client does what the final response of the node says.
func playRefused(r *run) error {
	const (
		window   = 12 * time.Second
		silence  = 15 * time.Second
		messages = 6
	)
	p := newPartner(r, window)
	p.wide = true
	var mu sync.Mutex
	var silentFrom time.Time
	ran := map[string]bool{}
	behave := func(ids []string) (int, time.Duration, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		quiet := !silentFrom.IsZero() && time.Since(silentFrom) < silence
		switch {
		case !quiet:
			return 0, 0, 150 * time.Millisecond
		case time.Since(silentFrom) < time.Second && !ran[ids[0]]:
			ran[ids[0]] = true
			return 0, 0, noAnswer // it came before the silence, and its answer does not come any more
		default:
			return silent, 0, 0
		}
	}
	var at [2]string
	var err error
	for i, building := range []string{"ops-building", "annex"} {
		if at[i], err = p.endpoint("billing-"+building, building, behave); err != nil {
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
[[class]]
name = "meter-message"
repeat = "keyed"
window = "12s"
group = "destination"
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
  [[destination.endpoint]]
  name = "billing-annex"
  address = %q
  building = "annex"
`, listen, answers.address, at[0], at[1]))
	if err != nil {
		return err
	}
	node, err := r.start("node", "bin/wingmount run --config "+config, "WINGMOUNT_DEBUG=1")
	if err != nil {
		return err
	}
	if err := awaitReady(node, listen, 10*time.Second); err != nil {
		return err
	}
	for i := range 4 { // the partner is known and sound
		if status, err := submit(listen, handIn{fmt.Sprint("warm-", i), "meter-message", fmt.Sprint("key-w", i), 7, 28 * time.Second, []byte("usage")}); status != 202 {
			return fmt.Errorf("warm-%d: %d, %v", i, status, err)
		}
		time.Sleep(250 * time.Millisecond)
	}
	if r.trouble {
		mu.Lock()
		silentFrom = time.Now()
		mu.Unlock()
		r.logf("the partner goes silent for %v", silence)
	}
	type hand struct {
		key string
		ids []string
	}
	var all []*hand
	var clients sync.WaitGroup
	for i := range messages {
		h := &hand{key: fmt.Sprint("key-", i), ids: []string{fmt.Sprint("bill-", i)}}
		all = append(all, h)
		status, err := submit(listen, handIn{h.ids[0], "meter-message", h.key, 7, 28 * time.Second, []byte("payment")})
		r.logf("client: %s is answered %d, %v", h.ids[0], status, err)
		if status != 202 {
			h.ids = nil
			continue
		}
		clients.Go(func() { r.followRefusal(listen, answers, h.key, &h.ids) })
	}
	clients.Wait()
	time.Sleep(4 * time.Second)
	taken, twice := 0, 0
	for _, h := range all {
		runs := 0
		for i, id := range h.ids {
			if i == 0 {
				taken++
			}
			for _, e := range p.effects(id) {
				runs++
				r.logf("%s: ran as %s at %.3f in %s", h.key, id, e.at.Sub(r.begin).Seconds(), e.building)
			}
			r.logf("%s: final response of %s: %v", h.key, id, answers.of(id))
		}
		if runs > 1 {
			twice++
		}
	}
	r.keepLogs("node", 60)
	if taken == 0 {
		return fmt.Errorf("no message was taken on")
	}
	if twice > 0 {
		return fmt.Errorf("%w: %d of %d messages ran twice, after the node had said that handing them in again is safe", errBroken, twice, taken)
	}
	return nil
}

// followRefusal waits for the final response of the last id, up to 30 s. After a refusal it hands the message in once more,
// under a new id and its old key, when the refusal says so.
func (r *run) followRefusal(listen string, answers *receiver, key string, ids *[]string) {
	first := (*ids)[0]
	for end := time.Now().Add(30 * time.Second); len(answers.of(first)) == 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	outcomes, wait := answers.of(first), answers.retryIn(first)
	r.logf("client: %s ended as %v, to be handed in again in %v", first, outcomes, wait)
	if len(outcomes) == 0 || outcomes[0] != "refused" {
		return
	}
	time.Sleep(wait)
	id := first + "-again"
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		status, err := submit(listen, handIn{id, "meter-message", key, 7, 28 * time.Second, []byte("payment")})
		r.logf("client: %s is answered %d, %v", id, status, err)
		if status == 202 {
			*ids = append(*ids, id)
			for end := time.Now().Add(28 * time.Second); len(answers.of(id)) == 0 && time.Now().Before(end); {
				time.Sleep(20 * time.Millisecond)
			}
			return
		}
		time.Sleep(time.Second)
	}
}
