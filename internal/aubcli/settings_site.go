package aubcli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/auburndale/auburndale/internal/aubsettings"
)

// newSettingsSiteCommand returns the command that expands a site plan.
func newSettingsSiteCommand(s streams) *ffcli.Command {
	fs := s.newFlagSet("auburndale settings site")
	out := fs.String("out", "", "folder for the settings files")
	var overrides siteOverrides
	fs.StringVar(&overrides.prefix, "prefix", "", "first two numbers of the addresses, in place of the plan's")
	fs.StringVar(&overrides.dataDir, "data_dir", "", "folder of the data folders, in place of the plan's")
	return &ffcli.Command{
		Name:       "site",
		ShortUsage: "auburndale settings site PLAN --out DIR [--prefix PREFIX] [--data_dir DIR]",
		ShortHelp:  "write the settings files of every process of a site plan",
		LongHelp:   "Example:\n  auburndale settings site examples/zilina/site.yaml --out data/zilina/settings",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			args, err := s.parseInterspersed(fs, args)
			if err != nil {
				return err
			}
			if len(args) != 1 || *out == "" {
				return s.usageError("settings site needs one PLAN and -out")
			}
			plan, err := aubsettings.LoadSitePlan(args[0])
			if err != nil {
				return err
			}
			return s.writeSite(overrides.apply(plan), *out)
		},
	}
}

// siteOverrides replaces values of a site plan, so that two sites can run from one plan.
type siteOverrides struct {
	prefix  string
	dataDir string
}

func (o siteOverrides) apply(p aubsettings.SitePlan) aubsettings.SitePlan {
	if o.prefix != "" {
		p.Prefix = o.prefix
	}
	if o.dataDir != "" {
		p.DataDir = o.dataDir
	}
	return p
}

func (s streams) writeSite(plan aubsettings.SitePlan, out string) error {
	files, err := aubsettings.Expand(plan)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	for name, text := range files {
		if _, err := aubsettings.Parse(name, text); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(out, name+".yaml"), text, 0o644); err != nil {
			return err
		}
	}
	fmt.Fprintf(s.out, "%s: %d settings files\n", out, len(files))
	return nil
}
