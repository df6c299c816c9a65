package demo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
	"wingmount/internal/testcluster"
)

// classes are the classes of the traffic, in turn.
var classes = []string{testcluster.Keyed, testcluster.Idempotent, testcluster.Unsafe}

// submitAll submits n messages of all classes to all destinations, evenly over a time, and waits for their clients.
func submitAll(ctx context.Context, c *testcluster.Cluster, prefix string, n int, duration time.Duration) error {
	return submitEvenly(ctx, n, duration, func(i int) error {
		destination := 1 + i/len(classes)%len(c.Destinations)
		return c.Submit(ctx, fmt.Sprintf("%s-%04d", prefix, i), classes[i%len(classes)], destination)
	})
}

// submitTo submits n messages to one destination, evenly over a time, and waits for their clients.
func submitTo(ctx context.Context, c *testcluster.Cluster, destination, n int, duration time.Duration) error {
	return submitEvenly(ctx, n, duration, func(i int) error {
		return c.Submit(ctx, fmt.Sprintf("d%d-%04d", destination, i), testcluster.Keyed, destination)
	})
}

// submitEvenly calls submit n times, evenly over a time and each in a goroutine, waits for all calls and joins their
// errors. When ctx ends it makes no more calls, and returns the error of ctx once those that it made have ended.
func submitEvenly(ctx context.Context, n int, duration time.Duration, submit func(i int) error) error {
	var clients sync.WaitGroup
	errs := make(chan error, n)
	ticker := time.NewTicker(duration / time.Duration(n))
	defer ticker.Stop()
	for i := range n {
		select {
		case <-ctx.Done():
			clients.Wait()
			return ctx.Err()
		case <-ticker.C:
		}
		clients.Go(func() { errs <- submit(i) })
	}
	clients.Wait()
	close(errs)
	var all []error
	for err := range errs {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// backgroundTraffic is traffic that a goroutine submits.
type backgroundTraffic struct {
	cancel context.CancelFunc
	ended  chan struct{}
	err    error // set before ended is closed
}

// startTraffic calls submit in a goroutine. The caller has to call stop before it closes the cluster.
func startTraffic(ctx context.Context, submit func(context.Context) error) *backgroundTraffic {
	ctx, cancel := context.WithCancel(ctx)
	t := &backgroundTraffic{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(t.ended)
		t.err = submit(ctx)
	}()
	return t
}

// wait waits until the traffic has ended, and returns its error.
func (t *backgroundTraffic) wait() error {
	<-t.ended
	return t.err
}

// stop cancels the traffic, and waits until it has ended.
func (t *backgroundTraffic) stop() {
	t.cancel()
	<-t.ended
}

// submitInBackground is submitAll in a goroutine.
func submitInBackground(ctx context.Context, c *testcluster.Cluster, n int, duration time.Duration) *backgroundTraffic {
	return startTraffic(ctx, func(ctx context.Context) error { return submitAll(ctx, c, "m", n, duration) })
}
