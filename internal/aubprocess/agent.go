package aubprocess

import (
	"context"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubagent"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubdistribution"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubplacement"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// RunAgent runs the agent of one backend server. The end of ctx starts a graceful
// shutdown.
func RunAgent(ctx context.Context, common aubcommon.Common, cfg aubsettings.Settings) error {
	p, err := newProcess(ctx, common, cfg)
	if err != nil {
		return err
	}
	if err := p.runAgent(ctx); err != nil {
		p.common.Log.Error("Agent failed.", zap.Error(err))
		_ = p.close()
		return err
	}
	return p.close()
}

func (p *process) runAgent(ctx context.Context) error {
	agent, err := p.newAgent()
	if err != nil {
		return err
	}
	follower := aubdistribution.NewFollower(p.ctx, p.common, aubdistribution.FollowerOpts{
		Process:   p.cfg.Name,
		Addresses: aubsettings.Addresses(p.cfg.Control.Addresses),
		Dial:      p.transport.Dial,
		DataDir:   p.cfg.Agent.DataDir,
	})
	agent.Register(p.grpcServer)
	if err := p.serveInternal(); err != nil {
		return err
	}
	if err := p.servePlatform(); err != nil {
		return err
	}
	members, err := p.newMembership(func() *aubwire.Announcement {
		return &aubwire.Announcement{
			Name:          p.cfg.Name,
			Role:          aubwire.Role_ROLE_AGENT,
			Zone:          p.cfg.Zone,
			Address:       p.cfg.Internal.Address(),
			Incarnation:   agent.Incarnation(),
			Leaving:       agent.Draining(),
			ConfigVersion: follower.Config().Version(),
			Backend:       agent.Report(),
		}
	})
	if err != nil {
		return err
	}
	p.health.ready.Store(true)
	p.common.Log.Info("Agent runs.", zap.Uint64("incarnation", agent.Incarnation()))
	select {
	case <-ctx.Done():
	case <-p.ctx.Done():
		return nil
	}
	return p.drainAgent(agent, members)
}

func (p *process) newAgent() (*aubagent.Agent, error) {
	remote := aubcontrol.NewClient(p.common, aubcontrol.ClientOpts{
		Addresses: aubsettings.Addresses(p.cfg.Control.Addresses),
		Dial:      p.transport.Dial,
	})
	return aubagent.NewAgent(p.ctx, p.common, aubagent.AgentOpts{
		Name:        p.cfg.Name,
		Zone:        p.cfg.Zone,
		Address:     p.cfg.Internal.Address(),
		EngineURL:   p.cfg.Agent.EngineURL,
		ServiceURL:  p.cfg.Agent.ServiceURL,
		Services:    p.cfg.Agent.Services,
		MemoryBytes: p.cfg.Agent.Memory.Bytes(),
		DataDir:     p.cfg.Agent.DataDir,
		FenceFloor: func(ctx context.Context, incarnation uint64) (uint64, error) {
			return aubplacement.Register(ctx, remote, p.cfg.Name, incarnation)
		},
		EngineChecksFence: p.cfg.Agent.EngineChecksFence,
	})
}

// drainAgent refuses new work, announces that to the entries and waits for running
// work.
func (p *process) drainAgent(agent *aubagent.Agent, members *aubmembership.Membership) error {
	p.health.ready.Store(false)
	p.common.Log.Info("Agent leaves.")
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.Shutdown.Timeout.Value())
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- agent.Drain(ctx) }()
	members.Leave()
	// Requests of entries that missed the announcement are refused as not run.
	_ = aubtimer.Wait(ctx, p.common.Timer, p.cfg.Shutdown.Delay.Value())
	return <-drained
}

func (p *process) newMembership(self func() *aubwire.Announcement) (*aubmembership.Membership, error) {
	return aubmembership.NewMembership(p.ctx, p.common, aubmembership.MembershipOpts{
		Listen:   p.cfg.Membership.Listen.String(),
		Seeds:    aubsettings.Addresses(p.cfg.Membership.Seeds),
		Secret:   p.secret,
		Self:     self,
		Interval: p.cfg.Membership.Interval.Value(),
		Timeout:  p.cfg.Membership.Timeout.Value(),
		Budget:   int(p.cfg.Membership.Budget.Bytes()),
	})
}
