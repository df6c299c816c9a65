// Command locked is the test of the case "killed while another program holds the store's lock": a gateway node by
// bin/wingmount run under a supervisor, two healthy partner systems, clients, a receiver of final responses, and another
// program that locks the SQLite file for some seconds and changes nothing in it.
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
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wingmount-review/stand"
)

const (
	destinations = 2
	deadline     = 28 * time.Second
	slack        = 5 * time.Second // after the deadline: a restart is among the disruptions
	callTime     = 250 * time.Millisecond
	gap          = 100 * time.Millisecond
	steady       = 3 * time.Second
	clump        = 60 // messages for partner 1 at once, three seconds of its rate
	lockTime     = 4 * time.Second
	killAfter    = 700 * time.Millisecond // from the lock's begin
	restartAfter = 600 * time.Millisecond
	restartEvery = time.Second // of a node that has ended
)

// receiver takes final responses.
type receiver struct {
	record *stand.Record

	mu    sync.Mutex
	taken map[string]string // outcome by id
}

func (r *receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	text, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := json.NewDecoder(bytes.NewReader(text)); ; {
		var a struct{ ID, Outcome string }
		if d.Decode(&a) != nil {
			break
		}
		if _, again := r.taken[a.ID]; !again {
			r.record.Printf("answer: id=%s outcome=%s", a.ID, a.Outcome)
		}
		r.taken[a.ID] = a.Outcome
	}
	w.WriteHeader(http.StatusNoContent)
}

// lockers are programs with plain SQLite that this machine may have. Each takes the write lock of the file $1, prints a
// line, holds the lock for $2 seconds, releases it without a change, and closes the file.
var lockers = []struct{ test, command string }{
	{"python3 -c 'import sqlite3'", pythonLocker("python3")},
	{"/usr/bin/python3 -c 'import sqlite3'", pythonLocker("/usr/bin/python3")},
	{"sqlite3 -version", `printf 'PRAGMA busy_timeout=5000;\nBEGIN IMMEDIATE;\n.print locked\n.shell sleep %s\nROLLBACK;\n' "$2" | sqlite3 "$1"`},
}

func pythonLocker(python string) string {
	return "exec " + python + ` -c '
import sqlite3, sys, time
c = sqlite3.connect(sys.argv[1], timeout=5, isolation_level=None)
c.execute("BEGIN IMMEDIATE")
print("locked", flush=True)
time.sleep(float(sys.argv[2]))
c.execute("ROLLBACK")
c.close()' "$1" "$2"`
}

// findLocker returns the first of these programs that the machine has.
func findLocker() (string, error) {
	for _, l := range lockers {
		if exec.Command("/bin/sh", "-c", l.test).Run() == nil {
			return l.command, nil
		}
	}
	return "", fmt.Errorf("no program with plain SQLite: neither python3 with its module sqlite3 nor sqlite3")
}

// lock runs the other program, and returns once it holds the lock. The channel is closed when the program has ended.
func lock(command, path string, record *stand.Record) (<-chan struct{}, error) {
	cmd := exec.Command("/bin/sh", "-c", command, "locker", path, fmt.Sprintf("%.1f", lockTime.Seconds()))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	var errors bytes.Buffer
	cmd.Stderr = &errors
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	line := make([]byte, 256)
	for !strings.Contains(string(line), "locked") {
		if n, err := out.Read(line); err != nil {
			return nil, fmt.Errorf("the other program did not lock the file: %v: %s %s", err, line[:n], errors.String())
		}
	}
	record.Printf("TROUBLE: another program holds the write lock of the store for %v", lockTime)
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, out)
		err := cmd.Wait()
		record.Printf("the other program has released the lock, and has ended: %v %s", err, errors.String())
		close(done)
	}()
	return done, nil
}

func main() { os.Exit(run()) }

func run() int {
	dir := flag.String("dir", ".", "the folder of the case")
	command := flag.String("node", "exec bin/wingmount", "the deploy file's command of a delivery node")
	trouble := flag.String("trouble", "both", "both, lock, kill or none")
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

// supervisor starts the node again when it has ended.
type supervisor struct {
	start  func() (*stand.Process, error)
	log    string
	record *stand.Record

	mu      sync.Mutex
	node    *stand.Process
	starts  int
	stopped bool
}

// watch starts the node again after each end, until stop.
func (s *supervisor) watch() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		node, stopped := s.node, s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		if !node.Ended() {
			continue
		}
		pause := restartEvery
		if s.starts == 1 {
			pause = restartAfter
		} else {
			s.record.Printf("the node has ended by itself: %s", lastLine(s.log))
		}
		time.Sleep(pause)
		s.mu.Lock()
		if !s.stopped {
			if next, err := s.start(); err == nil {
				s.node = next
				s.starts++
				s.record.Printf("supervisor: start %d", s.starts)
			}
		}
		s.mu.Unlock()
	}
}

