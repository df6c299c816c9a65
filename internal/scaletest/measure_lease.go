package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"
	"wingmount/decide/lease"
	"wingmount/decide/placement"
)

// leaseConfig returns the settings of a grantor.
func leaseConfig(nodes int) lease.Config {
	return lease.Config{Duration: 10 * time.Second, MaxDrift: 0.01, Slack: 100 * time.Millisecond, MaxSessions: nodes + 1, MaxUnfinished: 1000}
}

// leaseSimulation has a grantor and holders on virtual time, and counts the bytes of their messages.
type leaseSimulation struct {
	grantor *lease.Grantor
	holders []*lease.Holder
	nodes   []placement.NodeID
	now     time.Duration
	bytes   int // of requests and replies as JSON
	// changed has the number of updates with an assignment, by node.
	changed []int
}

// newLeaseSimulation returns holders without a session and a grantor past its grace.
func newLeaseSimulation(nodes int) *leaseSimulation {
	const start = time.Hour
	l := &leaseSimulation{grantor: lease.NewGrantor(start, 1, leaseConfig(nodes)), now: start, changed: make([]int, nodes)}
	l.now = max(start, l.grantor.GraceEnd()) + time.Second
	l.grantor.Advance(l.now)
	for i := range nodes {
		id := placement.NodeID(nodeName(i))
		l.nodes = append(l.nodes, id)
		l.holders = append(l.holders, lease.NewHolder(lease.HolderConfig{Node: id, Process: lease.ProcessID(i + 1)}))
	}
	return l
}

// renew has one holder renew its lease and apply its update.
func (l *leaseSimulation) renew(node int) error {
	l.now += time.Microsecond
	request := l.holders[node].Renew(l.now)
	session, err := l.grantor.Receive(l.now, request)
	if err != nil {
		return fmt.Errorf("request of %s: %w", l.nodes[node], err)
	}
	reply, err := l.grantor.Answer(l.now, session, request)
	if err != nil {
		return fmt.Errorf("answer to %s: %w", l.nodes[node], err)
	}
	for _, message := range []any{request, reply} {
		text, err := json.Marshal(message)
		if err != nil {
			return err
		}
		l.bytes += len(text)
	}
	update, err := l.holders[node].Receive(l.now, reply)
	if err != nil {
		return fmt.Errorf("reply to %s: %w", l.nodes[node], err)
	}
	if len(update.Assignments) > 0 {
		l.changed[node]++
	}
	return nil
}

// renewAll has all holders renew a number of times, in turn.
func (l *leaseSimulation) renewAll(ctx context.Context, times int) error {
	for range times {
		for node := range l.holders {
			if err := ctx.Err(); err != nil {
				return err
			}
			if err := l.renew(node); err != nil {
				return err
			}
		}
	}
	return nil
}

// assign sets the owners of each destination.
func (l *leaseSimulation) assign(destinations, owners int) {
	for d := range destinations {
		l.grantor.SetOwners(l.now, placement.DestinationID(d), l.ownersOf(d, owners))
	}
	l.grantor.MarkOwnersComplete(l.now)
}

// ownersOf returns owners of a destination, others than of the next one.
func (l *leaseSimulation) ownersOf(destination, owners int) []placement.NodeID {
	var all []placement.NodeID
	for i := range min(owners, len(l.nodes)) {
		all = append(all, l.nodes[(destination+i*(1+len(l.nodes)/3))%len(l.nodes)])
	}
	return all
}

// renewalsToSettle is how many renewals bring all quotas to their owners: the quota is sent to the former owner,
// confirmed, granted to the next one, and sent.
const renewalsToSettle = 4

// measureLeaseAssignments measures the bytes between one node and the grantor by the destinations that it owns.
func measureLeaseAssignments(ctx context.Context, _ Slope, size int, _ uint64, _ environment) ([]value, error) {
	l := newLeaseSimulation(1)
	l.assign(size, 1)
	if err := l.renewAll(ctx, renewalsToSettle); err != nil {
		return nil, err
	}
	complete := l.bytes
	l.bytes = 0
	if err := l.renewAll(ctx, 1); err != nil {
		return nil, err
	}
	return []value{{"complete assignments", "B", float64(complete)}, {"renewal", "B", float64(l.bytes)}}, nil
}

// measureLeases measures the memory of grantor and holders, and the bytes and processor time of a renewal.
func measureLeases(ctx context.Context, size fleetSize, _ uint64, _ environment) ([]value, error) {
	before := heapInUse()
	l := newLeaseSimulation(size.nodes)
	l.assign(size.destinations, placementOwners)
	if err := l.renewAll(ctx, renewalsToSettle); err != nil {
		return nil, err
	}
	l.bytes = 0
	began := cpuTime()
	if err := l.renewAll(ctx, 1); err != nil {
		return nil, err
	}
	used := cpuTime() - began
	both := heapInUse() - before
	l.grantor = nil
	holders := heapInUse() - before
	runtime.KeepAlive(l)
	return []value{
		{"memory of the grantor", "B", float64(both - holders)},
		{"memory of a holder", "B", float64(holders) / float64(size.nodes)},
		{"renewal", "B", float64(l.bytes) / float64(size.nodes)},
		{"renewal, both ends", "µs", float64(used.Nanoseconds()) / 1000 / float64(size.nodes)},
	}, nil
}
