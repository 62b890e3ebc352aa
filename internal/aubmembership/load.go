package aubmembership

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmetric"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// pausePerPeer, multiplied by the number of peers, is the minimum time between two
	// load updates. It limits an instance to 500 datagrams per second in total.
	pausePerPeer = 2 * time.Millisecond
	// fullLoadInterval is the time between two full load reports, which correct the
	// state after lost datagrams.
	fullLoadInterval = 500 * time.Millisecond
	// maxDatagramLimits is the number of rate limits that fit into one datagram.
	maxDatagramLimits = 12
	// maxLoadAge is the age after which the last reported load of a peer is ignored.
	maxLoadAge = 2500 * time.Millisecond
)

// Load is the work in flight on one backend server.
type Load struct {
	Requests int
	// PrefillTokens is the number of prompt tokens of requests that have not
	// produced their first token.
	PrefillTokens int64
}

// LoadExchangeOpts are the options of NewLoadExchange.
type LoadExchangeOpts struct {
	// Listen is the UDP address that receives the peers' datagrams, ip:port.
	Listen string
	// Secret authenticates datagrams; all processes of a site share it.
	Secret []byte
	// Instance is the name of this process; Incarnation differs between starts.
	Instance    string
	Incarnation uint64
	// Loads returns the local work in flight, by backend server.
	Loads func() map[string]Load
	// TokensUsed returns the tokens used by this process since its start, by workspace.
	// Nil disables the reports.
	TokensUsed func() map[string]int64
	// OnPeerTokensUsed is called with the tokens used by all peers together, by workspace,
	// counted since this process first received a report from each of them.
	OnPeerTokensUsed func(tokensUsed map[string]int64)
	// Limits returns the rate limits to report: all, or those that changed since the last
	// call. Nil reports none.
	Limits func(isFull bool) []*aubwire.BackendLimit
	// Zone is the availability zone of this process. IsZoned reports whether the exchange
	// between zones is aggregated; nil means never.
	Zone    string
	IsZoned func() bool
	// OnPeerLimits is called with the limits that a peer reports.
	OnPeerLimits func(peer string, incarnation uint64, limits []*aubwire.BackendLimit)
}

// LoadExchange reports work in flight and token usage between instances within
// milliseconds. Datagrams hold the changed values; a full report follows every
// fullLoadInterval. While IsZoned holds, relays of other zones receive the sums of the zone
// from one sender in it, see zoneSender.
//
// Lock order: no other lock is taken while mu is held.
type LoadExchange struct {
	common    aubcommon.Common
	opts      LoadExchangeOpts
	transport datagramTransport
	counters  counters
	bytes     *aubmetric.ByteCounters
	// updates is what was last sent. Only the sending goroutine uses it.
	updates sentUpdates
	// changed requests a load update.
	changed chan struct{}
	done    chan struct{}

	mu            sync.Mutex
	peerAddresses []netip.AddrPort
	// peers holds the reported state of each peer, by instance.
	peers map[string]*peerState
	// peerTokensUsed holds the sum of all increases of the peers' counters, by
	// workspace.
	peerTokensUsed map[string]int64
	// peersByID holds the peers by relayID.
	peersByID map[uint32]*peerState
	// workspaceNames holds the names of the workspaces by their hashes.
	workspaceNames map[uint32]string
	// zones holds the zone that the peer at an address states; peers that state none are not
	// listed.
	zones map[netip.AddrPort]string
	// joined holds the addresses of peers of other zones that have no counters of this
	// incarnation yet.
	joined map[netip.AddrPort]bool
	// zoneSums holds the sums of other zones, by zone and sender.
	zoneSums map[string]map[string]*zoneSums
	// isSender is set while this process sends the sums of its zone.
	isSender bool
	// missingAt is when a relay of another zone last missed the sums of this zone.
	missingAt time.Time
}

// datagramTransport sends datagrams.
type datagramTransport interface {
	send(to netip.AddrPort, data []byte) error
}

// sentUpdates is what an exchange has sent to its peers.
type sentUpdates struct {
	sequence   uint64
	loads      map[string]Load
	tokensUsed map[string]int64
	zone       zoneSender
}

// peerState is the state reported by one peer.
type peerState struct {
	incarnation uint64
	sequence    uint64
	receivedAt  time.Time
	loads       map[string]Load
	tokensUsed  map[string]int64
	// hasAllCounters is true once all counters of the peer are known: after a full
	// report, or from the start for a restarted peer, whose counters begin at 0.
	hasAllCounters bool
	// zone is the zone that the peer states, empty if it sends its loads to all relays.
	zone string
}

