package placement

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// oracleIncrements is the number of equal increments into which spreadInIncrements divides a load.
const oracleIncrements = 4000

// spreadInIncrements is a simple oracle for waterFill if there are more zones than owners: it adds each increment to
// the node with the lowest load per weight among those that are below their limit and the limit of their zone.
func spreadInIncrements(t *topology, fair []float64, scope scope, owners int, total float64) {
	limit := total / float64(owners)
	nodeAmounts, zoneAmounts := make([]float64, len(fair)), make([]float64, len(t.zones))
	increment := total / oracleIncrements
	for range oracleIncrements {
		best, bestLevel := noNode, math.Inf(1)
		for _, zone := range scope.zones {
			for _, node := range t.zones[zone].nodes {
				full := nodeAmounts[node]+increment > limit+increment/2 || zoneAmounts[zone]+increment > limit+increment/2
				if level := fair[node] * t.inverseWeights[node]; !full && level < bestLevel {
					best, bestLevel = node, level
				}
			}
		}
		fair[best] += increment
		nodeAmounts[best] += increment
		zoneAmounts[t.zoneOf[best]] += increment
	}
}

func TestWaterFillMatchesIncrementalOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []Node
		for i := range rapid.IntRange(1, 10).Draw(t, "nodes") {
			nodes = append(nodes, Node{
				ID: NodeID(fmt.Sprintf("n%02d", i)), Region: "r",
				Zone:   string(rune('a' + rapid.IntRange(0, 4).Draw(t, "zone"))),
				Weight: float64(rapid.IntRange(1, 8).Draw(t, "weight")),
			})
		}
		topology := newTopology(nodes)
		scope := topology.scope("")
		if len(scope.zones) < 2 {
			return
		}
		got, want := make([]float64, len(nodes)), make([]float64, len(nodes))
		for range rapid.IntRange(1, 3).Draw(t, "classes") {
			owners := rapid.IntRange(1, len(scope.zones)-1).Draw(t, "owners")
			total := float64(rapid.IntRange(1, 100).Draw(t, "total"))
			topology.waterFill(got, scope, owners, total)
			spreadInIncrements(topology, want, scope, owners, total)
		}
		for i := range got {
			if math.Abs(got[i]-want[i]) > 1 {
				t.Fatalf("node %d of %+v: got fair loads %v, oracle has %v", i, nodes, got, want)
			}
		}
	})
}

func TestWaterFillWithFewZonesRespectsSlotLimits(t *testing.T) {
	nodes := []Node{
		{ID: "a", Region: "r", Zone: "1", Weight: 10},
		{ID: "b", Region: "r", Zone: "1", Weight: 10},
		{ID: "c", Region: "r", Zone: "2", Weight: 1},
	}
	topology := newTopology(nodes)
	fair := make([]float64, len(nodes))
	topology.waterFill(fair, topology.scope(""), 2, 100)
	for i, want := range []float64{25, 25, 50} {
		if math.Abs(fair[i]-want) > 1e-6 {
			t.Errorf("two owners, two zones: got fair loads %v, want [25 25 50]", fair)
			break
		}
	}
	fair = make([]float64, len(nodes))
	topology.waterFill(fair, topology.scope(""), 3, 90)
	for i, want := range []float64{30, 30, 30} {
		if math.Abs(fair[i]-want) > 1e-6 {
			t.Errorf("three owners, three nodes: fair load %d: got %v, want %v", i, fair[i], want)
		}
	}
}
