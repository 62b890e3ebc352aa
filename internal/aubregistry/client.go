package aubregistry

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmetric"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// quickReconnectDelay is the time from the end of a stream to each of the next
	// quickReconnects connection attempts, reconnectDelay that to later ones. After a restart
	// of everything relays are up some tenths of a second before the control processes, and
	// serve only once they reach one.
	quickReconnectDelay = 80 * time.Millisecond
	quickReconnects     = 8
	reconnectDelay      = 300 * time.Millisecond
	// minAttemptTimeout limits the time to a connection. An instance that is only starting
	// drops the first packet of a connection, which TCP sends again after a second. It doubles
	// after attemptsPerTimeout failures, up to three times, for links that need longer.
	minAttemptTimeout  = 400 * time.Millisecond
	attemptsPerTimeout = 4
	maxTimeoutDoubling = 3
	// streamReportDelay is the time for which origins of streams are collected before they
	// are reported, maxReportedStreams limits those in one request.
	streamReportDelay  = 20 * time.Millisecond
	maxReportedStreams = 256
	// grpcHeaderBytes is the size of the header that gRPC adds to each message.
	grpcHeaderBytes = 5
	// currentTimeout is the age up to which the records of a control process count as current.
	currentTimeout = 4 * reportInterval
	// unlistedTimeout is how long the client tries to reach a control process that
	// neither the settings nor another control process lists.
	unlistedTimeout = 10 * time.Second
)

// Kinds of messages in the metrics.
const (
	kindRequest  = "registry_request"
	kindReport   = "registry_report"
	kindResponse = "registry_response"
)

// ClientOpts configures a client.
type ClientOpts struct {
	// Process is the name of this process. Relay is set if it sends requests to backend
	// servers.
	Process string
	Relay   bool
	// LoadAddress is the address at which a relay receives load datagrams.
	LoadAddress string
	// Zone is the availability zone of this process; a configuration is preferably fetched
	// from a control process in it.
	Zone string
	// SelfAddress is this process's control address; empty if it serves none. HasReplica is
	// set if it runs a replica, so that other processes may find it by this address.
	SelfAddress string
	HasReplica  bool
	// Seeds returns the control addresses of the current settings.
	Seeds    func() []string
	Dial     func(address string) (*grpc.ClientConn, error)
	Registry *Registry
	// Report returns the load of this process; nil sends no reports.
	Report func() *aubwire.LoadReport
	// OnAnnounce receives the number of the newest committed configuration with every
	// response of a control process that knows one; nil ignores it.
	OnAnnounce func(newest uint64)
	// OnRevision receives configurations; nil ignores them.
	OnRevision func(revision *aubwire.SiteRevision)
	// OnPeers receives the number and the load addresses of the other relays; nil
	// requests none.
	OnPeers func(peers *aubwire.Peers)
	// OnPoison receives changes of the poison table; nil ignores them.
	OnPoison func(statuses []*aubwire.PoisonStatus)
	// OnLimits receives the rate limits that a control process knows; nil ignores them.
	OnLimits func(source string, limits []*aubwire.BackendLimit)
	// OnZoneDrains receives the drained zones that a control process states, with a time before
	// their ages were determined; nil ignores them.
	OnZoneDrains func(statement *aubwire.ZoneDrains, askedAt time.Time)
	// IsCompact reports whether only changes are exchanged on the streams; nil means never.
	IsCompact func() bool
	// Streams holds the origins to report; nil reports none.
	Streams *aubresume.Recorder
	// SinceBoot returns the time since the start of the machine, including that in which it was
	// suspended, or false if it is not known; nil if it never is.
	SinceBoot func() (time.Duration, bool)
}

// Client keeps a stream open to every control process and merges the received records
// into its registry.
//
// Lock order: mu is taken alone.
type Client struct {
	common aubcommon.Common
	opts   ClientOpts
	ctx    context.Context
	// startedAt is where sent_ms of the requests counts from.
	startedAt time.Time
	bytes     *aubmetric.ByteCounters
	// suspensions notices that this process was suspended.
	suspensions *aubtimer.SuspensionWatch

	mu    sync.Mutex
	links map[string]*controlLink
	// primary is the address of the control process from which the client requests the
	// peers; empty without a connection.
	primary string
	// announced is closed when a control process announces another revision.
	announced chan struct{}
}