func (s *supervisor) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.node.Kill()
}

func lastLine(path string) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

func play(dir, command, trouble string, record *stand.Record) (int, error) {
	root, err := stand.Root(dir)
	if err != nil {
		return 0, err
	}
	locker, err := findLocker()
	if err != nil {
		return 0, err
	}
	tmp, err := os.MkdirTemp("", "review-locked-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(tmp) }()
	answers := &receiver{record: record, taken: map[string]string{}}
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
		places += fmt.Sprintf("[[destination]]\nnumber = %d\nname = \"partner %d\"\nrate = 20.0\n  [[destination.endpoint]]\n  name = \"partner-%d\"\n  address = %q\n  building = \"ops-building\"\n", n, n, n, l.Addr())
	}
	address, err := stand.FreeAddress()
	if err != nil {
		return 0, err
	}
	database := filepath.Join(tmp, "wingmount.db")
	text := fmt.Sprintf("name = \"gateway-1\"\nlisten = %q\n[store]\nkind = \"sqlite\"\npath = %q\ndurability = \"power\"\nmax_mb = 64\n"+
		"[answers]\nurl = \"http://%s/answers\"\n[limits]\nheld = 400\nslots = 16\n"+
		"[[class]]\nname = \"meter-message\"\nrepeat = \"keyed\"\nwindow = \"12s\"\ngroup = \"building\"\nwanted = \"3s\"\ndeadline = %q\nworth = 1.0\nlate_worth = 0.5\n",
		address, database, listener.Addr(), deadline) + places
	config := filepath.Join(tmp, "gateway.toml")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return 0, err
	}
	s := &supervisor{log: filepath.Join(tmp, "node.log"), record: record, starts: 1}
	s.start = func() (*stand.Process, error) {
		return stand.Start(root, command+" run --config "+config, s.log)
	}
	if s.node, err = s.start(); err != nil {
		return 0, err
	}
	defer s.stop()
	if err := s.node.AwaitReady(address, 20*time.Second); err != nil {
		return 0, err
	}
	record.Printf("node ready at %s", address)
	go s.watch()
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	accepted := map[string]time.Time{}
	send := func(id string, destination int) {
		status, _, text, err := stand.Send(client, address, stand.HandIn{ID: id, Key: "k-" + id, Class: "meter-message", Destination: destination, Timeout: deadline, Body: []byte("reading " + id)})
		record.Printf("client: id=%s handed in: %d %s %v", id, status, text, err)
		if status == http.StatusAccepted {
			accepted[id] = time.Now()
		}
	}
	start := time.Now()
	for i := 0; time.Since(start) < steady; i++ {
		send(fmt.Sprintf("m-%04d", i), i%destinations+1)
		time.Sleep(gap)
	}
	for i := range clump {
		send(fmt.Sprintf("c-%04d", i), 1)
	}
	var released <-chan struct{}
	if trouble == "both" || trouble == "lock" {
		if released, err = lock(locker, database, record); err != nil {
			return 0, err
		}
	}
	if trouble == "both" || trouble == "kill" {
		time.Sleep(killAfter)
		s.mu.Lock()
		s.node.Kill()
		s.mu.Unlock()
		record.Printf("TROUBLE: the node was killed (SIGKILL)")
	}
	if released != nil {
		<-released
	}
	missing := 0
	for end := time.Now().Add(deadline + slack); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		answers.mu.Lock()
		missing = 0
		for id := range accepted {
			if _, ok := answers.taken[id]; !ok {
				missing++
			}
		}
		answers.mu.Unlock()
		if missing == 0 {
			break
		}
	}
	answers.mu.Lock()
	defer answers.mu.Unlock()
	for id := range accepted {
		if _, ok := answers.taken[id]; !ok {
			record.Printf("BROKEN: id=%s was accepted with 202, its deadline is over, and it has no final response", id)
		}
	}
	record.Printf("accepted %d, answered %d, not answered %d, starts of the node %d; last line of its log: %s", len(accepted), len(answers.taken), missing, s.starts, lastLine(s.log))
	fmt.Printf("accepted %d, answered %d, not answered %d, starts of the node %d\n", len(accepted), len(answers.taken), missing, s.starts)
	switch {
	case len(accepted) < clump:
		return stand.NoRun, nil
	case missing > 0:
		return stand.Broken, nil
	}
	return stand.Held, nil
}
