package testcluster

import (
	"context"
	"sync"
	"time"
)

// stallInterval is how often a stall detector expects to run.
const stallInterval = 5 * time.Millisecond

// stallDetector measures how much a busy machine delays this process: the longest time by which a periodic goroutine
// ran late. Tests print it beside a failure, to tell a slow node from a machine without processor time. No test passes
// or fails by it.
type stallDetector struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	longest time.Duration
}

func startStallDetector() *stallDetector {
	ctx, cancel := context.WithCancel(context.Background())
	d := &stallDetector{cancel: cancel}
	d.done.Go(func() { d.run(ctx) })
	return d
}

func (d *stallDetector) run(ctx context.Context) {
	timer := time.NewTimer(stallInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(stallInterval)
		timer.Reset(stallInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		late := time.Since(due)
		d.mu.Lock()
		d.longest = max(d.longest, late)
		d.mu.Unlock()
	}
}

func (d *stallDetector) stop() {
	d.cancel()
	d.done.Wait()
}

// LongestStall returns the longest time by which a busy machine delayed this process.
func (c *Cluster) LongestStall() time.Duration {
	c.stalls.mu.Lock()
	defer c.stalls.mu.Unlock()
	return c.stalls.longest
}
