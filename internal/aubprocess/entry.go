package aubprocess

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubadmin"
	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/internal/aubburn"
	"github.com/auburndale/auburndale/internal/aubclaim"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubentry"
	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubqueue"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// releaseTimeout bounds the return of leased tokens and the transfer of the leadership
// during a shutdown.
const releaseTimeout = 5 * time.Second

// defaultOutputTokens is the maximum number of output tokens of a request when neither
// the caller nor the model sets one.
const defaultOutputTokens = 1024

// entry is one entry instance: it serves callers and operators and runs a control
// replica.
type entry struct {
	*process

	incarnation  uint64
	control      *controlReplica
	members      *aubmembership.Membership
	limiter      *aublimit.Limiter
	queue        *aubqueue.Queue
	demand       *aubentry.DemandTracker
	burnTracker  *aubburn.Tracker
	handler      *aubentry.Handler
	callerServer *httpServer
	// draining is set when the entry begins to refuse new requests.
	draining atomic.Bool
}

// RunEntry runs an entry instance. The end of ctx starts a graceful shutdown.
func RunEntry(ctx context.Context, common aubcommon.Common, cfg aubsettings.Settings) error {
	p, err := newProcess(ctx, common, cfg)
	if err != nil {
		return err
	}
	e := &entry{process: p}
	if err := e.run(ctx); err != nil {
		p.common.Log.Error("Entry failed.", zap.Error(err))
		_ = p.close()
		return err
	}
	return p.close()
}

func (e *entry) run(ctx context.Context) error {
	if e.cfg.Control.DataDir == "" {
		return &SettingError{Path: "control.data_dir", Reason: "an entry carries a control replica and needs a data folder"}
	}
	incarnation, err := nextIncarnation(e.cfg.Control.DataDir, e.common.Timer.Now())
	if err != nil {
		return err
	}
	e.incarnation = incarnation
	// The internal listener is opened first: a successful bind to its address proves
	// that the previous process of this instance has terminated.
	if err := e.startControl(); err != nil {
		return err
	}
	if err := e.servePlatform(); err != nil {
		return err
	}
	if err := e.startComponents(); err != nil {
		return err
	}
	if err := e.serveAdmin(); err != nil {
		return err
	}
	if err := e.serveCallers(); err != nil {
		return err
	}
	return e.serveUntilShutdown(ctx)
}

// startControl starts the control replica and the internal listener.
func (e *entry) startControl() error {
	control, err := newControlReplica(e.process)
	if err != nil {
		return err
	}
	e.control = control
	control.register(e.grpcServer)
	if err := e.serveInternal(); err != nil {
		return err
	}
	return nil
}

func (e *entry) startComponents() error {
	e.demand = aubentry.NewDemandTracker(e.ctx, e.common, aubentry.DemandTrackerOpts{
		HalfLife:            e.cfg.Placement.DemandHalfLife.Value(),
		FirstTokenObjective: e.cfg.Objectives.FirstToken.Value(),
		// Announce a waiting caller to the leader immediately instead of with the next
		// periodic announcement.
		OnWait: func() { e.members.Announce() },
	})
	e.burnTracker = aubburn.NewTracker(e.common, e.cfg.Name, burnTargets(e.cfg.Objectives))
	members, err := e.newMembership(e.announcement)
	if err != nil {
		return err
	}
	e.members = members
	e.limiter = aublimit.NewLimiter(e.ctx, e.common, aublimit.LimiterOpts{
		Instance:              e.cfg.Name,
		Zone:                  e.cfg.Zone,
		Incarnation:           e.incarnation,
		PredecessorTerminated: true,
		Proposer:              e.control.replica,
		Source:                e.control.source,
	})
	e.queue = aubqueue.New(e.common, aubqueue.Opts{
		Policy:          aubqueue.Policy(e.cfg.Queue.Policy),
		DefaultCapacity: e.cfg.Queue.ConcurrencyPerBackend,
		MaxWaiting:      e.cfg.Queue.MaxWaiting,
	})
	e.startCapacityUpdates()
	if err := e.startPlacer(); err != nil {
		return err
	}
	return e.newHandler()
}

func (e *entry) newHandler() error {
	router, err := aubroute.NewRouter(e.common, aubroute.RouterOpts{
		Policy:      string(e.cfg.Routing.Policy),
		Zone:        e.cfg.Zone,
		Source:      e.members,
		Config:      e.control.source,
		RetryShare:  float64(e.cfg.Routing.RetryShare),
		BlockTokens: aubentry.PrefixBlockTokens,
	})
	if err != nil {
		return err
	}
	e.handler = aubentry.NewHandler(e.common, aubentry.Dependencies{
		Config:   e.control.source,
		Auth:     aubauth.NewAuthenticator(e.common, e.control.source),
		Claims:   e.newClaims(),
		Limiter:  e.limitPolicy(),
		Queue:    e.queue,
		Router:   router,
		Executor: aubexecution.NewExecutor(e.ctx, e.common, aubexecution.ExecutorOpts{Dial: e.transport.Dial}),
		Poison:   aubpoison.NewGuard(e.ctx, e.common, e.control.poison, aubpoison.NewApplyFunc(e.control.replica)),
		Demand:   e.demand,
		Burn:     e.burnTracker,
	}, e.bounds(), aubentry.Objectives{
		FirstToken: e.cfg.Objectives.FirstToken.Value(),
		InterToken: e.cfg.Objectives.InterToken.Value(),
	})
	return nil
}

