// Package aubcli is the command line: one subcommand for each role and one for
// each operator's task.
package aubcli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of the program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Run parses the arguments, executes the chosen command and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := newRoot(out, errOut)
	if err := root.Parse(args); err != nil {
		return reportUsage(err, errOut)
	}
	if err := root.Run(context.Background()); err != nil {
		return reportFailure(err, errOut)
	}
	return ExitDone
}

func newRoot(_, errOut io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("auburndale", flag.ContinueOnError)
	fs.SetOutput(errOut)
	return &ffcli.Command{
		Name:       "auburndale",
		ShortUsage: "auburndale <command> [flags]",
		FlagSet:    fs,
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func reportUsage(err error, errOut io.Writer) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone
	}
	fmt.Fprintln(errOut, "auburndale:", err)
	return ExitUsage
}

func reportFailure(err error, errOut io.Writer) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	fmt.Fprintln(errOut, "auburndale:", err)
	return ExitFailed
}
