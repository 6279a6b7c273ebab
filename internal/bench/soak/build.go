package soak

import (
	"context"
	"os/exec"
	"time"

	"github.com/go-faster/errors"
)

// settingsCheckTimeout bounds the check of a settings file by a daemon.
const settingsCheckTimeout = 10 * time.Second

// build is a daemon with its settings file. Builds may know different settings.
type build struct {
	path     string
	settings string
}

// newBuild writes the settings file of a daemon. It omits the optional settings if the daemon rejects
// them.
func newBuild(ctx context.Context, daemon, file, text, optional string) (build, error) {
	created := build{path: daemon, settings: file}
	if err := writeSettings(file, text+optional); err != nil {
		return build{}, err
	}
	if created.check(ctx) == nil {
		return created, nil
	}
	if err := writeSettings(file, text); err != nil {
		return build{}, err
	}
	return created, created.check(ctx)
}

// check returns an error if the daemon rejects its settings file.
func (b build) check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settingsCheckTimeout)
	defer cancel()
	output, err := exec.CommandContext(ctx, b.path, "--settings", b.settings, "--check").CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "%s rejects its settings: %s", b.path, output)
	}
	return nil
}
