package aubcli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// newSnapshotCommand returns the commands that export and restore the replicated state.
func newSnapshotCommand(s streams) *ffcli.Command {
	return &ffcli.Command{
		Name:        "snapshot",
		ShortUsage:  "auburndale snapshot export | restore [flags]",
		ShortHelp:   "export and restore the replicated state",
		LongHelp:    "Example:\n  auburndale snapshot restore --settings entry-a.yaml --accept_loss",
		FlagSet:     s.newFlagSet("auburndale snapshot"),
		Subcommands: []*ffcli.Command{newSnapshotExportCommand(s), newSnapshotRestoreCommand(s)},
		Exec: func(context.Context, []string) error {
			return s.usageError("snapshot needs the command export or restore")
		},
	}
}

func newSnapshotExportCommand(s streams) *ffcli.Command {
	fs := s.newFlagSet("auburndale snapshot export")
	var admin adminFlags
	admin.register(fs)
	out := fs.String("out", "", "file for the snapshot")
	return &ffcli.Command{
		Name:       "export",
		ShortUsage: "auburndale snapshot export --admin URL --out FILE",
		ShortHelp:  "write the whole replicated state of a running site to a file",
		LongHelp: "What is committed after the export is not part of it.\n" +
			"Example:\n  auburndale snapshot export --admin http://127.0.1.1:7200 --credential_file admin.credential --out snapshot.bin",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if *out == "" || len(args) > 0 {
				return s.usageError("snapshot export needs -out, and takes flags only")
			}
			client, err := admin.newClient(s)
			if err != nil {
				return err
			}
			snapshot, err := client.Snapshot(ctx)
			if err != nil {
				return err
			}
			return writeTo(s.out, *out, func(w io.Writer) error {
				_, err := w.Write(snapshot.Data)
				return err
			})
		},
	}
}

func newSnapshotRestoreCommand(s streams) *ffcli.Command {
	fs := s.newFlagSet("auburndale snapshot restore")
	settingsFile := fs.String("settings", "", "settings file of the replica that the site goes on from")
	from := fs.String("from", "", "exported snapshot; the replica's own data folder while empty")
	acceptLoss := fs.Bool("accept_loss", false, "accept that commands are lost that only the lost disks held")
	return &ffcli.Command{
		Name:       "restore",
		ShortUsage: "auburndale snapshot restore --settings FILE [--from FILE] --accept_loss",
		ShortHelp:  "go on from one replica after the majority of disks was lost",
		LongHelp: "No replica of the site may run. The replica becomes the only voter; start the others on empty data folders.\n" +
			"Example:\n  auburndale snapshot restore --settings entry-a.yaml --accept_loss",
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if *settingsFile == "" || len(args) > 0 {
				return s.usageError("snapshot restore needs -settings")
			}
			if !*acceptLoss {
				return s.usageError("snapshot restore needs -accept_loss: commands are lost that only the lost disks held")
			}
			return s.restore(*settingsFile, *from)
		},
	}
}

func (s streams) restore(settingsFile, snapshotFile string) error {
	cfg, err := aubsettings.Load(settingsFile)
	if err != nil {
		return err
	}
	opts := aubcontrol.RestoreOpts{
		Member: cfg.Name, Address: cfg.Internal.Address(), DataDir: cfg.Control.DataDir, AcceptLoss: true,
	}
	if snapshotFile != "" {
		if opts.Snapshot, err = os.ReadFile(snapshotFile); err != nil {
			return err
		}
	}
	report, err := aubcontrol.Restore(newDiscardingCommon(), opts)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "restored up to log entry %d; start %s, then the others on empty data folders\n", report.Index, cfg.Name)
	return nil
}

func newDiscardingCommon() aubcommon.Common {
	return aubcommon.NewCommon(aubtimer.NewReal()).WithLog(zap.NewNop())
}