// NewLoadExchange listens and sends until ctx is done. Errors are those of the socket.
func NewLoadExchange(ctx context.Context, common aubcommon.Common, opts LoadExchangeOpts) (*LoadExchange, error) {
	x := newLoadExchange(common, opts)
	t, err := newTransport(ctx, x.common.Log, opts.Listen, x.receive)
	if err != nil {
		return nil, oops.In("load").Wrapf(err, "listen on %s", opts.Listen)
	}
	x.transport = t
	t.start()
	ticks := common.Timer.Subscribe(ctx, fullLoadInterval)
	go func() {
		defer close(x.done)
		x.run(ctx, ticks)
		t.wait()
	}()
	return x, nil
}

// newLoadExchange returns an exchange without a transport.
func newLoadExchange(common aubcommon.Common, opts LoadExchangeOpts) *LoadExchange {
	common = common.WithPart("load")
	return &LoadExchange{
		common:         common,
		opts:           opts,
		counters:       newCounters(common.Metrics),
		bytes:          aubmetric.NewByteCounters(common.Metrics, kindFull, kindDelta, kindCounters, kindLimits, kindZone, kindRejected),
		changed:        make(chan struct{}, 1),
		done:           make(chan struct{}),
		peers:          make(map[string]*peerState),
		peerTokensUsed: make(map[string]int64),
		peersByID:      make(map[uint32]*peerState),
		workspaceNames: make(map[uint32]string),
		zones:          make(map[netip.AddrPort]string),
		joined:         make(map[netip.AddrPort]bool),
		zoneSums:       make(map[string]map[string]*zoneSums),
		updates:        sentUpdates{zone: zoneSender{startedAt: common.Timer.Now()}},
	}
}

// Done returns a channel that is closed once all goroutines have ended.
func (x *LoadExchange) Done() <-chan struct{} { return x.done }

// NotifyLoadChanged requests a load update after a change of the local work in flight. It
// does not block.
func (x *LoadExchange) NotifyLoadChanged() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// SetPeers replaces the addresses of the peers. Invalid addresses are logged and
// skipped.
func (x *LoadExchange) SetPeers(addresses []string) {
	peers := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		peer, err := netip.ParseAddrPort(address)
		if err != nil {
			x.common.Log.Warn("Peer address is invalid.", zap.String("address", address), zap.Error(err))
			continue
		}
		peers = append(peers, peer)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peerAddresses = peers
	maps.DeleteFunc(x.zones, func(address netip.AddrPort, _ string) bool { return !slices.Contains(peers, address) })
	maps.DeleteFunc(x.joined, func(address netip.AddrPort, _ bool) bool { return !slices.Contains(peers, address) })
}

// PeerLoad returns the sum of the peers' work in flight on a backend server. Reports
// older than maxLoadAge are ignored.
func (x *LoadExchange) PeerLoad(backend string) Load {
	now := x.common.Timer.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	var sum Load
	for _, peer := range x.peers {
		if now.Sub(peer.receivedAt) > maxLoadAge || x.isInZoneSums(now, peer) {
			continue
		}
		sum = sum.plus(peer.loads[backend])
	}
	for zone := range x.zoneSums {
		sum = sum.plus(x.zoneLoad(now, zone, backend))
	}
	return sum
}

// CountHeardPeers returns the number of peers whose last report is not older than maxAge.
func (x *LoadExchange) CountHeardPeers(maxAge time.Duration) int {
	now := x.common.Timer.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	heard := 0
	for _, peer := range x.peers {
		if now.Sub(peer.receivedAt) <= maxAge {
			heard++
		}
	}
	return heard
}

// PeerNames returns the names of the peers whose last report is not older than maxAge.
func (x *LoadExchange) PeerNames(maxAge time.Duration) []string {
	now := x.common.Timer.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	names := make([]string, 0, len(x.peers))
	for name, peer := range x.peers {
		if now.Sub(peer.receivedAt) <= maxAge {
			names = append(names, name)
		}
	}
	return names
}

// run sends changed loads and counters when notified, and full reports on ticks.
func (x *LoadExchange) run(ctx context.Context, ticks <-chan time.Time) {
	var zoneDue <-chan time.Time
	for {
		isFull := false
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			isFull = true
		case <-zoneDue:
			zoneDue = nil
		case <-x.changed:
			if aubtimer.Wait(ctx, x.common.Timer, x.sendPause()) != nil {
				return
			}
		}
		x.sendUpdates(isFull)
		if delay, isDue := x.zoneDelay(); isDue && zoneDue == nil {
			zoneDue = x.common.Timer.After(ctx, delay)
		}
	}
}

