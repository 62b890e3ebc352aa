package aubprocess

import (
	"cmp"
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubbudget"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubdrain"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubrelay"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubspeed"
	"github.com/auburndale/auburndale/internal/aubthrottle"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxMissedRegistrations is the number of missed registrations after which a backend
	// server counts as lost; registrationSlack is added for delayed ones.
	maxMissedRegistrations = 3
	registrationSlack      = time.Second
	// relayRetryShare is the fraction of the platform's retry limits that all relays
	// together use. relayRetryFloor is the number of retries per second that is allowed
	// without traffic.
	relayRetryShare = 0.75
	relayRetryFloor = 0.1
	// relayInitialRetryBurst is the number of retries allowed on top of the share until
	// the number of relays is known.
	relayInitialRetryBurst = 2
	// relayPrefillRate is the prefill rate of engines, in prompt tokens per second, that
	// routing assumes; the router measures how much slower each backend server is.
	relayPrefillRate = 40000
	// relayEjectSlowness is the ratio of measured to expected first-token time at which a
	// backend server is ejected. It is high because queueing also increases the measured
	// time, and only a stuck backend server must be ejected.
	relayEjectSlowness = 40
	// activationShare is the fraction of the activation timeout after which a relay with an
	// outdated configuration refuses requests; the rest covers the announcement.
	activationShare = 0.8
	// readyPollInterval is the time between two checks whether a relay can serve.
	readyPollInterval = 50 * time.Millisecond
	// exitMargin is the time reserved for the exit of the process before the platform
	// kills it.
	exitMargin = 150 * time.Millisecond
	// responseMargin is the time before the exit in which callers receive the responses to
	// requests that the shutdown ends.
	responseMargin = 300 * time.Millisecond
)

// relay is one stateless instance that relays callers' requests to backend servers.
type relay struct {
	*process

	adapter        PlatformAdapter
	watcher        *aubsettings.Watcher
	site           *aubsite.ActiveSite
	registry       *aubregistry.Registry
	registryClient *aubregistry.Client
	limiter        *aublimit.SharedCounters
	router         *aubroute.Router
	throttle       *aubthrottle.Throttle
	drains         *aubdrain.View
	demand         *aubrelay.DemandCounter
	speedMeter     *aubspeed.Meter
	speeds         *aubspeed.Table
	deferrable     *aubsite.DeferrableCheck
	loads          *aubmembership.LoadExchange
	loadsStarted   atomic.Bool
	// knownRelays is the number of relays that a control process last stated.
	knownRelays  atomic.Int32
	zoning       *loadZoning
	handler      *aubrelay.Handler
	callerServer *httpServer
}

// RunRelay runs a relay instance. The end of ctx starts a graceful shutdown.
func RunRelay(ctx context.Context, common aubcommon.Common, watcher *aubsettings.Watcher, adapter PlatformAdapter) error {
	p, err := newProcess(ctx, common, watcher.Settings())
	if err != nil {
		return err
	}
	r := &relay{process: p, adapter: adapter, watcher: watcher}
	if err := r.run(ctx); err != nil {
		p.common.Log.Error("Relay failed.", zap.Error(err))
		_ = p.close()
		return err
	}
	p.common.Log.Info("Relay stopped.")
	return p.close()
}

func (r *relay) run(ctx context.Context) error {
	r.common.Log.Info("Relay starts.", zap.String("zone", r.cfg.Zone))
	if err := r.newComponents(); err != nil {
		return err
	}
	if err := r.servePlatform(); err != nil {
		r.common.Log.Warn("Metrics are not served.", zap.Error(err))
	}
	if err := r.serveReady(r.adapter); err != nil {
		return err
	}
	callers, err := r.serveHTTP(httpOpts{
		setting: "caller.listen", listen: r.cfg.Caller.Listen, tls: r.cfg.Caller.TLS, handler: r.handler,
		maxConnections: r.budget.Machine().CallerConnections(), limits: r.callerLimits,
	})
	if err != nil {
		return err
	}
	r.callerServer = callers
	r.group.Go(func() error {
		r.awaitReady()
		return nil
	})
	select {
	case <-ctx.Done():
		r.drain()
	case <-r.ctx.Done():
	}
	return nil
}

