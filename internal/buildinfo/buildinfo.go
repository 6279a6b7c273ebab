// Package buildinfo tells which build of corkpulley a program is.
package buildinfo

import (
	"runtime/debug"
)

// unknown stands for what the Go tool did not record, such as in tests.
const unknown = "unknown"

// Version returns the module's version, the commit where it was recorded
// ("-dirty" when the tree had changes), and the Go release.
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
