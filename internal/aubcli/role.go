package aubcli

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aublog"
	"github.com/auburndale/auburndale/internal/aubprocess"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// runRole runs one role. The end of ctx starts a graceful shutdown.
type runRole func(ctx context.Context, common aubcommon.Common, watcher *aubsettings.Watcher) error

// withInitialSettings adapts a role that reads its settings only at the start.
func withInitialSettings(run func(ctx context.Context, common aubcommon.Common, cfg aubsettings.Settings) error) runRole {
	return func(ctx context.Context, common aubcommon.Common, watcher *aubsettings.Watcher) error {
		return run(ctx, common, watcher.Settings())
	}
}

// newRoleCommand returns the command of a role that is configured by a settings file.
// SIGHUP reloads the file.
func newRoleCommand(s streams, name, help string, run runRole) *ffcli.Command {
	fs := s.newFlagSet("auburndale " + name)
	file := fs.String("settings", "", "settings file in YAML")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "auburndale " + name + " --settings FILE",
		ShortHelp:  help,
		LongHelp:   "Example:\n  auburndale " + name + " --settings examples/site/" + name + "-a.yaml",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return s.usageError("%s needs -settings and nothing besides", name)
			}
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			cfg, err := aubsettings.Load(*file)
			if err != nil {
				return err
			}
			queue := aublog.NewQueue(s.out)
			defer queue.Close()
			common, err := newCommon(queue, cfg)
			if err != nil {
				return err
			}
			// net/http writes some warnings to the log of the standard library.
			restoreLog, err := zap.RedirectStdLogAt(common.Log.Named("library"), zap.WarnLevel)
			if err != nil {
				return err
			}
			defer restoreLog()
			return run(ctx, common, aubsettings.NewWatcher(ctx, common, *file, cfg, reload))
		},
	}
}

// newLocalCommand returns the command that runs a complete site on loopback.
func newLocalCommand(s streams) *ffcli.Command {
	fs := s.newFlagSet("auburndale local")
	opts := aubprocess.LocalOpts{Out: s.out}
	fs.StringVar(&opts.Listen, "listen", "127.0.0.1:8080", "loopback address for callers")
	fs.StringVar(&opts.DataDir, "data_dir", "data/local", "folder for the site's state")
	level := fs.String("log_level", "warn", "least level of the log: debug, info, warn or error")
	return &ffcli.Command{
		Name:       "local",
		ShortUsage: "auburndale local [--listen ADDRESS] [--data_dir DIR]",
		ShortHelp:  "run a whole site with stand-in engines on loopback",
		LongHelp:   "Example:\n  auburndale local --listen 127.0.0.1:8080 --data_dir data/local",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return s.usageError("local takes flags only")
			}
			cfg := aubsettings.Settings{Name: "local", Log: aubsettings.Log{Format: aublog.FormatConsole, Level: aubsettings.Choice(*level)}}
			common, err := newCommon(s.errOut, cfg)
			if err != nil {
				return err
			}
			err = aubprocess.RunLocal(ctx, common, opts)
			var listenErr *aubprocess.ListenError
			if errors.As(err, &listenErr) {
				return s.usageError("%v", listenErr)
			}
			return err
		},
	}
}

// newCommon returns the dependencies of a process that logs to w.
func newCommon(w io.Writer, cfg aubsettings.Settings) (aubcommon.Common, error) {
	log, err := aublog.New(w, aublog.Opts{
		Format:   string(cfg.Log.Format),
		Level:    string(cfg.Log.Level),
		Instance: cfg.Name,
	})
	if err != nil {
		return aubcommon.Common{}, err
	}
	return aubcommon.NewCommon(aubtimer.NewReal()).WithLog(log), nil
}
