package testcluster

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"slices"
)

// process is one child process of the cluster.
type process struct {
	cmd    *exec.Cmd
	log    bytes.Buffer  // standard error, to be read once exited is closed
	exited chan struct{} // closed when the process has exited
	err    error         // how it exited, set before exited is closed
}

// startProcess starts the cluster's command with arguments. When the process has exited it calls onExit, which may be
// nil, before Exited is closed.
func (c *Cluster) startProcess(onExit func(), args ...string) (*process, error) {
	args = append(slices.Clone(c.config.Command[1:]), args...)
	p := &process{cmd: exec.Command(c.config.Command[0], args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), c.config.Env...)
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting a process: %w", err)
	}
	go func() {
		p.err = p.cmd.Wait()
		if onExit != nil {
			onExit()
		}
		close(p.exited)
	}()
	return p, nil
}

// Exited returns a channel that is closed when the process has exited.
func (p *process) Exited() <-chan struct{} { return p.exited }

// ExitError waits until the process has exited, and returns how: nil for status 0.
func (p *process) ExitError() error {
	<-p.exited
	return p.err
}

// Log returns what the process wrote, once it has exited.
func (p *process) Log() string {
	select {
	case <-p.exited:
		return p.log.String()
	default:
		return "(it runs)"
	}
}

// Signal sends a signal to the process.
func (p *process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process as a crash does, and waits until it has exited.
func (p *process) Kill() {
	_ = p.cmd.Process.Kill() // it may have exited
	<-p.exited
}
