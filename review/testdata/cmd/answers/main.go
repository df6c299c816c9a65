// Command answers is the test of the case "one answer that its receiver does not take": a gateway node by bin/wingmount
// run, two healthy partner systems, clients, and a receiver of final responses that answers 422 to each request in
// which one message of a certain id stands, and 204 to all others.
package main

import (
	"bytes"
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
	destinations = 2
	deadline     = 28 * time.Second
	slack        = 2 * time.Second
	callTime     = 100 * time.Millisecond
	gap          = 50 * time.Millisecond
	traffic      = 10 * time.Second
	unwanted     = "m-0040" // the id whose answer the receiver does not take
)

// receiver takes final responses. A request is taken as a whole, or not at all.
type receiver struct {
	record  *stand.Record
	trouble bool

	mu      sync.Mutex
	taken   map[string]string // outcome by id
	refused int               // requests
}

func (r *receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	text, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	type answer struct{ ID, Outcome string }
	var all []answer
	bad := false
	for d := json.NewDecoder(bytes.NewReader(text)); ; {
		var a answer
		if d.Decode(&a) != nil {
			break
		}
		all = append(all, a)
		bad = bad || r.trouble && a.ID == unwanted
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if bad {
		if r.refused++; r.refused <= 5 || r.refused%200 == 0 {
			r.record.Printf("receiver: request %d with %s among %d lines: 422, none is taken", r.refused, unwanted, len(all))
		}
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	for _, a := range all {
		if _, again := r.taken[a.ID]; !again {
			r.record.Printf("receiver: id=%s outcome=%s taken", a.ID, a.Outcome)
		}
		r.taken[a.ID] = a.Outcome
	}
	w.WriteHeader(http.StatusNoContent)
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
	tmp, err := os.MkdirTemp("", "review-answers-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(tmp) }()
	answers := &receiver{record: record, trouble: trouble, taken: map[string]string{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	go func() { _ = http.Serve(listener, answers) }()
	var places string
	for n := 1; n <= destinations; n++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		defer func() { _ = l.Close() }()
		go func() {
			_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				record.Printf("partner %d: id=%s runs", n, r.Header.Get("X-Request-ID"))
				time.Sleep(callTime)
			}))
		}()
		places += fmt.Sprintf("[[destination]]\nnumber = %d\nname = \"partner %d\"\nrate = 40.0\n  [[destination.endpoint]]\n  name = \"partner-%d\"\n  address = %q\n  building = \"ops-building\"\n", n, n, n, l.Addr())
	}
	address, err := stand.FreeAddress()
	if err != nil {
		return 0, err
	}
	text := fmt.Sprintf("name = \"gateway-1\"\nlisten = %q\n[store]\nkind = \"sqlite\"\npath = %q\ndurability = \"power\"\nmax_mb = 64\n"+
		"[answers]\nurl = \"http://%s/answers\"\n[limits]\nheld = 400\nslots = 32\n"+
		"[[class]]\nname = \"meter-message\"\nrepeat = \"keyed\"\nwindow = \"12s\"\ngroup = \"building\"\nwanted = \"3s\"\ndeadline = %q\nworth = 1.0\nlate_worth = 0.5\n",
		address, filepath.Join(tmp, "wingmount.db"), listener.Addr(), deadline)
	config := filepath.Join(tmp, "gateway.toml")
	if err := os.WriteFile(config, []byte(text+places), 0o600); err != nil {
		return 0, err
	}
	node, err := stand.Start(root, command+" run --config "+config, filepath.Join(tmp, "node.log"))
	if err != nil {
		return 0, err
	}
	defer node.Kill()
	if err := node.AwaitReady(address, 20*time.Second); err != nil {
		return 0, err
	}
	record.Printf("node ready at %s", address)
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	accepted := map[string]time.Time{}
	start := time.Now()
	for i := 0; time.Since(start) < traffic; i++ {
		id := fmt.Sprintf("m-%04d", i)
		status, _, text, err := stand.Send(client, address, stand.HandIn{ID: id, Key: "k-" + id, Class: "meter-message", Destination: i%destinations + 1, Timeout: deadline, Body: []byte("reading " + id)})
		record.Printf("client: id=%s handed in: %d %s %v", id, status, text, err)
		if status == http.StatusAccepted {
			accepted[id] = time.Now()
		}
		time.Sleep(gap)
	}
	time.Sleep(deadline + slack)
	if node.Ended() {
		record.Printf("the node has ended")
		return stand.Broken, nil
	}
	answers.mu.Lock()
	defer answers.mu.Unlock()
	missing := 0
	for id := range accepted {
		if _, ok := answers.taken[id]; !ok && (id != unwanted || !trouble) {
			missing++
			record.Printf("BROKEN: id=%s was accepted, its deadline is over, and no request that the receiver takes has its final response", id)
		}
	}
	record.Printf("accepted %d, answered %d, not answered (without %s) %d, requests with 422: %d", len(accepted), len(answers.taken), unwanted, missing, answers.refused)
	fmt.Printf("accepted %d, answered %d, not answered %d, requests with 422: %d\n", len(accepted), len(answers.taken), missing, answers.refused)
	node.Signal(syscall.SIGTERM)
	switch {
	case len(accepted) < 50:
		return stand.NoRun, nil
	case missing > 0:
		return stand.Broken, nil
	}
	return stand.Held, nil
}
