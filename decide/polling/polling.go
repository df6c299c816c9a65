// Package polling schedules a node's polls of a directory for its list of endpoints, and determines the timeout of
// each call.
//
// It does no I/O and reads no clock. A [Schedule] is safe for concurrent use if its random source is; the node uses
// it from one goroutine.
//
// # MaxSpread and PropagationBound
//
// A directory that many nodes share rejects calls when it is overloaded, so calls are spread over up to [MaxSpread].
// However, a change must reach each node within [PropagationBound] after the directory has it and is reachable,
// regardless of the outcome of earlier calls, so the delay between calls is limited. PropagationBound takes precedence:
// calls are spread only as far as it permits.
//
// A node polls with a call that waits for a change ([Schedule.ChangeTimeout]). If a call is in progress when a change
// occurs, then regardless of its outcome the response to the next call must arrive within the bound. If the first
// call gets no response, the time from its start to the response to the next call is at most
//
//	ChangeTimeout + ResponseTimeout + NextDelay + ResponseTimeout, less than PropagationBound,
//
// and after a rejected call it is NextDelay + ResponseTimeout. A directory that rejects two calls within that time
// counts as unreachable.
//
// Start reading at [Schedule.NextDelay].
package polling

import (
	"math/rand/v2"
	"time"
)

const (
	// PropagationBound is the maximum time until a change has reached every node, from when the directory has the change
	// and is reachable.
	PropagationBound = 6 * time.Second
	// MaxSpread is the maximum time over which one call per node is spread. A directory has the capacity for one call
	// per node in that time.
	MaxSpread = 8 * time.Second
	// MinInterval is the minimum time between two calls of a node.
	MinInterval = 50 * time.Millisecond

	// spreadPerNode times the number of nodes, at most MaxSpread, is the time over which one call per node is spread.
	spreadPerNode = 100 * time.Millisecond
	// smallFleetRetryRange limits the range from which the delays of a small fleet are drawn. Larger fleets use
	// longer ranges.
	smallFleetRetryRange = time.Second
	// maxInitialDelay limits the delay of a node that has just started with a previously stored list: a change that
	// the list lacks may be older than PropagationBound.
	maxInitialDelay = 500 * time.Millisecond

	// listTimeout is the timeout of a response that may be queued behind the calls of other nodes. It is longer than
	// the 2 s within which an overloaded directory responds: with a shorter timeout, repeated calls would keep the
	// directory overloaded.
	listTimeout = 2500 * time.Millisecond
	// A call that waits for a change waits for changeTimeout and then changeResponseTimeout for the response, which
	// is not queued behind other calls.
	changeTimeout         = 1500 * time.Millisecond
	changeResponseTimeout = 1200 * time.Millisecond
	// An agent that serves only this node responds immediately.
	agentChangeTimeout   = 2 * time.Second
	agentResponseTimeout = time.Second

	// callOverhead is how much longer a call may take than its timeouts allow.
	callOverhead = 200 * time.Millisecond
	// maxRejectedRange and maxTimeoutRange limit the range of the delay after a rejected call, and after a call that
	// failed in another way. They follow from the sums in the package comment.
	maxRejectedRange = PropagationBound - listTimeout - MinInterval - callOverhead
	maxTimeoutRange  = PropagationBound - changeTimeout - changeResponseTimeout - listTimeout - MinInterval - callOverhead
)

// Schedule determines the delays and timeouts of one node's calls.
type Schedule struct {
	// Nodes is the number of nodes that share the directory. If it is 1 or less, the directory is an agent that
	// serves only this node.
	Nodes int
	// DrainGrace is how long calls to an endpoint may continue after the notification that it drains. After an outage
	// of an agent, the node must poll the agent within that time to respect the drain. 0 means one second.
	DrainGrace time.Duration
	Rand       *rand.Rand
}

// InitialDelay returns the delay of the first call of a node that has a previously stored list. It is random, since
// nodes may start at the same time.
func (s Schedule) InitialDelay() time.Duration { return s.jitter(min(s.spread()/2, maxInitialDelay)) }

// ChangeTimeout returns how long the directory may wait for a change before it responds, given the number of
// consecutive failures. After a failure the node requests the current state, which the directory returns immediately.
func (s Schedule) ChangeTimeout(failures int) time.Duration {
	switch {
	case failures > 0:
		return MinInterval
	case s.hasAgent():
		return agentChangeTimeout
	}
	return changeTimeout
}

// ResponseTimeout returns the time allowed for a response in addition to ChangeTimeout, given the number of
// consecutive failures.
func (s Schedule) ResponseTimeout(failures int) time.Duration {
	switch {
	case s.hasAgent() && failures > 0:
		return min(max(s.drainGrace()/2, 5*MinInterval), agentResponseTimeout)
	case s.hasAgent():
		return agentResponseTimeout
	case failures > 0:
		return listTimeout
	}
	return changeResponseTimeout
}

// ListTimeout returns the time allowed for the response with the complete list, given the number of consecutive
// failures.
func (s Schedule) ListTimeout(failures int) time.Duration {
	if s.hasAgent() {
		return s.ResponseTimeout(failures)
	}
	return listTimeout
}

// NextDelay returns the delay before the next call after a failed one.
//
// It depends on the number of consecutive failures, on whether the directory rejected the last call or the call
// failed in another way, and on the number of nodes. The delay is drawn with full jitter from a range that doubles
// with each failure; in a fleet of more than ten nodes the range starts at the time over which one call per node is
// spread, and doubles only once. The range is limited so that PropagationBound is met, and for an agent that serves
// only this node by one fifth of DrainGrace.
func (s Schedule) NextDelay(failures int, rejected bool) time.Duration {
	delayRange := min(MinInterval<<min(max(failures, 0), 10), max(smallFleetRetryRange, 2*s.spread()))
	if s.spread() > smallFleetRetryRange {
		delayRange = s.spread() << min(max(failures-1, 0), 1)
	}
	switch {
	case s.hasAgent():
		delayRange = min(delayRange, s.drainGrace()/5)
	case rejected:
		delayRange = min(delayRange, maxRejectedRange)
	default:
		delayRange = min(delayRange, maxTimeoutRange)
	}
	return MinInterval + s.jitter(delayRange)
}

// hasAgent reports whether the directory is an agent that serves only this node.
func (s Schedule) hasAgent() bool { return s.Nodes <= 1 }

// drainGrace returns DrainGrace or its default.
func (s Schedule) drainGrace() time.Duration {
	if s.DrainGrace <= 0 {
		return time.Second
	}
	return s.DrainGrace
}

// spread returns the time over which one call per node is spread.
func (s Schedule) spread() time.Duration {
	return time.Duration(min(max(1, s.Nodes), int(MaxSpread/spreadPerNode))) * spreadPerNode
}

// jitter returns a random duration in [0, limit).
func (s Schedule) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.Rand.Int64N(int64(max(1, limit))))
}
