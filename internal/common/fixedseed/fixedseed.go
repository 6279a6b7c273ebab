// Package fixedseed sets a fixed seed for property tests, so that test runs are reproducible. It is imported
// for its side effect. The flag -rapid.seed=0 selects random seeds, any other value that seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag -rapid.seed
)

// seed is the default of -rapid.seed.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
