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
	// OnPeerLimits is called with the limits that a peer reports.
	OnPeerLimits func(peer string, incarnation uint64, limits []*aubwire.BackendLimit)
}

// LoadExchange reports work in flight and token usage between instances within
// milliseconds. Datagrams hold the changed values; a full report follows every
// fullLoadInterval.
//
// Lock order: no other lock is taken while mu is held.
type LoadExchange struct {
	common    aubcommon.Common
	opts      LoadExchangeOpts
	transport *transport
	counters  counters
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
}

// NewLoadExchange listens and sends until ctx is done. Errors are those of the socket.
func NewLoadExchange(ctx context.Context, common aubcommon.Common, opts LoadExchangeOpts) (*LoadExchange, error) {
	common = common.WithPart("load")
	x := &LoadExchange{
		common:         common,
		opts:           opts,
		counters:       newCounters(common.Metrics),
		changed:        make(chan struct{}, 1),
		done:           make(chan struct{}),
		peers:          make(map[string]*peerState),
		peerTokensUsed: make(map[string]int64),
	}
	t, err := newTransport(ctx, common.Log, opts.Listen, x.receive)
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
}

// PeerLoad returns the sum of the peers' work in flight on a backend server. Reports
// older than maxLoadAge are ignored.
func (x *LoadExchange) PeerLoad(backend string) Load {
	now := x.common.Timer.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	var sum Load
	for _, peer := range x.peers {
		if now.Sub(peer.receivedAt) > maxLoadAge {
			continue
		}
		load := peer.loads[backend]
		sum.Requests += load.Requests
		sum.PrefillTokens += load.PrefillTokens
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
	var sequence uint64
	sent := make(map[string]Load)
	sentTokensUsed := make(map[string]int64)
	for {
		isFull := false
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			isFull = true
		case <-x.changed:
			if aubtimer.Wait(ctx, x.common.Timer, x.sendPause()) != nil {
				return
			}
		}
		x.sendLimits(isFull)
		loads := x.opts.Loads()
		delta := deltaOf(sent, loads, isFull)
		sent = loads
		if x.opts.TokensUsed != nil {
			tokensUsed := x.opts.TokensUsed()
			delta.Uses = tokenUsesOf(sentTokensUsed, tokensUsed, isFull)
			sentTokensUsed = tokensUsed
		}
		if !isFull && len(delta.GetLoads())+len(delta.GetUses()) == 0 {
			continue
		}
		sequence++
		delta.Instance, delta.Incarnation, delta.Sequence = x.opts.Instance, x.opts.Incarnation, sequence
		x.send(&aubwire.Datagram{Load: delta})
	}
}

// sendPause returns the minimum time between two load updates.
func (x *LoadExchange) sendPause() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Duration(max(len(x.peerAddresses), 1)) * pausePerPeer
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
	for limits := range slices.Chunk(x.opts.Limits(isFull), maxDatagramLimits) {
		x.send(&aubwire.Datagram{Limits: &aubwire.LimitDelta{Instance: x.opts.Instance, Incarnation: x.opts.Incarnation, Limits: limits}})
	}
}

// send sends a datagram to all peers.
func (x *LoadExchange) send(datagram *aubwire.Datagram) {
	encoded, err := EncodeDatagram(x.opts.Secret, datagram)
	if err != nil {
		x.counters.oversize.Inc(1)
		return
	}
	x.mu.Lock()
	peers := x.peerAddresses
	x.mu.Unlock()
	for _, peer := range peers {
		if err := x.transport.send(peer, encoded); err != nil {
			// The next full report corrects the peer's state.
			x.common.Log.Debug("Load datagram not sent.", zap.Stringer("peer", peer), zap.Error(err))
		}
	}
}

// receive handles one datagram. It runs on the event loop's goroutine.
func (x *LoadExchange) receive(from netip.AddrPort, data []byte) {
	x.counters.received(len(data))
	d, err := DecodeDatagram(x.opts.Secret, data)
	if err == nil && d.GetLimits() != nil && x.opts.OnPeerLimits != nil {
		x.opts.OnPeerLimits(d.GetLimits().GetInstance(), d.GetLimits().GetIncarnation(), d.GetLimits().GetLimits())
		return
	}
	if err != nil || d.GetLoad() == nil {
		x.counters.rejected.Inc(1)
		x.common.Log.Debug("Load datagram rejected.", zap.Stringer("from", from), zap.Error(err))
		return
	}
	x.applyDelta(d.GetLoad())
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
func (x *LoadExchange) applyDelta(delta *aubwire.LoadDelta) {
	x.mu.Lock()
	defer x.mu.Unlock()
	peer := x.peers[delta.GetInstance()]
	if peer == nil || peer.incarnation != delta.GetIncarnation() {
		peer = newPeerState(peer, delta)
		x.peers[delta.GetInstance()] = peer
	}
	if delta.GetSequence() <= peer.sequence {
		return
	}
	peer.sequence, peer.receivedAt = delta.GetSequence(), x.common.Timer.Now()
	if delta.GetWhole() {
		clear(peer.loads)
	}
	for _, load := range delta.GetLoads() {
		peer.loads[load.GetId()] = Load{Requests: int(load.GetInFlight()), PrefillTokens: load.GetPrefillTokens()}
	}
	for _, use := range delta.GetUses() {
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
	peer.tokensUsed[use.GetWorkspace()] = use.GetTokens()
	if !isKnown && !peer.hasAllCounters {
		return 0
	}
	return max(use.GetTokens()-previous, 0)
}