// sendUpdates sends what changed since the previous call, or everything if isFull is set.
func (x *LoadExchange) sendUpdates(isFull bool) {
	x.sendLimits(isFull)
	u := &x.updates
	direct, remote := x.splitPeers()
	// Peers that received sums until now have no loads of this process.
	isFullDirect := isFull || u.zone.hasLost(remote)
	loads := x.opts.Loads()
	delta := deltaOf(u.loads, loads, isFullDirect)
	u.loads = loads
	var tokensUsed map[string]int64
	if x.opts.TokensUsed != nil {
		tokensUsed = x.opts.TokensUsed()
		delta.Uses = tokenUsesOf(u.tokensUsed, tokensUsed, isFullDirect)
		u.tokensUsed = tokensUsed
	}
	if isFullDirect || len(delta.GetLoads())+len(delta.GetUses()) > 0 {
		x.sendDelta(direct, delta)
	}
	x.sendToZones(isFull, remote, loads, tokensUsed)
}

// sendDelta completes a delta and sends it.
func (x *LoadExchange) sendDelta(peers []netip.AddrPort, delta *aubwire.LoadDelta) {
	x.updates.sequence++
	delta.Instance, delta.Incarnation, delta.Sequence = x.opts.Instance, x.opts.Incarnation, x.updates.sequence
	if x.isZoned() {
		delta.Zone = x.opts.Zone
	}
	x.send(peers, &aubwire.Datagram{Load: delta})
}

// sendPause returns the minimum time between two load updates.
func (x *LoadExchange) sendPause() time.Duration {
	direct, _ := x.splitPeers()
	return time.Duration(max(len(direct), 1)) * pausePerPeer
}

// deltaOf returns the loads that changed, with a zero load for those that ended. If
// isFull is set it returns all loads.
func deltaOf(before, after map[string]Load, isFull bool) *aubwire.LoadDelta {
	delta := &aubwire.LoadDelta{Whole: isFull}
	add := func(id string, load Load) {
		delta.Loads = append(delta.Loads, &aubwire.BackendLoad{
			Id: id, InFlight: int32(load.Requests), PrefillTokens: load.PrefillTokens,
		})
	}
	for id, load := range after {
		if isFull || before[id] != load {
			add(id, load)
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok && !isFull {
			add(id, Load{})
		}
	}
	return delta
}

// tokenUsesOf returns the counters that changed, or all of them if isFull is set.
func tokenUsesOf(before, after map[string]int64, isFull bool) []*aubwire.TokenUse {
	var uses []*aubwire.TokenUse
	for workspace, tokens := range after {
		if isFull || before[workspace] != tokens {
			uses = append(uses, &aubwire.TokenUse{Workspace: workspace, Tokens: tokens})
		}
	}
	return uses
}

// sendLimits sends the rate limits in as many datagrams as they need.
func (x *LoadExchange) sendLimits(isFull bool) {
	if x.opts.Limits == nil {
		return
	}
	x.mu.Lock()
	peers := x.peerAddresses
	x.mu.Unlock()
	for limits := range slices.Chunk(x.opts.Limits(isFull), maxDatagramLimits) {
		x.send(peers, &aubwire.Datagram{Limits: &aubwire.LimitDelta{Instance: x.opts.Instance, Incarnation: x.opts.Incarnation, Limits: limits}})
	}
}

// send sends a datagram to the peers.
func (x *LoadExchange) send(peers []netip.AddrPort, datagram *aubwire.Datagram) {
	encoded, err := EncodeDatagram(x.opts.Secret, datagram)
	if err != nil {
		x.counters.oversize.Inc(1)
		return
	}
	kind := kindOf(datagram)
	for _, peer := range peers {
		if err := x.transport.send(peer, encoded); err != nil {
			// The next full report corrects the peer's state.
			x.common.Log.Debug("Load datagram not sent.", zap.Stringer("peer", peer), zap.Error(err))
			continue
		}
		x.bytes.Add(kind, aubmetric.Sent, x.peerZone(peer), len(encoded)+datagramOverheadBytes)
	}
}

// receive handles one datagram. It runs on the event loop's goroutine.
func (x *LoadExchange) receive(from netip.AddrPort, data []byte) {
	x.counters.received(len(data))
	d, err := DecodeDatagram(x.opts.Secret, data)
	kind := kindRejected
	if err == nil {
		kind = kindOf(d)
	}
	x.bytes.Add(kind, aubmetric.Received, x.peerZone(from), len(data)+datagramOverheadBytes)
	if err == nil && d.GetLimits() != nil && x.opts.OnPeerLimits != nil {
		x.opts.OnPeerLimits(d.GetLimits().GetInstance(), d.GetLimits().GetIncarnation(), d.GetLimits().GetLimits())
		return
	}
	switch {
	case err == nil && d.GetLoad() != nil:
		x.applyDelta(from, d.GetLoad())
	case err == nil && d.GetZoneLoads() != nil:
		x.applyZoneLoads(d.GetZoneLoads())
	default:
		x.counters.rejected.Inc(1)
		x.common.Log.Debug("Load datagram rejected.", zap.Stringer("from", from), zap.Error(err))
		return
	}
	if x.opts.OnPeerTokensUsed != nil {
		x.opts.OnPeerTokensUsed(x.copyPeerTokensUsed())
	}
}

// copyPeerTokensUsed returns the tokens used by all peers, by workspace.
func (x *LoadExchange) copyPeerTokensUsed() map[string]int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return maps.Clone(x.peerTokensUsed)
}

