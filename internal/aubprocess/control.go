package aubprocess

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubclaim"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubdistribution"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubplacement"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubstate"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// configPollInterval is the time between two checks for the first configuration.
const configPollInterval = 50 * time.Millisecond

// controlReplica is the control replica of an entry with its replicated tables.
type controlReplica struct {
	process   *process
	replica   *aubcontrol.Replica
	config    *aubstate.ConfigTable
	limits    *aublimit.Table
	claims    *aubclaim.Table
	poison    *aubpoison.Table
	placement *aubplacement.Table
	source    *aubdistribution.LocalSource
}

// newControlReplica starts the replica with all replicated tables. The limits table
// reads the configuration table while it applies a command; that is deterministic,
// because the log applies the commands of all tables in the same order in every replica.
func newControlReplica(p *process) (*controlReplica, error) {
	c := &controlReplica{
		process:   p,
		config:    aubstate.NewConfigTable(p.common),
		claims:    aubclaim.NewTable(aubclaim.TableOpts{}),
		poison:    aubpoison.NewTable(),
		placement: aubplacement.NewTable(),
	}
	c.limits = aublimit.NewTable(aublimit.TableOpts{Workspaces: func(name string) (aubapi.Workspace, bool) {
		return c.config.Config().Workspace(name)
	}})
	replica, err := aubcontrol.NewReplica(p.ctx, p.common, aubcontrol.ReplicaOpts{
		Member:          p.cfg.Name,
		Address:         p.cfg.Internal.Address(),
		Voters:          voters(p.cfg.Control.Voters),
		DataDir:         p.cfg.Control.DataDir,
		Tables:          []aubcontrol.Table{&refreshingTable{ConfigTable: c.config, limits: c.limits}, c.limits, c.claims, c.poison, c.placement},
		Dial:            p.transport.Dial,
		Heartbeat:       p.cfg.Control.HeartbeatInterval.Value(),
		ElectionTimeout: p.cfg.Control.ElectionTimeout.Value(),
	})
	if err != nil {
		return nil, err
	}
	c.replica = replica
	return c, nil
}

// register registers the gRPC services of the replica and starts the local source of
// the configuration.
func (c *controlReplica) register(server *grpc.Server) {
	c.replica.Register(server)
	c.source = aubdistribution.NewLocalSource(c.process.ctx, c.process.common, aubdistribution.LocalSourceOpts{
		Table:   c.config,
		Reader:  c.replica,
		DataDir: c.process.cfg.Control.DataDir,
	})
	aubwire.RegisterDistributionServer(server, aubdistribution.NewServer(c.process.common, c.config, c.source))
}

// awaitConfig waits until there is a configuration to serve callers with: one that the
// leader confirmed or, without contact to the control quorum, the newest on disk.
func (c *controlReplica) awaitConfig(ctx context.Context) {
	ticks := c.process.common.Timer.Subscribe(ctx, configPollInterval)
	for c.source.ConfirmedAt().IsZero() && c.source.Config().Version() == 0 {
		select {
		case <-ticks:
		case <-ctx.Done():
			return
		}
	}
}

// transferLeadership transfers the leadership to another replica if this one leads.
func (c *controlReplica) transferLeadership(ctx context.Context) {
	if _, leads := c.replica.Leading(); !leads {
		return
	}
	if err := c.replica.TransferLeadership(ctx); err != nil {
		c.process.common.Log.Warn("Could not transfer the leadership.", zap.Error(err))
	}
}

// refreshingTable is the configuration table. It refreshes the limits table after every
// command, at the same position of the log. Otherwise the limits table would miss a
// limit that is changed and changed back between two of its own commands.
type refreshingTable struct {
	*aubstate.ConfigTable

	limits *aublimit.Table
}

// Apply implements aubcontrol.Table.
func (t *refreshingTable) Apply(cmd aubcontrol.Command) []byte {
	result := t.ConfigTable.Apply(cmd)
	t.limits.Refresh(cmd.Clock)
	return result
}

// voters converts the peers of the settings.
func voters(peers []aubsettings.Peer) []aubcontrol.Peer {
	out := make([]aubcontrol.Peer, 0, len(peers))
	for _, peer := range peers {
		out = append(out, aubcontrol.Peer{Name: peer.Name, Address: peer.Address.String()})
	}
	return out
}
