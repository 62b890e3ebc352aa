package aubregistry

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubspeed"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// reportInterval is the time between two requests of a client, and between two
	// responses to it while nothing changes.
	reportInterval = 250 * time.Millisecond
	// streamTimeout is the time without a received message after which either end closes
	// a stream.
	streamTimeout = 1500 * time.Millisecond
	// barrierTimeout limits the wait for the newest committed state. It is shorter than the time for
	// which callers wait for the origin of a stream.
	barrierTimeout = 120 * time.Millisecond
	// changePause, multiplied by the number of watchers, is the minimum time between two responses
	// for changes other than departures, at most reportInterval. It limits a server to 1,000 of them a second in total.
	changePause = time.Millisecond
)

// Placer finds copies of models and adapters and has missing ones loaded.
type Placer interface {
	// Place returns a backend server that holds the model or adapter, or the time after
	// which to retry.
	Place(ctx context.Context, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error)
}

// RevisionSource provides the newest committed configuration.
type RevisionSource interface {
	// Revision returns the current revision and a channel that is closed when a newer one
	// is committed.
	Revision() (*aubwire.SiteRevision, <-chan struct{})
}

// PoisonTable is the replicated table of requests that may crash backend servers.
type PoisonTable interface {
	// ChangedSince returns statuses that changed after the position in the log, the position
	// up to which they are complete, and a channel that is closed at the next change.
	ChangedSince(index uint64) ([]*aubwire.PoisonStatus, uint64, <-chan struct{})
}

// ZoneDrainTable is the replicated table of drained availability zones.
type ZoneDrainTable interface {
	// Statement returns what relays are to know now, and a channel that is closed at the
	// next change.
	Statement() (*aubwire.ZoneDrains, <-chan struct{})
}

// ServerOpts configures a server.
type ServerOpts struct {
	Registry *Registry
	Loads    *LoadAggregator
	// Speeds combines the relays' measurements of engines; nil announces none.
	Speeds    *aubspeed.Aggregator
	Revisions RevisionSource
	Placer    Placer
	Poison    PoisonTable
	// ApplyPoison commits a command to the table.
	ApplyPoison aubpoison.ApplyFunc
	// ZoneDrains is the table of drained zones; nil states none to relays.
	ZoneDrains ZoneDrainTable
	// Streams holds the origins of streams that relays report.
	Streams *aubresume.Table
	// Software is the replicated table of software versions, EnsureSoftware commits a version
	// to it.
	Software       *aubresume.SoftwareTable
	EnsureSoftware func(ctx context.Context, service, software string) error
	// Incarnations is the replicated table of incarnations, EnsureIncarnation commits one to it. Nil
	// if there is none.
	Incarnations      Incarnations
	EnsureIncarnation func(ctx context.Context, incarnation *aubwire.Incarnation) error
	// Zone is the availability zone of this control process.
	Zone string
	// Confirmed reports whether a quorum has confirmed the local state since the start of
	// the process. No revision is announced or sent and no drained zones are stated before.
	Confirmed func() bool
	// Barrier returns once this process has applied all that was committed before the call, or an
	// error if that is not known. Nil means that it always has.
	Barrier func(ctx context.Context) error
	// Addresses returns the addresses of all known control processes.
	Addresses func() []string
}

// Server serves the registry of one control process to watching processes.
//
// Lock order: mu is taken alone.
type Server struct {
	aubwire.UnimplementedRegistryServer

	common aubcommon.Common
	opts   ServerOpts

	mu       sync.Mutex
	watchers map[*watcher]bool
	// addresses holds the load addresses of all watchers in lexical order, nil after one has
	// connected or disconnected.
	addresses []string
	// ackChanged is closed when a watcher acknowledges a version or disconnects.
	ackChanged chan struct{}
}

var _ aubwire.RegistryServer = (*Server)(nil)

// NewServer returns a server without watchers.
func NewServer(common aubcommon.Common, opts ServerOpts) *Server {
	return &Server{
		common:     common.WithPart("registry"),
		opts:       opts,
		watchers:   make(map[*watcher]bool),
		ackChanged: make(chan struct{}),
	}
}

// Place implements aubwire.RegistryServer.
func (s *Server) Place(ctx context.Context, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
	return s.opts.Placer.Place(ctx, req)
}

