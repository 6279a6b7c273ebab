package docscheck

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// runKnownRed runs .ci/known-red in a tree with one test, one script and the given list.
func runKnownRed(t *testing.T, list string) (string, error) {
	t.Helper()
	root := t.TempDir()
	script, err := os.ReadFile("../../.ci/known-red")
	assert.NilError(t, err)
	for _, file := range []struct {
		path, content string
		mode          os.FileMode
	}{
		{".ci/known-red", string(script), 0o755},
		{"KNOWN-RED.txt", list, 0o644},
		{"internal/a_test.go", "func TestOne(t *testing.T) {}\nfunc TestTwo(t *testing.T) {}\n", 0o644},
		{"test/b_test.go", "func TestTwo(t *testing.T) {}\n", 0o644},
		{"cmd/main.go", "", 0o644},
		{"platform/doc.go", "", 0o644},
		{"test/play", "", 0o755},
		{"test/notes", "", 0o644},
	} {
		path := filepath.Join(root, file.path)
		assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		assert.NilError(t, os.WriteFile(path, []byte(file.content), file.mode))
	}
	output, err := exec.Command(filepath.Join(root, ".ci/known-red")).CombinedOutput()
	return strings.TrimSpace(string(output)), err
}

// Guards against a CI that passes over more than the tests that are listed.
func TestKnownRedSkipsExactlyTheListedTests(t *testing.T) {
	for list, pattern := range map[string]string{
		"": "",
		"TestOne, \"go test -run TestOne\", no seed; it fails, issue 5\n":                                  "^(TestOne)$",
		"corkbench soak, \"corkbench soak --seed 7\", a violation, issue 5\n":                              "",
		"test/play, \"test/play\", no seed, 3 violations, issue 12\nTestOne, \"go test\", red, issue 5":    "^(TestOne)$",
		"TestOne, \"go test -run 'A|B'\", no seed, x, issue 5\ncorkbench soak, \"x --seed 1\", y, issue 6": "^(TestOne)$",
	} {
		output, err := runKnownRed(t, list)
		assert.NilError(t, err, output)
		assert.Equal(t, output, pattern, list)
	}
}

// Guards against entries that skip nothing, or that cannot be run again.
func TestKnownRedRejectsOtherEntries(t *testing.T) {
	for _, list := range []string{
		"TestOne, it fails, issue 5", "TestOne, \"go test\", issue 5", "TestOne, \"go test\", red", "TestOne, \"\", red, issue 5",
		"TestNone, \"go test\", red, issue 5", "TestTwo, \"go test\", red, issue 5", "Test.*, \"go test\", red, issue 5",
		"TestOne|TestTwo, \"go test\", red, issue 5", "corkbench soak, \"corkbench soak\", red, issue 5",
		"test/notes, \"test/notes\", red, issue 5", "test/none, \"test/none\", red, issue 5", "\n",
	} {
		output, err := runKnownRed(t, list)
		assert.Assert(t, err != nil, list)
		assert.Assert(t, strings.HasPrefix(output, "KNOWN-RED.txt: "), "%s: %s", list, output)
	}
}
