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

// platformNames matches the headers, paths, topics and environment variables of the platform, which only the adapter may
// name.
var platformNames = regexp.MustCompile(
	`X-Corkpulley-(Attempt|Deadline|Expect|Instance|Not-Executed|Server|Prompt|Token|Length|Wait|Request-Priority)|/log-(append|read|newest|join|leave|commit|owners|trim)|"keyed\.(op|servers|status)|` +
		`/lots/|/kv-|/hold-|/version-put|CORKPULLEY_NODE_FILE|"op/config"`)

// platformImporters are the folders that may import the adapter: the daemon that wires it, and the simulated platform.
var platformImporters = []string{"platform", "cmd/corkpulleyd", "internal/standin/platform", "test/hosted"}

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

func isUnder(path string, folders []string) bool {
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
	for _, spec := range parsed.Imports {
		imports = append(imports, strings.TrimPrefix(strings.Trim(spec.Path.Value, `"`), module))
	}
	return imports
}

// Guards against platform details outside the adapter, and against imports of the adapter outside platformImporters.
func TestOnlyTheAdapterDependsOnThePlatform(t *testing.T) {
	for _, file := range sourceFiles(t) {
		if isUnder(file, platformImporters) {
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

// Guards against network I/O in the core: its packages must not import net or an adapter, directly or indirectly.
func TestCoreImportsNoNetworkOrAdapter(t *testing.T) {
	seen := make(map[string]bool)
	var visit func(folder, chain string)
	visit = func(folder, chain string) {
		if seen[folder] {
			return
		}
		seen[folder] = true
		chain += " > " + folder
		for _, file := range packageFiles(t, folder) {
			for _, path := range importsOf(t, file) {
				assert.Assert(t, path != "net", "%s imports net", chain)
				assert.Assert(t, path != "platform" && !strings.HasPrefix(path, "internal/platform/"), "%s imports %s", chain, path)
				if strings.HasPrefix(path, "internal/") {
					visit(path, chain)
				}
			}
		}
	}
	corePackages, err := os.ReadDir(filepath.Join("..", "core"))
	assert.NilError(t, err)
	for _, corePackage := range corePackages {
		visit("internal/core/"+corePackage.Name(), "core")
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
