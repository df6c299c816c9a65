// Command refused is the test of the case "a refusal after the key's window": a gateway node by bin/wingmount run,
// four partner systems of which one goes silent once, a receiver of answers, and clients that hand a refused message
// in again under a new id, as docs/operate/run.md says. It counts the effects of each idempotency key.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wingmount-review/stand"
)

const (
	destinations = 4
	struck       = 1 // the destination that goes silent
	window       = 15 * time.Second
	deadline     = 28 * time.Second
	silence      = 18 * time.Second
	callTime     = 250 * time.Millisecond
	gap          = 100 * time.Millisecond // between two messages of a destination
	normal       = 3 * time.Second        // before the silence
	traffic      = 8 * time.Second        // in all
	runTime      = 90 * time.Second       // until the end of the test at the latest
)

// partner is one partner system: two endpoints, and one memory of keys for both.
type partner struct {
	number int
	record *stand.Record

	mu       sync.Mutex
	silentTo time.Time
	inCall   int
	keys     map[string]time.Time   // when a key's window began
	effects  map[string][]time.Time // by key
}

// silent returns until when the partner is silent, and whether it is.
func (p *partner) silent() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silentTo, time.Now().Before(p.silentTo)
}

func (p *partner) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, key := r.Header.Get("X-Request-ID"), r.Header.Get("Idempotency-Key")
	if until, silent := p.silent(); silent {
		// It comes in the silence: it does not run, and there is no answer. The connection breaks when the caller
		// or the silence ends.
		p.record.Printf("partner %d: call id=%s key=%s in the silence: not run, no answer", p.number, id, key)
		select {
		case <-r.Context().Done():
		case <-time.After(time.Until(until)):
		}
		panic(http.ErrAbortHandler)
	}
	arrived := time.Now()
	p.mu.Lock()
	p.inCall++
	began, known := p.keys[key]
	repeat := known && arrived.Sub(began) < window
	if !repeat {
		p.keys[key] = arrived
		p.effects[key] = append(p.effects[key], arrived)
	}
	n := len(p.effects[key])
	p.mu.Unlock()
	if repeat {
		p.record.Printf("partner %d: call id=%s key=%s is a repeat of %.3f s ago, dropped", p.number, id, key, arrived.Sub(began).Seconds())
	} else {
		p.record.Printf("partner %d: call id=%s key=%s runs, effect %d", p.number, id, key, n)
	}
	time.Sleep(callTime)
	p.mu.Lock()
	p.inCall--
	p.mu.Unlock()
	if until, silent := p.silent(); silent {
		p.record.Printf("partner %d: call id=%s key=%s has run, and its answer does not go out", p.number, id, key)
		select {
		case <-r.Context().Done():
		case <-time.After(time.Until(until)):
		}
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

// clients hand messages in and follow their final responses.
type clients struct {
	record *stand.Record
	http   *http.Client
	node   string

	mu      sync.Mutex
	byID    map[string]chan answer
	handed  int
	endings map[string]string // by key
	resent  map[string]int
}

type answer struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
	RetryMs int64  `json:"retry_in_ms"`
}

