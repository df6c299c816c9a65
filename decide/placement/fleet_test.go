package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
)

// fullFleetVariable is the environment variable that makes the tests of this file use the full fleet of 1,500 nodes
// and 170,000 destinations.
const fullFleetVariable = "PLACEMENT_FULL"

// fleetSize is the size of a test fleet.
type fleetSize struct{ nodes, destinations int }

var (
	smallFleet = fleetSize{165, 10_000}
	fullFleet  = fleetSize{1_500, 170_000}
)

// The modeled fleet: 11 zones in 3 regions, and 3.5 million messages a second at full size.
const (
	fleetZones      = 11
	fleetRegions    = 3
	ratePerNode     = 3_500_000.0 / 1_500
	rateExponent    = 0.8
	fleetOwners     = 3
	fleetSeed       = 35
	restartsPerHour = 310
)

func testFleetSize() fleetSize {
	if os.Getenv(fullFleetVariable) != "" {
		return fullFleet
	}
	return smallFleet
}

// newFleet returns a fleet whose destination rates follow a power law, assigned in random order.
func newFleet(size fleetSize) Input {
	input := Input{LoadBound: DefaultLoadBound}
	for i := range size.nodes {
		input.Nodes = append(input.Nodes, fleetNode(i))
	}
	random := rand.New(rand.NewPCG(fleetSeed, 0))
	var sum float64
	for rank := range size.destinations {
		sum += math.Pow(float64(rank+1), -rateExponent)
	}
	for index, rank := range random.Perm(size.destinations) {
		rate := math.Pow(float64(rank+1), -rateExponent) / sum * ratePerNode * float64(size.nodes)
		input.Destinations = append(input.Destinations, Destination{
			ID: DestinationID(index), Rate: rate, Owners: fleetOwners,
		})
	}
	return input
}

func fleetNode(i int) Node {
	zone := i % fleetZones
	return Node{
		ID:     NodeID(fmt.Sprintf("node-%04d", i)),
		Region: fmt.Sprintf("region-%d", zone%fleetRegions),
		Zone:   fmt.Sprintf("zone-%02d", zone),
		Weight: 1,
	}
}

// fleet is a changing input with its current table. It counts the load that each update moves.
type fleet struct {
	t     testing.TB
	input Input
	table *Table
	// moved is the load that was assigned to a new owner, summed over all updates.
	moved float64
	// changes counts the owner set changes of each destination.
	changes map[DestinationID]int
}

func startFleet(tb testing.TB, size fleetSize) *fleet {
	tb.Helper()
	f := &fleet{t: tb, input: newFleet(size), changes: map[DestinationID]int{}}
	f.table = mustCompute(tb, nil, f.input)
	return f
}

func mustCompute(tb testing.TB, previous *Table, input Input) *Table {
	tb.Helper()
	table, err := Compute(previous, input)
	if err != nil {
		tb.Fatal(err)
	}
	return table
}

// update computes the table for the current input and returns the load that moved.
func (f *fleet) update() float64 {
	f.t.Helper()
	next := mustCompute(f.t, f.table, f.input)
	moved := movedLoad(next, f.table)
	for _, id := range next.Changed(f.table) {
		f.changes[id]++
	}
	f.table = next
	f.moved += moved
	return moved
}

// load returns the sum of the loads of the selected nodes.
func (f *fleet) load(selected func(Node) bool) float64 {
	var sum float64
	for _, node := range f.input.Nodes {
		if selected(node) {
			sum += f.table.Load(node.ID)
		}
	}
	return sum
}

// removeNodes removes the selected nodes from the input and returns them.
func (f *fleet) removeNodes(selected func(Node) bool) []Node {
	var removed []Node
	f.input.Nodes = slices.DeleteFunc(slices.Clone(f.input.Nodes), func(node Node) bool {
		if selected(node) {
			removed = append(removed, node)
		}
		return selected(node)
	})
	return removed
}

func (f *fleet) addNodes(nodes []Node) { f.input.Nodes = append(slices.Clone(f.input.Nodes), nodes...) }

