package placement

import "math"

// solveLevel stops at this relative error, or after this number of steps in each of its two phases.
const (
	levelTolerance = 1e-10
	maxLevelSteps  = 200
)

// waterFill distributes the total load of a destination group over the fair loads of the nodes, so that the highest
// load per node weight is as low as the rules allow. A node carries at most one slot of each destination. A zone also
// carries at most one if there are at least as many zones as owners; otherwise each zone carries at least one.
//
// If all zones have the same total weight, the result is the mean by weight.
func (t *topology) waterFill(fair []float64, scope scope, owners int, total float64) {
	share := total / float64(owners)
	filler := waterFiller{topology: t, fair: fair, nodeMax: share, zoneMax: share}
	if len(scope.zones) <= owners {
		filler.zoneMin = share
	}
	if len(scope.zones) < owners {
		filler.zoneMax = total
	}
	sum := func(level float64) float64 {
		var sum float64
		for _, zone := range scope.zones {
			sum += filler.zoneAmount(zone, level)
		}
		return sum
	}
	level := solveLevel(total, filler.unconstrainedLevel(scope.zones, total), sum)
	for _, zone := range scope.zones {
		filler.fillZone(zone, filler.zoneAmount(zone, level))
	}
}

// waterFiller computes the load of one destination group that nodes and zones take at a given level. A level is a
// load per node weight.
type waterFiller struct {
	*topology
	fair             []float64
	nodeMax          float64
	zoneMin, zoneMax float64
}

func (f *waterFiller) nodeAmount(node nodeIndex, level float64) float64 {
	return min(max(float64(level*f.nodes[node].Weight)-f.fair[node], 0), f.nodeMax)
}

func (f *waterFiller) zoneAmountUnclamped(zone zoneIndex, level float64) float64 {
	var sum float64
	for _, node := range f.zones[zone].nodes {
		sum += f.nodeAmount(node, level)
	}
	return sum
}

func (f *waterFiller) zoneAmount(zone zoneIndex, level float64) float64 {
	return min(max(f.zoneAmountUnclamped(zone, level), f.zoneMin), f.zoneMax)
}

// unconstrainedLevel returns the level at which the zones take the amount if no limit applies.
func (f *waterFiller) unconstrainedLevel(zones []zoneIndex, amount float64) float64 {
	var weight float64
	for _, zone := range zones {
		weight += f.zones[zone].weight
		for _, node := range f.zones[zone].nodes {
			amount += f.fair[node]
		}
	}
	return amount / weight
}

// fillZone distributes the amount over the nodes of a zone.
func (f *waterFiller) fillZone(zone zoneIndex, amount float64) {
	guess := f.unconstrainedLevel([]zoneIndex{zone}, amount)
	level := solveLevel(amount, guess, func(level float64) float64 { return f.zoneAmountUnclamped(zone, level) })
	for _, node := range f.zones[zone].nodes {
		f.fair[node] += f.nodeAmount(node, level)
	}
}

// solveLevel returns the lowest level, within levelTolerance, at which sum reaches the amount. sum must not decrease
// as the level rises. guess is the first level tried.
func solveLevel(amount, guess float64, sum func(level float64) float64) float64 {
	if amount <= 0 {
		return 0
	}
	tolerance := float64(amount * levelTolerance)
	low, high := 0.0, guess
	for range maxLevelSteps {
		missing := amount - sum(high)
		if math.Abs(missing) <= tolerance {
			return high
		}
		if missing < 0 {
			break
		}
		low, high = high, high*4
	}
	for steps := 0; high-low > float64(high*levelTolerance) && steps < maxLevelSteps; steps++ {
		middle := low + (high-low)/2
		if sum(middle) < amount-tolerance {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// floorToLoad rounds a sum of loads down to a load; negative sums become 0.
func floorToLoad(value float64) load { return load(math.Floor(max(value, 0))) }
