package placement

import "math/bits"

// Candidates are ranked by weighted rendezvous hashing. The score of a candidate is an exponentially distributed
// pseudo-random number with the weight of the candidate as rate parameter, derived from the hash of its name and the
// destination. The lowest score ranks first. Zones are ranked first and then the nodes within a zone, so that a ranking
// usually examines the nodes of a few zones only.
//
// Each step uses integers or a single correctly rounded floating-point operation, so that the ranks are the same on
// every processor.

const (
	// logBits is the number of bits after the binary point of a logarithm.
	logBits = 32
	// logTableBits is the number of leading fraction bits of the mantissa that index logTable.
	logTableBits = 10
)

// logTable contains log2(1 + i/1024) in fixed point for i from 0 to 1024.
var logTable = newLogTable()

func newLogTable() *[1<<logTableBits + 1]uint64 {
	var table [1<<logTableBits + 1]uint64
	for i := range table[:1<<logTableBits] {
		table[i] = log2Mantissa(1<<63 | uint64(i)<<(63-logTableBits))
	}
	table[1<<logTableBits] = 1 << logBits
	return &table
}

// log2Mantissa returns the base-2 logarithm of a mantissa from 1 (represented as 1<<63) to 2. It computes the result
// bit by bit by repeated squaring.
func log2Mantissa(mantissa uint64) uint64 {
	var result uint64
	for range logBits {
		high, _ := bits.Mul64(mantissa, mantissa)
		result <<= 1
		if high >= 1<<63 {
			result |= 1
			mantissa = high
			continue
		}
		mantissa = high << 1
	}
	return result
}

// negativeLog2 returns -log2(hash / 2^64) in fixed point.
func negativeLog2(hash uint64) uint64 {
	hash |= 1
	zeros := bits.LeadingZeros64(hash)
	mantissa := hash << zeros
	index := mantissa << 1 >> (64 - logTableBits)
	rest := mantissa << (1 + logTableBits) >> 32
	low, high := logTable[index], logTable[index+1]
	fraction := low + (high-low)*rest>>32
	return uint64(zeros+1)<<logBits - fraction
}

// hashCandidate returns a hash of the seed of a candidate and a destination.
func hashCandidate(seed uint64, destination DestinationID) uint64 {
	hash := seed ^ (uint64(destination)+1)*0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// nodeScore returns the score of a node within its zone; the lowest ranks first.
func (t *topology) nodeScore(node nodeIndex, destination DestinationID) float64 {
	return float64(negativeLog2(hashCandidate(t.seeds[node], destination))) * t.inverseWeights[node]
}

// nodeScoreBelow returns the score of a node and true if the score is below the limit. For most nodes it is not, and
// the lower bound -log2(x) >= 1-x shows this without computing the logarithm; the returned score is 0 then.
func (t *topology) nodeScoreBelow(node nodeIndex, destination DestinationID, limit float64) (float64, bool) {
	hash := hashCandidate(t.seeds[node], destination)
	if float64(^hash>>(64-logBits))*t.inverseWeights[node] >= limit {
		return 0, false
	}
	score := float64(negativeLog2(hash)) * t.inverseWeights[node]
	return score, score < limit
}

// zoneScore returns the score of a zone; the lowest ranks first.
func (t *topology) zoneScore(zone zoneIndex, destination DestinationID) float64 {
	return float64(negativeLog2(hashCandidate(t.zones[zone].seed, destination))) / t.zones[zone].weight
}

// rankedZone is a zone with its score.
type rankedZone struct {
	zone  zoneIndex
	score float64
}

// rankZones appends the zones of the scope to ranked, which must be empty, best ranked first.
func (t *topology) rankZones(ranked []rankedZone, scope scope, destination DestinationID) []rankedZone {
	for _, zone := range scope.zones {
		entry := rankedZone{zone, t.zoneScore(zone, destination)}
		ranked = append(ranked, entry)
		index := len(ranked) - 1
		for index > 0 && ranked[index-1].score > entry.score {
			ranked[index] = ranked[index-1]
			index--
		}
		ranked[index] = entry
	}
	return ranked
}
