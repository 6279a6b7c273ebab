package ctl

import (
	"os"
	"os/user"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/corkpulley/corkpulley/internal/buildinfo"
)

// arguments holds the parsed command line.
type arguments struct {
	Table   *tableArguments   `arg:"subcommand:table" help:"check, compare, apply and show the table"`
	Status  *statusArguments  `arg:"subcommand:status" help:"show one node's view of the whole system"`
	Nodes   *nodesArguments   `arg:"subcommand:nodes" help:"list the known nodes"`
	Engines *enginesArguments `arg:"subcommand:engines" help:"list engines"`
	Steps   *stepsArguments   `arg:"subcommand:steps" help:"list trainers' steps"`
	Drain   *drainArguments   `arg:"subcommand:drain" help:"begin the planned stop of one node"`
	Zones   *zonesArguments   `arg:"subcommand:zones" help:"show each server's view of the engine zones and its load in them"`

	Evacuate *evacuateArguments `arg:"subcommand:evacuate" help:"stop sending requests to the engines of a zone"`
	TakeBack *takeBackArguments `arg:"subcommand:take-back" help:"end the evacuation of a zone"`

	Explain *explainArguments `arg:"subcommand:explain" help:"explain the outcome of a request, batch job or item from log files, without contacting a server"`
	Report  *reportArguments  `arg:"subcommand:report" help:"render a timeline of log files as an HTML page and pictures, without contacting a server"`

	Server  []string      `arg:"--server,separate" placeholder:"HOST:PORT" help:"node to query; may be repeated or a comma-separated list; the next one is tried if a node is unreachable [env: CORKCTL_SERVER]"`
	JSON    bool          `arg:"--json" help:"print JSON"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"time limit of the whole command"`
}

type tableArguments struct {
	Check   *checkArguments   `arg:"subcommand:check" help:"list all mistakes in a file, without contacting a server"`
	Diff    *diffArguments    `arg:"subcommand:diff" help:"compare a file with the table in force"`
	Apply   *applyArguments   `arg:"subcommand:apply" help:"propose a file as the next revision"`
	Show    *showArguments    `arg:"subcommand:show" help:"show the table in force or an earlier one"`
	History *historyArguments `arg:"subcommand:history" help:"list accepted revisions, the newest first"`
}

type checkArguments struct {
	File string `arg:"positional,required" help:"CSV file; - for standard input"`
}

type diffArguments struct {
	File string `arg:"positional,required" help:"CSV file; - for standard input"`
}

type applyArguments struct {
	File       string `arg:"positional,required" help:"CSV file; - for standard input"`
	Base       *int64 `arg:"--base" placeholder:"N" help:"revision that the edit started from [default: the file's '# revision N' line, else the revision in force]"`
	Wait       bool   `arg:"--wait" help:"wait until the revision is in force on every known node (for at most a further --timeout)"`
	Operator   string `arg:"--operator,env:USER" placeholder:"NAME" help:"operator recorded in the history [default: the user]"`
	ProposalID string `arg:"--proposal-id" placeholder:"ID" help:"ID of an earlier attempt, to learn its outcome [default: a new one]"`
}

type showArguments struct {
	CSV      bool   `arg:"--csv" help:"print the CSV form, to edit and apply"`
	Revision *int64 `arg:"--revision" placeholder:"N" help:"an earlier revision"`
}

type historyArguments struct {
	Limit int `arg:"--limit" default:"20" help:"number of revisions, 1 to 1000"`
}

type statusArguments struct{}

type nodesArguments struct{}

type enginesArguments struct {
	All bool `arg:"--all" help:"engines of all reachable nodes, not only of the node queried"`
}

type stepsArguments struct{}

type drainArguments struct{}

type zonesArguments struct{}

type evacuateArguments struct{ evacuationArguments }

type takeBackArguments struct{ evacuationArguments }

// evacuationArguments are the arguments of "evacuate" and "take-back".
type evacuationArguments struct {
	Zone string `arg:"positional,required" help:"zone of engines"`
	Wait bool   `arg:"--wait" help:"wait until the order is in force at every --server and, for an evacuation, no request of theirs is left in the zone (for at most a further --timeout)"`
}

type explainArguments struct {
	ID    string   `arg:"positional,required" help:"ID of a request, batch job or item"`
	Files []string `arg:"positional,required" placeholder:"LOGFILE" help:"log files of the nodes; - for standard input"`
}

type reportArguments struct {
	Files []string      `arg:"positional,required" placeholder:"LOGFILE" help:"log files of the nodes; - for standard input"`
	Out   string        `arg:"--out" placeholder:"DIRECTORY" default:"corkpulley-report" help:"directory for report.html and the pictures; created if missing, existing files are replaced"`
	From  string        `arg:"--from" placeholder:"TIME" help:"first time to show, such as 2026-11-30T05:20:00Z [default: the first line's]"`
	Until string        `arg:"--until" placeholder:"TIME" help:"last time to show [default: the last line's]"`
	Gap   time.Duration `arg:"--gap" default:"2s" help:"shortest time without progress to report"`
}

// Description returns the introduction of the help.
func (arguments) Description() string {
	return "corkctl operates corkpulley: the table of services, its nodes, engines and steps.\n"
}

// Version implements the --version flag.
func (arguments) Version() string { return "corkctl " + buildinfo.Version() }

// serverVariable is the environment variable with the servers used if no --server is given. It is read outside the
// parser, which would append the flags to it instead of replacing it.
const serverVariable = "CORKCTL_SERVER"

func (a *arguments) addDefaults() {
	if len(a.Server) == 0 {
		a.Server = []string{os.Getenv(serverVariable)}
	}
	if a.Table != nil && a.Table.Apply != nil && a.Table.Apply.Operator == "" {
		a.Table.Apply.Operator = currentUser()
	}
}

// currentUser returns the system's name of the user, for environments without USER such as scheduled jobs, or "" if it
// is unknown.
func currentUser() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// newParser returns a parser that stores into the arguments.
func newParser(into *arguments) (*arg.Parser, error) {
	return arg.NewParser(arg.Config{Program: "corkctl"}, into)
}
