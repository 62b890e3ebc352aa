package aubmembership

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// leaveNotices is how often the leaving notice is sent at once; every later
	// announcement carries it too.
	leaveNotices = 3
	// pacesPerInterval is how many steps spread the sends of one interval.
	pacesPerInterval = 10
	// relaysPerTimeout is how often within the timeout an entry relays what it holds.
	relaysPerTimeout = 3
	// jitterShare is the largest share by which an interval is shortened or lengthened.
	jitterShare = 0.1
)

// Membership announces this process to the seeds and gathers what others
// announce. Goroutines end with the context given to NewMembership.
type Membership struct {
	common    aubcommon.Common
	opts      MembershipOpts
	registry  *Registry
	transport *transport
	outbox    *outbox
	counters  counters
	name      string
	seeds     []netip.AddrPort
	leaving   atomic.Bool
	// hurry asks for an announcement before its time.
	hurry  chan struct{}
	wanted atomic.Bool
	done   chan struct{}
}

var _ Source = (*Membership)(nil)

// NewMembership listens and announces until ctx ends. Errors are *OptsError or
// those of the socket.
func NewMembership(ctx context.Context, common aubcommon.Common, opts MembershipOpts) (*Membership, error) {
	opts = opts.withDefaults()
	if err := opts.check(); err != nil {
		return nil, err
	}
	common = common.WithPart("membership")
	m := &Membership{
		common:   common,
		opts:     opts,
		registry: NewRegistry(opts.Timeout),
		name:     opts.Self().GetName(),
		counters: newCounters(common.Metrics),
		hurry:    make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	t, err := newTransport(ctx, common.Log, opts.Listen, m.receive)
	if err != nil {
		return nil, oops.In("membership").Wrapf(err, "listen on %s", opts.Listen)
	}
	m.transport = t
	m.outbox = newOutbox(opts.Budget, t.send, m.counters)
	m.seeds = seedsWithout(opts.Seeds, t.address())
	t.start()
	paces := common.Timer.Subscribe(ctx, opts.Interval/pacesPerInterval)
	go func() {
		defer close(m.done)
		m.run(ctx, paces)
		t.wait()
	}()
	return m, nil
}

// View implements Source.
func (m *Membership) View() View { return m.registry.View(m.common.Timer.Now()) }

// Address returns the UDP address listened on.
func (m *Membership) Address() netip.AddrPort { return m.transport.address() }

// Leave announces, at once and from now on, that this process takes no new work.
func (m *Membership) Leave() {
	m.leaving.Store(true)
	m.Announce()
}

// Announce sends the next announcement at once, or soon when one was just sent.
// Call it after changes that others wait for.
func (m *Membership) Announce() {
	select {
	case m.hurry <- struct{}{}:
	default:
	}
}

// Done is closed once the membership has ended with its context.
func (m *Membership) Done() <-chan struct{} { return m.done }

// run paces announcements, relays and leaving notices.
func (m *Membership) run(ctx context.Context, paces <-chan time.Time) {
	a := newAnnouncer(m)
	a.step(m.common.Timer.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.hurry:
			a.hurry(m.common.Timer.Now())
		case <-paces:
			a.step(m.common.Timer.Now())
		}
	}
}

// receive takes in one datagram on the event loop's goroutine.
func (m *Membership) receive(from netip.AddrPort, data []byte) {
	m.counters.received(len(data))
	d, err := Open(m.opts.Secret, data)
	if err != nil {
		m.counters.rejected.Inc(1)
		m.common.Log.Debug("Datagram rejected.", zap.Stringer("from", from), zap.Error(err))
		return
	}
	if slices.Contains(d.GetWanted(), m.name) {
		m.wanted.Store(true)
	}
	m.registry.RelayWanted(d.GetWanted())
	// Only the first announcement of a datagram can be the sender's own; the
	// parts of one announcement share its name.
	own := ""
	if len(d.GetAnnouncements()) > 0 && !d.GetRelayed() {
		own = d.GetAnnouncements()[0].GetName()
	}
	now := m.common.Timer.Now()
	var names []string
	for _, a := range d.GetAnnouncements() {
		if a.GetName() == m.name {
			m.counters.ownName.Inc(1)
			continue
		}
		verdict := m.registry.Apply(now, a, a.GetName() == own)
		m.counters.verdict(verdict)
		if verdict == VerdictFresh {
			names = append(names, a.GetName())
		}
	}
	m.ask(from, names)
}

// ask requests the full report of members whose residents are not known here.
func (m *Membership) ask(to netip.AddrPort, names []string) {
	wanted := m.registry.Wanted(names)
	if len(wanted) == 0 {
		return
	}
	sealed, err := Seal(m.opts.Secret, &aubwire.Datagram{Wanted: wanted})
	if err != nil {
		return
	}
	m.outbox.sendNow(m.common.Timer.Now(), to, sealed)
}

func seedsWithout(addresses []string, own netip.AddrPort) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, address := range addresses {
		// The options were checked: the address parses.
		if a := unmap(netip.MustParseAddrPort(address)); a != own {
			seeds = append(seeds, a)
		}
	}
	return seeds
}
