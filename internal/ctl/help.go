package ctl

import (
	"fmt"
	"io"
	"strings"

	"github.com/alexflint/go-arg"
)

// examples holds the examples in the help, by subcommand path.
var examples = map[string][]string{
	"": {
		"export CORKCTL_SERVER=10.0.0.1:9090,10.0.0.2:9090",
		"corkctl table show --csv > table.csv",
		"corkctl table check table.csv",
		"corkctl table apply table.csv --wait",
	},
	"table": {
		"corkctl table show --csv > table.csv",
		"corkctl table diff table.csv",
		"corkctl table apply table.csv --wait",
	},
	"table check": {
		"corkctl table check table.csv",
		"corkctl table check - --json < table.csv",
	},
	"table diff": {
		"corkctl table diff table.csv",
		"corkctl table show --csv --revision 41 | corkctl table diff -",
	},
	"table apply": {
		"corkctl table apply table.csv --wait",
		"corkctl table apply table.csv --base 41 --operator maeve",
		"corkctl table apply table.csv --base 41 --proposal-id d2k5v9h8nqs0   # after exit code 6",
	},
	"table show": {
		"corkctl table show",
		"corkctl table show --csv > table.csv",
		"corkctl table show --revision 41",
	},
	"table history": {"corkctl table history --limit 5"},
	"status":        {"corkctl status", "corkctl status --json --server 10.0.0.1:9090"},
	"nodes":         {"corkctl nodes"},
	"engines":       {"corkctl engines", "corkctl engines --all --json"},
	"steps":         {"corkctl steps"},
	"drain":         {"corkctl drain --server 10.0.0.1:9090"},
	"zones":         {"corkctl zones", "corkctl zones --json --server 10.0.0.1:9090"},
	"evacuate":      {"corkctl evacuate hillsboro --wait", "corkctl zones"},
	"take-back":     {"corkctl take-back hillsboro --wait"},
	"report": {
		"corkctl report --out bad-hour node-*.log",
		"corkctl report --from 2026-11-30T05:20:00Z --until 2026-11-30T06:20:00Z - < all.log",
	},
}

// writeHelp writes the help of a command, with examples and exit codes.
func writeHelp(w io.Writer, parser *arg.Parser, command []string) {
	// The parser has just parsed the command, so the command exists.
	_ = parser.WriteHelpForSubcommand(w, command...)
	fmt.Fprintln(w, "\nExamples:")
	for _, example := range examples[strings.Join(command, " ")] {
		fmt.Fprintln(w, "  "+example)
	}
	fmt.Fprint(w, "\n"+exitCodesHelp)
}