func (r *relay) newComponents() error {
	r.site = aubsite.NewActiveSite(r.common, r.adapter.DecodeSite)
	r.registry = aubregistry.NewRegistry(r.common, registrationTimeout(r.cfg))
	r.registry.KnowServices(r.site.NamesService)
	r.demand = aubrelay.NewDemandCounter(r.common)
	r.speedMeter, r.speeds = aubspeed.NewMeter(r.common), aubspeed.NewTable()
	r.deferrable = aubsite.NewDeferrableCheck(r.cfg.Admission.ObjectiveSpread)
	r.limiter = aublimit.NewSharedCounters(r.common, aublimit.CountersOpts{
		Limits:  r.workspaceLimits,
		Overrun: float64(r.cfg.Limits.Overrun),
		Slack:   int64(r.cfg.Limits.Slack),
	})
	r.throttle = aubthrottle.New(r.common, aubthrottle.Opts{
		HeardPeers: func() int { return r.loads.CountHeardPeers(aubthrottle.PeerTimeout) },
		OnChange:   func() { r.loads.NotifyLoadChanged() },
		ColdRate:   r.coldRate,
		Instance:   r.cfg.Name,
		PeerNames:  func() []string { return r.loads.PeerNames(aubthrottle.InstanceRetention) },
	})
	r.registry.ObserveRegistrations(r.throttle.ObserveRegistration)
	router, err := aubroute.NewRouter(r.common, aubroute.RouterOpts{
		Policy:       aubroute.PolicyExpectedFirstToken,
		Zone:         r.cfg.Zone,
		Source:       r.registry,
		RetryShare:   relayRetryShare * float64(r.cfg.Routing.RetryShare),
		RetryWindow:  r.cfg.Routing.RetryWindow.Value(),
		RetryBurst:   relayInitialRetryBurst,
		RetryFloor:   relayRetryFloor,
		BlockTokens:  aubrelay.PrefixBlockTokens,
		PeerLoad:     func(backend string) aubmembership.Load { return r.loads.PeerLoad(backend) },
		OnLoadChange: func() { r.loads.NotifyLoadChanged() },
		Throttle: func(backend string, incarnation uint64) time.Duration {
			return r.throttle.Wait(aubthrottle.Backend{Name: backend, Incarnation: incarnation})
		},
		Speed: func(backend string, incarnation uint64) float64 {
			return r.speeds.Speed(aubspeed.Engine{ID: backend, StartedMs: int64(incarnation)})
		},
		PrefillRateOf: r.prefillRateOf,
		RegionOf:      func(zone string) string { return r.cfg.Regions[zone] },
		ZoneUse:       r.zoneUse,
		PrefillRate:   relayPrefillRate,
		EjectSlowness: relayEjectSlowness,
	})
	if err != nil {
		return err
	}
	r.router = router
	r.drains = r.newDrainView()
	r.zoning = newLoadZoning(r.cfg, r.site.Site)
	incarnation := uint64(r.common.Timer.Now().UnixNano())
	if r.loads, err = aubmembership.NewLoadExchange(r.ctx, r.common, aubmembership.LoadExchangeOpts{
		Listen:           r.cfg.Membership.Listen.String(),
		Secret:           r.secret,
		Instance:         r.cfg.Name,
		Incarnation:      incarnation,
		Loads:            r.router.InFlight,
		TokensUsed:       r.limiter.SpentTokens,
		OnPeerTokensUsed: r.limiter.UpdatePeers,
		Limits:           r.throttle.Report,
		Zone:             r.cfg.Zone,
		IsZoned:          r.zoning.isZoned,
		OnPeerLimits: func(peer string, incarnation uint64, limits []*aubwire.BackendLimit) {
			// Datagrams arrive before the exchange is assigned, which the throttle asks.
			if r.loadsStarted.Load() {
				r.throttle.Merge(peer, incarnation, limits)
			}
		},
	}); err != nil {
		return err
	}
	r.loadsStarted.Store(true)
	poison := aubpoison.NewView(r.common.Timer)
	streams := aubresume.NewRecorder(r.common.Timer)
	r.registryClient = aubregistry.NewClient(r.ctx, r.common, aubregistry.ClientOpts{
		Process:      r.cfg.Name,
		SinceBoot:    aubtimer.SinceBoot,
		Relay:        true,
		LoadAddress:  r.cfg.Membership.Listen.String(),
		Zone:         r.cfg.Zone,
		Seeds:        func() []string { return controlSeeds(r.watcher.Settings()) },
		Dial:         r.transport.Dial,
		Registry:     r.registry,
		Report:       r.loadReporter(incarnation),
		OnAnnounce:   r.site.Announce,
		OnRevision:   r.site.ActivateIfNewer,
		OnPeers:      r.updatePeers,
		OnPoison:     poison.Merge,
		OnLimits:     r.throttle.MergeStatements,
		OnZoneDrains: r.drains.Merge,
		Streams:      streams,
		IsCompact:    r.zoning.isZoned,
	})
	guard := aubpoison.NewGuard(r.ctx, r.common, poison, r.registryClient.ApplyPoison)
	r.handler = aubrelay.NewHandler(r.ctx, r.common, aubrelay.HandlerOpts{
		Protocol:          r.adapter.Protocol,
		Site:              r.site,
		ActivationTimeout: time.Duration(activationShare * float64(r.cfg.Registry.ActivationTimeout.Value())),
		Limiter:           r.limiter,
		Router:            r.router,
		Registry:          r.registry,
		Demand:            r.demand,
		CopyRequester:     aubrelay.NewCopyRequester(r.common, r.registry, r.registryClient.Place),
		Guard:             guard,
		Throttle:          r.throttle,
		Speeds:            r.speedMeter,
		ZoneShare:         float64(r.cfg.Admission.ZoneShare),
		Deferrable:        r.deferrable,
		RegionOf:          func(zone string) string { return r.cfg.Regions[zone] },
		LoadAge:           r.loads.LoadAge,
		KnownRelays:       func() int { return int(r.knownRelays.Load()) },
		IsCurrent:         r.registryClient.IsCurrent,
		Streams:           aubresume.NewResolver(r.common, streams, r.registryClient.FindStream, r.registry.SoftwareVersions),
		HasZoneDrains:     r.drains.HasStatement,
		Crashes: aubrelay.NewCrashDetector(r.ctx, r.common, aubrelay.CrashDetectorOpts{
			Registry: r.registry, Dial: DialBackend, OnCrash: guard.ReportCrash,
		}),
		Dial:          DialBackend,
		ResponseBytes: r.budget.Machine().ResponseBytes(),
		Writes: aubrelay.WriteOpts{
			Timeout: r.cfg.Caller.WriteTimeout.Value(), MaxUnread: r.cfg.Caller.MaxUnread.Bytes(),
		},
	})
	return nil
}

