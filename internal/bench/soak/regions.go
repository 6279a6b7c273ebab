package soak

import (
	"fmt"
	"strings"
)

// The zones are assigned to the regions in turn: z1 to r1, z2 to r2, z3 to r3, z4 to r1, and so on.
const (
	zones   = 6
	regions = 3
)

// zoneOf returns the zone of a node or an engine by its number.
func zoneOf(number int) string { return fmt.Sprintf("z%d", number%zones+1) }

// regionOf returns the region of a node or an engine by its number.
func regionOf(number int) string { return fmt.Sprintf("r%d", number%regions+1) }

// topologyTable returns the section of a node's settings that assigns zones to regions.
func topologyTable() string {
	var table strings.Builder
	table.WriteString("[topology.zones]\n")
	for number := range zones {
		fmt.Fprintf(&table, "%s = %q\n", zoneOf(number), regionOf(number))
	}
	return table.String()
}
