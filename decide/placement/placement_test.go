package placement

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// fourNodes returns four nodes in three zones of one region.
func fourNodes() []Node {
	return []Node{
		{ID: "a", Region: "r", Zone: "1", Weight: 1},
		{ID: "b", Region: "r", Zone: "1", Weight: 1},
		{ID: "c", Region: "r", Zone: "2", Weight: 1},
		{ID: "d", Region: "r", Zone: "3", Weight: 1},
	}
}

func zonesOfOwners(table *Table, id DestinationID) map[string]int {
	zones := map[string]int{}
	for _, owner := range table.Owners(id) {
		node, _ := table.node(owner)
		zones[table.nodes[node].Zone]++
	}
	return zones
}

func TestOwnersAreInDifferentZones(t *testing.T) {
	table := mustCompute(t, nil, Input{
		Nodes:        fourNodes(),
		Destinations: []Destination{{ID: 7, Rate: 3, Owners: 3}},
	})
	if zones := zonesOfOwners(table, 7); len(table.Owners(7)) != 3 || len(zones) != 3 {
		t.Fatalf("got owners %v in zones %v, want three owners in three zones", table.Owners(7), zones)
	}
}

func TestOwnersExceedingZonesUseAllNodes(t *testing.T) {
	table := mustCompute(t, nil, Input{
		Nodes:        fourNodes(),
		Destinations: []Destination{{ID: 1, Rate: 4, Owners: 4}, {ID: 2, Rate: 4, Owners: 9}},
	})
	for _, id := range []DestinationID{1, 2} {
		if zones := zonesOfOwners(table, id); len(table.Owners(id)) != 4 || len(zones) != 3 {
			t.Errorf("destination %d: got owners %v, want four in three zones", id, table.Owners(id))
		}
	}
	if load := table.Load("a"); math.Abs(load-2) > rounding {
		t.Errorf("load of node a: got %v, want 2, a quarter of each destination", load)
	}
}

func TestDestinationWithoutEligibleNodeIsUnplaced(t *testing.T) {
	nodes := fourNodes()
	table := mustCompute(t, nil, Input{
		Nodes:        nodes,
		Destinations: []Destination{{ID: 1, Rate: 1, Owners: 2, Region: "elsewhere"}, {ID: 2, Rate: 1, Owners: 2}},
	})
	unplaced := table.Unplaced()
	if len(unplaced) != 1 || *unplaced[0] != (UnplacedError{1, "elsewhere"}) {
		t.Fatalf("got unplaced destinations %v, want destination 1", unplaced)
	}
	if !strings.Contains(unplaced[0].Error(), `region "elsewhere"`) {
		t.Errorf("got error %q, want one that names the region", unplaced[0])
	}
	if len(table.Owners(2)) != 2 {
		t.Errorf("destination 2: got owners %v, want two", table.Owners(2))
	}
	for i := range nodes {
		nodes[i].Draining = true
	}
	table = mustCompute(t, table, Input{Nodes: nodes, Destinations: []Destination{{ID: 2, Rate: 1, Owners: 2}}})
	if len(table.Unplaced()) != 1 || table.Owners(2) != nil {
		t.Errorf("all nodes draining: got owners %v, unplaced %v, want destination 2 unplaced", table.Owners(2), table.Unplaced())
	}
}

func TestEmptyAndNilTablesReturnNothing(t *testing.T) {
	table := mustCompute(t, nil, Input{})
	if len(table.Nodes())+len(table.Destinations())+len(table.Unplaced())+len(table.Changed(nil)) != 0 {
		t.Error("table of an empty input: got entries, want none")
	}
	var nilTable *Table
	if nilTable.Owners(1) != nil || nilTable.Load("a") != 0 || nilTable.Explain(1).Known || len(nilTable.Changed(nil)) != 0 {
		t.Error("nil table: got entries, want none")
	}
}

