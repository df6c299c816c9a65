package simulation

import (
	"time"
	"wingmount/policy"
)

// quotaRounding permits the rounding of a sum of quotas.
const quotaRounding = 1e-6

// rateBound bounds the calls of a sliding window.
type rateBound struct {
	window time.Duration
	factor float64 // of the limit
}

const wideWindow = 12 * time.Second

// rateBounds are the windows of a limit. In the narrow one a node's calls may come faster than its quota, in the
// wide one only by the drift of clocks.
var rateBounds = [...]rateBound{{2 * time.Second, 1.25}, {wideWindow, 1.05}}

// rateWindow has the latest calls to a destination whose senders have leases.
type rateWindow struct {
	calls         []rateCall
	previousLimit float64 // the greatest limit of late, which counts until previousUntil
	previousUntil policy.Time
	worst         [len(rateBounds)]float64 // the most calls in each window, as a fraction of its bound
}

type rateCall struct {
	at   policy.Time
	node *node
}

// checkQuotas evaluates the sum of the quotas of a destination that nodes may use.
func (c *Checker) checkQuotas(now policy.Time, destination int, sum float64) {
	if sum > 1+quotaRounding {
		c.report(RuleQuota, "at %v nodes use %.3f of the limit of destination %d", now-startTime, sum, destination)
	}
	c.MaxQuotaSum = max(c.MaxQuotaSum, sum)
}

// rateOf returns the latest calls to a destination.
func (c *Checker) rateOf(d *destination) *rateWindow {
	r := c.rates[d]
	if r == nil {
		r = &rateWindow{}
		c.rates[d] = r
	}
	return r
}

// observeLimitChange records that a destination's limit changes. A lower one counts once all nodes must know of
// it and the calls before have left the windows.
func (c *Checker) observeLimitChange(now policy.Time, d *destination, limit float64) {
	r := c.rateOf(d)
	if now > r.previousUntil {
		r.previousLimit = 0
	}
	r.previousLimit = max(r.previousLimit, d.Limit, limit)
	r.previousUntil = now + propagationBound + wideWindow
}

// limit returns the limit that counts now.
func (r *rateWindow) limit(now policy.Time, d *destination) float64 {
	if now < r.previousUntil {
		return max(d.Limit, r.previousLimit)
	}
	return d.Limit
}

// record adds a call, and drops those that have left the wide window.
func (r *rateWindow) record(now policy.Time, n *node) {
	r.calls = append(r.calls, rateCall{now, n})
	for now-r.calls[0].at >= wideWindow {
		r.calls = r.calls[1:]
	}
}

// count returns the calls in a window, and the nodes that made them.
func (r *rateWindow) count(now policy.Time, window time.Duration) (calls, nodes int) {
	senders := map[*node]bool{}
	for _, call := range r.calls {
		if now-call.at < window {
			calls++
			senders[call.node] = true
		}
	}
	return calls, len(senders)
}

// checkRate evaluates a call by the limit that all senders have together, in both windows. Each node may round
// its quota up to an integer number of calls.
func (c *Checker) checkRate(now policy.Time, n *node, d *destination) {
	r := c.rateOf(d)
	r.record(now, n)
	limit := r.limit(now, d)
	for i, b := range rateBounds {
		calls, nodes := r.count(now, b.window)
		bound := b.factor*limit*b.window.Seconds() + float64(nodes)
		r.worst[i] = max(r.worst[i], float64(calls)/bound)
		if float64(calls) > bound {
			c.report(RuleRate, "%d calls in %v by %d nodes to destination %d, which takes %.1f a second",
				calls, b.window, nodes, d.index, limit)
		}
	}
}
