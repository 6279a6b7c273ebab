// Package fixedseed gives property tests a fixed seed, so that a test run has
// the same verdict each time. Property tests import it for its effect; the flag
// -rapid.seed=0 asks for random seeds, any other value for that seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag that init sets
)

// seed is the default of -rapid.seed.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
