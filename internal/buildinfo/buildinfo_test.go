package buildinfo

import (
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFormat(t *testing.T) {
	info := &debug.BuildInfo{GoVersion: "go1.26"}
	assert.Equal(t, format(info), "unknown go1.26")
	info.Main.Version = "v0.3.0"
	info.Settings = []debug.BuildSetting{{Key: "vcs.revision", Value: "90decd4"}, {Key: "vcs.modified", Value: "true"}}
	assert.Equal(t, format(info), "v0.3.0 commit 90decd4-dirty go1.26")
}