// controlLink is the connection to one control process. The client's mutex guards it.
type controlLink struct {
	address string
	cancel  context.CancelFunc
	conn    *grpc.ClientConn
	// listedAt is when the settings or a control process last listed the address.
	listedAt  time.Time
	connected bool
	// lastReceivedAt is when the last response was received.
	lastReceivedAt time.Time
	// currentAt is a time at or after which the control process made the newest response that was
	// applied; zero if it is not known. A response may have waited here while this process was suspended.
	currentAt time.Time
	// isWithoutDisk is set if the control process has no disk. It only tells addresses and
	// never counts as connected.
	isWithoutDisk bool
	// zone and newestRevision are what the control process last sent. failedFetchAt is
	// when a fetch from it last failed.
	zone           string
	newestRevision uint64
	failedFetchAt  time.Time
}

// NewClient returns a client that keeps its streams open until ctx ends.
func NewClient(ctx context.Context, common aubcommon.Common, opts ClientOpts) *Client {
	c := &Client{
		common:    common.WithPart("registry"),
		opts:      opts,
		ctx:       ctx,
		startedAt: common.Timer.Now(),
		links:     make(map[string]*controlLink),
		announced: make(chan struct{}),

		suspensions: aubtimer.NewSuspensionWatch(common.Timer, opts.SinceBoot),
	}
	c.bytes = aubmetric.NewByteCounters(c.common.Metrics, kindRequest, kindReport, kindResponse)
	ticks := common.Timer.Subscribe(ctx, time.Second)
	c.ensureLinks(opts.Seeds())
	go func() {
		for {
			select {
			case <-ticks:
				c.ensureLinks(opts.Seeds())
				c.dropUnlisted()
			case <-ctx.Done():
				return
			}
		}
	}()
	if opts.OnRevision != nil {
		newRevisionFetcher(ctx, c)
	}
	return c
}

// ConnectedCount returns the number of connected control processes.
func (c *Client) ConnectedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	connected := 0
	for _, link := range c.links {
		if link.connected {
			connected++
		}
	}
	return connected
}

// Place requests a copy of a model or adapter from the connected control processes, one after the
// other until one has an answer: one that is cut off from the leader has none. The error is
// *NoControlError if none is connected, or that of the last one.
func (c *Client) Place(ctx context.Context, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
	err := error(&NoControlError{})
	for _, conn := range c.preferredConns() {
		var resp *aubwire.PlaceResponse
		if resp, err = aubwire.NewRegistryClient(conn).Place(ctx, req); err == nil || ctx.Err() != nil {
			return resp, err
		}
	}
	return nil, err
}

// ApplyPoison commits a command to the poison table through a connected control process.
// The error is *NoControlError if none is connected.
func (c *Client) ApplyPoison(ctx context.Context, command *aubwire.PoisonCommand) (*aubwire.PoisonResult, error) {
	conn := c.preferredConn()
	if conn == nil {
		return nil, &NoControlError{}
	}
	return aubwire.NewRegistryClient(conn).ApplyPoison(ctx, command)
}

// preferredConn returns the connection to the primary or else to any other control
// process; nil if none is connected.
func (c *Client) preferredConn() *grpc.ClientConn {
	if conns := c.preferredConns(); len(conns) > 0 {
		return conns[0]
	}
	return nil
}

// preferredConns returns the connections to all connected control processes, that to the primary first.
func (c *Client) preferredConns() []*grpc.ClientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := make([]*grpc.ClientConn, 0, len(c.links))
	for _, link := range c.links {
		if !link.connected {
			continue
		}
		conns = append(conns, link.conn)
		if link.address == c.primary {
			conns[0], conns[len(conns)-1] = conns[len(conns)-1], conns[0]
		}
	}
	return conns
}