func (e *entry) newClaims() *aubclaim.Claims {
	return aubclaim.NewClaims(e.ctx, e.common, aubclaim.ClaimsOpts{
		Instance:    e.cfg.Name,
		Incarnation: e.incarnation,
		Proposer:    e.control.replica,
	})
}

// limitPolicy returns the policy by which instances share the allowances.
func (e *entry) limitPolicy() aublimit.Policy[aublimit.Reservation] {
	if e.cfg.Limits.Policy != "equal_shares" {
		return e.limiter
	}
	return aublimit.NewFixedShares(e.common, aublimit.FixedSharesOpts{
		Source:    e.control.source,
		Instances: len(e.cfg.Control.Voters),
	})
}

func burnTargets(o aubsettings.Objectives) aubburn.Targets {
	return aubburn.Targets{
		aubapi.ObjectiveFirstToken:   float64(o.Share),
		aubapi.ObjectiveInterToken:   float64(o.Share),
		aubapi.ObjectiveAvailability: float64(o.Availability),
		aubapi.ObjectiveWithinRate:   float64(o.WithinRate),
	}
}

func (e *entry) bounds() aubentry.Bounds {
	return aubentry.Bounds{
		MaxBodyBytes:        e.cfg.Caller.MaxBody.Bytes(),
		RequestTimeout:      e.cfg.Caller.RequestTimeout.Value(),
		QueueTimeout:        e.cfg.Caller.QueueTimeout.Value(),
		WriteTimeout:        e.cfg.Caller.WriteTimeout.Value(),
		MaxAttempts:         e.cfg.Routing.MaxAttempts,
		DefaultOutputTokens: defaultOutputTokens,
	}
}

func (e *entry) announcement() *aubwire.Announcement {
	a := &aubwire.Announcement{
		Name:          e.cfg.Name,
		Role:          aubwire.Role_ROLE_ENTRY,
		Zone:          e.cfg.Zone,
		Address:       e.cfg.Internal.Address(),
		Incarnation:   e.incarnation,
		Leaving:       e.draining.Load(),
		ConfigVersion: e.control.source.Config().Version(),
	}
	a.Demand = e.demand.Report()
	return a
}

func (e *entry) serveAdmin() error {
	credential, err := readSecret(e.cfg.Admin.CredentialFile)
	if err != nil {
		return err
	}
	_, err = e.serveHTTP(httpOpts{
		setting: "admin.listen",
		listen:  e.cfg.Admin.Listen,
		tls:     e.cfg.Admin.TLS,
		handler: aubadmin.NewHandler(e.common, aubadmin.HandlerOpts{
			Credential:  string(credential),
			ConfigStore: e.control.config,
			Proposer:    e.control.replica,
			Reader:      e.control.replica,
			Members:     e.members,
			Burn:        e.burnTracker.Counts,
			Snapshot:    e.control.replica.ExportSnapshot,
		}),
	})
	return err
}

func (e *entry) serveCallers() error {
	callers, err := e.serveHTTP(httpOpts{
		setting: "caller.listen",
		listen:  e.cfg.Caller.Listen,
		tls:     e.cfg.Caller.TLS,
		handler: e.handler,

		maxConnections: e.budget.Machine().CallerConnections(),
	})
	e.callerServer = callers
	return err
}

// serveUntilShutdown reports ready once there is a configuration, and drains the entry
// when ctx ends. It returns early when the replica or another component fails.
func (e *entry) serveUntilShutdown(ctx context.Context) error {
	e.group.Go(func() error {
		e.control.awaitConfig(e.ctx)
		e.health.ready.Store(true)
		e.common.Log.Info("Entry is ready.", zap.Uint64("incarnation", e.incarnation))
		return nil
	})
	select {
	case <-ctx.Done():
		return e.drain()
	case <-e.control.replica.Done():
		return e.control.replica.Err()
	case <-e.ctx.Done():
		return nil
	}
}

// drain shuts the entry down gracefully: it reports not ready, waits until load
// balancers have noticed, refuses new requests, waits for the running ones and gives
// back the leases.
func (e *entry) drain() error {
	e.health.ready.Store(false)
	e.handler.Leave()
	e.common.Log.Info("Entry leaves.")
	_ = aubtimer.Wait(e.ctx, e.common.Timer, e.cfg.Shutdown.Delay.Value())
	e.draining.Store(true)
	e.handler.Drain()
	e.members.Leave()
	ctx, cancel := context.WithTimeout(e.ctx, e.cfg.Shutdown.Timeout.Value())
	defer cancel()
	if e.callerServer != nil {
		e.callerServer.shutdown(ctx)
	}
	if left := e.handler.InFlight(); left > 0 {
		e.common.Log.Warn("Some requests did not finish.", zap.Int64("running", left))
	}
	e.releaseLeases(ctx)
	return nil
}

// releaseLeases returns the granted tokens and transfers the leadership. Without a
// quorum neither is possible, and both leases expire.
func (e *entry) releaseLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := e.limiter.Drain(ctx); err != nil {
		e.common.Log.Warn("Could not return the granted tokens.", zap.Error(err))
	}
	e.control.transferLeadership(ctx)
}
