package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
)

// child is a process of a run.
type child struct {
	name    string
	process *exec.Cmd
	in      io.WriteCloser
	killed  chan struct{} // closed when it is killed: what it wrote is then dropped
	done    chan struct{} // closed when its output is read no more
	ended   bool
}

// startChild starts this program in a role, and sends its events to a channel until the process or the context ends.
func startChild(ctx context.Context, name, role string, config childConfig, options Options, events chan<- event) (*child, error) {
	arguments := append(options.Command[1:len(options.Command):len(options.Command)], role)
	c := &child{name: name, process: exec.CommandContext(ctx, options.Command[0], arguments...), killed: make(chan struct{}), done: make(chan struct{})}
	c.process.Env = append(os.Environ(), options.Env...)
	c.process.Stderr = os.Stderr
	var err error
	if c.in, err = c.process.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.process.Start(); err != nil {
		return nil, err
	}
	go c.read(ctx, out, events)
	return c, json.NewEncoder(c.in).Encode(config)
}

// read forwards the events that the process writes.
func (c *child) read(ctx context.Context, out io.Reader, events chan<- event) {
	defer close(c.done)
	decoder := json.NewDecoder(bufio.NewReaderSize(out, 1<<16))
	for {
		var e event
		err := decoder.Decode(&e)
		if err != nil {
			e = event{Kind: eventFailed, Error: fmt.Sprintf("its output ended: %v", err)}
		}
		e.from = c
		select {
		case events <- e:
		case <-c.killed:
			return
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// send sends a command to the process.
func (c *child) send(command command) error {
	if err := json.NewEncoder(c.in).Encode(command); err != nil {
		return fmt.Errorf("%s: %w", c.name, err)
	}
	return nil
}

// kill ends the process without warning.
func (c *child) kill() error {
	if c.ended {
		return nil
	}
	c.ended = true
	close(c.killed)
	err := c.process.Process.Kill()
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	<-c.done
	_ = c.process.Wait() // returns an error because the process was killed
	return err
}

// usage returns what the process has used, nothing where it does not run.
func (c *child) usage() (Usage, error) {
	if c == nil || c.ended {
		return Usage{}, nil
	}
	return processUsage(c.process.Process.Pid)
}