// ensureLinks starts a stream to every address that has none.
func (c *Client) ensureLinks(addresses []string) {
	now := c.common.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		if address == c.opts.SelfAddress || address == "" {
			continue
		}
		link := c.links[address]
		if link == nil {
			ctx, cancel := context.WithCancel(c.ctx)
			link = &controlLink{address: address, cancel: cancel}
			c.links[address] = link
			go c.runLink(ctx, link)
		}
		link.listedAt = now
	}
}

// dropUnlisted closes the links that are not connected and have not been listed for
// unlistedTimeout.
func (c *Client) dropUnlisted() {
	now := c.common.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, link := range c.links {
		if !link.connected && now.Sub(link.listedAt) > unlistedTimeout {
			link.cancel()
			delete(c.links, address)
		}
	}
}

// runLink keeps a stream to one control process open until ctx ends.
func (c *Client) runLink(ctx context.Context, link *controlLink) {
	failures := 0
	for ctx.Err() == nil {
		err := c.watch(ctx, link, attemptTimeout(failures))
		failures++
		if c.setConnected(link, nil) {
			failures = 1
			c.common.Log.Warn("Control process lost.", zap.String("address", link.address), zap.Error(err))
		}
		if aubtimer.Wait(ctx, c.common.Timer, delayAfter(failures)) != nil {
			return
		}
	}
}

// delayAfter returns the time to the next connection attempt after consecutive failures.
func delayAfter(failures int) time.Duration {
	if failures <= quickReconnects {
		return quickReconnectDelay
	}
	return reconnectDelay
}

// setConnected sets the connection of a link, nil for none, and reports whether the link
// connected or disconnected by that. It also updates the primary.
func (c *Client) setConnected(link *controlLink, conn *grpc.ClientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasChanged := link.connected != (conn != nil)
	link.conn, link.connected = conn, conn != nil
	if !link.connected {
		link.newestRevision, link.currentAt = 0, time.Time{}
	}
	if !link.connected && c.primary == link.address {
		c.primary = ""
	}
	if link.connected && c.primary == "" {
		c.primary = link.address
	}
	return hasChanged
}

// attemptTimeout returns the time limit of a connection attempt after consecutive failures.
func attemptTimeout(failures int) time.Duration {
	return minAttemptTimeout << min(failures/attemptsPerTimeout, maxTimeoutDoubling)
}

// watch runs one stream on a new connection, which it establishes within the timeout, until
// the stream fails or receives nothing for streamTimeout.
func (c *Client) watch(ctx context.Context, link *controlLink, timeout time.Duration) error {
	conn, err := c.opts.Dial(link.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := c.awaitConnection(ctx, conn, timeout); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan *aubwire.RegistryResponse)
	requests := make(chan *aubwire.RegistryRequest, 1)
	failed := make(chan error, 2)
	go func() { failed <- c.transferMessages(ctx, link, conn, requests, responses) }()
	return c.handleStream(ctx, link, conn, requests, responses, failed)
}

// awaitConnection connects within the timeout. The error is *NoConnectionError.
func (c *Client) awaitConnection(ctx context.Context, conn *grpc.ClientConn, timeout time.Duration) error {
	ctx, cancel := aubtimer.WithTimeout(ctx, c.common.Timer, timeout)
	defer cancel()
	conn.Connect()
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		if state == connectivity.TransientFailure || !conn.WaitForStateChange(ctx, state) {
			return &NoConnectionError{Address: conn.Target(), State: state.String()}
		}
	}
	return nil
}

