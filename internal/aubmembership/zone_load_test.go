package aubmembership_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	modelStep       = 2 * time.Millisecond
	modelBackends   = 44
	modelWorkspaces = 24
	modelZones      = 3
	modelSeed       = 7
)

// modelRelay is one relay of a fleet on a model of the network.
type modelRelay struct {
	name       string
	zone       string
	address    netip.AddrPort
	node       *aubmembership.LoadNode
	loads      map[string]aubmembership.Load
	tokensUsed map[string]int64
	peerTokens map[string]int64
	// limiter counts the tokens instead of tokensUsed, if it is set.
	limiter *aublimit.SharedCounters
	// sendAt is when the next notified update is sent, zero if there is none.
	sendAt     time.Time
	fullOffset time.Duration
	isStopped  bool
}

// modelDatagram is a datagram on its way.
type modelDatagram struct {
	at       time.Time
	from, to *modelRelay
	data     []byte
}

// loadFleet is a fleet of relays whose exchange runs on a manual timer. Each relay is reached
// after 1 to 3 ms, and datagrams overtake each other.
type loadFleet struct {
	timer    *aubtimer.Manual
	random   *rand.Rand
	relays   []*modelRelay
	byAddr   map[netip.AddrPort]*modelRelay
	inFlight []modelDatagram
	loss     float64
	isZoned  bool
	// isCut drops the datagrams for which it returns true; nil drops none.
	isCut func(from, to *modelRelay) bool
	// remoteBytes counts the bytes sent to other zones, with IP and UDP headers.
	remoteBytes, ownBytes int
	remoteKinds           map[string]int
	steps                 int
	size                  int
	// limits makes each relay limit workspaces; nil limits none.
	limits *aublimit.CountersOpts
}

func newLoadFleet(t testing.TB, n int, isZoned bool) *loadFleet {
	return newLimitedFleet(t, n, isZoned, nil)
}

func newLimitedFleet(t testing.TB, n int, isZoned bool, limits *aublimit.CountersOpts) *loadFleet {
	t.Logf("seed %d", modelSeed)
	f := &loadFleet{
		timer: aubtimer.NewManual(time.Unix(1000, 0)), random: rand.New(rand.NewPCG(modelSeed, uint64(n))),
		byAddr: make(map[netip.AddrPort]*modelRelay), isZoned: isZoned, remoteKinds: make(map[string]int),
		size: n, limits: limits,
	}
	for i := range n {
		r := &modelRelay{
			name: fmt.Sprintf("relay-%03d", i), zone: fmt.Sprintf("zone-%d", i%modelZones),
			address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7100),
			fullOffset: time.Duration(f.random.IntN(250)) * modelStep,
			tokensUsed: map[string]int64{},
		}
		f.relays = append(f.relays, r)
		f.byAddr[r.address] = r
		f.start(r, 1)
	}
	return f
}

// start starts a relay without state.
func (f *loadFleet) start(r *modelRelay, incarnation uint64) {
	r.loads, r.tokensUsed, r.peerTokens, r.isStopped = map[string]aubmembership.Load{}, map[string]int64{}, nil, false
	if f.limits != nil {
		r.limiter = aublimit.NewSharedCounters(aubcommon.NewCommon(f.timer), *f.limits)
		r.limiter.SetInstances(f.size)
	}
	r.node = aubmembership.NewLoadNode(aubcommon.NewCommon(f.timer), aubmembership.LoadExchangeOpts{
		Secret: []byte("s"), Instance: r.name, Incarnation: incarnation, Zone: r.zone, IsZoned: func() bool { return f.isZoned },
		Loads: func() map[string]aubmembership.Load {
			loads := map[string]aubmembership.Load{}
			for id, load := range r.loads {
				loads[id] = load
			}
			return loads
		},
		TokensUsed: func() map[string]int64 {
			if r.limiter != nil {
				return r.limiter.SpentTokens()
			}
			used := map[string]int64{}
			for workspace, tokens := range r.tokensUsed {
				used[workspace] = tokens
			}
			return used
		},
		OnPeerTokensUsed: func(used map[string]int64) {
			r.peerTokens = used
			if r.limiter != nil {
				r.limiter.UpdatePeers(used)
			}
		},
	}, func(to netip.AddrPort, data []byte) { f.transmit(r, f.byAddr[to], data) })
	var peers []string
	for _, peer := range f.relays {
		if peer != r {
			peers = append(peers, peer.address.String())
			peer.node.SetPeers(f.peersOf(peer))
		}
	}
	r.node.SetPeers(peers)
}

