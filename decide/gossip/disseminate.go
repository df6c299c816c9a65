package gossip

import (
	"cmp"
	"slices"
	"time"
	"wingmount/decide/evidence"
	"wingmount/decide/membership"
)

// priority is the rank of a pending report when not all of them fit into packets. Lower values are sent first.
type priority int

// The priorities, in sending order. A report that peers also send but that has no quorum yet precedes a report that
// no peer has sent, so that the nodes concentrate on the same endpoints.
const (
	priorityRecovered priority = iota
	priorityBelowQuorum
	priorityFirst
	priorityConfirmed
	priorityContradicting
)

// schedule queues a report on the current observations of an endpoint for all peers. contradiction marks a report
// whose only purpose is to contradict a peer's report.
func (c *Core) schedule(now time.Duration, o *observedEndpoint, contradiction bool) {
	r := &o.report
	r.contradictory = contradiction && (!r.queued || r.contradictory)
	r.recipients = r.recipients[:0]
	r.due = now
	if r.lastDue > 0 {
		r.due = max(now, r.lastDue+c.settings.MinInterval)
	}
	r.lastDue = r.due
	if !r.queued {
		r.queued = true
		c.pending = append(c.pending, o)
	}
}

// isDueFor reports whether the pending report on an endpoint should be sent to a peer now.
func (c *Core) isDueFor(now time.Duration, o *observedEndpoint, to membership.Peer) bool {
	r := &o.report
	return r.due <= now && len(r.recipients) < c.settings.MaxRecipients && !slices.Contains(r.recipients, to)
}

// addReports adds pending reports that the recipient has not received, as many as fit into the packet with its
// updates.
func (c *Core) addReports(now time.Duration, out membership.Outgoing) Outgoing {
	packet := Outgoing{To: out.To, Packet: Packet{Packet: out.Packet}}
	capacity := c.settings.Capacity(len(out.Updates))
	for _, o := range c.pending {
		if len(packet.Reports) >= capacity {
			break
		}
		if o.current.calls == 0 || !c.isDueFor(now, o, out.To) {
			continue
		}
		sum := o.recentCalls()
		o.report.recipients = append(o.report.recipients, out.To)
		packet.Reports = append(packet.Reports, evidence.Report{
			Endpoint: o.id, Zone: c.settings.Evidence.Zone, From: sum.from, To: sum.to, Calls: sum.calls, Failed: sum.failed,
		})
		c.counts.Sent++
	}
	return packet
}

// addReportsToAll calls addReports for each packet.
func (c *Core) addReportsToAll(now time.Duration, all []membership.Outgoing) []Outgoing {
	var out []Outgoing
	for _, packet := range all {
		out = append(out, c.addReports(now, packet))
	}
	return out
}

// sortPending sorts the pending reports by priority, then by due time.
func (c *Core) sortPending(now time.Duration, present int) {
	quorum := evidence.Quorum(present + 1)
	for _, o := range c.pending {
		o.report.priority = c.priorityOf(now, o, quorum)
	}
	slices.SortStableFunc(c.pending, func(a, b *observedEndpoint) int {
		return cmp.Or(cmp.Compare(a.report.priority, b.report.priority), cmp.Compare(a.report.due, b.report.due))
	})
}

func (c *Core) priorityOf(now time.Duration, o *observedEndpoint, quorum int) priority {
	peers := c.evaluator.Assess(now, o.id).Peers
	switch {
	case o.report.contradictory:
		return priorityContradicting
	case !o.down:
		return priorityRecovered
	case peers == 0:
		return priorityFirst
	case peers < quorum:
		return priorityBelowQuorum
	default:
		return priorityConfirmed
	}
}

// expirePending removes reports that would be too old to count when they arrive, and reports that only contradict a
// peer's report once they were sent to all peers. It schedules other reports that were sent to all peers for another
// round after RefreshInterval, since datagrams can be lost.
func (c *Core) expirePending(now time.Duration, present int) {
	c.pending = slices.DeleteFunc(c.pending, func(o *observedEndpoint) bool {
		r := &o.report
		sentToAll := r.due <= now && len(r.recipients) >= min(present, c.settings.MaxRecipients)
		r.queued = o.current.calls > 0 && now-o.current.to <= c.settings.Evidence.MaxAge/2 && (!sentToAll || !r.contradictory)
		if sentToAll {
			r.recipients, r.due = r.recipients[:0], now+c.settings.RefreshInterval
		}
		return !r.queued
	})
}

// disseminate sends packets with reports to one peer after another until the packet rate limit is reached.
func (c *Core) disseminate(now time.Duration, present []membership.Peer, out []Outgoing) []Outgoing {
	for range present {
		if !slices.ContainsFunc(c.pending, func(o *observedEndpoint) bool { return o.report.due <= now }) {
			break
		}
		if len(c.sendOrder) == 0 {
			c.sendOrder = c.members.ShuffledMembers()
		}
		to := c.sendOrder[0]
		c.sendOrder = c.sendOrder[1:]
		isDue := func(o *observedEndpoint) bool { return c.isDueFor(now, o, to) }
		if !slices.Contains(present, to) || !slices.ContainsFunc(c.pending, isDue) {
			continue
		}
		packet, ok := c.members.PacketFor(now, to)
		if !ok {
			c.sendOrder = slices.Insert(c.sendOrder, 0, to)
			break
		}
		out = append(out, c.addReports(now, packet))
	}
	return out
}
