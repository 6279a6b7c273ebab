// Package clusterversion determines the protocol version of a cluster whose nodes run different builds, for rolling
// upgrades. It does no I/O and reads no clock; callers pass in the time of each event.
//
// Each build has a version. The cluster version is raised to the lowest version of all live nodes. It is stored in the
// log and never lowered. Nodes whose build is below it must not run, since they cannot read all records.
package clusterversion

import "fmt"

// Version is the protocol version of a build or a cluster. Values are stored in the log: append new ones at the end,
// never renumber.
type Version uint32

const (
	// Unversioned is the version of builds that announce neither a version nor a region.
	Unversioned Version = iota
	// Homes is the version of builds that announce a region but no version. They support zone evacuation, jobs
	// restricted to regions, and permits for cold engines.
	Homes
	// Announced is the version of the first builds that announce their version and obey the cluster version.
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

// TooOldError is returned if a build is below the cluster version.
type TooOldError struct {
	Build   Version
	Cluster Version
}

// Error implements the error interface.
func (e *TooOldError) Error() string {
	return fmt.Sprintf("this build has protocol version %d, but the log contains records of cluster version %d: "+
		"run a build of version %d or later", e.Build, e.Cluster, e.Cluster)
}

// View is a node's view of the versions of all live nodes, including itself.
type View struct {
	Lowest  Version
	Highest Version
	// Known is true once the node has read the announcements of the other nodes.
	Known bool
	// Current is true if the view is recent enough to prove that no other node is live.
	Current bool
}

// With returns the view with an additional live node.
func (v View) With(version Version) View {
	v.Lowest, v.Highest = min(v.Lowest, version), max(v.Highest, version)
	return v
}
