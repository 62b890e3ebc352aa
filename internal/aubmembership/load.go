package aubmembership

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// loadPause, for each receiver, is the least time between two load datagrams: an
	// instance sends at most 500 a second, however many peers it has.
	loadPause = 2 * time.Millisecond
	// wholeInterval is the time between two datagrams with all loads, which make
	// good for lost ones.
	wholeInterval = 500 * time.Millisecond
	// loadAge is the age from which an instance that is silent has no load.
	loadAge = 2500 * time.Millisecond
)

// Load is work in flight on one backend server.
type Load struct {
	Requests int
	// PrefillTokens belong to requests without a first token.
	PrefillTokens int64
}

// LoadExchangeOpts are the parts of a load exchange.
type LoadExchangeOpts struct {
	// Listen is the UDP address for the peers' datagrams.
	Listen string
	Secret []byte
	// Instance names this process; Incarnation differs between two starts.
	Instance    string
	Incarnation uint64
	// Loads returns the own work in flight by backend server.
	Loads func() map[string]Load
	// Uses returns the tokens taken here by workspace since the start; nil for none.
	Uses func() map[string]int64
	// OnUses takes in what all peers together took, by workspace, since this process
	// first heard each of them.
	OnUses func(uses map[string]int64)
}

// LoadExchange tells instances of each other's work in flight within
// milliseconds. Datagrams carry what changed; one with everything follows each
// wholeInterval.
//
// Lock order: mu is taken alone.
type LoadExchange struct {
	common    aubcommon.Common
	opts      LoadExchangeOpts
	transport *transport
	counters  counters
	changed   chan struct{}
	done      chan struct{}

	mu    sync.Mutex
	peers []netip.AddrPort
	heard map[string]*heardLoads
	// uses sums the growth of the peers' counters.
	uses map[string]int64
}

// heardLoads is what one peer told.
type heardLoads struct {
	incarnation uint64
	sequence    uint64
	at          time.Time
	loads       map[string]Load
	uses        map[string]int64
	// isComplete is set once uses holds every counter of the peer.
	isComplete bool
}

// NewLoadExchange listens and sends until ctx ends. Errors are those of the socket.
func NewLoadExchange(ctx context.Context, common aubcommon.Common, opts LoadExchangeOpts) (*LoadExchange, error) {
	common = common.WithPart("load")
	x := &LoadExchange{
		common:   common,
		opts:     opts,
		counters: newCounters(common.Metrics),
		changed:  make(chan struct{}, 1),
		done:     make(chan struct{}),
		heard:    make(map[string]*heardLoads),
		uses:     make(map[string]int64),
	}
	t, err := newTransport(ctx, common.Log, opts.Listen, x.receive)
	if err != nil {
		return nil, oops.In("load").Wrapf(err, "listen on %s", opts.Listen)
	}
	x.transport = t
	t.start()
	ticks := common.Timer.Subscribe(ctx, wholeInterval)
	go func() {
		defer close(x.done)
		x.run(ctx, ticks)
		t.wait()
	}()
	return x, nil
}

// Done is closed once the exchange has ended with its context.
func (x *LoadExchange) Done() <-chan struct{} { return x.done }

// Changed asks for a datagram: the own work in flight changed.
func (x *LoadExchange) Changed() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// SetPeers replaces the receivers; addresses that don't parse are left out.
func (x *LoadExchange) SetPeers(addresses []string) {
	peers := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		peer, err := netip.ParseAddrPort(address)
		if err != nil {
			x.common.Log.Warn("Peer has no usable address.", zap.String("address", address), zap.Error(err))
			continue
		}
		peers = append(peers, peer)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers = peers
}

// Load sums the peers' work in flight on a backend server.
func (x *LoadExchange) Load(backend string) Load {
	now := x.common.Timer.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	var sum Load
	for _, h := range x.heard {
		if now.Sub(h.at) > loadAge {
			continue
		}
		load := h.loads[backend]
		sum.Requests += load.Requests
		sum.PrefillTokens += load.PrefillTokens
	}
	return sum
}

func (x *LoadExchange) run(ctx context.Context, ticks <-chan time.Time) {
	var sequence uint64
	sent := make(map[string]Load)
	sentUses := make(map[string]int64)
	for {
		isWhole := false
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			isWhole = true
		case <-x.changed:
			if aubtimer.Wait(ctx, x.common.Timer, x.pause()) != nil {
				return
			}
		}
		loads := x.opts.Loads()
		delta := deltaOf(sent, loads, isWhole)
		sent = loads
		if x.opts.Uses != nil {
			uses := x.opts.Uses()
			delta.Uses = usesOf(sentUses, uses, isWhole)
			sentUses = uses
		}
		if !isWhole && len(delta.GetLoads())+len(delta.GetUses()) == 0 {
			continue
		}
		sequence++
		delta.Instance, delta.Incarnation, delta.Sequence = x.opts.Instance, x.opts.Incarnation, sequence
		x.send(delta)
	}
}

