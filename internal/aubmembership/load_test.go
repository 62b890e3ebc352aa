package aubmembership_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// loadPeer is an instance whose reported loads and token counters the test sets.
type loadPeer struct {
	exchange *aubmembership.LoadExchange

	mu         sync.Mutex
	loads      map[string]aubmembership.Load
	tokensUsed map[string]int64
	// peerTokens holds the tokens used by the other peers, by workspace.
	peerTokens map[string]int64
}

// newLoadPeer runs a load exchange until ctx is done.
func newLoadPeer(ctx context.Context, t *testing.T, name, listen string, incarnation uint64) *loadPeer {
	p := &loadPeer{loads: map[string]aubmembership.Load{}, tokensUsed: map[string]int64{}}
	x, err := aubmembership.NewLoadExchange(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubmembership.LoadExchangeOpts{
		Listen: listen, Secret: []byte("s"), Instance: name, Incarnation: incarnation,
		Loads: func() map[string]aubmembership.Load {
			p.mu.Lock()
			defer p.mu.Unlock()
			loads := map[string]aubmembership.Load{}
			for id, load := range p.loads {
				loads[id] = load
			}
			return loads
		},
		TokensUsed: func() map[string]int64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			tokensUsed := map[string]int64{}
			for workspace, tokens := range p.tokensUsed {
				tokensUsed[workspace] = tokens
			}
			return tokensUsed
		},
		OnPeerTokensUsed: func(tokensUsed map[string]int64) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.peerTokens = tokensUsed
		},
	})
	qt.Assert(t, err, qt.IsNil)
	p.exchange = x
	return p
}

// stopAll cancels the context of the peers and waits until they have stopped.
func stopAll(cancel context.CancelFunc, peers ...*loadPeer) {
	cancel()
	for _, p := range peers {
		<-p.exchange.Done()
	}
}

// set changes the load of a backend server and the token counter of a workspace.
func (p *loadPeer) set(backend string, load aubmembership.Load, workspace string, tokens int64) {
	p.mu.Lock()
	if load == (aubmembership.Load{}) {
		delete(p.loads, backend)
	} else {
		p.loads[backend] = load
	}
	p.tokensUsed[workspace] = tokens
	p.mu.Unlock()
	p.exchange.NotifyLoadChanged()
}

// peerTokensOf returns the tokens of a workspace that the other peers used.
func (p *loadPeer) peerTokensOf(workspace string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peerTokens[workspace]
}

// awaitCondition waits up to 5 seconds for a condition.
func awaitCondition(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !isMet(); time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("%s", condition))
	}
}

func TestPeersReceiveLoad(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	addresses := []string{"127.0.0.1:41731", "127.0.0.1:41732"}
	a := newLoadPeer(ctx, t, "a", addresses[0], 1)
	b := newLoadPeer(ctx, t, "b", addresses[1], 1)
	defer stopAll(cancel, a, b)
	a.exchange.SetPeers(addresses[1:])
	b.exchange.SetPeers([]string{addresses[0], "no address"})

	a.set("i1", aubmembership.Load{Requests: 2, PrefillTokens: 900}, "w", 100)
	awaitCondition(t, "b receives the load", func() bool {
		return b.exchange.PeerLoad("i1") == aubmembership.Load{Requests: 2, PrefillTokens: 900}
	})
	qt.Assert(t, b.peerTokensOf("w"), qt.Equals, int64(0), qt.Commentf("tokens used before the first report are not counted"))
	a.set("i1", aubmembership.Load{}, "w", 250)
	awaitCondition(t, "b receives the end of the work", func() bool { return b.exchange.PeerLoad("i1") == aubmembership.Load{} })
	awaitCondition(t, "b receives the tokens used since the first report", func() bool { return b.peerTokensOf("w") == 150 })
	qt.Assert(t, a.exchange.PeerLoad("i1"), qt.Equals, aubmembership.Load{}, qt.Commentf("the local load is not part of the peers' load"))
}

// TestRestartedPeerCountsFromItsStart checks that a new incarnation replaces the loads
// of the previous one and that all tokens it uses are counted.
func TestRestartedPeerCountsFromItsStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	b := newLoadPeer(ctx, t, "b", "127.0.0.1:41734", 1)
	firstCtx, stopFirst := context.WithCancel(ctx)
	a := newLoadPeer(firstCtx, t, "a", "127.0.0.1:41733", 1)
	a.exchange.SetPeers([]string{"127.0.0.1:41734"})
	a.set("i1", aubmembership.Load{Requests: 5}, "w", 1000)
	awaitCondition(t, "b receives the load of the first incarnation", func() bool { return b.exchange.PeerLoad("i1").Requests == 5 })
	stopAll(stopFirst, a)
	restarted := newLoadPeer(ctx, t, "a", "127.0.0.1:41735", 2)
	defer stopAll(cancel, restarted, b)
	restarted.exchange.SetPeers([]string{"127.0.0.1:41734"})
	restarted.set("i2", aubmembership.Load{Requests: 1}, "w", 40)
	awaitCondition(t, "b receives the load of the second incarnation", func() bool { return b.exchange.PeerLoad("i2").Requests == 1 })
	qt.Assert(t, b.exchange.PeerLoad("i1"), qt.Equals, aubmembership.Load{})
	qt.Assert(t, b.peerTokensOf("w"), qt.Equals, int64(40))
}

// TestTokensOfNewPeerCountFromItsFirstFullReport covers a new peer whose first
// datagram holds only the changed counters. The tokens in its first full report
// must not be counted as used just now.
func TestTokensOfNewPeerCountFromItsFirstFullReport(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	b := newLoadPeer(ctx, t, "b", "127.0.0.1:41736", 1)
	defer stopAll(cancel, b)
	conn, err := new(net.Dialer).DialContext(ctx, "udp", "127.0.0.1:41736")
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	send := func(sequence uint64, isFull bool, uses ...*aubwire.TokenUse) {
		encoded, err := aubmembership.EncodeDatagram([]byte("s"), &aubwire.Datagram{Load: &aubwire.LoadDelta{
			Instance: "a", Incarnation: 1, Sequence: sequence, Whole: isFull, Uses: uses,
			Loads: []*aubwire.BackendLoad{{Id: "i1", InFlight: int32(sequence)}},
		}})
		qt.Assert(t, err, qt.IsNil)
		_, err = conn.Write(encoded)
		qt.Assert(t, err, qt.IsNil)
		awaitCondition(t, "b receives the datagram", func() bool { return b.exchange.PeerLoad("i1").Requests == int(sequence) })
	}
	use := func(workspace string, tokens int64) *aubwire.TokenUse {
		return &aubwire.TokenUse{Workspace: workspace, Tokens: tokens}
	}
	send(1, false, use("other", 5))
	send(2, true, use("w", 40000), use("other", 5))
	awaitCondition(t, "b applies the counters", func() bool { return b.peerTokensOf("other") == 0 })
	qt.Assert(t, b.peerTokensOf("w"), qt.Equals, int64(0))
	send(3, false, use("w", 40100), use("new", 30))
	awaitCondition(t, "b receives the tokens used since the full report", func() bool { return b.peerTokensOf("w") == 100 && b.peerTokensOf("new") == 30 })
}
