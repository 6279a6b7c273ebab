package soak

import "fmt"

// The zones of a deployment lie in its regions by turns: z1 in r1, z2 in r2, z3 in r3, z4 in
// r1, and so on.
const (
	zones   = 6
	regions = 3
)

// zoneOf returns the zone of a node or of an engine by its number.
func zoneOf(number int) string { return fmt.Sprintf("z%d", number%zones+1) }

// regionOf returns the region of a node or of an engine by its number.
func regionOf(number int) string { return fmt.Sprintf("r%d", number%regions+1) }

func topologyTable() string { return "" }
