package policy

import (
	"math"
	"slices"
	"time"
)

// This file forecasts how soon a destination serves its queue.

// expectedQueueDelay returns the expected time until the queue of a destination is empty.
func (s *Sender) expectedQueueDelay(d *destination) time.Duration {
	rate, blocked := 0.0, time.Duration(math.MaxInt64)
	for _, p := range d.paths {
		rate += s.expectedRate(p)
		blocked = min(blocked, s.expectedBlockedTime(p))
	}
	if len(d.paths) == 0 {
		return narrowWindow
	}
	return blocked + queueTime(d.queue.Len(), rate)
}

// queueTime returns the time to send a number of messages at a rate in messages a second.
func queueTime(messages int, rate float64) time.Duration {
	return time.Duration(float64(messages) / rate * float64(time.Second))
}

// expectedRate returns the expected number of messages a second that a path accepts from this sender.
func (s *Sender) expectedRate(p *path) float64 {
	calls := max(s.ownRate(p), p.limiter.advertisedRatePerSender, 1/narrowWindow.Seconds())
	if p.limiter.limited() {
		calls = p.limiter.allotment / narrowWindow.Seconds()
	}
	return calls * float64(p.kind.MaxBatch)
}

// expectedBlockedTime returns the expected time until a path accepts calls again. An outage is expected to
// last as long again as it has lasted so far.
func (s *Sender) expectedBlockedTime(p *path) time.Duration {
	wait := max(p.limiter.quota.SuspendedFor(s.now), p.limiter.blockedUntil-s.now)
	if since, open := p.openSince(); open {
		wait = max(wait, s.now-since, s.settings.OverloadWindow)
	}
	return wait
}

// waitForFreePath returns the expected wait of a message for a path without a fee. It is negative if no such
// path may take the message.
func (s *Sender) waitForFreePath(m *message) time.Duration {
	wait := time.Duration(-1)
	for _, p := range m.dest.paths {
		if p.fee > 0 {
			continue
		}
		w := s.expectedBlockedTime(p) + queueTime(p.dest.queue.Len(), s.expectedRate(p))
		mayTake := func(e *endpoint) bool { return e.state == Ready && s.mayRetry(m, e) }
		if (wait < 0 || w < wait) && slices.ContainsFunc(p.endpoints, mayTake) {
			wait = w
		}
	}
	return wait
}