func TestChangedReturnsDifferentOwnerSets(t *testing.T) {
	input := Input{Nodes: fourNodes(), Destinations: []Destination{
		{ID: 1, Rate: 1, Owners: 1}, {ID: 2, Rate: 1, Owners: 1}, {ID: 4, Rate: 1, Owners: 1, Region: "none"},
	}}
	first := mustCompute(t, nil, input)
	if changed := first.Changed(nil); !slices.Equal(changed, []DestinationID{1, 2}) {
		t.Errorf("changed from a nil table: got %v, want [1 2]", changed)
	}
	input.Destinations = []Destination{{ID: 2, Rate: 1, Owners: 2}, {ID: 3, Rate: 1, Owners: 1}}
	second := mustCompute(t, first, input)
	if changed := second.Changed(first); !slices.Equal(changed, []DestinationID{1, 2, 3}) {
		t.Errorf("changed from the first table: got %v, want [1 2 3]", changed)
	}
	if changed := second.Changed(second); len(changed) != 0 {
		t.Errorf("changed from the same table: got %v, want none", changed)
	}
	if owned := second.Owned(second.Owners(3)[0]); !slices.Contains(owned, 3) {
		t.Errorf("owner of destination 3: got owned destinations %v, want 3 among them", owned)
	}
}

// A node that owns a slot of a hot destination must own at most one other destination. Its load must return to the
// bounds when the destination is no longer hot.
func TestHotDestinationOwnersOwnAtMostOneOther(t *testing.T) {
	input := Input{Nodes: fourNodes()}
	for id := range DestinationID(200) {
		input.Destinations = append(input.Destinations, Destination{ID: id, Rate: 1, Owners: 1})
	}
	table := mustCompute(t, nil, input)
	input.Destinations = slices.Clone(input.Destinations)
	input.Destinations[9] = Destination{ID: 9, Rate: 2000, Owners: 2}
	table = mustCompute(t, table, input)
	if hot := table.Hot(); !slices.Equal(hot, []DestinationID{9}) {
		t.Fatalf("hot destinations: got %v, want [9]", hot)
	}
	for _, owner := range table.Owners(9) {
		if owned := len(table.Owned(owner)); owned > 2 {
			t.Errorf("node %q: got %d destinations in addition to the hot one, want one at most", owner, owned-1)
		}
	}
	input.Destinations[9] = Destination{ID: 9, Rate: 1, Owners: 2}
	table = mustCompute(t, table, input)
	for _, node := range input.Nodes {
		if load := table.Load(node.ID); load < 0.9*201/4-1 || load > 1.1*201/4+1 {
			t.Errorf("node %q: got load %v after the destination is no longer hot, want about 50", node.ID, load)
		}
	}
}

// Without constraints by region or zone, the fair load of a node is the mean load by weight.
func TestUnconstrainedFairLoadIsWeightedMean(t *testing.T) {
	input := Input{Nodes: fourNodes()}
	input.Nodes[2].Weight, input.Nodes[3].Weight = 0.5, 1.5
	for id := range DestinationID(400) {
		input.Destinations = append(input.Destinations, Destination{ID: id, Rate: 1, Owners: 1})
	}
	table := mustCompute(t, nil, input)
	for _, node := range input.Nodes {
		if fair := table.FairLoad(node.ID); math.Abs(fair-100*node.Weight) > rounding {
			t.Errorf("fair load of node %q with weight %v: got %v", node.ID, node.Weight, fair)
		}
	}
}

func TestComputeIgnoresInputOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 0))
		c := newCluster(random.IntN)
		var counts modelCounts
		var ordered, shuffled *Table
		for range 8 {
			c.step(t, &counts)
			reordered := Input{slices.Clone(c.input.Nodes), slices.Clone(c.input.Destinations), c.input.LoadBound}
			random.Shuffle(len(reordered.Nodes), reflect.Swapper(reordered.Nodes))
			random.Shuffle(len(reordered.Destinations), reflect.Swapper(reordered.Destinations))
			copied := Input{slices.Clone(reordered.Nodes), slices.Clone(reordered.Destinations), reordered.LoadBound}
			var err, reorderedErr error
			ordered, err = Compute(ordered, c.input)
			shuffled, reorderedErr = Compute(shuffled, reordered)
			if err != nil || reorderedErr != nil {
				t.Fatalf("got errors %v and %v, want none", err, reorderedErr)
			}
			if !reflect.DeepEqual(ordered, shuffled) {
				t.Fatalf("tables differ for the same input in the order %+v", reordered)
			}
			if !reflect.DeepEqual(reordered, copied) {
				t.Fatalf("Compute modified its input")
			}
		}
	})
}

