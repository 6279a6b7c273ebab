package soak

import (
	"slices"
	"strconv"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"
)

// SeedNumber is a seed. In TOML, a seed that exceeds int64 is written as a string.
type SeedNumber uint64

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *SeedNumber) UnmarshalText(text []byte) error {
	number, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return errors.Wrap(err, "parse seed number")
	}
	*n = SeedNumber(number)
	return nil
}

// RegressionSeed is a seed that failed once and is replayed as a regression test.
type RegressionSeed struct {
	Number  SeedNumber `toml:"number"`
	Minutes float64    `toml:"minutes"`
	// EnginesFence and Schedule are the flags under which it failed.
	EnginesFence string `toml:"engines_fence"`
	Schedule     string `toml:"schedule"`
	// FoundOn is the date of the failure, Rule the violated rule.
	FoundOn string `toml:"found"`
	Rule    string `toml:"rule"`
	Cause   string `toml:"cause"`
	Fix     string `toml:"mended"`
}

func (s RegressionSeed) check() error {
	switch {
	case s.Number == 0:
		return errors.New("regression seed without a number")
	case s.Minutes < minMinutes || s.Minutes > maxMinutes:
		return errors.Errorf("seed %d: minutes is %g, expected %g..%d", s.Number, s.Minutes, minMinutes, maxMinutes)
	case s.FoundOn == "" || s.Rule == "" || s.Cause == "" || s.Fix == "":
		return errors.Errorf("seed %d: found, rule, cause and mended must be set", s.Number)
	}
	if s.EnginesFence != EnginesFenceYes && s.EnginesFence != EnginesFenceNo {
		return errors.Errorf("seed %d: engines_fence is %q, expected %s or %s", s.Number, s.EnginesFence, EnginesFenceYes, EnginesFenceNo)
	}
	if !slices.Contains(schedules, s.Schedule) {
		return errors.Errorf("seed %d: schedule is %q, expected one of %q", s.Number, s.Schedule, schedules)
	}
	return nil
}

// ReadSeeds reads and validates a file of regression seeds.
func ReadSeeds(path string) ([]RegressionSeed, error) {
	var file struct {
		Seeds []RegressionSeed `toml:"seed"`
	}
	decoded, err := toml.DecodeFile(path, &file)
	if err != nil {
		return nil, errors.Wrap(err, "read regression seeds")
	}
	if unknown := decoded.Undecoded(); len(unknown) > 0 {
		return nil, errors.Errorf("%s: unknown fields %v", path, unknown)
	}
	for _, seed := range file.Seeds {
		if err := seed.check(); err != nil {
			return nil, errors.Wrap(err, path)
		}
	}
	return file.Seeds, nil
}
