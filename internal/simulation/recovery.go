package simulation

import (
	"math"
	"time"
	"wingmount/policy"
)

// overloadTime is how long an overloaded destination rejects all calls.
const overloadTime = 10 * time.Second

// recovery is the state of a destination with respect to its outages: it warms up after each of them, and is overloaded
// by too many calls until it is warm.
type recovery struct {
	down         bool
	recoveredAt  policy.Time    // 0: it never was down
	overloadedAt policy.Time    // 0: it was not since the latest outage
	calls        []recoveryCall // of the overload window, while it warms up
}

type recoveryCall struct {
	at   policy.Time
	node *node
}

// recoveryLoad is the load of a destination that warms up.
type recoveryLoad struct {
	calls    []recoveryCall // of the overload window
	capacity float64        // how many calls it bears in the window now
	bound    float64        // it is overloaded by more calls than that
}

// overloads reports whether a destination is overloaded by the load.
func (l recoveryLoad) overloads() bool { return float64(len(l.calls)) > l.bound }

// setDown records that a destination is down from now on, or up. It reports whether an outage begins.
func (r *recovery) setDown(now policy.Time, down bool) (begins bool) {
	begins = down && !r.down
	if begins {
		r.calls, r.overloadedAt = nil, 0
	}
	if r.down && !down {
		r.recoveredAt = now
	}
	r.down = down
	return begins
}

// overloaded reports whether a destination was overloaded and has not recovered from that.
func (r *recovery) overloaded(now policy.Time) bool {
	return r.overloadedAt > 0 && now-r.overloadedAt < overloadTime
}

// warmsUp reports whether a destination is up after an outage, and bears fewer calls than otherwise.
func (r *recovery) warmsUp(now policy.Time, settings policy.Settings) bool {
	return !r.down && r.recoveredAt > 0 && now-r.recoveredAt <= settings.WarmUp && !r.overloaded(now)
}

// capacityAt returns how many calls a second a destination bears now.
func (d *destination) capacityAt(now policy.Time, settings policy.Settings) float64 {
	if d.recovery.recoveredAt == 0 || settings.WarmUp <= 0 {
		return d.Capacity
	}
	initial := settings.InitialCapacity
	warm := initial + (1-initial)*(now-d.recovery.recoveredAt).Seconds()/settings.WarmUp.Seconds()
	return d.Capacity * min(1, warm)
}

// loadBy adds a node's call to the load of a destination that warms up, and may overload it. It reports false if the
// destination does not warm up.
func (d *destination) loadBy(now policy.Time, n *node, settings policy.Settings) (load recoveryLoad, warmsUp bool) {
	r := &d.recovery
	if !r.warmsUp(now, settings) {
		return recoveryLoad{}, false
	}
	r.calls = append(r.calls, recoveryCall{now, n})
	for len(r.calls) > 0 && now-r.calls[0].at > settings.OverloadWindow {
		r.calls = r.calls[1:]
	}
	capacity := settings.OverloadFactor * d.capacityAt(now, settings) * settings.OverloadWindow.Seconds()
	load = recoveryLoad{calls: r.calls, capacity: capacity, bound: capacity + randomMargin(capacity)}
	if load.overloads() {
		r.overloadedAt = now
	}
	return load, true
}

// randomMargin returns how many calls above the expected number may come by chance.
func randomMargin(expected float64) float64 {
	return min(2*math.Sqrt(expected)+2, 3*math.Sqrt(expected))
}