// setDraining sets Draining of a node and reports whether the fleet contains it.
func (f *fleet) setDraining(id NodeID, draining bool) bool {
	f.input.Nodes = slices.Clone(f.input.Nodes)
	for i := range f.input.Nodes {
		if f.input.Nodes[i].ID == id {
			f.input.Nodes[i].Draining = draining
			return true
		}
	}
	return false
}

// lostZone is the zone that tests remove.
const lostZone = "zone-03"

func inLostZone(node Node) bool { return node.Zone == lostZone }

func hasID(ids ...NodeID) func(Node) bool {
	return func(node Node) bool { return slices.Contains(ids, node.ID) }
}

// checkBalance fails the test unless every load is within the bounds of the package, without exceptions.
func (f *fleet) checkBalance() {
	f.t.Helper()
	o := newOracle(f.input, f.table)
	var counts modelCounts
	if violation := o.violation(&counts); violation != "" {
		f.t.Fatal(violation)
	}
	if counts.overloaded+counts.underloaded > 0 {
		f.t.Fatalf("got %d nodes over the upper bound and %d under the lower bound, want none", counts.overloaded, counts.underloaded)
	}
}

// relativeLoadRange returns the lowest and the highest node load as multiples of the fair load.
func (f *fleet) relativeLoadRange() (lowest, highest float64) {
	lowest = math.Inf(1)
	for _, node := range f.input.Nodes {
		if fair := f.table.FairLoad(node.ID); !node.Draining && fair > 0 {
			lowest = min(lowest, f.table.Load(node.ID)/fair)
			highest = max(highest, f.table.Load(node.ID)/fair)
		}
	}
	return lowest, highest
}

// checkMoved fails the test if the moved load exceeds the baseline times the factor. The baseline is the load of the
// changed nodes.
func (f *fleet) checkMoved(event string, moved, baseline, factor float64) {
	f.t.Helper()
	f.t.Logf("%s: moved %.0f, %.3f times the load of the changed nodes, %.0f", event, moved, moved/baseline, baseline)
	if moved > baseline*factor {
		f.t.Errorf("%s: moved more than %.2f times the load of the changed nodes", event, factor)
	}
}

// maxNodeMovement and maxZoneMovement limit the load that a change of a node or a zone may move, as multiples of the
// load of that node or zone.
const (
	maxNodeMovement = 2.0
	maxZoneMovement = 1.25
)

func TestFleetLoadsStayWithinBounds(t *testing.T) {
	f := startFleet(t, testFleetSize())
	lowest, highest := f.relativeLoadRange()
	t.Logf("%d nodes, %d destinations: loads from %.3f to %.3f of the fair load, %d large and %d hot destinations",
		len(f.input.Nodes), len(f.input.Destinations), lowest, highest, len(f.table.largeIDs), len(f.table.Hot()))
	f.checkBalance()
}

func TestSingleNodeChangeMovesBoundedLoad(t *testing.T) {
	f := startFleet(t, testFleetSize())
	for _, i := range []int{0, 17, 42} {
		id := fleetNode(i).ID
		ownLoad := f.load(hasID(id))
		f.setDraining(id, true)
		f.checkMoved("node drained", f.update(), ownLoad, maxNodeMovement)
		if moved := f.update(); moved != 0 {
			t.Errorf("repeated update: got moved load %v, want none", moved)
		}
		removed := f.removeNodes(hasID(id))
		f.checkMoved("node removed after its drain", f.update(), ownLoad, 0)
		removed[0].Draining = false
		f.addNodes(removed)
		moved := f.update()
		f.checkMoved("node returned", moved, f.table.FairLoad(id), maxNodeMovement)
		ownLoad = f.load(hasID(id))
		f.removeNodes(hasID(id))
		f.checkMoved("node lost", f.update(), ownLoad, maxNodeMovement)
		f.checkBalance()
	}
	f.addNodes([]Node{fleetNode(len(f.input.Nodes) + 10)})
	moved := f.update()
	added := f.input.Nodes[len(f.input.Nodes)-1].ID
	f.checkMoved("node added", moved, f.table.FairLoad(added), maxNodeMovement)
	f.checkBalance()
}