func TestComputeRejectsInvalidInput(t *testing.T) {
	valid := func() Input {
		return Input{Nodes: fourNodes(), Destinations: []Destination{{ID: 1, Rate: 1, Owners: 1}, {ID: 5, Rate: 1, Owners: 1}}}
	}
	cases := []struct {
		name   string
		change func(*Input)
		want   string
	}{
		{"bound of one", func(i *Input) { i.LoadBound = 1 }, "placement: load bound: must be over 1 and at most 100, got 1"},
		{"bound not a number", func(i *Input) { i.LoadBound = math.NaN() }, "placement: load bound: must be over 1 and at most 100, got NaN"},
		{"bound too large", func(i *Input) { i.LoadBound = math.Inf(1) }, "placement: load bound: must be over 1 and at most 100, got +Inf"},
		{"no node id", func(i *Input) { i.Nodes[2].ID = "" }, `placement: nodes[2] (""): id: must not be empty`},
		{"no region", func(i *Input) { i.Nodes[1].Region = "" }, `placement: nodes[1] ("b"): region: must not be empty`},
		{"no zone", func(i *Input) { i.Nodes[1].Zone = "" }, `placement: nodes[1] ("b"): zone: must not be empty`},
		{"zero weight", func(i *Input) { i.Nodes[3].Weight = 0 }, `placement: nodes[3] ("d"): weight: must be between 0.0009765625 and 1e+06, got 0`},
		{"negative weight", func(i *Input) { i.Nodes[3].Weight = -1 }, `nodes[3] ("d"): weight: must be between 0.0009765625 and 1e+06, got -1`},
		{"weight not a number", func(i *Input) { i.Nodes[0].Weight = math.NaN() }, `nodes[0] ("a"): weight: must be between 0.0009765625 and 1e+06, got NaN`},
		{"infinite weight", func(i *Input) { i.Nodes[0].Weight = math.Inf(1) }, `nodes[0] ("a"): weight: must be between 0.0009765625 and 1e+06, got +Inf`},
		{"node twice", func(i *Input) { i.Nodes[3].ID = "b" }, `placement: nodes[3] ("b"): id: duplicate of nodes[1]`},
		{"zero rate", func(i *Input) { i.Destinations[1].Rate = 0 }, "placement: destinations[1] (5): rate: must be over 0 and at most 1e+07, got 0"},
		{"negative rate", func(i *Input) { i.Destinations[1].Rate = -2 }, "destinations[1] (5): rate: must be over 0 and at most 1e+07, got -2"},
		{"rate not a number", func(i *Input) { i.Destinations[1].Rate = math.NaN() }, "destinations[1] (5): rate: must be over 0 and at most 1e+07, got NaN"},
		{"infinite rate", func(i *Input) { i.Destinations[1].Rate = math.Inf(1) }, "destinations[1] (5): rate: must be over 0 and at most 1e+07, got +Inf"},
		{"no owners", func(i *Input) { i.Destinations[0].Owners = 0 }, "destinations[0] (1): owners: must be between 1 and 64, got 0"},
		{"many owners", func(i *Input) { i.Destinations[0].Owners = 65 }, "destinations[0] (1): owners: must be between 1 and 64, got 65"},
		{
			"destination twice", func(i *Input) { i.Destinations[1].ID = 1 },
			"placement: destinations[1] (1): id: duplicate of destinations[0]",
		},
		{"too many nodes", func(i *Input) { i.Nodes = make([]Node, MaxNodes+1) }, "placement: nodes: must be at most 65534, got 65535"},
		{"too many zones", func(i *Input) {
			for n := range MaxZones {
				i.Nodes = append(i.Nodes, Node{ID: NodeID(fmt.Sprint(n)), Region: "r", Zone: fmt.Sprint("z", n), Weight: 1})
			}
		}, `placement: nodes[1025] ("1021"): zone: exceeds the limit of 1024 zones`},
		{"too many regions", func(i *Input) {
			for n := range MaxRegions + 1 {
				i.Destinations = append(i.Destinations,
					Destination{ID: DestinationID(n + 10), Rate: 1, Owners: 1, Region: fmt.Sprint("r", n)})
			}
		}, "placement: destinations[1026] (1034): region: exceeds the limit of 1024 regions"},
		{
			"too many destinations", func(i *Input) { i.Destinations = make([]Destination, MaxDestinations+1) },
			"placement: destinations: must be at most 1048576, got 1048577",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			input := valid()
			c.change(&input)
			table, err := Compute(nil, input)
			var inputErr *InputError
			if table != nil || !errors.As(err, &inputErr) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %q, want %q", err, c.want)
			}
		})
	}
	if _, err := Compute(nil, valid()); err != nil {
		t.Errorf("valid input: got error %v, want none", err)
	}
}

