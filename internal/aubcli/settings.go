package aubcli

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/auburndale/auburndale/internal/aubentry"
	"github.com/auburndale/auburndale/internal/aubrelay"
	"github.com/auburndale/auburndale/internal/aubsettings"
)

// newSettingsCommand returns the commands for settings files and generated pages.
func newSettingsCommand(s streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "settings",
		ShortUsage: "auburndale settings check FILE... | site PLAN | reference | errors",
		ShortHelp:  "check settings files and write the generated pages",
		LongHelp:   "Example:\n  auburndale settings check examples/site/entry-a.yaml",
		FlagSet:    s.newFlagSet("auburndale settings"),
		Subcommands: []*ffcli.Command{
			newSettingsCheckCommand(s),
			newSettingsSiteCommand(s),
			newPageCommand(s, "reference", "write the reference page of all settings", aubsettings.WriteReference),
			newPageCommand(s, "errors", "write the page of all refusals that callers may get", writeErrorReference),
		},
		Exec: func(context.Context, []string) error {
			return s.usageError("settings needs the command check, site, reference or errors")
		},
	}
}

// writeErrorReference writes the refusals of entries and relays.
func writeErrorReference(w io.Writer) error {
	if err := aubentry.WriteErrorReference(w); err != nil {
		return err
	}
	return aubrelay.WriteRefusalReference(w)
}

func newSettingsCheckCommand(s streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "auburndale settings check FILE...",
		ShortHelp:  "report every fault of settings files",
		LongHelp:   "Example:\n  auburndale settings check examples/site/entry-a.yaml",
		FlagSet:    s.newFlagSet("auburndale settings check"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return s.usageError("settings check needs at least one FILE")
			}
			for _, file := range args {
				if _, err := aubsettings.Load(file); err != nil {
					return err
				}
				fmt.Fprintf(s.out, "%s: no faults\n", file)
			}
			return nil
		},
	}
}

// newPageCommand returns a command that prints a generated page of docs.
func newPageCommand(s streams, name, help string, write func(io.Writer) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "auburndale settings " + name,
		ShortHelp:  help,
		LongHelp:   "Example:\n  auburndale settings " + name + " > page.md",
		FlagSet:    s.newFlagSet("auburndale settings " + name),
		Exec:       func(context.Context, []string) error { return write(s.out) },
	}
}