func TestZoneLossMovesItsLoadOnce(t *testing.T) {
	f := startFleet(t, testFleetSize())
	for range 2 {
		ownLoad := f.load(inLostZone)
		lost := f.removeNodes(inLostZone)
		f.checkMoved("zone lost", f.update(), ownLoad, maxZoneMovement)
		f.checkBalance()
		if moved := f.update(); moved != 0 {
			t.Errorf("repeated update: got moved load %v, want none", moved)
		}
		f.addNodes(lost)
		moved := f.update()
		fair := 0.0
		for _, node := range lost {
			fair += f.table.FairLoad(node.ID)
		}
		f.checkMoved("zone returned", moved, fair, 1)
		f.checkBalance()
	}
}

// Nodes are drained and returned five at a time. A zone is lost and returned meanwhile. The load moved in total must
// stay close to the load of the nodes that changed.
func TestZoneLossDuringRollingRestartMovesBoundedLoad(t *testing.T) {
	const batchSize, rounds, zoneLostAt, zoneReturnedAt = 5, 12, 4, 8
	f := startFleet(t, testFleetSize())
	var baseline float64
	var lost []Node
	for round := range rounds {
		switch round {
		case zoneLostAt:
			baseline += f.load(inLostZone)
			lost = f.removeNodes(inLostZone)
		case zoneReturnedAt:
			f.addNodes(lost)
			f.update()
			for _, node := range lost {
				baseline += f.table.FairLoad(node.ID)
			}
		}
		var batch []NodeID
		for i := range batchSize {
			if id := fleetNode(round*batchSize + i).ID; f.setDraining(id, true) {
				batch = append(batch, id)
			}
		}
		baseline += f.load(hasID(batch...))
		f.update()
		f.checkBalance()
		for _, id := range batch {
			f.setDraining(id, false)
		}
		f.update()
		for _, id := range batch {
			baseline += f.table.FairLoad(id)
		}
		f.checkBalance()
	}
	f.checkMoved("rolling restart with a zone lost and returned", f.moved, baseline, maxZoneMovement)
	f.logChurn()
}

// 310 nodes, the restarts of one hour, are drained and returned ten at a time. The load moved in total must stay
// close to the load of the nodes that changed.
func TestHourOfRestartsMovesBoundedLoad(t *testing.T) {
	const batchSize = 10
	f := startFleet(t, testFleetSize())
	var baseline float64
	for first := 0; first < restartsPerHour; first += batchSize {
		var batch []NodeID
		for i := range batchSize {
			id := fleetNode((first + i) % len(f.input.Nodes)).ID
			f.setDraining(id, true)
			batch = append(batch, id)
		}
		baseline += f.load(hasID(batch...))
		f.update()
		for _, id := range batch {
			f.setDraining(id, false)
		}
		f.update()
		for _, id := range batch {
			baseline += f.table.FairLoad(id)
		}
	}
	f.checkBalance()
	f.checkMoved("310 restarts", f.moved, baseline, maxZoneMovement)
	f.logChurn()
}

// logChurn logs the moved load and how often owner sets changed.
func (f *fleet) logChurn() {
	total, worst := 0, 0
	for _, count := range f.changes {
		total += count
		worst = max(worst, count)
	}
	rate := 0.0
	for _, destination := range f.input.Destinations {
		rate += destination.Rate
	}
	f.t.Logf("moved %.3f of all load; %d owner sets changed for %d of %d destinations, at most %d times for one",
		f.moved/rate, total, len(f.changes), len(f.input.Destinations), worst)
}

func TestLossOfAllOwnersMovesBoundedLoad(t *testing.T) {
	f := startFleet(t, testFleetSize())
	for destination := DestinationID(0); destination < 5; destination++ {
		owners := f.table.Owners(destination)
		ownLoad := f.load(hasID(owners...))
		f.removeNodes(hasID(owners...))
		f.checkMoved("all owners lost", f.update(), ownLoad, maxNodeMovement)
		f.checkBalance()
		if after := f.table.Owners(destination); len(after) != fleetOwners {
			t.Fatalf("destination %d: got owners %v, want %d", destination, after, fleetOwners)
		}
	}
}