// callerLimits returns the limits of the active configuration.
func (r *relay) callerLimits() aubbudget.Limits {
	limits := r.defaultLimits()
	if site := r.site.Site(); site != nil {
		c := site.CallerLimits()
		limits.MaxHeadBytes = cmp.Or(c.MaxHeadBytes, limits.MaxHeadBytes)
		limits.HeadTimeout = cmp.Or(c.HeadTimeout, limits.HeadTimeout)
		limits.IdleTimeout = cmp.Or(c.IdleTimeout, limits.IdleTimeout)
	}
	return limits
}

// workspaceLimits returns rate and burst of a workspace in the active configuration.
func (r *relay) workspaceLimits(workspace string) (rate, burst int64, ok bool) {
	site := r.site.Site()
	if site == nil {
		return 0, 0, false
	}
	w, ok := site.Workspace(workspace)
	return w.Rate, w.Burst, ok
}

// coldRate returns how long backend servers of a service are cold after a start and the
// requests per second that they tolerate then, as the active configuration says.
func (r *relay) coldRate(service string) (coldTime time.Duration, perSecond float64) {
	site := r.site.Site()
	if site == nil {
		return 0, 0
	}
	s, _ := site.Service(service)
	return s.ColdTime, s.ColdRate
}

// prefillRateOf returns the measured prefill rate of a model on a backend server, in tokens a
// second; false if it is not measured or the configuration has no deferrable routes.
func (r *relay) prefillRateOf(backend string, incarnation uint64, model string) (float64, bool) {
	if !r.deferrable.Has(r.site.Site()) {
		return 0, false
	}
	return r.speeds.PrefillRate(aubspeed.Engine{ID: backend, StartedMs: int64(incarnation)}, model)
}

// loadReporter returns a function that builds the load reports of this instance.
func (r *relay) loadReporter(incarnation uint64) func() *aubwire.LoadReport {
	return func() *aubwire.LoadReport {
		report := &aubwire.LoadReport{
			Instance: r.cfg.Name, Incarnation: incarnation, Models: r.demand.Report(), Limits: r.throttle.Snapshot(),
			Suspects: r.registry.Suspects(), Leaving: r.registry.Leaving(), EngineStreams: r.speedMeter.Report(),
		}
		for id, load := range r.router.InFlight() {
			report.Loads = append(report.Loads, &aubwire.BackendLoad{
				Id: id, InFlight: int32(load.Requests), PrefillTokens: load.PrefillTokens,
			})
		}
		return report
	}
}

