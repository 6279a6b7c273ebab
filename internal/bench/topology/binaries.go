package topology

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/go-faster/errors"
)

// Import paths of the binaries' main packages.
const (
	daemonPackage = "github.com/corkpulley/corkpulley/cmd/corkpulleyd"
	benchPackage  = "github.com/corkpulley/corkpulley/cmd/corkbench"
)

// BuildBinaries compiles both binaries into a directory. The working directory must be
// inside the module.
func BuildBinaries(ctx context.Context, directory string) (Binaries, error) {
	binaries := Binaries{
		Daemon: filepath.Join(directory, "corkpulleyd"),
		Bench:  filepath.Join(directory, "corkbench"),
	}
	if err := build(ctx, binaries.Daemon, daemonPackage); err != nil {
		return Binaries{}, err
	}
	if err := build(ctx, binaries.Bench, benchPackage); err != nil {
		return Binaries{}, err
	}
	return binaries, nil
}

// FindBinaries returns the running corkbench binary and the corkpulleyd next to it. If
// there is none, it compiles corkpulleyd into the directory.
func FindBinaries(ctx context.Context, directory string) (Binaries, error) {
	own, err := os.Executable()
	if err != nil {
		return Binaries{}, errors.Wrap(err, "find corkbench executable")
	}
	sibling := filepath.Join(filepath.Dir(own), "corkpulleyd")
	if information, err := os.Stat(sibling); err == nil && information.Mode().IsRegular() {
		return Binaries{Daemon: sibling, Bench: own}, nil
	}
	built := filepath.Join(directory, "corkpulleyd")
	if err := build(ctx, built, daemonPackage); err != nil {
		return Binaries{}, errors.Wrap(err, "no corkpulleyd next to corkbench, and building it failed")
	}
	return Binaries{Daemon: built, Bench: own}, nil
}

func build(ctx context.Context, output, importPath string) error {
	command := exec.CommandContext(ctx, "go", "build", "-o", output, importPath)
	text, err := command.CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "build %s: %s", importPath, text)
	}
	return nil
}