// The test logs the load that would move if a control process lost its table and received no owner sets from the
// nodes: the difference between a table with a history and one computed from the same input without a previous table.
func TestTableWithHistoryLogsDifferenceFromNewTable(t *testing.T) {
	f := startFleet(t, testFleetSize())
	for i := range 10 {
		f.removeNodes(hasID(fleetNode(i * 7).ID))
		f.update()
	}
	recomputed := mustCompute(t, nil, f.input)
	var rate float64
	for _, destination := range f.input.Destinations {
		rate += destination.Rate
	}
	t.Logf("after the loss of ten nodes one by one, a table without a previous one moves %.3f of all load",
		movedLoad(recomputed, f.table)/rate)
}

// benchmarkSizes vary the number of nodes and the number of destinations separately, to show how the cost grows with
// each.
var benchmarkSizes = []fleetSize{
	{188, 170_000},
	{375, 170_000},
	{750, 170_000},
	{1_500, 21_250},
	{1_500, 42_500},
	{1_500, 85_000},
	fullFleet,
}

// benchmarkBySize runs a benchmark at each of benchmarkSizes.
func benchmarkBySize(b *testing.B, run func(b *testing.B, size fleetSize)) {
	b.Helper()
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("nodes=%d/destinations=%d", size.nodes, size.destinations), func(b *testing.B) {
			run(b, size)
		})
	}
}

func BenchmarkComputeWithoutPrevious(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size fleetSize) {
		b.Helper()
		input := newFleet(size)
		b.ReportAllocs()
		var table *Table
		for b.Loop() {
			table = mustCompute(b, nil, input)
		}
		b.ReportMetric(float64(table.memoryBytes()), "table-B")
	})
}

func BenchmarkComputeUnchanged(b *testing.B) {
	benchmarkUpdate(b, func(*fleet) {})
}

func BenchmarkComputeNodeLost(b *testing.B) {
	benchmarkUpdate(b, func(f *fleet) { f.removeNodes(hasID("node-0042")) })
}

func BenchmarkComputeNodeAdded(b *testing.B) {
	benchmarkUpdate(b, func(f *fleet) { f.addNodes([]Node{fleetNode(len(f.input.Nodes))}) })
}

func BenchmarkComputeZoneLost(b *testing.B) {
	benchmarkUpdate(b, func(f *fleet) { f.removeNodes(inLostZone) })
}

func BenchmarkComputeDestinationChanged(b *testing.B) {
	benchmarkUpdate(b, func(f *fleet) {
		f.input.Destinations = slices.Clone(f.input.Destinations)
		f.input.Destinations[1000].Rate *= 2
	})
}

func BenchmarkTableChanged(b *testing.B) {
	f := startFleet(b, fullFleet)
	previous := f.table
	f.removeNodes(hasID("node-0042"))
	f.update()
	b.ReportAllocs()
	for b.Loop() {
		f.table.Changed(previous)
	}
}

// benchmarkUpdate measures the update after one change. Each iteration starts from the same table.
func benchmarkUpdate(b *testing.B, change func(*fleet)) {
	b.Helper()
	benchmarkBySize(b, func(b *testing.B, size fleetSize) {
		b.Helper()
		f := startFleet(b, size)
		change(f)
		b.ReportAllocs()
		var table *Table
		for b.Loop() {
			table = mustCompute(b, f.table, f.input)
		}
		b.ReportMetric(float64(len(table.Changed(f.table))), "changed-sets")
		if own := changedNodeLoad(table, f.table); own > 0 {
			b.ReportMetric(movedLoad(table, f.table)/own, "moved/own-part")
		}
	})
}

// changedNodeLoad returns the sum of the loads of the removed nodes and the fair loads of the added ones.
func changedNodeLoad(table, previous *Table) float64 {
	var own float64
	for _, node := range previous.nodes {
		if _, found := table.node(node.ID); !found {
			own += previous.Load(node.ID)
		}
	}
	for _, node := range table.nodes {
		if _, found := previous.node(node.ID); !found {
			own += table.FairLoad(node.ID)
		}
	}
	return own
}

// memoryBytes returns the approximate size of the table, without the names of nodes.
func (t *Table) memoryBytes() int {
	const nodeBytes = 64
	return len(t.nodes)*nodeBytes + len(t.ids)*4 + len(t.rates)*8 + len(t.regions)*2 + len(t.ownerOffsets)*4 +
		len(t.owners)*2 + 3*8*len(t.loads)
}
