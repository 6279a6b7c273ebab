// Package homes defines sets of regions for data residency: the only regions that may serve and store a
// request, by its route, its tenant, or both. It has no input, output or clock.
package homes

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Set is a set of regions. The zero value is unbound: it contains every region. Sets are comparable
// with == and usable as map keys.
type Set struct {
	// bound is false if the set contains every region.
	bound bool
	// names holds the sorted regions, each followed by nameEnd.
	names string
}

// nameEnd terminates the name of a region. No name contains it.
const nameEnd = "\x00"

// Of returns the set of the named regions; without names, that of all regions.
func Of(regions []string) Set {
	if len(regions) == 0 {
		return Set{}
	}
	return bounded(regions)
}

// bounded returns the bound set of the regions, which may be empty.
func bounded(regions []string) Set {
	sorted := slices.Compact(slices.Sorted(slices.Values(regions)))
	set := Set{bound: true}
	for _, region := range sorted {
		set.names += region + nameEnd
	}
	return set
}

// Intersect returns the regions that are in both sets.
func (s Set) Intersect(other Set) Set {
	switch {
	case !s.bound:
		return other
	case !other.bound:
		return s
	}
	return bounded(slices.DeleteFunc(s.Regions(), func(region string) bool { return !other.Allows(region) }))
}

// Bound reports whether the set excludes regions.
func (s Set) Bound() bool { return s.bound }

// Nowhere reports whether the set is empty.
func (s Set) Nowhere() bool { return s.bound && s.names == "" }

// Allows reports whether a region is in the set. An unknown region, which is empty, is in no bound
// set.
func (s Set) Allows(region string) bool {
	if !s.bound {
		return true
	}
	for name := range strings.SplitSeq(s.names, nameEnd) {
		if name == region {
			return region != ""
		}
	}
	return false
}

// idBytes is the length of the truncated hash. It must rule out collisions, also intended ones.
const idBytes = 16

// ID identifies the set in the log's topic names. It is the same on all nodes and of bounded length. It
// separates the data of sets, so it is a cryptographic hash.
func (s Set) ID() string {
	sum := sha256.Sum256([]byte(s.names))
	return hex.EncodeToString(sum[:idBytes])
}

// Regions returns the sorted regions; nil if the set is unbound.
func (s Set) Regions() []string {
	if !s.bound {
		return nil
	}
	return strings.FieldsFunc(s.names, func(r rune) bool { return string(r) == nameEnd })
}

// String returns the form used in logs: the sorted regions, "everywhere" or "nowhere".
func (s Set) String() string {
	switch {
	case !s.bound:
		return "everywhere"
	case s.names == "":
		return "nowhere"
	default:
		return strings.Join(s.Regions(), ",")
	}
}
