package docscheck

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "github.com/corkpulley/corkpulley/"

// platformNames matches what only the adapter may name: headers, paths, topics
// and variables of the users' platform.
var platformNames = regexp.MustCompile(
	`X-Corkpulley-(Attempt|Deadline|Expect|Instance|Not-Executed|Server|Prompt|Token|Length|Wait|Request-Priority)|/log-(append|read|newest|join|leave|commit|owners|trim)|"keyed\.(op|servers|status)|` +
		`/lots/|/kv-|/hold-|/version-put|CORKPULLEY_NODE_FILE|"op/config"`)

// mayUsePlatform are the folders that may import the adapter: the daemon that
// wires it, and what stands in for the platform.
var mayUsePlatform = []string{"platform", "cmd/corkpulleyd", "internal/standin/platform", "test/hosted"}

func sourceFiles(t *testing.T) []string {
	t.Helper()
	root := filepath.Join("..", "..")
	var files []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && entry.Name() != ".." {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") {
			relative, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			files = append(files, filepath.ToSlash(relative))
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 100, "only %d files found", len(files))
	return files
}

func under(path string, folders []string) bool {
	for _, folder := range folders {
		if strings.HasPrefix(path, folder+"/") {
			return true
		}
	}
	return false
}

func importsOf(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", "..", file), nil, parser.ImportsOnly)
	assert.NilError(t, err)
	var imports []string
	for _, each := range parsed.Imports {
		imports = append(imports, strings.TrimPrefix(strings.Trim(each.Path.Value, `"`), module))
	}
	return imports
}

// TestOnlyTheAdapterKnowsThePlatform holds the line round platform/: nothing
// else names what the platform speaks, and nothing imports the adapter but what
// wires it.
func TestOnlyTheAdapterKnowsThePlatform(t *testing.T) {
	for _, file := range sourceFiles(t) {
		if under(file, mayUsePlatform) {
			continue
		}
		for _, path := range importsOf(t, file) {
			assert.Assert(t, path != "platform", "%s imports the adapter", file)
		}
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		content, err := os.ReadFile(filepath.Join("..", "..", file))
		assert.NilError(t, err)
		found := platformNames.Find(content)
		assert.Assert(t, found == nil, "%s names %q of the platform", file, found)
	}
}

// TestTheCoreImportsNoClient holds that the core decides without input or
// output: it reaches no adapter and no network package, by whatever way.
func TestTheCoreImportsNoClient(t *testing.T) {
	seen := make(map[string]bool)
	var visit func(folder, way string)
	visit = func(folder, way string) {
		if seen[folder] {
			return
		}
		seen[folder] = true
		way += " > " + folder
		for _, file := range packageFiles(t, folder) {
			for _, path := range importsOf(t, file) {
				assert.Assert(t, path != "net", "%s imports net", way)
				assert.Assert(t, path != "platform" && !strings.HasPrefix(path, "internal/platform/"), "%s imports %s", way, path)
				if strings.HasPrefix(path, "internal/") {
					visit(path, way)
				}
			}
		}
	}
	cores, err := os.ReadDir(filepath.Join("..", "core"))
	assert.NilError(t, err)
	for _, core := range cores {
		visit("internal/core/"+core.Name(), "core")
	}
	assert.Assert(t, len(seen) > 10, "only %d packages visited", len(seen))
}

func packageFiles(t *testing.T, folder string) []string {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join("..", "..", folder))
	assert.NilError(t, err)
	var files []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".go") && !strings.HasSuffix(entry.Name(), "_test.go") {
			files = append(files, folder+"/"+entry.Name())
		}
	}
	return files
}
