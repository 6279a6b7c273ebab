package soak

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against nodes of an older build that fail to start because of a setting that they do not know.
func TestNewBuildOmitsUnknownSettings(t *testing.T) {
	directory := t.TempDir()
	// daemon writes a script that fails if its settings file contains the rejected text.
	daemon := func(name, rejected string) string {
		path := filepath.Join(directory, name)
		script := "#!/bin/sh\n! grep -q '" + rejected + "' \"$2\"\n"
		assert.NilError(t, os.WriteFile(path, []byte(script), 0o755))
		return path
	}
	read := func(b build) string {
		raw, err := os.ReadFile(b.settings)
		assert.NilError(t, err)
		return string(raw)
	}
	file := filepath.Join(directory, "node.toml")
	newer, err := newBuild(t.Context(), daemon("newer", "nothing"), file, "a = 1\n", "[new]\n")
	assert.NilError(t, err)
	assert.Equal(t, read(newer), "a = 1\n[new]\n")
	older, err := newBuild(t.Context(), daemon("older", "new"), file, "a = 1\n", "[new]\n")
	assert.NilError(t, err)
	assert.Equal(t, read(older), "a = 1\n")
	_, err = newBuild(t.Context(), daemon("other", "a = 1"), file, "a = 1\n", "[new]\n")
	assert.ErrorContains(t, err, "rejects its settings")
}
