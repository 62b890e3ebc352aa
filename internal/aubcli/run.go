// Package aubcli implements the command line, with a subcommand for each role and for
// each task of an operator.
package aubcli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/auburndale/auburndale/internal/aubprocess"
)

// Exit codes of the program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Run parses the arguments, runs the command and returns the exit code. SIGTERM and
// SIGINT cancel the context of the command.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := streams{out: out, errOut: errOut}
	root := newRootCommand(s)
	if err := root.Parse(args); err != nil {
		return reportUsage(err, errOut)
	}
	if err := root.Run(ctx); err != nil {
		return reportFailure(err, errOut)
	}
	return ExitDone
}

func newRootCommand(s streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "auburndale",
		ShortUsage: "auburndale COMMAND [flags]",
		ShortHelp:  "serve many models, adapters and plain services on few accelerators",
		LongHelp:   "Example:\n  auburndale local --listen 127.0.0.1:8080 --data_dir data/local",
		FlagSet:    s.newFlagSet("auburndale"),
		Subcommands: []*ffcli.Command{
			newLocalCommand(s),
			newRoleCommand(s, "entry", "run an entry instance", withInitialSettings(aubprocess.RunEntry)),
			newRoleCommand(s, "agent", "run the process beside a backend server", withInitialSettings(aubprocess.RunAgent)),
			newRoleCommand(s, "relay", "run an instance that relays requests on the users' platform", withPlatform(aubprocess.RunRelay)),
			newRoleCommand(s, "control", "run a control process on the users' platform", withPlatform(aubprocess.RunController)),
			newRoleCommand(s, "engine", "run a stand-in engine or plain service", withInitialSettings(aubprocess.RunEngine)),
			newLoadCommand(s),
			newTicketCommand(s),
			newGetCommand(s),
			newKeyCommand(s),
			newReportCommand(s),
			newSettingsCommand(s),
			newSnapshotCommand(s),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// reportUsage prints a parse error and returns the exit code. For flag.ErrHelp, which
// means that help was requested, the ff package has printed the help.
func reportUsage(err error, errOut io.Writer) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone
	}
	fmt.Fprintln(errOut, "auburndale:", err)
	return ExitUsage
}

// reportFailure prints the error of a command and returns the exit code. For
// flag.ErrHelp the usage error and the help are already printed.
func reportFailure(err error, errOut io.Writer) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	fmt.Fprintln(errOut, "auburndale:", err)
	return ExitFailed
}
