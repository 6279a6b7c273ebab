// Package clusterversion decides which protocol version a cluster of nodes of several builds speaks. It has
// no input, output or clock; every event comes with its time.
//
// Each build has a version. The cluster version is the lowest one that all live nodes had when it was raised.
// It stands in the log and is never lowered, so what is written from it on is read by no older build: a node whose
// build is below it doesn't run.
package clusterversion

import "fmt"

// Version is the protocol version of a build, or of a cluster. Values are stored in the log: append new
// ones at the end and never renumber.
type Version uint32

const (
	// Unversioned builds announce neither a version nor a region.
	Unversioned Version = iota
	// Homes is the version of builds that announce a region and no version: they know evacuated zones, jobs bound to
	// regions and permits for cold engines.
	Homes
	// Announced builds announce their version and follow the cluster version.
	Announced
)

// Build is the version of this build.
const Build = Announced

// OfAnnouncement returns the version of the build that wrote an announcement with these fields.
func OfAnnouncement(announced Version, region string) Version {
	if announced == Unversioned && region != "" {
		return Homes
	}
	return announced
}

// TooOldError is returned when a build is below the cluster version.
type TooOldError struct {
	Build   Version
	Cluster Version
}

// Error implements the error interface.
func (e *TooOldError) Error() string {
	return fmt.Sprintf("this build has protocol version %d, and the log holds records of cluster version %d: "+
		"start a build of version %d or later", e.Build, e.Cluster, e.Cluster)
}

// View is what a node sees of the live nodes, itself included.
type View struct {
	Lowest  Version
	Highest Version
	// Known reports whether the node has read of the others.
	Known bool
	// Current reports whether the view is recent enough to prove that no other node is live.
	Current bool
}

// With returns the view with one more live node.
func (v View) With(version Version) View {
	v.Lowest, v.Highest = min(v.Lowest, version), max(v.Highest, version)
	return v
}
