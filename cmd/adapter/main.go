// Command adapter lets the simulator drive the decision module: it hosts a sender for each instance, and translates between
// the simulator's protocol on standard input and output and the module.
//
// It uses one goroutine. Start reading at run.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"
	"wingmount/internal/wire"
	"wingmount/policy"
)

func main() {
	debug.SetGCPercent(400)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "adapter: %v\n", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends.
func run(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<20), bufio.NewWriterSize(w, 1<<20)
	h := newHost()
	var buf []byte
	for {
		batch, err := wire.ReadBatch(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		actions, err := h.handle(batch)
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch.Number, err)
		}
		if buf, err = wire.AppendReply(buf[:0], batch.Number, actions); err != nil {
			return err
		}
		if _, err := out.Write(buf); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// instance is a sender and its events within a batch.
type instance struct {
	sender *policy.Sender // nil while it is stopped
	events []policy.Event
	queued bool // it is in host.queue
}

// host has the instances and the endpoint lists of the process.
type host struct {
	instances map[uint16]*instance      // by number
	queue     []uint16                  // instances with events since their last step, by the first of these
	lists     map[uint32][]policy.Entry // by number
	actions   []policy.Action           // reused between steps
}

func newHost() *host {
	return &host{instances: map[uint16]*instance{}, lists: map[uint32][]policy.Entry{}}
}

// handle passes the events of a batch to their instances, and returns the actions that these decide. A panic of the module
// becomes a crash action, which takes the place of all actions of the batch. The instances after the one that panicked
// step with the next batch.
func (h *host) handle(b wire.Batch) (reply []wire.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			reply, err = []wire.Action{{Code: wire.ActionCrash, Data: fmt.Append(nil, p)}}, nil
		}
	}()
	var s selection
	for i, e := range b.Events {
		if err := h.apply(&s, e); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	return h.stepQueued(time.Duration(b.NowUs) * time.Microsecond), nil
}

// selection is the instance that the events of a batch are for.
type selection struct {
	selected bool
	at       uint16
}

// enqueue puts an instance into the queue, unless it is there.
func (h *host) enqueue(number uint16) {
	if in := h.instances[number]; !in.queued {
		in.queued, h.queue = true, append(h.queue, number)
	}
}

// apply applies one event of a batch.
func (h *host) apply(s *selection, e wire.Event) error {
	switch e.Code {
	case wire.EventSelectInstance:
		s.selected, s.at = true, e.Instance
		return nil
	case wire.EventEndpointList:
		h.lists[e.List] = toEntries(e.Entries)
		return nil
	}
	if !s.selected {
		return fmt.Errorf("event code %d before any select", e.Code)
	}
	switch e.Code {
	case wire.EventStop:
		if in := h.instances[s.at]; in != nil {
			in.sender, in.events = nil, nil
		}
		return nil
	case wire.EventInstanceStarted:
		return h.startInstance(s, e)
	}
	in := h.instances[s.at]
	if in == nil || in.sender == nil {
		return fmt.Errorf("event code %d for instance %d, which is not running", e.Code, s.at)
	}
	h.enqueue(s.at)
	event, err := h.toEvent(e)
	if err != nil {
		return err
	}
	if event != nil {
		in.events = append(in.events, event)
	}
	return nil
}

// startInstance starts the selected instance, or restarts it.
func (h *host) startInstance(s *selection, e wire.Event) error {
	settings, err := wire.DecodeSettings(e.Data)
	if err != nil {
		return err
	}
	if h.instances[s.at] == nil {
		h.instances[s.at] = &instance{}
	}
	in := h.instances[s.at]
	in.sender, in.events = policy.New(settings, e.Seed), nil
	h.enqueue(s.at)
	return nil
}

// stepQueued runs a step of each instance in the queue, and returns their actions. Each leaves the queue before its step,
// which may panic.
func (h *host) stepQueued(now time.Duration) (reply []wire.Action) {
	for len(h.queue) > 0 {
		n := h.queue[0]
		h.queue = h.queue[1:]
		in := h.instances[n]
		in.queued = false
		if in.sender == nil {
			continue
		}
		h.actions = in.sender.Step(now, in.events, h.actions[:0])
		in.events = in.events[:0]
		if len(h.actions) == 0 {
			continue
		}
		reply = append(reply, wire.Action{Code: wire.ActionSelectInstance, Instance: n})
		for _, a := range h.actions {
			reply = append(reply, toWire(a))
		}
	}
	return reply
}
