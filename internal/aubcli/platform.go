package aubcli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aublog"
	"github.com/auburndale/auburndale/internal/aubprocess"
	"github.com/auburndale/auburndale/internal/aubsettings"
	aubplatform "github.com/auburndale/auburndale/platform"
)

// runAdapted runs one role behind the adapter of a users' platform.
type runAdapted func(ctx context.Context, common aubcommon.Common, live *aubsettings.Live, adapter aubprocess.Adapter) error

// newAdaptedCommand returns the command of a role on the users' platform. SIGHUP
// makes it read its settings again.
func newAdaptedCommand(s streams, name, help string, run runAdapted) *ffcli.Command {
	fs := s.newFlagSet("auburndale " + name)
	file := fs.String("settings", "", "settings file in YAML")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "auburndale " + name + " --settings FILE",
		ShortHelp:  help,
		LongHelp:   "Example:\n  auburndale " + name + " --settings " + name + ".yaml",
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
			live := aubsettings.NewLive(ctx, common, *file, cfg, reload)
			return run(ctx, common, live, newAdapter())
		},
	}
}

// newAdapter returns the adapter of the users' platform.
func newAdapter() aubprocess.Adapter {
	return aubprocess.Adapter{
		Protocol:       aubplatform.Protocol{},
		DecodeSite:     aubplatform.DecodeSite,
		Engine:         aubplatform.NewEngines(aubprocess.DialBackend),
		ReadyHandler:   aubplatform.NewReadyHandler,
		ControlHandler: aubplatform.NewControlHandler,
	}
}
