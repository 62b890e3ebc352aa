package aubcli

import (
	"context"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/auburndale/auburndale/internal/aubburn"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// newReportCommand returns the commands that report on a running site.
func newReportCommand(s streams) *ffcli.Command {
	return &ffcli.Command{
		Name:        "report",
		ShortUsage:  "auburndale report burn [flags]",
		ShortHelp:   "report on a running site",
		LongHelp:    "Example:\n  auburndale report burn --admin http://127.0.1.1:7200 --credential_file admin.credential",
		FlagSet:     s.newFlagSet("auburndale report"),
		Subcommands: []*ffcli.Command{newReportBurnCommand(s)},
		Exec: func(context.Context, []string) error {
			return s.usageError("report needs the command burn")
		},
	}
}

func newReportBurnCommand(s streams) *ffcli.Command {
	fs := s.newFlagSet("auburndale report burn")
	var admin adminFlags
	admin.register(fs)
	format := fs.String("format", "table", "table or yaml")
	plot := fs.String("plot", "", "file for a plot in SVG")
	return &ffcli.Command{
		Name:       "burn",
		ShortUsage: "auburndale report burn --admin URL[,URL...] [--format yaml] [--plot FILE]",
		ShortHelp:  "report how fast the error budgets burn, over all instances named",
		LongHelp: "Each entry instance counts for itself; name them all, with commas between them.\n" +
			"Example:\n  auburndale report burn --admin http://127.0.1.1:7200,http://127.0.1.2:7200 --credential_file admin.credential",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || (*format != "table" && *format != "yaml") {
				return s.usageError("report burn takes flags only, and -format is table or yaml")
			}
			report, err := s.readBurn(ctx, admin)
			if err != nil {
				return err
			}
			if *plot != "" {
				if err := writeTo(s.out, *plot, report.WritePlot); err != nil {
					return err
				}
			}
			if *format == "yaml" {
				return report.WriteYAML(s.out)
			}
			return report.WriteTable(s.out)
		},
	}
}

// readBurn collects the counts of all instances that the flag admin names, separated by
// commas.
func (s streams) readBurn(ctx context.Context, admin adminFlags) (aubburn.Report, error) {
	var counts []aubapi.BurnCounts
	for url := range strings.SplitSeq(admin.url, ",") {
		instanceFlags := admin
		instanceFlags.url = strings.TrimSpace(url)
		client, err := instanceFlags.newClient(s)
		if err != nil {
			return aubburn.Report{}, err
		}
		instanceCounts, err := client.Burn(ctx)
		if err != nil {
			return aubburn.Report{}, err
		}
		counts = append(counts, instanceCounts)
	}
	return aubburn.NewReport(counts), nil
}
