// Command review-client plays the scripted cases of the review: it starts corkpulleyd processes as the deploy file
// does, the platform and its engines as stand-ins within this process, and clients, and checks one rule.
//
// Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*deployment) error{
	"streams":  playStreams,
	"stop":     playStop,
	"handover": playHandover,
	"large":    playLarge,
	"single":   playSingle,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-client CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case and returns the exit code.
func play(run func(*deployment) error, path string) int {
	d, err := newDeployment(path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-client:", err)
		return exitNotRun
	}
	defer d.close()
	if err := run(d); err != nil {
		d.record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "review-client:", err)
		return exitNotRun
	}
	broken := d.record.violations()
	d.record.note("violations: %d", broken)
	fmt.Printf("violations: %d\n", broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
