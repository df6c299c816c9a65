package lease

import "time"

// quarantinedQuota is released quota that must not be granted yet, because its last holder may have used it within the
// window over which the destination counts calls.
type quarantinedQuota struct {
	allocation *allocation
	amount     units
	until      time.Duration
}

// quarantineQuota prevents released quota from being granted for Config.Window from now on.
func (g *Grantor) quarantineQuota(a *allocation, amount units) {
	if amount <= 0 || g.config.Window <= 0 {
		return
	}
	a.quarantined += amount
	g.quarantine = append(g.quarantine, quarantinedQuota{allocation: a, amount: amount, until: g.now + g.config.Window})
}

// endQuarantines makes quarantined quota available once its window has passed.
func (g *Grantor) endQuarantines() {
	for len(g.quarantine) > 0 && g.quarantine[0].until <= g.now {
		first := g.quarantine[0]
		g.quarantine = g.quarantine[1:]
		first.allocation.quarantined -= first.amount
		g.rebalance(first.allocation)
		g.deleteAllocationIfUnused(first.allocation)
	}
	if len(g.quarantine) == 0 {
		g.quarantine = nil
	}
}
