package logmessage

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	messageCall   = regexp.MustCompile(`Msg\("([^"]+)"\)`)
	documentedRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| `([^`]+)` \\|$")
)

// loggedMessages returns the messages that the sources of this build log.
func loggedMessages(t *testing.T) map[string]bool {
	t.Helper()
	logged := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range messageCall.FindAllStringSubmatch(string(source), -1) {
			logged[match[1]] = true
		}
		return nil
	})
	assert.NilError(t, err)
	return logged
}

// Guards against a message that was renamed again without its entry, and against an entry that hides a message which
// is still logged.
func TestTableMatchesLoggedMessages(t *testing.T) {
	logged := loggedMessages(t)
	for older, current := range renamed {
		assert.Assert(t, logged[current], "%q is not logged", current)
		assert.Assert(t, !logged[older], "%q is still logged", older)
	}
}

func TestUpgradingPageListsEachRenamedMessage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "UPGRADING.md"))
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), "\n## Log messages\n")
	assert.Assert(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	documented := map[string]string{}
	for _, match := range documentedRow.FindAllStringSubmatch(section, -1) {
		documented[match[1]] = match[2]
	}
	assert.DeepEqual(t, documented, renamed)
}

func TestCurrentReturnsOtherMessagesUnchanged(t *testing.T) {
	assert.Equal(t, Current("job handed in"), "job submitted")
	assert.Equal(t, Current("job submitted"), "job submitted")
	assert.Equal(t, Current("node started"), "node started")
}