// serveAnswers receives final responses.
func (c *clients) serveAnswers(w http.ResponseWriter, r *http.Request) {
	for d := json.NewDecoder(r.Body); ; {
		var a answer
		if d.Decode(&a) != nil {
			break
		}
		c.mu.Lock()
		ch := c.byID[a.ID]
		c.mu.Unlock()
		c.record.Printf("answer: id=%s outcome=%s retry_in_ms=%d", a.ID, a.Outcome, a.RetryMs)
		if ch != nil {
			select {
			case ch <- a:
			default: // the same answer once more
			}
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// deliver hands one message in, and again under a new id each time that it is refused.
func (c *clients) deliver(key string, destination int, end time.Time) {
	for try := 0; time.Now().Before(end); try++ {
		id := fmt.Sprintf("%s-try%d", key, try)
		ch := make(chan answer, 1)
		c.mu.Lock()
		c.byID[id] = ch
		c.mu.Unlock()
		status, header, text, err := stand.Send(c.http, c.node, stand.HandIn{
			ID: id, Key: key, Class: "meter-message", Destination: destination, Timeout: deadline, Body: []byte("reading of " + key),
		})
		c.record.Printf("client: id=%s key=%s dest=%d handed in: %d %s %v", id, key, destination, status, text, err)
		switch {
		case status == http.StatusAccepted:
		case status == http.StatusServiceUnavailable:
			wait, _ := time.ParseDuration(header.Get("Retry-After") + "s")
			c.note(key, "rejected")
			time.Sleep(max(wait, 100*time.Millisecond))
			continue
		default:
			c.note(key, fmt.Sprint("status ", status))
			return
		}
		select {
		case a := <-ch:
			c.note(key, a.Outcome)
			if a.Outcome != "refused" {
				return
			}
			time.Sleep(time.Duration(a.RetryMs) * time.Millisecond)
			c.mu.Lock()
			c.resent[key]++
			c.mu.Unlock()
		case <-time.After(time.Until(end)):
			return
		}
	}
}

func (c *clients) note(key, ending string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endings[key] = ending
}

func main() { os.Exit(run()) }

func run() int {
	dir := flag.String("dir", ".", "the folder of the case")
	command := flag.String("node", "exec bin/wingmount", "the deploy file's command of a delivery node")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	record, err := stand.NewRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return stand.NoRun
	}
	defer record.Close()
	code, err := play(*dir, *command, *trouble, record)
	if err != nil {
		record.Printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return stand.NoRun
	}
	return code
}

func play(dir, command string, trouble bool, record *stand.Record) (int, error) {
	root, err := stand.Root(dir)
	if err != nil {
		return 0, err
	}
	tmp, err := os.MkdirTemp("", "review-refused-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(tmp) }()
	c := &clients{record: record, http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		byID: map[string]chan answer{}, endings: map[string]string{}, resent: map[string]int{}}
	answers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = answers.Close() }()
	go func() { _ = http.Serve(answers, http.HandlerFunc(c.serveAnswers)) }()
	var places string
	var partners []*partner
	for n := 1; n <= destinations; n++ {
		p := &partner{number: n, record: record, keys: map[string]time.Time{}, effects: map[string][]time.Time{}}
		partners = append(partners, p)
		places += fmt.Sprintf("[[destination]]\nnumber = %d\nname = \"partner %d\"\nrate = 20.0\n", n, n)
		for e := 1; e <= 2; e++ {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return 0, err
			}
			defer func() { _ = l.Close() }()
			go func() { _ = http.Serve(l, http.HandlerFunc(p.serve)) }()
			building := "ops-building"
			if n%2 == 0 {
				building = "annex"
			}
			places += fmt.Sprintf("  [[destination.endpoint]]\n  name = \"partner-%d-%d\"\n  address = %q\n  building = %q\n", n, e, l.Addr(), building)
		}
	}
	if c.node, err = stand.FreeAddress(); err != nil {
		return 0, err
	}
	text := fmt.Sprintf("name = \"gateway-1\"\nlisten = %q\n[store]\nkind = \"sqlite\"\npath = %q\ndurability = \"power\"\nmax_mb = 64\n"+
		"[answers]\nurl = \"http://%s/answers\"\n[limits]\nheld = 400\nslots = 16\n"+
		"[[class]]\nname = \"meter-message\"\nrepeat = \"keyed\"\nwindow = %q\ngroup = \"destination\"\nwanted = \"3s\"\ndeadline = %q\nworth = 1.0\nlate_worth = 0.5\n",
		c.node, filepath.Join(tmp, "wingmount.db"), answers.Addr(), window, deadline)
	config := filepath.Join(tmp, "gateway.toml")
	if err := os.WriteFile(config, []byte(text+places), 0o600); err != nil {
		return 0, err
	}
	node, err := stand.Start(root, command+" run --config "+config, filepath.Join(tmp, "node.log"))
	if err != nil {
		return 0, err
	}
	defer node.Kill()
	if err := node.AwaitReady(c.node, 20*time.Second); err != nil {
		return 0, err
	}
	record.Printf("node ready at %s; window %v, deadline %v, group destination", c.node, window, deadline)

	start := time.Now()
	end := start.Add(runTime)
	var handing sync.WaitGroup
	for n := 1; n <= destinations; n++ {
		handing.Go(func() {
			for i := 0; time.Since(start) < traffic; i++ {
				handing.Go(func() { c.deliver(fmt.Sprintf("d%d-m%03d", n, i), n, end) })
				time.Sleep(gap)
			}
		})
	}
	if trouble {
		time.Sleep(time.Until(start.Add(normal)))
		p := partners[struck-1]
		for p.busy() < 2 && time.Since(start) < traffic/2 { // calls are in progress when it begins
			time.Sleep(time.Millisecond)
		}
		p.mu.Lock()
		p.silentTo = time.Now().Add(silence)
		p.mu.Unlock()
		record.Printf("TROUBLE: partner %d goes silent for %v, with %d calls in progress", struck, silence, p.busy())
	}
	handing.Wait()
	if node.Ended() {
		record.Printf("the node has ended")
		return stand.Broken, nil
	}
	node.Signal(syscall.SIGTERM)
	return verdict(partners, c, record), nil
}

func (p *partner) busy() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inCall
}

// verdict counts the effects of each key.
func verdict(partners []*partner, c *clients, record *stand.Record) int {
	broken, ran, refused := 0, 0, 0
	for _, p := range partners {
		p.mu.Lock()
		for key, at := range p.effects {
			ran++
			if len(at) > 1 {
				broken++
				record.Printf("BROKEN: key %s had %d effects at partner %d, %.3f s apart; it was handed in again after %d refusals",
					key, len(at), p.number, at[1].Sub(at[0]).Seconds(), c.resent[key])
			}
		}
		p.mu.Unlock()
	}
	for _, n := range c.resent {
		refused += n
	}
	outcomes := map[string]int{}
	for _, e := range c.endings {
		outcomes[e]++
	}
	record.Printf("keys with an effect: %d; last outcomes: %v; refusals after acceptance: %d; keys with more than one effect: %d", ran, outcomes, refused, broken)
	fmt.Printf("keys with an effect %d, last outcomes %v, refusals %d, keys with more than one effect %d\n", ran, outcomes, refused, broken)
	if ran == 0 {
		return stand.NoRun
	}
	if broken > 0 {
		return stand.Broken
	}
	return stand.Held
}
