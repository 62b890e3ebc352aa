package aubcli

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubload"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// newLoadCommand returns the command that runs a load plan.
func newLoadCommand(s streams) *ffcli.Command {
	fs := s.newFlagSet("auburndale load")
	report := fs.String("report", "", "file for the report in YAML; standard output while empty")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "auburndale load [--report FILE] PLAN",
		ShortHelp:  "play a seeded load plan against one or more targets in turn",
		LongHelp:   "Example:\n  auburndale load --report report.yaml examples/load/path.yaml",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			args, err := s.parseInterspersed(fs, args)
			if err != nil {
				return err
			}
			if len(args) != 1 {
				return s.usageError("load needs one PLAN, not %d", len(args))
			}
			plan, err := aubload.ReadPlan(args[0])
			if err != nil {
				return err
			}
			result, err := aubload.NewRunner(aubcommon.NewCommon(aubtimer.NewReal()), plan).Run(ctx)
			if err != nil {
				return err
			}
			return writeTo(s.out, *report, result.Write)
		},
	}
}

// writeTo writes to a file, or to out if the file name is empty.
func writeTo(out io.Writer, file string, write func(io.Writer) error) error {
	if file == "" {
		return write(out)
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := write(f); err != nil {
		return err
	}
	return f.Sync()
}