// ApplyPoison implements aubwire.RegistryServer.
func (s *Server) ApplyPoison(ctx context.Context, command *aubwire.PoisonCommand) (*aubwire.PoisonResult, error) {
	return s.opts.ApplyPoison(ctx, command)
}

// FindStream implements aubwire.RegistryServer. Software versions are stated as confirmed only if they
// include all that were committed before the call: this process may have been suspended or cut off, or
// not yet have applied what a majority holds.
func (s *Server) FindStream(ctx context.Context, req *aubwire.FindStreamRequest) (*aubwire.FindStreamResponse, error) {
	if origin := s.opts.Streams.Find(req.GetId()); origin != nil {
		return &aubwire.FindStreamResponse{Origin: origin, Confirmed: s.opts.Confirmed(), Software: s.opts.Software.Seen(req.GetServices())}, nil
	}
	confirmed := s.opts.Confirmed() && s.awaitBarrier(ctx)
	return &aubwire.FindStreamResponse{
		Origin: s.opts.Streams.Find(req.GetId()), Confirmed: confirmed, Software: s.opts.Software.Seen(req.GetServices()),
	}, nil
}

// awaitBarrier reports whether this process has applied all that was committed before the call.
func (s *Server) awaitBarrier(ctx context.Context) bool {
	if s.opts.Barrier == nil {
		return true
	}
	ctx, cancel := aubtimer.WithTimeout(ctx, s.common.Timer, barrierTimeout)
	defer cancel()
	err := s.opts.Barrier(ctx)
	if err != nil {
		s.common.Log.Info("Software versions are not confirmed.", zap.Error(err))
	}
	return err == nil
}

// Watch implements aubwire.RegistryServer.
func (s *Server) Watch(stream grpc.BidiStreamingServer[aubwire.RegistryRequest, aubwire.RegistryResponse]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	w := &watcher{server: s, stream: stream, process: first.GetProcess(), isRelay: first.GetRelay(), loadAddress: first.GetLoadAddress(), lastReceivedAt: s.common.Timer.Now()}
	s.add(w)
	defer s.remove(w)
	w.handleRequest(first)
	received := make(chan error, 1)
	go func() { received <- w.receive() }()
	sent := make(chan error, 1)
	go func() { sent <- w.send(ctx) }()
	select {
	case err = <-received:
	case err = <-sent:
	}
	return err
}

func (s *Server) add(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[w] = true
	s.addresses = nil
	s.common.Log.Info("Watcher connected.", zap.String("process", w.process), zap.Int("watchers", len(s.watchers)))
}

func (s *Server) remove(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
	s.addresses = nil
	s.notify()
	s.common.Log.Info("Watcher disconnected.", zap.String("process", w.process), zap.Int("watchers", len(s.watchers)))
}

// notify wakes all calls that wait for acknowledgements; the caller holds mu.
func (s *Server) notify() {
	close(s.ackChanged)
	s.ackChanged = make(chan struct{})
}

// AwaitRelayAcks waits until every connected relay has acknowledged the registry's version.
// It returns false if ctx ends first.
func (s *Server) AwaitRelayAcks(ctx context.Context, version uint64) bool {
	for {
		missing, ackChanged := s.countMissing(version)
		if missing == 0 {
			return true
		}
		select {
		case <-ackChanged:
		case <-ctx.Done():
			s.common.Log.Warn("Relays did not confirm a registration.", zap.Uint64("version", version), zap.Int("missing", missing))
			return false
		}
	}
}

// loadAddresses returns the addresses at which relays other than self receive load
// datagrams, in lexical order.
func (s *Server) loadAddresses(self string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses == nil {
		s.addresses = make([]string, 0, len(s.watchers))
		for w := range s.watchers {
			if w.loadAddress != "" {
				s.addresses = append(s.addresses, w.loadAddress)
			}
		}
		slices.Sort(s.addresses)
		s.addresses = slices.Compact(s.addresses)
	}
	others := make([]string, 0, len(s.addresses))
	for _, address := range s.addresses {
		if address != self {
			others = append(others, address)
		}
	}
	return others
}

// changeInterval returns the minimum time between two responses for changes other than departures.
func (s *Server) changeInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ChangeInterval(len(s.watchers))
}

// ChangeInterval returns the time after which the given number of watchers have all been sent a
// change other than a departure.
func ChangeInterval(watchers int) time.Duration {
	return min(time.Duration(watchers)*changePause, reportInterval)
}

