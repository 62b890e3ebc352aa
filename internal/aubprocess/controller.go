package aubprocess

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubdrain"
	"github.com/auburndale/auburndale/internal/aubincarnation"
	"github.com/auburndale/auburndale/internal/auborder"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubspeed"
	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// confirmRetryInterval is the time between two attempts to confirm the state after the
// start.
const confirmRetryInterval = 100 * time.Millisecond

// controller is one control process: a replica of the configuration, the registry of
// backend servers and the director, which sends orders to the engines while the
// replica leads.
type controller struct {
	*process

	adapter        PlatformAdapter
	watcher        *aubsettings.Watcher
	replica        *aubcontrol.Replica
	siteTable      *aubsite.Table
	poison         *aubpoison.Table
	software       *aubresume.SoftwareTable
	drains         *aubdrain.Table
	incarnations   *aubincarnation.Table
	site           *aubsite.ActiveSite
	registry       *aubregistry.Registry
	loads          *aubregistry.LoadAggregator
	registryServer *aubregistry.Server
	registryClient *aubregistry.Client
	director       *auborder.Director
	// confirmed is set once the leader has confirmed the state since the start.
	confirmed atomic.Bool
}

// RunController runs a control process. The end of ctx starts a graceful shutdown. While the
// disk is full, calls are redirected to other control processes.
func RunController(ctx context.Context, common aubcommon.Common, watcher *aubsettings.Watcher, adapter PlatformAdapter) error {
	runWith := func(run func(c *controller, ctx context.Context) error) func(ctx context.Context) error {
		return func(ctx context.Context) error { return runController(ctx, common, watcher, adapter, run) }
	}
	return diskSpaceLoop{
		common:         common.WithPart("disk"),
		run:            runWith((*controller).run),
		runWithoutDisk: runWith((*controller).runRedirector),
		probe:          func() error { return aubstore.ProbeSpace(watcher.Settings().Control.DataDir) },
	}.loop(ctx)
}

// runController runs a control process in one of its ways.
func runController(
	ctx context.Context, common aubcommon.Common, watcher *aubsettings.Watcher, adapter PlatformAdapter,
	run func(c *controller, ctx context.Context) error,
) error {
	p, err := newProcess(ctx, common, watcher.Settings())
	if err != nil {
		return err
	}
	c := &controller{process: p, adapter: adapter, watcher: watcher}
	if err := run(c, ctx); err != nil {
		p.common.Log.Error("Control process failed.", zap.Error(err))
		_ = p.close()
		return err
	}
	p.common.Log.Info("Control process stopped.")
	return p.close()
}

func (c *controller) run(ctx context.Context) error {
	c.common.Log.Info("Control process starts.", zap.String("zone", c.cfg.Zone), zap.Bool("may_form", c.cfg.Control.Bootstrap))
	if c.cfg.Control.DataDir == "" {
		return c.runRedirector(ctx)
	}
	if err := c.startReplica(); err != nil {
		return err
	}
	c.startRegistry()
	if err := c.serveInternal(); err != nil {
		return err
	}
	if err := c.servePlatform(); err != nil {
		c.common.Log.Warn("Metrics are not served.", zap.Error(err))
	}
	configs := aubsite.NewConfigurations(c.siteTable, c.replica, c.replica)
	_, err := c.serveHTTP(httpOpts{
		setting: "registry.listen", listen: c.cfg.Registry.Listen,
		handler:        c.adapter.ControlHandler(c.common, configs, c.registryServer, c.zoneOrders()),
		maxConnections: c.budget.Machine().CallerConnections(),
	})
	if err != nil {
		return err
	}
	c.group.Go(func() error {
		c.awaitReady()
		return nil
	})
	select {
	case <-ctx.Done():
		c.drain()
		return nil
	case <-c.replica.Done():
		return c.replica.Err()
	case <-c.ctx.Done():
		return nil
	}
}

func (c *controller) startReplica() error {
	c.siteTable = aubsite.NewTable()
	c.poison = aubpoison.NewTable()
	c.software = aubresume.NewSoftwareTable()
	c.drains = aubdrain.NewTable(c.common.Timer)
	c.incarnations = aubincarnation.NewTable()
	c.site = aubsite.NewActiveSite(c.common, c.adapter.DecodeSite)
	selfAddress := c.cfg.Internal.Address()
	seeds := controlSeeds(c.cfg)
	voters := make([]aubcontrol.Peer, 0, len(seeds))
	for _, seed := range seeds {
		voters = append(voters, aubcontrol.Peer{Name: seed, Address: seed})
	}
	replica, err := aubcontrol.NewReplica(c.ctx, c.common, aubcontrol.ReplicaOpts{
		// The address serves as the member's name, because the seeds contain no names.
		Member:          selfAddress,
		Address:         selfAddress,
		Voters:          voters,
		JoinOnly:        !c.cfg.Control.Bootstrap,
		MaxVoters:       2*c.cfg.Control.FaultTolerance + 1,
		ReplaceAfter:    c.cfg.Control.ReplaceAfter.Value(),
		DataDir:         c.cfg.Control.DataDir,
		Tables:          []aubcontrol.Table{c.siteTable, c.poison, c.software, c.drains, c.incarnations},
		Dial:            c.transport.Dial,
		Heartbeat:       c.cfg.Control.HeartbeatInterval.Value(),
		ElectionTimeout: c.cfg.Control.ElectionTimeout.Value(),
		KeepsContacts:   c.keepsContacts(),
	})
	if err != nil {
		return err
	}
	c.replica = replica
	replica.Register(c.grpcServer)
	return nil
}

