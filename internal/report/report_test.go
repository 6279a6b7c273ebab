package report

import (
	"bytes"
	"encoding/xml"
	"image/png"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/report/picture"
	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

// externalReference matches markup that makes a browser load another file or run a script.
var externalReference = regexp.MustCompile(`(?i)<script|<link|<iframe|<object|<embed|<base|href=|https?:|//[a-z]|url\(|@import|javascript:|\son[a-z]+=`)

// inlineImage matches the inline data of a picture.
var inlineImage = regexp.MustCompile(`"data:image/png;base64,(?:[A-Za-z0-9/=]|&#43;)+"`)

func recordedTimeline(t *testing.T) *timeline.Timeline {
	t.Helper()
	names, err := filepath.Glob(filepath.Join("timeline", "testdata", "*.log"))
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 0)
	builder := timeline.NewBuilder(timeline.Options{MinimumGap: time.Second})
	for _, name := range names {
		file, err := os.Open(name)
		assert.NilError(t, err)
		assert.NilError(t, builder.Read(filepath.Base(name), file))
		assert.NilError(t, file.Close())
	}
	built, err := builder.Timeline()
	assert.NilError(t, err)
	return built
}

func assertWellFormed(t *testing.T, page []byte) {
	t.Helper()
	decoder := xml.NewDecoder(bytes.NewReader(page))
	decoder.Entity = xml.HTMLEntity
	for {
		_, err := decoder.Token()
		if err == io.EOF {
			return
		}
		assert.NilError(t, err)
	}
}

func assertSelfContained(t *testing.T, page []byte) {
	t.Helper()
	text := inlineImage.ReplaceAll(page, []byte(`"inlined"`))
	assert.Equal(t, string(externalReference.Find(text)), "")
}

// Guards against malformed markup, and against a page that loads other files.
func TestWritePageIsWellFormedAndSelfContained(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "made", "here")
	files, err := Write(directory, recordedTimeline(t))
	assert.NilError(t, err)
	page, err := os.ReadFile(files[0])
	assert.NilError(t, err)
	assertWellFormed(t, page)
	assertSelfContained(t, page)
	assert.Equal(t, len(inlineImage.FindAll(page, -1)), len(files)-1)
	for _, wanted := range []string{"629, 2 unreadable", "Not in the logs", "unexpected end of JSON input", "node-3.log"} {
		assert.Assert(t, strings.Contains(string(page), wanted), wanted)
	}
}

// Guards against picture files that are missing or cannot be decoded.
func TestWritePicturesDecode(t *testing.T) {
	files, err := Write(t.TempDir(), recordedTimeline(t))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 8)
	for _, name := range files[1:] {
		file, err := os.Open(name)
		assert.NilError(t, err)
		header, err := png.DecodeConfig(file)
		assert.NilError(t, err, name)
		assert.Equal(t, header.Width, picture.Width)
		assert.NilError(t, file.Close())
	}
}

// Guards against markup injected through names in log lines.
func TestPageEscapesNamesFromLogLines(t *testing.T) {
	builder := timeline.NewBuilder(timeline.Options{MinimumGap: time.Second})
	hostile := `{"node":"<script src='//h'>","config":1,"time":1000,"message":"configuration in force"}
{"node":"</td><img src=x onerror=y>","homes":"\"><link href='http://h'>","time":2000,"message":"leadership gained"}
{"node":"n2","homes":"\"><link href='http://h'>","time":3000,"message":"leadership gained"}
{"node":"n2","job":"j","model":"$\\frac{1}{2}$\n<b>","time":3000,"message":"job submitted"}`
	assert.NilError(t, builder.Read("<i>.log", strings.NewReader(hostile+"\nunreadable")))
	built, err := builder.Timeline()
	assert.NilError(t, err)
	files, err := Write(t.TempDir(), built)
	assert.NilError(t, err)
	page, err := os.ReadFile(files[0])
	assert.NilError(t, err)
	assertWellFormed(t, page)
	for _, markup := range []string{"<script", "<link", "<i>", "<img src=x", "<b>"} {
		assert.Assert(t, !bytes.Contains(page, []byte(markup)), markup)
	}
}

// Guards against an unreported failure to write the files.
func TestWriteReturnsErrorIfDirectoryCannotBeCreated(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(file, nil, fileMode))
	_, err := Write(filepath.Join(file, "report"), recordedTimeline(t))
	assert.ErrorContains(t, err, "create the report directory")
}