// countMissing returns the number of connected relays that have not acknowledged the
// version, and a channel that is closed by the next acknowledgement or disconnect.
func (s *Server) countMissing(version uint64) (int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	missing := 0
	for w := range s.watchers {
		if w.isRelay && w.ackedVersion < version {
			missing++
		}
	}
	return missing, s.ackChanged
}

// watcher is the stream of one watching process. The server's mutex guards ackedVersion,
// lastReceivedAt, heardMs, isCompact and wantsPeers.
type watcher struct {
	server  *Server
	stream  grpc.BidiStreamingServer[aubwire.RegistryRequest, aubwire.RegistryResponse]
	process string
	isRelay bool
	// loadAddress is the address at which a relay receives load datagrams.
	loadAddress string
	// ackedVersion is the highest version that the process has acknowledged.
	ackedVersion uint64
	// lastReceivedAt is when the last request was received.
	lastReceivedAt time.Time
	wantsPeers     bool
	// sentVersion, announcedRevision and sentPoison are the newest version, revision number
	// and position of the poison table sent on the stream. Only the sending goroutine uses
	// them.
	sentVersion       uint64
	announcedRevision uint64
	sentPoison        uint64
	// sentDrains is the newest revision of the drained zones sent on the stream, plus 1; only the
	// sending goroutine uses it. heardMs is sent_ms of the newest request.
	sentDrains uint64
	heardMs    int64
	// sentRates is the version of the prefill rates sent on the stream since the process last
	// began to want peers; 0 for none. Only the sending goroutine uses it.
	sentRates uint64
	// hasSentLimits is set once the known rate limits were sent, hasSentIncarnations once the committed
	// incarnations were. Only the sending goroutine uses them.
	hasSentLimits       bool
	hasSentIncarnations bool
	// isCompact is set while the process accepts compact answers; the server's mutex guards it.
	isCompact bool
	compactor responseCompactor
}

// receive handles requests until the stream fails.
func (w *watcher) receive() error {
	for {
		req, err := w.stream.Recv()
		if err != nil {
			return err
		}
		w.handleRequest(req)
	}
}

// handleRequest applies the report and the acknowledgement of one request.
func (w *watcher) handleRequest(req *aubwire.RegistryRequest) {
	if req.GetReport() != nil {
		w.server.opts.Loads.AddReport(req.GetReport())
		if w.server.opts.Speeds != nil {
			w.server.opts.Speeds.AddReport(req.GetReport().GetInstance(), req.GetReport().GetIncarnation(), req.GetReport().GetEngineStreams())
		}
		w.server.opts.Registry.MergeSuspects(req.GetReport().GetSuspects())
		w.server.opts.Registry.MergeLeaving(w.process, req.GetReport().GetLeaving())
	}
	w.server.opts.Streams.Add(req.GetStreams())
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	w.lastReceivedAt = w.server.common.Timer.Now()
	w.wantsPeers = req.GetWantsPeers()
	w.isCompact = req.GetCompact()
	w.heardMs = max(w.heardMs, req.GetSentMs())
	if req.GetAcked() > w.ackedVersion {
		w.ackedVersion = req.GetAcked()
		w.server.notify()
	}
}

// send sends departures immediately, other changes once changeInterval has passed since the last
// response, and a response each reportInterval even without any.
func (w *watcher) send(ctx context.Context) error {
	ticks := w.server.common.Timer.Subscribe(ctx, reportInterval)
	isTickDue := true
	for {
		newest, revisionChanged := w.server.newestRevision()
		// Read after the revision: a relay that may serve by it knows them.
		incarnations := w.committedIncarnations()
		changes := w.server.opts.Registry.changesSince(w.sentVersion)
		statuses, poisonIndex, poisonChanged := w.poisonChanges()
		drains, drainsChanged := w.zoneDrains()
		resp := &aubwire.RegistryResponse{Update: changes.version, Records: changes.records, NewestRevision: newest, Poison: statuses, ZoneDrains: drains, Incarnations: incarnations}
		if isTickDue {
			w.addPeriodic(resp)
		}
		if w.isRelay && !w.hasSentLimits {
			resp.Limits = w.server.opts.Loads.Limits()
			w.hasSentLimits = true
		}
		if w.sentVersion == 0 {
			resp.Software = w.server.opts.Registry.SoftwareSeen()
		}
		if isTickDue || len(changes.records) > 0 || len(incarnations) > 0 || newest != w.announcedRevision || len(statuses) > 0 || drains != nil && drains.GetRevision()+1 != w.sentDrains {
			w.compact(resp)
			if err := w.stream.Send(resp); err != nil {
				return err
			}
			w.sentVersion, w.announcedRevision, w.sentPoison = changes.version, newest, poisonIndex
			if drains != nil {
				w.sentDrains = drains.GetRevision() + 1
			}
		}
		if len(statuses) > 0 {
			// More may be left than one message holds.
			isTickDue = false
			continue
		}
		var err error
		if isTickDue, err = w.awaitNext(ctx, changes, revisionChanged, poisonChanged, drainsChanged, ticks); err != nil {
			return err
		}
	}
}

