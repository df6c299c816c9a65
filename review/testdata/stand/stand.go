// Package stand has what the cases of the review share: a record, the processes of the project, a message's
// hand-in over HTTP, free ports.
package stand

import (
	"bytes"
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
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NoRun  = 2
)

// Record is the record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf writes a line with the seconds since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the record.
func (r *Record) Close() { _ = r.file.Close() }

// Process is one process of the project, in a process group of its own.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start runs a command by sh -c from a folder. Its log goes to a file.
func Start(dir, command, logPath string, env ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, log, log
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// Pid returns the id of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = syscall.Kill(p.Pid(), s) }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill ends the process and its group, and waits.
func (p *Process) Kill() {
	_ = syscall.Kill(-p.Pid(), syscall.SIGKILL)
	<-p.done
}

// AwaitReady waits until GET /healthz is answered 200.
func (p *Process) AwaitReady(address string, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.Ended() {
			return fmt.Errorf("the process ended: %v", p.err)
		}
		response, err := client.Get("http://" + address + "/healthz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("not ready after %v", timeout)
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// HandIn is a message for a destination.
type HandIn struct {
	ID, Key, Class string
	Destination    int
	Timeout        time.Duration
	Body           []byte
}

// Send hands a message in, as docs/PROTOCOL and docs/operate/run.md describe, and returns the answer.
func Send(client *http.Client, address string, m HandIn) (status int, header http.Header, text string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+m.Class, bytes.NewReader(m.Body))
	if err != nil {
		return 0, nil, "", err
	}
	request.Header.Set("X-Request-ID", m.ID)
	request.Header.Set("X-Priority-Class", m.Class)
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(m.Timeout.Milliseconds()))
	request.Header.Set("X-Route-To", fmt.Sprintf("dest=%d", m.Destination))
	if m.Key != "" {
		request.Header.Set("Idempotency-Key", m.Key)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, strings.TrimSpace(string(body)), nil
}

// Root returns the repository's root: two folders above that of a case.
func Root(caseDir string) (string, error) { return filepath.Abs(filepath.Join(caseDir, "..", "..")) }