func (f *loadFleet) peersOf(r *modelRelay) []string {
	var peers []string
	for _, peer := range f.relays {
		if peer != r {
			peers = append(peers, peer.address.String())
		}
	}
	return peers
}

func (f *loadFleet) transmit(from, to *modelRelay, data []byte) {
	if from.zone == to.zone {
		f.ownBytes += len(data) + 28
	} else {
		f.remoteBytes += len(data) + 28
		f.remoteKinds[aubmembership.KindOf(data)] += len(data) + 28
	}
	if f.random.Float64() < f.loss || f.isCut != nil && f.isCut(from, to) {
		return
	}
	delay := time.Duration(1000+f.random.IntN(2000)) * time.Microsecond
	f.inFlight = append(f.inFlight, modelDatagram{at: f.timer.Now().Add(delay), from: from, to: to, data: data})
}

// run advances the fleet and calls work before each step.
func (f *loadFleet) run(d time.Duration, work func()) {
	for range d / modelStep {
		if work != nil {
			work()
		}
		f.timer.Advance(modelStep)
		f.steps++
		now := f.timer.Now()
		due := f.inFlight
		f.inFlight = nil
		for _, datagram := range due {
			if datagram.at.After(now) {
				f.inFlight = append(f.inFlight, datagram)
				continue
			}
			if !datagram.to.isStopped {
				datagram.to.node.Receive(datagram.from.address, datagram.data)
			}
		}
		for _, r := range f.relays {
			f.update(r, now)
		}
	}
}

// update sends what is due at a relay, as the sending goroutine does.
func (f *loadFleet) update(r *modelRelay, now time.Time) {
	if r.isStopped {
		return
	}
	if (time.Duration(f.steps)*modelStep+r.fullOffset)%(500*time.Millisecond) == 0 {
		r.node.SendUpdates(true)
	}
	if r.sendAt.IsZero() && r.node.TakeNotification() {
		r.sendAt = now.Add(r.node.SendPause())
	}
	if delay, isDue := r.node.ZoneDelay(); isDue && delay == 0 {
		r.node.SendUpdates(false)
	}
	if !r.sendAt.IsZero() && !r.sendAt.After(now) {
		r.sendAt = time.Time{}
		r.node.SendUpdates(false)
	}
}

// serve begins and ends requests at random relays so that each has perSecond of them, of 300 ms
// each on average.
func (f *loadFleet) serve(perSecond float64) func() {
	return func() {
		for _, r := range f.relays {
			if r.isStopped || f.random.Float64() > perSecond*modelStep.Seconds() {
				continue
			}
			id := fmt.Sprintf("engine-%02d", f.random.IntN(modelBackends))
			load := r.loads[id]
			load.Requests++
			load.PrefillTokens += 900
			r.loads[id] = load
			r.tokensUsed[fmt.Sprintf("workspace-%02d", f.random.IntN(modelWorkspaces))] += 1000
			r.node.NotifyLoadChanged()
		}
		for _, r := range f.relays {
			for _, id := range sortedIDs(r.loads) {
				load := r.loads[id]
				if f.random.Float64() > float64(load.Requests)*modelStep.Seconds()/0.3 {
					continue
				}
				load.Requests--
				load.PrefillTokens -= 900
				r.loads[id] = load
				if load.Requests == 0 {
					delete(r.loads, id)
				}
				r.node.NotifyLoadChanged()
			}
		}
	}
}

