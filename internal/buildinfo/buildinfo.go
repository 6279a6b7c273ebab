// Package buildinfo describes the build of the running program.
package buildinfo

import (
	"runtime/debug"
)

// unknown replaces a version that the Go tool did not record, as in tests.
const unknown = "unknown"

// Version returns the module version, the commit if recorded (with "-dirty" for
// a modified working tree) and the Go version.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	return format(info)
}

func format(info *debug.BuildInfo) string {
	version := info.Main.Version
	if version == "" {
		version = unknown
	}
	revision := setting(info, "vcs.revision")
	if revision == "" {
		return version + " " + info.GoVersion
	}
	if setting(info, "vcs.modified") == "true" {
		revision += "-dirty"
	}
	return version + " commit " + revision + " " + info.GoVersion
}

func setting(info *debug.BuildInfo, key string) string {
	for _, setting := range info.Settings {
		if setting.Key == key {
			return setting.Value
		}
	}
	return ""
}
