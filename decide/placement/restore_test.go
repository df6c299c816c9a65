package placement

import (
	"fmt"
	"testing"
)

func TestComputeFromRestoredTableMovesNothing(t *testing.T) {
	var input Input
	for i := range 30 {
		input.Nodes = append(input.Nodes, Node{
			ID: NodeID(fmt.Sprintf("n%d", i)), Region: "r", Zone: fmt.Sprintf("z%d", i%3), Weight: 1,
		})
	}
	for i := range 2000 {
		input.Destinations = append(input.Destinations, Destination{
			ID: DestinationID(7 * i), Rate: float64(1 + i%50), Owners: 1 + i%3,
		})
	}
	// Five nodes join after the first table, so that the table depends on its history and not only on its input.
	reduced := input
	reduced.Nodes = input.Nodes[5:]
	table, err := Compute(nil, reduced)
	if err != nil {
		t.Fatal(err)
	}
	if table, err = Compute(table, input); err != nil {
		t.Fatal(err)
	}
	owners := map[DestinationID][]NodeID{}
	for _, destination := range table.Destinations() {
		owners[destination] = table.Owners(destination)
	}
	want, err := Compute(table, input)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Compute(Restore(input.Nodes, owners), input)
	if err != nil {
		t.Fatal(err)
	}
	if changed := restored.Changed(want); len(changed) > 0 {
		t.Fatalf("got %d destinations with changed owners, want none", len(changed))
	}
}

func TestRestoreOmitsUnknownAndRepeatedOwners(t *testing.T) {
	nodes := []Node{{ID: "b", Region: "r", Zone: "z", Weight: 1}, {ID: "a", Region: "r", Zone: "y", Weight: 1}}
	table := Restore(nodes, map[DestinationID][]NodeID{3: {"gone"}, 1: {"b", "gone", "b", "a"}})
	if owners := fmt.Sprint(table.Owners(1), table.Owners(3), table.Destinations()); owners != "[b a] [] [1 3]" {
		t.Fatalf("got owners and destinations %s, want [b a] [] [1 3]", owners)
	}
}