func sortedIDs(loads map[string]aubmembership.Load) []string {
	ids := make([]string, 0, len(loads))
	for id := range loads {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// spent returns the tokens spent by all relays but one.
func (f *loadFleet) spentByOthers(self *modelRelay, workspace string) int64 {
	var sum int64
	for _, r := range f.relays {
		if r != self {
			sum += r.tokensUsed[workspace]
		}
	}
	return sum
}

// TestExchangedBytesBetweenZones guards against an exchange of loads whose bytes between zones
// grow with the square of the number of relays. The targets are 0.4 at 24 relays and 0.15 at 105.
func TestExchangedBytesBetweenZones(t *testing.T) {
	for name, c := range map[string]struct {
		relays    int
		perSecond float64
		target    float64
	}{
		"24 relays":                {relays: 24, perSecond: 5, target: 0.4},
		"24 relays with more load": {relays: 24, perSecond: 20, target: 0.4},
		"105 relays":               {relays: 105, perSecond: 5, target: 0.15},
	} {
		t.Run(name, func(t *testing.T) {
			measure := func(isZoned bool) (remote float64) {
				f := newLoadFleet(t, c.relays, isZoned)
				f.run(3*time.Second, f.serve(c.perSecond))
				f.remoteBytes, f.ownBytes = 0, 0
				clear(f.remoteKinds)
				f.run(2*time.Second, f.serve(c.perSecond))
				perSecond := 2 * c.relays
				for _, kind := range slices.Sorted(maps.Keys(f.remoteKinds)) {
					t.Logf("| %d | %.0f | %v | %s, other zones | %d |", c.relays, c.perSecond, isZoned, kind, f.remoteKinds[kind]/perSecond)
				}
				t.Logf("| %d | %.0f | %v | all, own zone | %d |", c.relays, c.perSecond, isZoned, f.ownBytes/perSecond)
				return float64(f.remoteBytes) / float64(perSecond)
			}
			direct, zoned := measure(false), measure(true)
			t.Logf("%.0f of %.0f B/s for each relay: %.3f", zoned, direct, zoned/direct)
			qt.Check(t, zoned < c.target*direct, qt.IsTrue)
		})
	}
}

// staleness records how old the first relay's knowledge of the work in another zone is: the age
// of the oldest change of a relay there that it does not know.
type staleness struct {
	fleet *loadFleet
	// changedAt holds when a relay's probe had each value.
	changedAt map[string][]time.Time
	samples   []time.Duration
}

// sample changes probes at random and records one age for each relay of the other zone.
func (s *staleness) sample(perSecond float64) {
	f, now := s.fleet, s.fleet.timer.Now()
	for _, r := range f.relays {
		if r.zone != "zone-1" {
			continue
		}
		probe := "probe-" + r.name
		if f.random.Float64() < perSecond*modelStep.Seconds() {
			s.changedAt[probe] = append(s.changedAt[probe], now)
			r.loads[probe] = aubmembership.Load{Requests: len(s.changedAt[probe])}
			r.node.NotifyLoadChanged()
		}
		age := time.Duration(0)
		if known := f.relays[0].node.PeerLoad(probe).Requests; known < len(s.changedAt[probe]) {
			age = now.Sub(s.changedAt[probe][known])
		}
		s.samples = append(s.samples, age)
	}
}

// TestZoneSumsStayFresh guards against sums that reach other zones late. The target is 150 ms at
// the 99th percentile with 24 relays.
func TestZoneSumsStayFresh(t *testing.T) {
	f := newLoadFleet(t, 24, true)
	f.run(3*time.Second, nil)
	s := &staleness{fleet: f, changedAt: map[string][]time.Time{}}
	f.run(4*time.Second, func() { s.sample(20) })
	slices.Sort(s.samples)
	p99 := s.samples[len(s.samples)*99/100]
	t.Logf("99th percentile %v of %d samples", p99, len(s.samples))
	qt.Assert(t, p99 <= 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", p99))
}

// TestCountersAreCountedOnce guards against tokens that are counted twice or never while sums
// have several senders, datagrams are lost and overtake each other, and relays stop and restart.
func TestCountersAreCountedOnce(t *testing.T) {
	for name, disturb := range map[string]func(f *loadFleet){
		"none":        func(*loadFleet) {},
		"sender dead": func(f *loadFleet) { f.relays[1].isStopped = true },
		"two senders": func(f *loadFleet) {
			// Relay 4 of zone 1 does not hear relay 1, which sends the sums of zone 1.
			f.isCut = func(from, to *modelRelay) bool { return from == f.relays[1] && to == f.relays[4] }
		},
		"sender cut off from other zones": func(f *loadFleet) {
			f.isCut = func(from, to *modelRelay) bool { return from == f.relays[1] && to.zone != "zone-1" }
		},
		"lost datagrams": func(f *loadFleet) { f.loss = 0.2 },
		"sender frozen":  func(f *loadFleet) { f.relays[1].isStopped = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newLoadFleet(t, 24, true)
			f.run(3*time.Second, nil)
			work := f.serve(20)
			f.run(2*time.Second, work)
			disturb(f)
			f.run(3*time.Second, work)
			if name == "sender frozen" {
				f.relays[1].isStopped = false
			}
			f.loss = 0
			f.run(2*time.Second, work)
			// Without a path to another zone only a later full report of the counters arrives.
			f.isCut = nil
			f.run(18*time.Second, nil)
			for _, r := range f.relays {
				for w := range modelWorkspaces {
					workspace := fmt.Sprintf("workspace-%02d", w)
					if !r.isStopped {
						qt.Check(t, r.peerTokens[workspace], qt.Equals, f.spentByOthers(r, workspace), qt.Commentf("%s %s", r.name, workspace))
					}
				}
				for b := range modelBackends {
					id := fmt.Sprintf("engine-%02d", b)
					want := 0
					for _, other := range f.relays {
						if other != r && !other.isStopped {
							want += other.loads[id].Requests
						}
					}
					if !r.isStopped {
						qt.Check(t, r.node.PeerLoad(id).Requests, qt.Equals, want, qt.Commentf("%s %s", r.name, id))
					}
				}
			}
		})
	}
}

// TestAnotherRelayTakesOver guards against a zone whose work stays unknown after its sender
// stops. The target is 1.5 s.
func TestAnotherRelayTakesOver(t *testing.T) {
	for name, disturb := range map[string]func(f *loadFleet){
		"dead": func(f *loadFleet) { f.relays[1].isStopped = true },
		"cut off from other zones": func(f *loadFleet) {
			f.isCut = func(from, to *modelRelay) bool {
				return (from == f.relays[1] || to == f.relays[1]) && from.zone != to.zone
			}
		},
		"cut off in one direction": func(f *loadFleet) {
			f.isCut = func(from, to *modelRelay) bool { return from == f.relays[1] && from.zone != to.zone }
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLoadFleet(t, 24, true)
			f.run(4*time.Second, f.serve(5))
			disturb(f)
			f.run(100*time.Millisecond, nil)
			f.relays[22].loads["engine-new"] = aubmembership.Load{Requests: 7}
			f.relays[22].node.NotifyLoadChanged()
			f.run(1400*time.Millisecond, nil)
			for _, r := range f.relays {
				if r.zone != "zone-1" {
					qt.Check(t, r.node.PeerLoad("engine-new").Requests, qt.Equals, 7, qt.Commentf("%s", r.name))
				}
			}
			// The next sender stays while the first one is cut off.
			f.relays[22].loads["engine-new"] = aubmembership.Load{Requests: 9}
			f.relays[22].node.NotifyLoadChanged()
			f.run(10*time.Second, nil)
			qt.Check(t, f.relays[0].node.PeerLoad("engine-new").Requests, qt.Equals, 9)
		})
	}
}

// spentTokens is what one request spent.
type spentTokens struct {
	at     time.Time
	tokens int64
}

// TestSumsKeepWorkspacesWithinTheirLimits guards against workspaces that exceed rate and burst
// because counters reach other zones later or not. In no 8 s may a workspace exceed them by more
// than a tenth and 110,000 tokens.
func TestSumsKeepWorkspacesWithinTheirLimits(t *testing.T) {
	const (
		rate, burst, slack = 160000, 160000, 110000
		window             = 8 * time.Second
	)
	limits := &aublimit.CountersOpts{
		Limits:  func(string) (int64, int64, bool) { return rate, burst, true },
		Overrun: 0.1, Slack: slack,
	}
	sender := func(f *loadFleet) *modelRelay { return f.relays[1] }
	for name, c := range map[string]struct{ begin, end func(f *loadFleet) }{
		"undisturbed":   {},
		"sender dead":   {begin: func(f *loadFleet) { sender(f).isStopped = true }},
		"sender frozen": {begin: func(f *loadFleet) { sender(f).isStopped = true }, end: func(f *loadFleet) { sender(f).isStopped = false }},
		"sender restarts": {begin: func(f *loadFleet) { sender(f).isStopped = true }, end: func(f *loadFleet) {
			f.start(sender(f), 2)
		}},
		"sender cut off from other zones": {begin: func(f *loadFleet) {
			f.isCut = func(from, to *modelRelay) bool { return from == sender(f) && to.zone != from.zone }
		}, end: func(f *loadFleet) { f.isCut = nil }},
		"two senders": {begin: func(f *loadFleet) {
			f.isCut = func(from, to *modelRelay) bool { return from == sender(f) && to == f.relays[4] }
		}, end: func(f *loadFleet) { f.isCut = nil }},
		"lost datagrams": {begin: func(f *loadFleet) { f.loss = 0.2 }, end: func(f *loadFleet) { f.loss = 0 }},
		"all senders dead": {begin: func(f *loadFleet) {
			f.relays[0].isStopped, f.relays[1].isStopped, f.relays[2].isStopped = true, true, true
		}},
		"zone cut off by its senders' datagrams": {begin: func(f *loadFleet) {
			f.isCut = func(from, _ *modelRelay) bool {
				return from.name == "relay-000" || from.name == "relay-001" || from.name == "relay-002"
			}
		}, end: func(f *loadFleet) { f.isCut = nil }},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range 3 {
				// The direct exchange is run once for comparison.
				isZoned := i > 0
				f := newLimitedFleet(t, 24, isZoned, limits)
				f.random = rand.New(rand.NewPCG(modelSeed, uint64(i)))
				var spent []spentTokens
				work := func() {
					for _, r := range f.relays {
						// Three times the rate in requests of 2,000 tokens each on average.
						if r.isStopped || f.random.Float64() > 3*rate/2000.0/24*modelStep.Seconds() {
							continue
						}
						tokens := int64(500 + f.random.IntN(3000))
						if _, err := r.limiter.Reserve(context.Background(), "w", tokens); err == nil {
							spent = append(spent, spentTokens{at: f.timer.Now(), tokens: tokens})
							r.node.NotifyLoadChanged()
						}
					}
				}
				f.run(3*time.Second, nil)
				f.run(5*time.Second, work)
				if c.begin != nil {
					c.begin(f)
				}
				f.run(4*time.Second, work)
				if c.end != nil {
					c.end(f)
				}
				f.run(6*time.Second, work)
				largest, sum, first := int64(0), int64(0), 0
				for _, s := range spent {
					sum += s.tokens
					for s.at.Sub(spent[first].at) > window {
						sum -= spent[first].tokens
						first++
					}
					largest = max(largest, sum)
				}
				allowed := int64(1.1*(rate*window.Seconds()+burst)) + slack
				t.Logf("seed %d zoned %v: at most %d of %d allowed tokens in %v", i, isZoned, largest, allowed, window)
				qt.Check(t, largest <= allowed, qt.IsTrue)
			}
		})
	}
}

