package scaletest

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var errChildEnded = errors.New("a process of the run has ended")

// observer receives events while a phase waits for something of its own; nil: nothing does.
type observer func(event)

// pause handles events for a time.
func (f *fleetRun) pause(ctx context.Context, span time.Duration, observe observer) error {
	timer := time.After(span)
	for {
		if over, err := f.handleNext(ctx, timer, observe); over || err != nil {
			return err
		}
	}
}

// waitUntil handles events until a condition is true.
func (f *fleetRun) waitUntil(ctx context.Context, observe observer, condition func() bool) error {
	for !condition() {
		if _, err := f.handleNext(ctx, nil, observe); err != nil {
			return err
		}
	}
	return nil
}

// handleNext handles the next event or checks the memory. It reports whether the timer, which may be nil, fired instead.
func (f *fleetRun) handleNext(ctx context.Context, timer <-chan time.Time, observe observer) (over bool, err error) {
	select {
	case <-timer:
		return true, nil
	case e := <-f.events:
		return false, f.handle(e, observe)
	case <-f.memoryCheck.C:
		return false, f.checkMemory()
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// settle waits until all destinations are settled.
func (f *fleetRun) settle(ctx context.Context, observe observer) error {
	err := f.waitUntil(ctx, observe, func() bool { return f.tracker.unsettled == 0 })
	if err != nil {
		err = fmt.Errorf("%w; %d destinations are not settled", err, f.tracker.unsettled)
	}
	return err
}

// handle applies an event. Those of a process that was killed count no more.
func (f *fleetRun) handle(e event, observe observer) error {
	if e.from.ended {
		return nil
	}
	switch e.Kind {
	case eventFailed:
		return fmt.Errorf("%w: %s: %s", errChildEnded, e.from.name, e.Error)
	case eventLeading:
		f.control = e.from
	case eventUpdate, eventLeaseLost:
		f.tracker.apply(e)
	}
	if observe != nil {
		observe(e)
	}
	return nil
}