func (x *LoadExchange) pause() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Duration(max(len(x.peers), 1)) * loadPause
}

// deltaOf lists the loads that changed, or all of them.
func deltaOf(before, after map[string]Load, isWhole bool) *aubwire.LoadDelta {
	delta := &aubwire.LoadDelta{Whole: isWhole}
	add := func(id string, load Load) {
		delta.Loads = append(delta.Loads, &aubwire.BackendLoad{
			Id: id, InFlight: int32(load.Requests), PrefillTokens: load.PrefillTokens,
		})
	}
	for id, load := range after {
		if isWhole || before[id] != load {
			add(id, load)
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok && !isWhole {
			add(id, Load{})
		}
	}
	return delta
}

// usesOf lists the counters that changed, or all of them.
func usesOf(before, after map[string]int64, isWhole bool) []*aubwire.TokenUse {
	var uses []*aubwire.TokenUse
	for workspace, tokens := range after {
		if isWhole || before[workspace] != tokens {
			uses = append(uses, &aubwire.TokenUse{Workspace: workspace, Tokens: tokens})
		}
	}
	return uses
}

func (x *LoadExchange) send(delta *aubwire.LoadDelta) {
	sealed, err := Seal(x.opts.Secret, &aubwire.Datagram{Load: delta})
	if err != nil {
		x.counters.oversize.Inc(1)
		return
	}
	x.mu.Lock()
	peers := x.peers
	x.mu.Unlock()
	for _, peer := range peers {
		if err := x.transport.send(peer, sealed); err != nil {
			// The next datagram makes good for it.
			x.common.Log.Debug("Load datagram not sent.", zap.Stringer("peer", peer), zap.Error(err))
		}
	}
}

// receive takes in one datagram on the event loop's goroutine.
func (x *LoadExchange) receive(from netip.AddrPort, data []byte) {
	x.counters.received(len(data))
	d, err := Open(x.opts.Secret, data)
	if err != nil || d.GetLoad() == nil {
		x.counters.rejected.Inc(1)
		x.common.Log.Debug("Load datagram rejected.", zap.Stringer("from", from), zap.Error(err))
		return
	}
	x.take(d.GetLoad())
	if x.opts.OnUses != nil {
		x.opts.OnUses(x.peerUses())
	}
}

// peerUses returns what all peers took, by workspace.
func (x *LoadExchange) peerUses() map[string]int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return maps.Clone(x.uses)
}

// take applies a delta unless a newer one came before it.
func (x *LoadExchange) take(delta *aubwire.LoadDelta) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.heard[delta.GetInstance()]
	if h == nil || h.incarnation != delta.GetIncarnation() {
		h = newHeardLoads(h, delta)
		x.heard[delta.GetInstance()] = h
	}
	if delta.GetSequence() <= h.sequence {
		return
	}
	h.sequence, h.at = delta.GetSequence(), x.common.Timer.Now()
	if delta.GetWhole() {
		clear(h.loads)
	}
	for _, load := range delta.GetLoads() {
		h.loads[load.GetId()] = Load{Requests: int(load.GetInFlight()), PrefillTokens: load.GetPrefillTokens()}
	}
	for _, use := range delta.GetUses() {
		x.uses[use.GetWorkspace()] += h.takeUse(use)
	}
	h.isComplete = h.isComplete || delta.GetWhole()
}

// newHeardLoads begins the history of a peer's incarnation. A restarted peer counts
// from 0.
func newHeardLoads(before *heardLoads, delta *aubwire.LoadDelta) *heardLoads {
	return &heardLoads{
		incarnation: delta.GetIncarnation(), loads: make(map[string]Load), uses: make(map[string]int64),
		isComplete: before != nil,
	}
}

// takeUse returns the growth of a counter. What a peer that was never heard before
// took until its first whole datagram is not known to be recent.
func (h *heardLoads) takeUse(use *aubwire.TokenUse) int64 {
	before, isKnown := h.uses[use.GetWorkspace()]
	h.uses[use.GetWorkspace()] = use.GetTokens()
	if !isKnown && !h.isComplete {
		return 0
	}
	return max(use.GetTokens()-before, 0)
}
