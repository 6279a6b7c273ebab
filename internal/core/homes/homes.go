// Package homes implements data residency: the homes of a request are the regions that may serve and store it, as
// restricted by its route and its tenant. The package does no I/O.
package homes

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Set is an immutable set of regions. The zero value is unrestricted: it contains every region. Sets are comparable
// with == and usable as map keys.
type Set struct {
	// restricted is false if the set contains every region.
	restricted bool
	// names contains the sorted regions, each followed by nameTerminator.
	names string
}

// nameTerminator terminates each region's name in a Set. No name contains it.
const nameTerminator = "\x00"

// Of returns the set of the given regions; the unrestricted set if there are none.
func Of(regions []string) Set {
	if len(regions) == 0 {
		return Set{}
	}
	return restrictedTo(regions)
}

// restrictedTo returns the set that contains only the given regions, of which there may be none.
func restrictedTo(regions []string) Set {
	sorted := slices.Compact(slices.Sorted(slices.Values(regions)))
	set := Set{restricted: true}
	for _, region := range sorted {
		set.names += region + nameTerminator
	}
	return set
}

// Intersect returns the regions that are in both sets.
func (s Set) Intersect(other Set) Set {
	switch {
	case !s.restricted:
		return other
	case !other.restricted:
		return s
	}
	return restrictedTo(slices.DeleteFunc(s.Regions(), func(region string) bool { return !other.Allows(region) }))
}

// IsRestricted reports whether the set is restricted to some regions.
func (s Set) IsRestricted() bool { return s.restricted }

// IsEmpty reports whether the set is empty.
func (s Set) IsEmpty() bool { return s.restricted && s.names == "" }

// Allows reports whether a region is in the set. The empty region, that of machines whose location is unknown, is in no
// restricted set.
func (s Set) Allows(region string) bool {
	if !s.restricted {
		return true
	}
	for name := range strings.SplitSeq(s.names, nameTerminator) {
		if name == region {
			return region != ""
		}
	}
	return false
}

// idBytes is the length of the truncated hash. It must be long enough to prevent deliberate collisions.
const idBytes = 16

// ID returns an identifier of the set for topic names. It has a fixed length and is the same on all nodes. It is a
// cryptographic hash, since a collision would mix the data of two sets.
func (s Set) ID() string {
	sum := sha256.Sum256([]byte(s.names))
	return hex.EncodeToString(sum[:idBytes])
}

// Regions returns the sorted regions; nil if the set is unrestricted.
func (s Set) Regions() []string {
	if !s.restricted {
		return nil
	}
	return strings.FieldsFunc(s.names, func(r rune) bool { return string(r) == nameTerminator })
}

// String returns the sorted regions, "everywhere" or "nowhere", for logs.
func (s Set) String() string {
	switch {
	case !s.restricted:
		return "everywhere"
	case s.names == "":
		return "nowhere"
	default:
		return strings.Join(s.Regions(), ",")
	}
}
