package testcluster

import (
	"context"
	"fmt"
	"net"
	"time"
)

// ControlProcess is one process of a control machine.
type ControlProcess struct{ *process }

// StartControl starts the process of a control machine, counted from 0, and waits until it listens. With fresh set the
// machine is one of the first of its quorum, and has persisted nothing.
func (c *Cluster) StartControl(ctx context.Context, machine int, fresh bool) (*ControlProcess, error) {
	m := c.control.machines[machine]
	args := []string{"control", "--config", m.config}
	if fresh {
		args = append(args, "--fresh")
	}
	child, err := c.startProcess(nil, args...)
	if err != nil {
		return nil, err
	}
	p := &ControlProcess{child}
	if err := p.awaitListening(ctx, m.address); err != nil {
		return nil, err
	}
	return p, nil
}

// awaitListening waits until the process listens at an address. It kills the process when ctx ends first.
func (p *ControlProcess) awaitListening(ctx context.Context, address string) error {
	for {
		connection, err := net.DialTimeout("tcp", address, clientTimeout)
		if err == nil {
			return connection.Close()
		}
		select {
		case <-ctx.Done():
			p.Kill()
			return fmt.Errorf("the control process does not listen: %w: %s", ctx.Err(), p.Log())
		case <-p.exited:
			return fmt.Errorf("the control process has ended: %w: %s", p.err, p.Log())
		case <-time.After(readyInterval):
		}
	}
}