func (c *controller) startRegistry() {
	c.registry = aubregistry.NewRegistry(c.common, registrationTimeout(c.cfg))
	c.registry.KnowServices(c.site.NamesService)
	c.loads = aubregistry.NewLoadAggregator(c.common)
	c.director = auborder.NewDirector(c.ctx, c.common, auborder.DirectorOpts{
		Holder:     c.cfg.Name,
		Engine:     c.adapter.NewEngine(c.common),
		Leadership: c.replica,
		Registry:   c.registry,
		Loads:      c.loads,
		Site:       c.site.Site,
		Drains:     c.drains.Drains,
		Interval:   c.cfg.Placement.Interval.Value(),
		Handover:   c.cfg.Placement.HandoverDelay.Value(),
		Forward:    c.forwardPlace,
		RegionOf:   func(zone string) string { return c.cfg.Regions[zone] },
	})
	software := aubresume.NewSoftwareCommitter(c.ctx, c.common, aubresume.CommitterOpts{
		Table: c.software, Proposer: c.replica, Leadership: c.replica, Seen: c.registry.SoftwareSeen,
	})
	incarnations := aubincarnation.NewCommitter(c.common, aubincarnation.CommitterOpts{
		Table: c.incarnations, Proposer: c.replica, NamesService: c.registry.NamesService,
	})
	c.registryServer = aubregistry.NewServer(c.common, aubregistry.ServerOpts{
		Registry:    c.registry,
		Loads:       c.loads,
		Speeds:      aubspeed.NewAggregator(c.common),
		Revisions:   c.siteTable,
		Placer:      c.director,
		Poison:      c.poison,
		ApplyPoison: aubpoison.NewApplyFunc(c.replica),
		ZoneDrains:  c.drains,
		Streams:     aubresume.NewTable(c.common.Timer),
		Zone:        c.cfg.Zone,
		Confirmed:   c.confirmed.Load,
		Barrier:     c.awaitCommitted,
		Addresses:   c.controlAddresses,

		Software:       c.software,
		EnsureSoftware: software.Ensure,

		Incarnations:      c.incarnations,
		EnsureIncarnation: incarnations.Ensure,
	})
	aubwire.RegisterRegistryServer(c.grpcServer, c.registryServer)
	c.registryClient = aubregistry.NewClient(c.ctx, c.common, aubregistry.ClientOpts{
		Process:     c.cfg.Name,
		SelfAddress: c.cfg.Internal.Address(),
		HasReplica:  true,
		Seeds:       c.controlAddresses,
		Dial:        c.transport.Dial,
		Registry:    c.registry,
	})
	go c.followTable()
	go c.followIncarnations()
	c.watchDrains()
	c.keepRegistrySnapshots()
}

// awaitCommitted returns once the tables hold all that was committed before the call.
func (c *controller) awaitCommitted(ctx context.Context) error {
	_, err := c.replica.Confirm(ctx)
	return err
}

// followTable activates committed configurations in this process until it ends.
func (c *controller) followTable() {
	for {
		revision, changed := c.siteTable.Revision()
		if revision.GetNumber() > 0 {
			c.site.ActivateIfNewer(revision)
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return
		}
	}
}

// followIncarnations applies committed incarnations to the registry until the process ends.
func (c *controller) followIncarnations() {
	for position := uint64(0); ; {
		incarnations, index, changed := c.incarnations.ChangedSince(position)
		c.registry.NoteIncarnations(incarnations)
		position = index
		select {
		case <-changed:
		case <-c.ctx.Done():
			return
		}
	}
}

// controlAddresses returns the addresses of the control processes in the settings and
// in the membership of the replicated log.
func (c *controller) controlAddresses() []string {
	addresses := controlSeeds(c.watcher.Settings())
	status := c.replica.Status()
	for _, peer := range slices.Concat(status.Voters, status.Learners) {
		if !slices.Contains(addresses, peer.Address) {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// awaitReady reports ready once the leader has confirmed the state since the start.
func (c *controller) awaitReady() {
	for c.ctx.Err() == nil {
		if err := c.replica.WaitReady(c.ctx); err == nil {
			// The first statement of drained zones is certain to relays.
			c.confirmDrains()
			// Relays serve once a confirmed process announces a configuration; no registration that
			// arrived before may bring a departed backend server back.
			incarnations, _, _ := c.incarnations.ChangedSince(0)
			c.registry.NoteIncarnations(incarnations)
			c.confirmed.Store(true)
			c.health.ready.Store(true)
			c.common.Log.Info("Control process is ready.", zap.Any("status", c.replica.Status()))
			return
		}
		_ = aubtimer.Wait(c.ctx, c.common.Timer, confirmRetryInterval)
	}
}

// forwardPlace forwards a request for a copy of a model to the leader.
func (c *controller) forwardPlace(ctx context.Context, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
	leader := c.replica.Status().Leader
	if leader == "" || leader == c.cfg.Internal.Address() {
		return nil, &aubregistry.NoControlError{}
	}
	return c.registryClient.PlaceAt(ctx, leader, req)
}

// drain reports not ready and transfers the leadership if this replica leads.
func (c *controller) drain() {
	c.health.ready.Store(false)
	c.common.Log.Info("Control process leaves.")
	ctx, cancel := context.WithTimeout(c.ctx, releaseTimeout)
	defer cancel()
	if _, leads := c.replica.Leading(); !leads {
		return
	}
	if err := c.replica.TransferLeadership(ctx); err != nil {
		c.common.Log.Warn("Could not transfer the leadership.", zap.Error(err))
	}
}