// awaitNext waits for what the next response is sent for, and reports whether that is a tick. Changes
// other than departures count from changeInterval after the call on.
func (w *watcher) awaitNext(
	ctx context.Context, changes changes, revision, poison, drains <-chan struct{}, ticks <-chan time.Time,
) (isTickDue bool, err error) {
	paused := w.server.common.Timer.After(ctx, w.server.changeInterval())
	var changed <-chan struct{}
	for {
		select {
		case <-paused:
			paused, changed = nil, changes.changed
			continue
		case <-changed:
		case <-changes.departed:
		case <-revision:
		case <-poison:
		case <-drains:
		case <-ticks:
			if w.isTimedOut() {
				return false, status.Error(codes.DeadlineExceeded, "watcher fell silent")
			}
			return true, nil
		case <-ctx.Done():
			return false, ctx.Err()
		}
		return false, nil
	}
}

// compact reduces an answer to what changed if the process accepts that.
func (w *watcher) compact(resp *aubwire.RegistryResponse) {
	w.server.mu.Lock()
	isCompact := w.isCompact
	w.server.mu.Unlock()
	if !isCompact {
		w.compactor.reset()
		return
	}
	w.compactor.compact(resp, w.server.common.Timer.Now())
}

// poisonChanges returns the changes of the poison table that a relay has not been sent.
func (w *watcher) poisonChanges() ([]*aubwire.PoisonStatus, uint64, <-chan struct{}) {
	if !w.isRelay || w.server.opts.Poison == nil {
		return nil, 0, nil
	}
	return w.server.opts.Poison.ChangedSince(w.sentPoison)
}

// zoneDrains returns the statement of the drained zones for a relay, nil while the state is not
// confirmed, and a channel that is closed at the next change.
func (w *watcher) zoneDrains() (*aubwire.ZoneDrains, <-chan struct{}) {
	if !w.isRelay || w.server.opts.ZoneDrains == nil || !w.server.opts.Confirmed() {
		return nil, nil
	}
	w.server.mu.Lock()
	heardMs := w.heardMs
	w.server.mu.Unlock()
	// The ages are determined after the request was received.
	drains, changed := w.server.opts.ZoneDrains.Statement()
	drains.HeardMs = heardMs
	return drains, changed
}

// addPeriodic adds the control addresses, the zone and, if requested, the peers to a
// response.
func (w *watcher) addPeriodic(resp *aubwire.RegistryResponse) {
	resp.Zone = w.server.opts.Zone
	resp.ControlAddresses = w.server.opts.Addresses()
	w.server.mu.Lock()
	wantsPeers := w.wantsPeers
	w.server.mu.Unlock()
	if wantsPeers {
		resp.Peers = &aubwire.Peers{
			Instances:     int32(w.server.opts.Loads.PeerCount(w.process)),
			LoadAddresses: w.server.loadAddresses(w.loadAddress),

			KnownInstances: int32(w.server.opts.Loads.KnownRelays()),
		}
		if w.server.opts.Speeds != nil {
			resp.Peers.Speeds = w.server.opts.Speeds.Speeds()
			rates, version := w.server.opts.Speeds.PrefillRates()
			if version != w.sentRates {
				resp.Peers.PrefillRates, w.sentRates = rates, version
			}
		}
		return
	}
	// Another control process sends its own rates meanwhile.
	w.sentRates = 0
}

// isTimedOut reports whether no request was received for streamTimeout.
func (w *watcher) isTimedOut() bool {
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	return w.server.common.Timer.Now().Sub(w.lastReceivedAt) > streamTimeout
}
