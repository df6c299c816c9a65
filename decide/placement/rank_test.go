package placement

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestNegativeLog2MatchesFloatingPoint(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for i := range 100_000 {
		hash := random.Uint64() >> (i % 60)
		got := float64(negativeLog2(hash)) / (1 << logBits)
		want := 64 - math.Log2(float64(hash|1))
		if math.Abs(got-want) > 1e-6 {
			t.Fatalf("-log2(%d / 2^64): got %v, want %v", hash, got, want)
		}
	}
}

// Each node must rank first for a fraction of the destinations in proportion to its weight.
func TestFirstRankIsProportionalToWeight(t *testing.T) {
	const destinations = 40_000
	weights := []float64{1, 2, 5}
	var nodes []Node
	for i, weight := range weights {
		nodes = append(nodes, Node{ID: NodeID(rune('a' + i)), Region: "r", Zone: "z", Weight: weight})
	}
	topology := newTopology(nodes)
	firstCounts := make([]float64, len(nodes))
	for destination := range DestinationID(destinations) {
		best := nodeIndex(0)
		for node := range nodes {
			if topology.nodeScore(nodeIndex(node), destination) < topology.nodeScore(best, destination) {
				best = nodeIndex(node)
			}
		}
		firstCounts[best]++
	}
	for i, weight := range weights {
		want := destinations * weight / 8
		if math.Abs(firstCounts[i]-want) > 6*math.Sqrt(want) {
			t.Errorf("node of weight %v: ranked first %v times, want about %v", weight, firstCounts[i], want)
		}
	}
}
