// Package report renders a timeline of the nodes' log lines as a self-contained HTML page, with its pictures as PNG
// files beside it.
package report

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/report/picture"
	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

const (
	// PageName is the page's file name.
	PageName = "report.html"

	directoryMode = 0o755
	fileMode      = 0o644
)

// Write renders the timeline into the directory, which is created if missing, and returns the files written, the page
// first.
func Write(directory string, built *timeline.Timeline) ([]string, error) {
	pictures, err := picture.All(built)
	if err != nil {
		return nil, err
	}
	page, err := renderPage(built, pictures)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, errors.Wrap(err, "create the report directory")
	}
	files := []string{filepath.Join(directory, PageName)}
	if err := os.WriteFile(files[0], page, fileMode); err != nil {
		return nil, errors.Wrap(err, "write the page")
	}
	for _, image := range pictures {
		file := filepath.Join(directory, image.Name+".png")
		if err := os.WriteFile(file, image.PNG, fileMode); err != nil {
			return nil, errors.Wrap(err, "write a picture")
		}
		files = append(files, file)
	}
	return files, nil
}
