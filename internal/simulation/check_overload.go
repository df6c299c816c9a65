package simulation

// witnessFraction is the fraction of the calls that must come from nodes that saw the outage for an overload to be
// theirs.
const witnessFraction = 2.0 / 3

// outageView is what the checker knows of a destination's latest outage and the calls after it.
type outageView struct {
	witnesses map[*node]bool // nodes that saw the latest outage
	worst     float64        // the most calls in a window, as a fraction of those at which it is overloaded
}

// outageOf returns what the checker knows of a destination's outages.
func (c *Checker) outageOf(d *destination) *outageView {
	o := c.outages[d]
	if o == nil {
		o = &outageView{witnesses: map[*node]bool{}}
		c.outages[d] = o
	}
	return o
}

// observeOutage records that an outage of a destination begins.
func (c *Checker) observeOutage(d *destination) { c.outageOf(d).witnesses = map[*node]bool{} }

// countWitnessed returns how many calls are of nodes that saw the outage.
func (o *outageView) countWitnessed(calls []recoveryCall) int {
	count := 0
	for _, call := range calls {
		if o.witnesses[call.node] {
			count++
		}
	}
	return count
}

// checkOverload evaluates the load of a destination that warms up: all calls in a window, against its capacity.
func (c *Checker) checkOverload(d *destination, load recoveryLoad) {
	o := c.outageOf(d)
	calls := float64(len(load.calls))
	o.worst = max(o.worst, calls/load.bound)
	if !load.overloads() {
		return
	}
	if witnessed := o.countWitnessed(load.calls); float64(witnessed) >= witnessFraction*calls {
		c.report(RuleOverload, "%d calls in %v to a destination that bears %.1f, %d of them by nodes that saw it down",
			len(load.calls), c.settings.OverloadWindow, load.capacity, witnessed)
	}
}
