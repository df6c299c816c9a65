package scaletest

import (
	"cmp"
	"slices"
)

// ownership is a node's assignment of a destination, as the node reported it.
type ownership struct {
	node      int
	quota     float64
	accepting bool
	limit     float64 // of the latest destination config, 0 without one
}

// quotaTolerance is how far the sum of quotas may be from 1 by rounding.
const quotaTolerance = 1e-3

// tracker follows what the owners of all destinations report. A destination is settled once the expected number of
// owners accept messages, their quotas add up to the limit, and all of them know that limit.
type tracker struct {
	owners         [][]ownership // by destination, as are the others
	expectedOwners []int
	limits         []float64 // that owners must know; 0: none
	isSettled      []bool
	lastAt         []int64 // the time of the latest report
	settledAt      []int64 // the time of the report that settled it
	unsettled      int     // destinations

	assignmentsGained int // by changes, those of complete updates not among them
	leasesLost        int
	restarted         map[int]bool // nodes that have not reported since their restart
	reported          map[int]bool // nodes that have reported an assignment
}

func newTracker(fleet Fleet) *tracker {
	t := &tracker{restarted: map[int]bool{}, reported: map[int]bool{}}
	limit := 0.0
	if fleet.Endpoints > 0 {
		limit = initialLimit
	}
	for destination := range fleet.Destinations {
		t.expect(destination, fleet.Owners, limit)
	}
	return t
}

// expect sets how many owners a destination must have and which limit they must know; 0 leaves what was expected. A
// destination that is not known yet is added.
func (t *tracker) expect(destination, owners int, limit float64) {
	t.ensure(destination)
	t.expectedOwners[destination] = cmp.Or(owners, t.expectedOwners[destination])
	t.limits[destination] = cmp.Or(limit, t.limits[destination])
	t.updateSettled(destination)
}

// ensure adds a destination that is not known yet. It is settled without owners.
func (t *tracker) ensure(destination int) {
	for len(t.expectedOwners) <= destination {
		t.expectedOwners = append(t.expectedOwners, 0)
		t.limits = append(t.limits, 0)
		t.owners = append(t.owners, nil)
		t.isSettled = append(t.isSettled, true)
		t.lastAt = append(t.lastAt, 0)
		t.settledAt = append(t.settledAt, 0)
	}
}

// apply applies the report of a node.
func (t *tracker) apply(e event) {
	if e.Kind == eventLeaseLost {
		t.leasesLost++
		return
	}
	if e.Complete && t.restarted[e.Node] {
		delete(t.restarted, e.Node)
		t.removeAssignments(func(node int) bool { return node == e.Node })
	}
	if len(e.IDs) > 0 {
		t.reported[e.Node] = true
	}
	for i, id := range e.IDs {
		reported := ownership{node: e.Node, quota: e.Quotas[i], accepting: e.States[i] == stateAccepting}
		t.applyAssignment(int(id), reported, e, e.States[i] == stateRemoved)
	}
	for i, id := range e.Configs {
		t.applyLimit(int(id), e.Node, e.Limits[i], e.At)
	}
}

// applyAssignment applies a node's report of one assignment.
func (t *tracker) applyAssignment(destination int, reported ownership, e event, removed bool) {
	t.ensure(destination)
	if added := t.setOwnership(destination, reported, removed); added && !e.Complete {
		t.assignmentsGained++
	}
	t.lastAt[destination] = max(t.lastAt[destination], e.At)
	t.updateSettled(destination)
}

// applyLimit applies the limit that a node knows of a destination which it owns.
func (t *tracker) applyLimit(destination, node int, limit float64, at int64) {
	t.ensure(destination)
	for i := range t.owners[destination] {
		if owner := &t.owners[destination][i]; owner.node == node {
			owner.limit = limit
		}
	}
	t.lastAt[destination] = max(t.lastAt[destination], at)
	t.updateSettled(destination)
}

// setOwnership replaces what a node reported of a destination, and reports whether it had no assignment before.
func (t *tracker) setOwnership(destination int, reported ownership, removed bool) (added bool) {
	owners := t.owners[destination]
	at := slices.IndexFunc(owners, func(other ownership) bool { return other.node == reported.node })
	switch {
	case removed && at >= 0:
		t.owners[destination] = slices.Delete(owners, at, at+1)
	case removed:
	case at >= 0:
		reported.limit = owners[at].limit
		owners[at] = reported
	default:
		t.owners[destination] = append(owners, reported)
		return true
	}
	return false
}

// updateSettled evaluates whether a destination is settled.
func (t *tracker) updateSettled(destination int) {
	settled := t.evaluate(destination)
	if settled == t.isSettled[destination] {
		return
	}
	t.isSettled[destination] = settled
	if !settled {
		t.unsettled++
		return
	}
	t.unsettled--
	t.settledAt[destination] = t.lastAt[destination]
}

// evaluate reports whether the owners of a destination are those that are expected.
func (t *tracker) evaluate(destination int) bool {
	accepting, sum := 0, 0.0
	for _, owner := range t.owners[destination] {
		if !owner.accepting {
			continue
		}
		if owner.limit != t.limits[destination] {
			return false
		}
		accepting++
		sum += owner.quota
	}
	if accepting != t.expectedOwners[destination] {
		return false
	}
	return accepting == 0 || sum > 1-quotaTolerance && sum < 1+quotaTolerance
}

// unsettledDestinations returns the destinations that are not settled.
func (t *tracker) unsettledDestinations() []int {
	var unsettled []int
	for destination, settled := range t.isSettled {
		if !settled {
			unsettled = append(unsettled, destination)
		}
	}
	return unsettled
}

// removeAssignments removes all assignments of some nodes, and returns how many they had.
func (t *tracker) removeAssignments(ofNode func(node int) bool) int {
	removed := 0
	for destination := range t.owners {
		before := len(t.owners[destination])
		t.owners[destination] = slices.DeleteFunc(t.owners[destination], func(o ownership) bool { return ofNode(o.node) })
		if after := len(t.owners[destination]); after < before {
			removed += before - after
			t.updateSettled(destination)
		}
	}
	return removed
}

// restart removes all assignments of a node that is about to restart.
func (t *tracker) restart(node int) {
	t.removeAssignments(func(other int) bool { return other == node })
	t.restarted[node] = true
}
