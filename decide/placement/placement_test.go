package placement

import "testing"

func TestOwnersAreInDifferentZones(t *testing.T) {
	input := Input{
		Nodes: []Node{
			{ID: "a", Region: "r", Zone: "1", Weight: 1}, {ID: "b", Region: "r", Zone: "1", Weight: 1},
			{ID: "c", Region: "r", Zone: "2", Weight: 1}, {ID: "d", Region: "r", Zone: "3", Weight: 1},
		},
		Destinations: []Destination{{ID: 7, Rate: 3, Owners: 3}},
	}
	table, err := Compute(nil, input)
	if err != nil {
		t.Fatal(err)
	}
	owners := table.Owners(7)
	zones := map[string]bool{}
	for _, owner := range owners {
		node, _ := table.node(owner)
		zones[table.nodes[node].Zone] = true
	}
	if len(owners) != 3 || len(zones) != 3 {
		t.Fatalf("owners %v are in zones %v", owners, zones)
	}
}
