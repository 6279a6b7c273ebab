// Package goldenrecord tests the encoding of records and messages for compatibility with earlier builds.
//
// A golden file is a record encoded by an earlier build with all fields set, so it has every field that the decoder
// of that build knows. To write the golden files of a build, copy this package and the tests that use it into a
// working tree of its commit, run the tests with CORKPULLEY_GOLDEN_COMMIT set to the commit, and copy the resulting
// directories testdata/golden/COMMIT back.
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
	// commitVariable names the commit for which golden files are written.
	commitVariable  = "CORKPULLEY_GOLDEN_COMMIT"
	goldenDirectory = "testdata/golden"
	extension       = ".msgpack"
	directoryMode   = 0o755
	fileMode        = 0o644
)

// RecordType is a record type to compare with its golden files.
type RecordType struct {
	// Name is the base name of the golden files.
	Name string
	// Value is a pointer to a zero record.
	Value any
	// Added lists, by commit of an earlier build, the paths of the fields that this build writes and that build does
	// not know. The earlier decoder skips them, so their zero value must mean the behavior of that build.
	Added map[string][]string
}

// Check compares the records of this build with the golden files, or writes golden files if WritingCommit names a
// commit.
func Check(t *testing.T, recordTypes ...RecordType) {
	t.Helper()
	if commit := WritingCommit(); commit != "" {
		for _, recordType := range recordTypes {
			Fill(recordType.Value)
			Write(t, commit, recordType.Name, recordType.Value)
		}
		return
	}
	for _, recordType := range recordTypes {
		for _, commit := range Commits(t, recordType.Name) {
			t.Run(recordType.Name+"/"+commit, func(t *testing.T) {
				recordType.check(t, commit, Read(t, commit, recordType.Name))
			})
		}
	}
}

// CheckEnum checks that enumeration values, by name, equal those in the golden files, or writes a golden file if
// WritingCommit names a commit.
func CheckEnum(t *testing.T, name string, numbers map[string]int64) {
	t.Helper()
	if commit := WritingCommit(); commit != "" {
		Write(t, commit, name, numbers)
		return
	}
	for _, commit := range Commits(t, name) {
		var earlier map[string]int64
		assert.NilError(t, msgpack.Unmarshal(Read(t, commit, name), &earlier))
		for key, number := range earlier {
			current, found := numbers[key]
			assert.Assert(t, found && current == number, "%s: %s is %d, now %d", commit, key, number, current)
		}
	}
}

// Commits returns the commits with a golden file of the name. The test fails if there is none.
func Commits(t *testing.T, name string) []string {
	t.Helper()
	files, err := filepath.Glob(goldenPath("*", name))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "no golden file %s", name)
	var commits []string
	for _, file := range files {
		commits = append(commits, filepath.Base(filepath.Dir(file)))
	}
	return commits
}

// Write encodes a record to a golden file.
func Write(t *testing.T, commit, name string, record any) {
	t.Helper()
	raw, err := msgpack.Marshal(record)
	assert.NilError(t, err)
	assert.NilError(t, os.MkdirAll(filepath.Join(goldenDirectory, commit), directoryMode))
	assert.NilError(t, os.WriteFile(goldenPath(commit, name), raw, fileMode))
}

// WritingCommit returns the commit for which this run writes golden files, or "" if it reads them.
func WritingCommit() string { return os.Getenv(commitVariable) }

// Read returns a golden file.
func Read(t *testing.T, commit, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(goldenPath(commit, name))
	assert.NilError(t, err)
	return raw
}

func goldenPath(commit, name string) string {
	return filepath.Join(goldenDirectory, commit, name+extension)
}

// check tests both directions: this build decodes the golden record without loss, and encodes every field of it with
// the same type.
func (r RecordType) check(t *testing.T, commit string, golden []byte) {
	t.Helper()
	earlier := fieldsOf(t, golden)
	decoded := newRecord(r.Value)
	assert.NilError(t, msgpack.Unmarshal(golden, decoded))
	reencoded := fieldsOf(t, encode(t, decoded))
	for path, value := range earlier {
		assert.DeepEqual(t, reencoded[path], value)
	}
	filled := newRecord(r.Value)
	Fill(filled)
	current := fieldsOf(t, encode(t, filled))
	for path, value := range earlier {
		_, found := current[path]
		assert.Assert(t, found, "%s: field %s is missing", commit, path)
		assert.Equal(t, wireType(current[path]), wireType(value), "%s: type of field %s changed", commit, path)
	}
	assert.DeepEqual(t, addedTo(earlier, current), slices.Sorted(slices.Values(r.Added[commit])))
}

// addedTo returns the paths of fields that are in current but not in earlier, without the descendants of such fields.
func addedTo(earlier, current map[string]any) []string {
	var added []string
	for _, path := range slices.Sorted(maps.Keys(current)) {
		_, known := earlier[path]
		nested := slices.ContainsFunc(added, func(parent string) bool {
			return strings.HasPrefix(path, parent+pathSeparator) || strings.HasPrefix(path, parent+elementSuffix)
		})
		if !known && !nested {
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
