package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"wingmount/internal/loopback"
)

// run is one run of a case: its folder, its record, and the processes that it started.
type run struct {
	dir     string
	trouble bool
	begin   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

func newRun(dir, record string) (*run, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &run{dir: dir, trouble: os.Getenv("TROUBLE") != "0", begin: time.Now(), record: f}
	r.logf("trouble: %v", r.trouble)
	return r, nil
}

// logf writes a line with the time since the start to the record and to standard output.
func (r *run) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// notef writes a line to the record alone.
func (r *run) notef(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.WriteString(line)
}

// write writes a file in the run's folder and returns its path.
func (r *run) write(name, text string) (string, error) {
	path := filepath.Join(r.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// process is a process that the run has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// start starts a program of the repository as the deploy file does: by sh -c "exec ...", from the root.
func (r *run) start(name, command string, env ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", "exec "+command)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.logf("started %s, process %d: %s", name, cmd.Process.Pid, command)
	return p, nil
}

// kill ends a process by SIGKILL and waits until it has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// endProcesses ends all processes that still run.
func (r *run) endProcesses() {
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		if p.running() {
			p.kill()
		}
	}
}

// keepLogs copies the end of a process's log into the record.
func (r *run) keepLogs(name string, lines int) {
	text, err := os.ReadFile(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return
	}
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(all) > lines {
		all = all[len(all)-lines:]
	}
	for _, line := range all {
		r.notef("log of %s: %.300s", name, line)
	}
}

// ports reserves addresses, also against other runs at the same time.
var ports loopback.Ports

// freeAddress returns a loopback address that is free until the run ends.
func freeAddress() (string, error) { return ports.Next() }

// awaitReady waits until a node answers GET /healthz with 200.
func awaitReady(p *process, address string, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !p.running() {
			return fmt.Errorf("%s has ended: %v", p.name, p.err)
		}
		resp, err := client.Get("http://" + address + "/healthz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", p.name, limit)
}

// handIn is a message that a client hands in.
type handIn struct {
	id, class, key string
	destination    int
	timeout        time.Duration
	body           []byte
}

var clients = &http.Client{Timeout: 400 * time.Millisecond, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// submit hands a message in once, as the protocol says, and returns the status, 0 without an answer in 400 ms.
func submit(address string, m handIn) (status int, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+m.class, bytes.NewReader(m.body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Request-ID", m.id)
	req.Header.Set("X-Priority-Class", m.class)
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(m.timeout.Milliseconds(), 10))
	req.Header.Set("X-Route-To", "dest="+strconv.Itoa(m.destination))
	if m.key != "" {
		req.Header.Set("Idempotency-Key", m.key)
	}
	resp, err := clients.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// pause sleeps until a time after the beginning of the run.
func (r *run) until(after time.Duration) { time.Sleep(time.Until(r.begin.Add(after))) }
