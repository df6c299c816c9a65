package demo

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"
	"wingmount/internal/testcluster"
)

// The size of the scenario overload.
const (
	overloadMaxCalls     = 32
	overloadCallDuration = 40 * time.Millisecond
	overloadClients      = 64
	overloadDeadline     = 12 * time.Second
	fullLoad             = 1.2 // of the capacity
	fullLoadDuration     = 8 * time.Second
	overloadFactor       = 3 // of the capacity
	overloadDuration     = 10 * time.Second
)

// overload is a scenario: what the node delivers when it is offered as much as it can deliver, and three times that.
func overload(ctx context.Context, r *scenarioRun) (err error) {
	c, err := testcluster.New(testcluster.Config{
		Dir: r.dir, Command: r.command, Store: "sqlite", Deadline: overloadDeadline, Destinations: 4, CallDuration: overloadCallDuration,
		MaxInFlight: 4000, MaxCalls: overloadMaxCalls, AdvertisedRate: 2000, BodySize: 200,
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	node, err := c.StartNode(ctx, 0, "")
	if err != nil {
		return err
	}
	defer node.Kill()
	capacity := overloadMaxCalls / overloadCallDuration.Seconds() // calls a second
	r.logf("four partners that take %v for a call, %d calls at once: %.0f a second at most", overloadCallDuration, overloadMaxCalls, capacity)
	r.logf("%.1f times that for %v", fullLoad, fullLoadDuration)
	full, err := r.offer(ctx, c, "full", fullLoad*capacity, fullLoadDuration)
	if err != nil {
		return err
	}
	r.logf("%d times that for %v", overloadFactor, overloadDuration)
	over, err := r.offer(ctx, c, "over", overloadFactor*capacity, overloadDuration)
	if err != nil {
		return err
	}
	r.tally = c.Tally()
	r.figures["saturation_per_s"], r.figures["overload_per_s"] = roundMillis(full.DeliveredPerSecond), roundMillis(over.DeliveredPerSecond)
	r.figures["goodput_ratio"] = roundMillis(over.DeliveredPerSecond / full.DeliveredPerSecond)
	r.figures["accepted_then_rejected"] = roundMillis(float64(over.Rejected+over.Failed) / float64(max(1, over.Accepted)))
	return nil
}

// offer runs a load at a rate in messages a second, waits for its results and returns them.
func (r *scenarioRun) offer(ctx context.Context, c *testcluster.Cluster, prefix string, rate float64, duration time.Duration) (testcluster.LoadOutcomes, error) {
	load := testcluster.Load{Prefix: prefix, Rate: rate, Duration: duration, Clients: overloadClients, Class: testcluster.Keyed}
	report, err := c.RunLoad(ctx, load)
	if err != nil {
		return testcluster.LoadOutcomes{}, err
	}
	c.AwaitResults(ctx)
	outcomes := c.LoadOutcomes(report, prefix)
	r.logf("%d offered, %d rejected at ingress, %d accepted, of these %d not delivered; %.0f delivered a second; 99 of 100 had run after %.1f s",
		report.Offered, outcomes.RejectedAtIngress, outcomes.Accepted, outcomes.Rejected+outcomes.Failed, outcomes.DeliveredPerSecond, outcomes.LatencyP99.Seconds())
	if outcomes.CalledTwice > 0 {
		return outcomes, fmt.Errorf("%d messages were sent twice to partners that respond", outcomes.CalledTwice)
	}
	return outcomes, nil
}

// roundMillis rounds to three places.
func roundMillis(x float64) float64 { return math.Round(1000*x) / 1000 }
