package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
	"wingmount/decide/lease"
	"wingmount/internal/clusterspec"
)

// Timing of an agent's polls.
const (
	// minPollInterval is the minimum time between the starts of two polls.
	minPollInterval = 200 * time.Millisecond
	// The pause after every address has failed is minBackoff/2 plus a random part of a span that starts at
	// 2*minBackoff and doubles up to maxBackoff: at least 100 ms, and less than 2.1 s.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// replyTimeout is how long a reply may take in addition to the wait of its poll, and the limit for a lookup of
	// owners. completeReplyTimeout replaces it for a reply that contains all assignments.
	replyTimeout         = 2 * time.Second
	completeReplyTimeout = 10 * time.Second
	closeTimeout         = time.Second
	// renewalsPerLease is how many times a lease is renewed within its duration.
	renewalsPerLease = 3
)

// maxBackoffShift prevents overflow of the shift in backoff.
const maxBackoffShift = 8

// backoff returns the pause after a number of consecutive rounds of failures. It grows exponentially, with jitter so
// that nodes that fail together do not retry together.
func backoff(rounds int) time.Duration {
	spread := min(maxBackoff, minBackoff<<min(rounds, maxBackoffShift))
	return minBackoff/2 + rand.N(spread)
}

// pause waits for a duration or until the context is done.
func pause(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// poll renews the lease once and applies the changes in the reply.
func (a *Agent) poll(ctx context.Context) error {
	request, wait := a.nextRequest()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout(request, wait))
	defer cancel()
	if wait > 0 {
		a.pollStarted(cancel)
	}
	reply, err := a.client.renew(ctx, pollRequest{Request: request, Configs: a.config.ReceiveConfigs}, wait)
	a.pollFinished()
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil // there are changes to report, or Run is ending
	}
	if err != nil {
		return err
	}
	return a.handleReply(reply)
}

// pollTimeout returns how long the reply to a poll may take if the poll may wait for an update.
func pollTimeout(request lease.Request, wait time.Duration) time.Duration {
	if request.AppliedVersion == 0 { // the reply contains all assignments
		return wait + completeReplyTimeout
	}
	return wait + replyTimeout
}

// nextRequest returns the next request and how long its poll may wait. A request that contains a report does not wait
// and is not canceled, so that at least every second poll is answered, no matter how often the node reports.
func (a *Agent) nextRequest() (lease.Request, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	wait := min(a.config.PollWait, a.duration/renewalsPerLease)
	if a.reportPending || !a.holder.Valid(now) {
		wait = 0
	}
	a.reportPending = false
	return a.holder.Renew(now), wait
}

// pollStarted records that a poll is in progress that may be canceled.
func (a *Agent) pollStarted(cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelPoll, a.pollBegan = cancel, time.Now()
}

// pollFinished records that no poll is in progress.
func (a *Agent) pollFinished() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelPoll = nil
}

// requestReport makes the next poll a report. A poll that is waiting is canceled, but not before minPollInterval after
// its start, so that further changes can join the report. The caller holds mu.
func (a *Agent) requestReport() {
	if a.reportPending {
		return
	}
	a.reportPending = true
	if a.cancelPoll != nil {
		time.AfterFunc(minPollInterval-time.Since(a.pollBegan), a.cancelPoll)
	}
}

// handleReply passes a reply to the holder, persists a newer incarnation, and calls Apply with the changes. It returns
// an error if the lease was not renewed, but nil if the control machine asks the node to reclaim its assignments.
func (a *Agent) handleReply(reply pollReply) error {
	a.callbacks.Lock()
	defer a.callbacks.Unlock()
	a.mu.Lock()
	highest := a.holder.HighestIncarnation()
	update, err := a.holder.Receive(a.clock.now(), reply.Reply)
	var configs []clusterspec.DestinationConfig
	if err == nil {
		a.duration = reply.Duration
		configs = a.validConfigs(reply.Configs)
	}
	newer := a.holder.HighestIncarnation() > highest
	a.mu.Unlock()
	if newer {
		a.persistIncarnation(reply.Incarnation)
	}
	if errors.Is(err, lease.ErrReclaimRequired) {
		return nil
	}
	if errors.Is(err, lease.ErrStaleIncarnation) {
		a.client.useNextAddress()
	}
	if err != nil {
		return err
	}
	if update.Complete || len(update.Assignments) > 0 || len(configs) > 0 {
		a.config.Apply(Update{Update: update, Configs: configs})
	}
	return nil
}

// validConfigs returns the valid configs of assigned destinations from a reply. A destination whose config is invalid
// keeps its previous config. The caller holds mu.
func (a *Agent) validConfigs(configs []clusterspec.DestinationConfig) []clusterspec.DestinationConfig {
	valid := make([]clusterspec.DestinationConfig, 0, len(configs))
	for _, config := range configs {
		if _, assigned := a.holder.Assignment(config.Destination); !assigned {
			continue
		}
		if err := config.Validate(); err != nil {
			a.config.Log.Error("control: destination config rejected", "node", a.config.Node, "err", err)
			continue
		}
		valid = append(valid, config)
	}
	return valid
}

// persistIncarnation writes the highest incarnation seen to the state file.
func (a *Agent) persistIncarnation(incarnation lease.Incarnation) {
	a.state.Incarnation = incarnation
	if a.lock == nil {
		return
	}
	if err := writeState(a.config.StateFile, a.state); err != nil {
		a.config.Log.Warn("control: agent state not written", "err", err)
	}
}