// applyDelta applies a delta unless that or a later one has been applied.
func (x *LoadExchange) applyDelta(from netip.AddrPort, delta *aubwire.LoadDelta) {
	x.mu.Lock()
	defer x.mu.Unlock()
	peer := x.peers[delta.GetInstance()]
	if peer == nil || peer.incarnation != delta.GetIncarnation() {
		previous := peer
		if previous != nil {
			// The peer has restarted and knows no counters.
			delete(x.zones, from)
		}
		peer = newPeerState(previous, delta)
		x.setPeer(delta.GetInstance(), previous, peer)
	}
	if delta.GetSequence() <= peer.sequence {
		if delta.GetZone() != "" {
			// The order of the counters does not matter.
			x.applyCounters(peer, delta)
		}
		return
	}
	peer.sequence, peer.receivedAt = delta.GetSequence(), x.common.Timer.Now()
	x.setZone(from, peer, delta.GetZone())
	if slices.Contains(delta.GetMissingZones(), x.opts.Zone) {
		x.missingAt = x.common.Timer.Now()
		x.NotifyLoadChanged()
	}
	if delta.GetWhole() || delta.GetCountersOnly() {
		clear(peer.loads)
	}
	for _, load := range delta.GetLoads() {
		peer.loads[load.GetId()] = Load{Requests: int(load.GetInFlight()), PrefillTokens: load.GetPrefillTokens()}
	}
	x.applyCounters(peer, delta)
}

// applyCounters applies the token counters of a delta; the caller holds mu.
func (x *LoadExchange) applyCounters(peer *peerState, delta *aubwire.LoadDelta) {
	for i, hash := range delta.GetUsedWorkspaces() {
		if i < len(delta.GetUsedTokens()) {
			x.applyCounter(peer, hash, delta.GetUsedTokens()[i])
		}
	}
	for _, use := range delta.GetUses() {
		if delta.GetZone() != "" {
			x.learnNames([]string{use.GetWorkspace()})
		}
		x.peerTokensUsed[use.GetWorkspace()] += peer.updateTokensUsed(use)
	}
	peer.hasAllCounters = peer.hasAllCounters || delta.GetWhole()
}

// newPeerState returns the state for a new incarnation of a peer. Previous is nil
// if the peer is new to this process; a restarted peer counts from 0.
func newPeerState(previous *peerState, delta *aubwire.LoadDelta) *peerState {
	return &peerState{
		incarnation: delta.GetIncarnation(), loads: make(map[string]Load), tokensUsed: make(map[string]int64),
		hasAllCounters: previous != nil,
	}
}

// updateTokensUsed stores a counter and returns its increase. Up to and including the
// first full report of a new peer, the increase of a counter received for the first time
// is 0, because its tokens may have been used long ago.
func (peer *peerState) updateTokensUsed(use *aubwire.TokenUse) int64 {
	previous, isKnown := peer.tokensUsed[use.GetWorkspace()]
	if peer.zone != "" && use.GetTokens() < previous {
		// The counter arrives from several senders, also late.
		return 0
	}
	peer.tokensUsed[use.GetWorkspace()] = use.GetTokens()
	if !isKnown && !peer.hasAllCounters {
		return 0
	}
	return max(use.GetTokens()-previous, 0)
}
