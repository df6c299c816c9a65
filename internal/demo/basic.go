package demo

import (
	"context"
	"errors"
	"time"
	"wingmount/internal/fake/partner"
	"wingmount/internal/testcluster"
)

// partnerStep changes the mode of a partner at a time.
type partnerStep struct {
	after       time.Duration // the step before
	destination int           // its number
	mode        partner.Mode
	text        string
}

// basicSteps are what the partners do in the scenario basic.
var basicSteps = []partnerStep{
	{time.Second, 2, partner.DropsBeforeRead, "partner-2 fails: it closes every connection"},
	{500 * time.Millisecond, 3, partner.RateLimiting, "partner-3 answers 429 with a time to wait of half a second"},
	{1500 * time.Millisecond, 3, partner.Healthy, "partner-3 accepts calls again"},
	{500 * time.Millisecond, 2, partner.Healthy, "partner-2 is back"},
}

// basic is a scenario: one node and three partners, one with an outage and one that limits its rate.
func basic(ctx context.Context, r *scenarioRun) (err error) {
	c, err := testcluster.New(testcluster.Config{
		Dir: r.dir, Command: r.command, Store: "sqlite", Deadline: 10 * time.Second, Destinations: 3, CallDuration: 40 * time.Millisecond,
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
	r.logf("the node is ready; 300 messages over 6 s, to three partners")
	traffic := submitInBackground(ctx, c, 300, 6*time.Second)
	defer traffic.stop()
	for _, step := range basicSteps {
		if err := pause(ctx, step.after); err != nil {
			return err
		}
		c.Destination(step.destination).System.SetMode(step.mode)
		r.logf("%s", step.text)
	}
	if err := traffic.wait(); err != nil {
		return err
	}
	r.finish(ctx, c)
	return nil
}