func TestExplainGivesValidReasonForEveryNode(t *testing.T) {
	input := Input{Nodes: append(fourNodes(),
		Node{ID: "e", Region: "s", Zone: "1", Weight: 1},
		Node{ID: "f", Region: "r", Zone: "2", Weight: 1, Draining: true},
		Node{ID: "g", Region: "r", Zone: "4", Weight: 0.01},
	)}
	for id := range DestinationID(50) {
		input.Destinations = append(input.Destinations, Destination{ID: id, Rate: 1, Owners: 2, Region: "r"})
	}
	table := mustCompute(t, nil, input)
	reasonCounts := map[Reason]int{}
	for id := range DestinationID(50) {
		explanation := table.Explain(id)
		if !explanation.Known || !slices.Equal(explanation.Owners, table.Owners(id)) || explanation.Wanted != 2 {
			t.Fatalf("got explanation %+v, want the owners of the table and two wanted", explanation)
		}
		if err := checkExplanation(table, explanation); err != nil {
			t.Fatalf("destination %d: invalid explanation: %v in %+v", id, err, explanation)
		}
		for _, candidate := range explanation.Candidates {
			reasonCounts[candidate.Reason]++
		}
	}
	for _, reason := range []Reason{
		ReasonOwner, ReasonDraining, ReasonRegion, ReasonZoneUsed, ReasonLoadBound, ReasonEnoughOwners,
	} {
		if reasonCounts[reason] == 0 {
			t.Errorf("reason %q: got no candidate, want at least one", reason)
		}
	}
	if unknown := table.Explain(99); unknown.Known || unknown.Destination != 99 {
		t.Errorf("unknown destination: got %+v, want Known false and the ID", unknown)
	}
}

// checkExplanation checks that there is one candidate for each node and that its reason is valid.
func checkExplanation(table *Table, explanation Explanation) error {
	if len(explanation.Candidates) != len(table.Nodes()) {
		return fmt.Errorf("got %d candidates, want one for each node", len(explanation.Candidates))
	}
	zones := zonesOfOwners(table, explanation.Destination)
	for _, candidate := range explanation.Candidates {
		var valid bool
		switch candidate.Reason {
		case ReasonOwner:
			valid = slices.Contains(explanation.Owners, candidate.Node)
		case ReasonDraining:
			valid = candidate.Node == "f"
		case ReasonRegion:
			valid = candidate.Region != explanation.Region
		case ReasonZoneUsed:
			valid = zones[candidate.Zone] > 0
		case ReasonLoadBound:
			valid = candidate.Load+explanation.Rate/2 > candidate.Limit
		case ReasonEnoughOwners:
			valid = zones[candidate.Zone] == 0
		}
		if !valid {
			return fmt.Errorf("reason %q is wrong for node %q", candidate.Reason, candidate.Node)
		}
	}
	return nil
}