// updatePeers passes the addresses and the number of the other relays to the load
// exchange, the router, which gets its part of the retry slack, and the limiter.
func (r *relay) updatePeers(peers *aubwire.Peers) {
	r.zoning.setRelays(int(max(peers.GetKnownInstances(), peers.GetInstances()+1)))
	r.loads.SetPeers(peers.GetLoadAddresses())
	r.knownRelays.Store(peers.GetInstances() + 1)
	r.router.SetRetryBurst(relayRetryShare * float64(r.cfg.Routing.RetrySlack) / float64(peers.GetInstances()+1))
	r.speeds.Replace(peers.GetSpeeds())
	if peers.GetPrefillRates() != nil {
		r.speeds.ReplacePrefillRates(peers.GetPrefillRates())
	}
	r.limiter.SetInstances(int(peers.GetInstances()) + 1)
	r.throttle.SetInstances(int(max(peers.GetKnownInstances(), peers.GetInstances()+1)))
}

// awaitReady reports ready once the relay has a configuration and a backend server, and knows
// the drained zones.
func (r *relay) awaitReady() {
	ticks := r.common.Timer.Subscribe(r.ctx, readyPollInterval)
	for r.site.Site() == nil || len(r.registry.Records()) == 0 || !r.drains.HasStatement() {
		select {
		case <-ticks:
		case <-r.ctx.Done():
			return
		}
	}
	r.health.ready.Store(true)
	r.common.Log.Info("Relay is ready.",
		zap.Uint64("revision", r.site.Site().Number()), zap.Int("backend_servers", len(r.registry.Records())))
}

// drain shuts the relay down gracefully: it reports not ready, waits until load
// balancers have noticed and then waits for the running requests. Those that still run shortly
// before the platform kills the process are ended with a response.
func (r *relay) drain() {
	r.health.ready.Store(false)
	delay, timeout := r.cfg.Shutdown.Delay.Value(), r.cfg.Shutdown.Timeout.Value()
	if grace := r.cfg.Shutdown.GracePeriod.Value(); grace > 0 {
		timeout = min(timeout, max(grace-delay-exitMargin, 0))
	}
	runTime := max(timeout-responseMargin, timeout/2)
	now := r.common.Timer.Now()
	r.handler.Drain(aubrelay.DrainOpts{NoticedAt: now.Add(delay), EndsAt: now.Add(delay + runTime)})
	r.common.Log.Info("Relay leaves.", zap.Int64("running", r.handler.InFlight()),
		zap.Int64("delay_ms", delay.Milliseconds()), zap.Int64("run_ms", runTime.Milliseconds()))
	_ = aubtimer.Wait(r.ctx, r.common.Timer, delay)
	ctx, cancel := aubtimer.WithTimeout(r.ctx, r.common.Timer, timeout)
	defer cancel()
	running, stop := aubtimer.WithTimeout(ctx, r.common.Timer, runTime)
	defer stop()
	defer context.AfterFunc(running, r.handler.End)()
	r.callerServer.shutdown(ctx)
	if left := r.handler.InFlight(); left > 0 {
		r.common.Log.Warn("Some requests did not finish.", zap.Int64("running", left))
	}
}

// serveReady serves the readiness checks of the users' platform.
func (p *process) serveReady(adapter PlatformAdapter) error {
	if p.cfg.Platform.ReadyListen == "" {
		return nil
	}
	_, err := p.serveHTTP(httpOpts{
		setting: "platform.ready", listen: p.cfg.Platform.ReadyListen, handler: adapter.ReadyHandler(p.health.ready.Load),
	})
	return err
}

// registrationTimeout returns the time without a registration after which a backend
// server counts as lost, 0 if no heartbeat is set.
func registrationTimeout(cfg aubsettings.Settings) time.Duration {
	if cfg.Registry.HeartbeatInterval == 0 {
		return 0
	}
	return maxMissedRegistrations*cfg.Registry.HeartbeatInterval.Value() + registrationSlack
}

// controlSeeds returns the internal addresses of the control processes on the hosts of
// the seeds.
func controlSeeds(cfg aubsettings.Settings) []string {
	addresses := make([]string, 0, len(cfg.Control.Seeds))
	for _, seed := range cfg.Control.Seeds {
		// Addresses in checked settings always split into host and port.
		host, _, _ := net.SplitHostPort(seed.String())
		addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(cfg.Control.Port)))
	}
	return addresses
}
