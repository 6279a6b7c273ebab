package soak

import (
	"fmt"
	"strings"
)

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

// topologyTable is the part of a node's settings that tells the region of each zone.
func topologyTable() string {
	var table strings.Builder
	table.WriteString("[topology.zones]\n")
	for number := range zones {
		fmt.Fprintf(&table, "%s = %q\n", zoneOf(number), regionOf(number))
	}
	return table.String()
}
