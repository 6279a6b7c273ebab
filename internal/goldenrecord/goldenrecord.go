// Package goldenrecord compares records and messages with those that earlier builds wrote, for tests.
//
// A golden file holds a record as the encoder of an earlier build wrote it, with all fields filled: so its fields are also
// those that the decoder of that build knows. To write the files of a build, copy this package and the tests that call it
// into a working tree of its commit, and run these with CORKPULLEY_GOLDEN_COMMIT set to the commit; then take the
// folders testdata/golden/COMMIT over.
package goldenrecord

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

const (
	// writeVariable names the commit for which golden files are written.
	writeVariable = "CORKPULLEY_GOLDEN_COMMIT"
	folder        = "testdata/golden"
	extension     = ".msgpack"
	folderMode    = 0o755
	fileMode      = 0o644
)

// Sample is a kind of record.
type Sample struct {
	Name string
	// Value is a pointer to an empty record.
	Value any
	// Added are the paths of fields that this build writes and an earlier one doesn't know, by the commit of that build. The
	// earlier decoder skips them, so that their zero value must mean what that build did.
	Added map[string][]string
}

// Check compares this build's records with the golden files.
func Check(t *testing.T, samples ...Sample) {
	t.Helper()
	if commit := Writing(); commit != "" {
		for _, sample := range samples {
			Fill(sample.Value)
			Write(t, commit, sample.Name, sample.Value)
		}
		return
	}
	for _, sample := range samples {
		for _, commit := range Commits(t, sample.Name) {
			t.Run(sample.Name+"/"+commit, func(t *testing.T) { sample.check(t, commit, Read(t, commit, sample.Name)) })
		}
	}
}

// CheckNumbers compares numbers that are sent or stored, by their names, with those of earlier builds: a number keeps its
// meaning.
func CheckNumbers(t *testing.T, name string, numbers map[string]int64) {
	t.Helper()
	if commit := Writing(); commit != "" {
		Write(t, commit, name, numbers)
		return
	}
	for _, commit := range Commits(t, name) {
		var earlier map[string]int64
		assert.NilError(t, msgpack.Unmarshal(Read(t, commit, name), &earlier))
		for each, number := range earlier {
			today, found := numbers[each]
			assert.Assert(t, found && today == number, "%s: %s is %d, now %d", commit, each, number, today)
		}
	}
}

// Commits returns the commits that have a golden file of the name, of which there must be one.
func Commits(t *testing.T, name string) []string {
	t.Helper()
	files, err := filepath.Glob(pathOf("*", name))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "no golden file %s", name)
	var commits []string
	for _, file := range files {
		commits = append(commits, filepath.Base(filepath.Dir(file)))
	}
	return commits
}

// Write writes a golden file.
func Write(t *testing.T, commit, name string, record any) {
	t.Helper()
	raw, err := msgpack.Marshal(record)
	assert.NilError(t, err)
	assert.NilError(t, os.MkdirAll(filepath.Join(folder, commit), folderMode))
	assert.NilError(t, os.WriteFile(pathOf(commit, name), raw, fileMode))
}

// Writing returns the commit whose golden files this run writes; empty where it reads them.
func Writing() string { return os.Getenv(writeVariable) }

// Read returns a golden file.
func Read(t *testing.T, commit, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(pathOf(commit, name))
	assert.NilError(t, err)
	return raw
}

func pathOf(commit, name string) string { return filepath.Join(folder, commit, name+extension) }

// check compares both directions: this build decodes what the earlier one wrote, and writes all that the earlier
// decoder knows in the same types.
func (s Sample) check(t *testing.T, commit string, golden []byte) {
	t.Helper()
	earlier := fieldsOf(t, golden)
	decoded := empty(s.Value)
	assert.NilError(t, msgpack.Unmarshal(golden, decoded))
	again := fieldsOf(t, encode(t, decoded))
	for path, value := range earlier {
		assert.DeepEqual(t, again[path], value)
	}
	filled := empty(s.Value)
	Fill(filled)
	today := fieldsOf(t, encode(t, filled))
	for path, value := range earlier {
		_, found := today[path]
		assert.Assert(t, found, "%s: no field %s any more", commit, path)
		assert.Equal(t, classOf(today[path]), classOf(value), "%s: field %s has another type", commit, path)
	}
	assert.DeepEqual(t, addedTo(earlier, today), slices.Sorted(slices.Values(s.Added[commit])))
}

// addedTo returns the paths of today's fields that an earlier build doesn't know, without those below one of them.
func addedTo(earlier, today map[string]any) []string {
	var added []string
	for _, path := range slices.Sorted(maps.Keys(today)) {
		_, known := earlier[path]
		below := slices.ContainsFunc(added, func(above string) bool {
			return strings.HasPrefix(path, above+separator) || strings.HasPrefix(path, above+elements)
		})
		if !known && !below {
			added = append(added, path)
		}
	}
	return added
}

func encode(t *testing.T, record any) []byte {
	t.Helper()
	raw, err := msgpack.Marshal(record)
	assert.NilError(t, err)
	return raw
}
