// Command corkbench runs simulated platform services, a load generator, a demonstration and the experiments of
// corkpulley.
package main

import (
	"os"

	"github.com/corkpulley/corkpulley/internal/bench/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