// handleStream applies the responses of one stream, acknowledges them and sends a report
// each reportInterval.
func (c *Client) handleStream(
	ctx context.Context, link *controlLink, conn *grpc.ClientConn,
	requests chan *aubwire.RegistryRequest, responses <-chan *aubwire.RegistryResponse, failed <-chan error,
) error {
	ticks := c.common.Timer.Subscribe(ctx, reportInterval)
	lastReceivedAt := c.common.Timer.Now()
	ackedVersion := uint64(0)
	enqueueLatest(requests, c.newRequest(link, ackedVersion, true))
	mirror := make(recordMirror)
	streams := newStreamReport(c.opts.Streams)
	streamsDue := c.common.Timer.After(ctx, streamReportDelay)
	for {
		select {
		case resp := <-responses:
			lastReceivedAt = c.common.Timer.Now()
			if c.recordResponse(link, resp.GetWithoutDisk()) {
				c.ensureLinks(resp.GetControlAddresses())
				continue
			}
			if c.setConnected(link, conn) {
				c.common.Log.Info("Control process reached.", zap.String("address", link.address))
			}
			c.handleResponse(link, resp, mirror)
			if resp.GetUpdate() > ackedVersion {
				ackedVersion = resp.GetUpdate()
				enqueueLatest(requests, c.newRequest(link, ackedVersion, false))
			}
		case <-ticks:
			if c.common.Timer.Now().Sub(lastReceivedAt) > streamTimeout {
				return &SilentError{Address: link.address}
			}
			enqueueLatest(requests, c.newRequest(link, ackedVersion, true))
		case <-streams.changed:
			streams.changed = nil
			streamsDue = c.common.Timer.After(ctx, streamReportDelay)
		case <-streamsDue:
			if origins := streams.next(); len(origins) > 0 {
				req := c.newRequest(link, ackedVersion, false)
				req.Streams = origins
				enqueueLatest(requests, req)
			}
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// recordResponse stores the time of a response and whether its sender is without a disk,
// and returns the latter.
func (c *Client) recordResponse(link *controlLink, isWithoutDisk bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	link.lastReceivedAt, link.isWithoutDisk = c.common.Timer.Now(), isWithoutDisk
	return isWithoutDisk
}

// handleResponse applies the content of one response.
func (c *Client) handleResponse(link *controlLink, resp *aubwire.RegistryResponse, mirror recordMirror) {
	// A relay serves once it knows a backend server; by then it must know what is blocked,
	// limited and drained.
	if c.opts.OnPoison != nil {
		c.opts.OnPoison(resp.GetPoison())
	}
	if len(resp.GetLimits()) > 0 && c.opts.OnLimits != nil {
		c.opts.OnLimits(link.address, resp.GetLimits())
	}
	askedAt := c.startedAt.Add(time.Duration(resp.GetZoneDrains().GetHeardMs()) * time.Millisecond)
	if drains := resp.GetZoneDrains(); drains != nil && c.opts.OnZoneDrains != nil {
		c.opts.OnZoneDrains(drains, askedAt)
	}
	c.opts.Registry.NoteIncarnations(resp.GetIncarnations())
	c.opts.Registry.Merge(mirror.expand(resp))
	c.opts.Registry.MergeSoftware(resp.GetSoftware())
	if resp.GetZoneDrains() != nil {
		c.setCurrent(link, askedAt)
	}
	c.setAnnounced(link, resp)
	if peers := resp.GetPeers(); peers != nil && c.opts.OnPeers != nil {
		c.opts.OnPeers(peers)
	}
	c.ensureLinks(resp.GetControlAddresses())
}

func (c *Client) setCurrent(link *controlLink, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	link.currentAt = at
}

// IsCurrent reports whether the records of this process include what most of the known control processes
// had currentTimeout ago. A process that is cut off or was suspended may know an outdated incarnation of
// a backend server: after a suspension only what was asked for since then counts.
func (c *Client) IsCurrent() bool {
	now, resumedAt := c.common.Timer.Now(), c.suspensions.ResumedAt()
	c.mu.Lock()
	defer c.mu.Unlock()
	current, known := 0, 0
	for _, link := range c.links {
		if link.isWithoutDisk {
			continue
		}
		known++
		if link.connected && now.Sub(link.currentAt) <= currentTimeout && !link.currentAt.Before(resumedAt) {
			current++
		}
	}
	return 2*current > known
}

// setAnnounced stores and passes on the newest revision of a control process, and stores
// its zone.
func (c *Client) setAnnounced(link *controlLink, resp *aubwire.RegistryResponse) {
	if resp.GetNewestRevision() > 0 && c.opts.OnAnnounce != nil {
		c.opts.OnAnnounce(resp.GetNewestRevision())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if resp.GetZone() != "" {
		link.zone = resp.GetZone()
	}
	if resp.GetNewestRevision() == link.newestRevision {
		return
	}
	link.newestRevision = resp.GetNewestRevision()
	close(c.announced)
	c.announced = make(chan struct{})
}

// newRequest returns the next request, with a load report if withReport is set.
func (c *Client) newRequest(link *controlLink, ackedVersion uint64, withReport bool) *aubwire.RegistryRequest {
	req := &aubwire.RegistryRequest{Process: c.opts.Process, Relay: c.opts.Relay, LoadAddress: c.opts.LoadAddress, Acked: ackedVersion}
	c.mu.Lock()
	isWithoutDisk := link.isWithoutDisk
	c.mu.Unlock()
	if isWithoutDisk {
		if c.opts.HasReplica {
			req.ControlAddress = c.opts.SelfAddress
		}
		return req
	}
	if withReport && c.opts.Report != nil {
		req.Report = c.opts.Report()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opts.OnZoneDrains != nil {
		req.SentMs = c.common.Timer.Now().Sub(c.startedAt).Milliseconds()
	}
	req.Compact = c.opts.IsCompact != nil && c.opts.IsCompact()
	req.WantsPeers = c.opts.OnPeers != nil && c.primary == link.address
	return req
}

// transferMessages opens the stream and transfers the messages in both directions.
func (c *Client) transferMessages(
	ctx context.Context, link *controlLink, conn grpc.ClientConnInterface,
	requests <-chan *aubwire.RegistryRequest, responses chan<- *aubwire.RegistryResponse,
) error {
	stream, err := aubwire.NewRegistryClient(conn).Watch(ctx)
	if err != nil {
		return err
	}
	go func() {
		var compactor requestCompactor
		for {
			select {
			case req := <-requests:
				compactor.compact(req, c.common.Timer.Now())
				kind := kindRequest
				if req.GetReport() != nil {
					kind = kindReport
				}
				c.bytes.Add(kind, aubmetric.Sent, c.peerZone(link), proto.Size(req)+grpcHeaderBytes)
				if stream.Send(req) != nil {
					// Recv below returns the cause.
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		resp, err := stream.Recv()
		if err != nil {
			return err
		}
		c.bytes.Add(kindResponse, aubmetric.Received, c.peerZone(link), proto.Size(resp)+grpcHeaderBytes)
		select {
		case responses <- resp:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// peerZone returns whether a control process is known to be in the own or in another zone.
func (c *Client) peerZone(link *controlLink) aubmetric.PeerZone {
	c.mu.Lock()
	defer c.mu.Unlock()
	return aubmetric.PeerZoneOf(c.opts.Zone, link.zone)
}

// enqueueLatest queues a request and replaces one that is still queued. The new one keeps
// the higher acknowledged version, the streams of both and, if it has no report, the
// replaced one's.
func enqueueLatest(requests chan *aubwire.RegistryRequest, req *aubwire.RegistryRequest) {
	for {
		select {
		case requests <- req:
			return
		default:
		}
		select {
		case replaced := <-requests:
			req.Acked = max(req.Acked, replaced.GetAcked())
			if req.Report == nil {
				req.Report = replaced.Report
			}
			req.Streams = append(replaced.GetStreams(), req.GetStreams()...)
		default:
		}
	}
}

// RespondingAddresses returns the addresses of the connected control processes with a disk
// that sent something within the given time, in lexical order.
func (c *Client) RespondingAddresses(within time.Duration) []string {
	now := c.common.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for address, link := range c.links {
		if link.connected && now.Sub(link.lastReceivedAt) <= within {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// PlaceAt requests a copy from the control process at the address. The error is
// *NoControlError if it isn't connected.
func (c *Client) PlaceAt(ctx context.Context, address string, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
	c.mu.Lock()
	link := c.links[address]
	c.mu.Unlock()
	conn := c.connOf(link)
	if conn == nil {
		return nil, &NoControlError{}
	}
	return aubwire.NewRegistryClient(conn).Place(ctx, req)
}

// connOf returns the connection of a link, nil if there is none.
func (c *Client) connOf(link *controlLink) *grpc.ClientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link == nil || !link.connected {
		return nil
	}
	return link.conn
}