// TestSumsOverSockets guards against sums that wait for a timer which the sending goroutine
// does not serve.
func TestSumsOverSockets(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	addresses := []string{"127.0.0.1:41741", "127.0.0.1:41742", "127.0.0.1:41743"}
	var requests atomic.Int32
	exchanges := make([]*aubmembership.LoadExchange, 0, len(addresses))
	defer func() {
		cancel()
		for _, x := range exchanges {
			<-x.Done()
		}
	}()
	for i, zone := range []string{"a", "a", "b"} {
		x, err := aubmembership.NewLoadExchange(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubmembership.LoadExchangeOpts{
			Listen: addresses[i], Secret: []byte("s"), Instance: fmt.Sprintf("r%d", i), Incarnation: 1, Zone: zone, IsZoned: func() bool { return true },
			Loads: func() map[string]aubmembership.Load {
				if n := int(requests.Load()); i == 1 && n > 0 {
					return map[string]aubmembership.Load{"e1": {Requests: n}}
				}
				return nil
			},
		})
		qt.Assert(t, err, qt.IsNil)
		exchanges = append(exchanges, x)
		x.SetPeers(slices.Delete(slices.Clone(addresses), i, i+1))
	}
	time.Sleep(2 * time.Second)
	for n := range int32(40) {
		requests.Store(n + 1)
		exchanges[1].NotifyLoadChanged()
		time.Sleep(5 * time.Millisecond)
	}
	changedAt := time.Now()
	awaitCondition(t, "the sums reach the other zone", func() bool { return exchanges[2].PeerLoad("e1").Requests == 40 })
	t.Logf("after %v", time.Since(changedAt))
	qt.Assert(t, exchanges[0].PeerLoad("e1").Requests, qt.Equals, 40)
}
