// Package homes holds the regions that alone may serve and keep a request (data residency): those of
// its route, of its tenant, or of both. It has no input, output or clock.
package homes

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Set is a set of regions. The zero value bounds nothing: every region is in it. Sets compare
// with ==, also as keys of maps.
type Set struct {
	// bound is false where every region is in the set.
	bound bool
	// names holds the regions in order, each followed by nameEnd.
	names string
}

// nameEnd ends the name of a region; no name holds it.
const nameEnd = "\x00"

// Of returns the set of the named regions; without names every region is in it.
func Of(regions []string) Set {
	if len(regions) == 0 {
		return Set{}
	}
	return bounded(regions)
}

// bounded returns the set of just these regions, which may be none.
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

// Bound tells whether some region may be outside the set.
func (s Set) Bound() bool { return s.bound }

// Nowhere tells whether no region is in the set.
func (s Set) Nowhere() bool { return s.bound && s.names == "" }

// Allows tells whether a region is in the set. An unknown region, which is empty, is in no set that
// bounds anything.
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

// idBytes is how much of its hash names a set: no two sets share an ID by accident or design.
const idBytes = 16

// ID names the set in topics of the log: alike on all nodes, and of a bounded length. Sets are kept apart
// by it, so it is a cryptographic hash.
func (s Set) ID() string {
	sum := sha256.Sum256([]byte(s.names))
	return hex.EncodeToString(sum[:idBytes])
}

// Regions returns the regions in order; nil where the set bounds nothing.
func (s Set) Regions() []string {
	if !s.bound {
		return nil
	}
	return strings.FieldsFunc(s.names, func(r rune) bool { return string(r) == nameEnd })
}

// String is the form used in logs: the regions in order, "everywhere" or "nowhere".
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
