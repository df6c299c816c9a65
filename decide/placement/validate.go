package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// InputError describes the first violation found in an Input.
type InputError struct {
	// Location is the invalid element and field, such as `nodes[3] ("n3"): weight`.
	Location string
	// Reason describes the violated condition.
	Reason string
}

// Error implements error.
func (e *InputError) Error() string { return "placement: " + e.Location + ": " + e.Reason }

// normalize validates the input and returns it with nodes and destinations sorted by ID. It does not modify the
// slices of the caller.
func normalize(input Input) (Input, error) {
	if input.LoadBound == 0 {
		input.LoadBound = DefaultLoadBound
	}
	if !(input.LoadBound > 1 && input.LoadBound <= MaxLoadBound) {
		return Input{}, inputError("load bound", "must be over 1 and at most %d, got %v", MaxLoadBound, input.LoadBound)
	}
	if err := checkNodes(input.Nodes); err != nil {
		return Input{}, err
	}
	if err := checkDestinations(input.Destinations); err != nil {
		return Input{}, err
	}
	nodes := sorted(input.Nodes, func(left, right Node) int { return cmp.Compare(left.ID, right.ID) })
	destinations := sorted(input.Destinations, func(left, right Destination) int {
		return cmp.Compare(left.ID, right.ID)
	})
	if err := checkUniqueNodes(nodes, input.Nodes); err != nil {
		return Input{}, err
	}
	if err := checkUniqueDestinations(destinations, input.Destinations); err != nil {
		return Input{}, err
	}
	input.Nodes, input.Destinations = nodes, destinations
	return input, nil
}

// checkUniqueNodes returns an error if two nodes have the same ID. The error gives their indexes in the unsorted
// list.
func checkUniqueNodes(sorted, unsorted []Node) error {
	for i := 1; i < len(sorted); i++ {
		if id := sorted[i].ID; id == sorted[i-1].ID {
			first, second := firstTwoIndexes(unsorted, func(node Node) bool { return node.ID == id })
			return inputError(fmt.Sprintf("nodes[%d] (%q): id", second, id), "duplicate of nodes[%d]", first)
		}
	}
	return nil
}

func checkUniqueDestinations(sorted, unsorted []Destination) error {
	for i := 1; i < len(sorted); i++ {
		if id := sorted[i].ID; id == sorted[i-1].ID {
			first, second := firstTwoIndexes(unsorted, func(destination Destination) bool { return destination.ID == id })
			location := fmt.Sprintf("destinations[%d] (%d): id", second, id)
			return inputError(location, "duplicate of destinations[%d]", first)
		}
	}
	return nil
}

// firstTwoIndexes returns the indexes of the first two items that match.
func firstTwoIndexes[T any](items []T, matches func(T) bool) (first, second int) {
	first = slices.IndexFunc(items, matches)
	second = first + 1 + slices.IndexFunc(items[first+1:], matches)
	return first, second
}

// sorted returns the items in order: the slice itself if it is already sorted, a sorted copy otherwise.
func sorted[T any](items []T, compare func(left, right T) int) []T {
	if slices.IsSortedFunc(items, compare) {
		return items
	}
	items = slices.Clone(items)
	slices.SortFunc(items, compare)
	return items
}

func checkNodes(nodes []Node) error {
	if len(nodes) > MaxNodes {
		return inputError("nodes", "must be at most %d, got %d", MaxNodes, len(nodes))
	}
	zones := map[[2]string]bool{}
	for i, node := range nodes {
		if field, reason := invalidNodeField(node); reason != "" {
			return inputError(fmt.Sprintf("nodes[%d] (%q): %s", i, node.ID, field), "%s", reason)
		}
		zones[[2]string{node.Region, node.Zone}] = true
		if len(zones) > MaxZones {
			return inputError(fmt.Sprintf("nodes[%d] (%q): zone", i, node.ID), "exceeds the limit of %d zones", MaxZones)
		}
	}
	return nil
}

// invalidNodeField returns the invalid field and the violated condition, or empty strings for a valid node.
func invalidNodeField(node Node) (field, reason string) {
	switch {
	case node.ID == "":
		return "id", "must not be empty"
	case node.Region == "":
		return "region", "must not be empty"
	case node.Zone == "":
		return "zone", "must not be empty"
	case !(node.Weight >= MinWeight && node.Weight <= MaxWeight):
		return "weight", fmt.Sprintf("must be between %v and %v, got %v", MinWeight, MaxWeight, node.Weight)
	}
	return "", ""
}

func checkDestinations(destinations []Destination) error {
	if len(destinations) > MaxDestinations {
		return inputError("destinations", "must be at most %d, got %d", MaxDestinations, len(destinations))
	}
	regions := newRegionNumbers()
	for i := range destinations {
		location := func(field string) string {
			return fmt.Sprintf("destinations[%d] (%d): %s", i, destinations[i].ID, field)
		}
		if field, reason := invalidDestinationField(&destinations[i]); reason != "" {
			return inputError(location(field), "%s", reason)
		}
		if regions.number(destinations[i].Region) > MaxRegions {
			return inputError(location("region"), "exceeds the limit of %d regions", MaxRegions)
		}
	}
	return nil
}

// invalidDestinationField returns the invalid field and the violated condition, or empty strings for a valid
// destination.
func invalidDestinationField(destination *Destination) (field, reason string) {
	switch {
	case math.IsNaN(destination.Rate) || destination.Rate <= 0 || destination.Rate > MaxRate:
		return "rate", fmt.Sprintf("must be over 0 and at most %v, got %v", MaxRate, destination.Rate)
	case destination.Owners < 1 || destination.Owners > MaxOwners:
		return "owners", fmt.Sprintf("must be between 1 and %d, got %d", MaxOwners, destination.Owners)
	}
	return "", ""
}

func inputError(location, format string, arguments ...any) *InputError {
	return &InputError{Location: location, Reason: fmt.Sprintf(format, arguments...)}
}
