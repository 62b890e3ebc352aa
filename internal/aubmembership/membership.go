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
	// leaveNotices is the number of leaving notices sent back to back when a process
	// starts to leave. All later announcements are marked as leaving too.
	leaveNotices = 3
	// ticksPerInterval is the number of ticks over which the datagrams of one
	// interval are spread.
	ticksPerInterval = 10
	// relaysPerTimeout is the number of relay rounds within one timeout.
	relaysPerTimeout = 3
	// maxJitterShare is the maximum share by which an interval is shortened or
	// lengthened.
	maxJitterShare = 0.1
)

// Membership announces this process to the seeds and collects the announcements of
// other processes. Its goroutines end with the context given to NewMembership.
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
	// announceNow requests an announcement before the next scheduled round.
	announceNow chan struct{}
	// residentsRequested is true when another process requested the residents of
	// this one.
	residentsRequested atomic.Bool
	done               chan struct{}
}

var _ Source = (*Membership)(nil)

// NewMembership listens and announces until ctx is done. Errors are *OptsError or
// those of the socket.
func NewMembership(ctx context.Context, common aubcommon.Common, opts MembershipOpts) (*Membership, error) {
	opts = opts.withDefaults()
	if err := opts.check(); err != nil {
		return nil, err
	}
	common = common.WithPart("membership")
	m := &Membership{
		common:      common,
		opts:        opts,
		registry:    NewRegistry(opts.Timeout),
		name:        opts.Self().GetName(),
		counters:    newCounters(common.Metrics),
		announceNow: make(chan struct{}, 1),
		done:        make(chan struct{}),
	}
	t, err := newTransport(ctx, common.Log, opts.Listen, m.receive)
	if err != nil {
		return nil, oops.In("membership").Wrapf(err, "listen on %s", opts.Listen)
	}
	m.transport = t
	m.outbox = newOutbox(opts.Budget, t.send, m.counters)
	m.seeds = seedsWithout(opts.Seeds, t.address())
	t.start()
	ticks := common.Timer.Subscribe(ctx, opts.Interval/ticksPerInterval)
	go func() {
		defer close(m.done)
		m.run(ctx, ticks)
		t.wait()
	}()
	return m, nil
}

// View implements Source.
func (m *Membership) View() View { return m.registry.View(m.common.Timer.Now()) }

// Address returns the local UDP address.
func (m *Membership) Address() netip.AddrPort { return m.transport.address() }

// Leave announces immediately, and in all later announcements, that this process
// takes no new work.
func (m *Membership) Leave() {
	m.leaving.Store(true)
	m.Announce()
}

// Announce requests an announcement before the next scheduled round, for changes
// that other processes wait for. It does not block.
func (m *Membership) Announce() {
	select {
	case m.announceNow <- struct{}{}:
	default:
	}
}

// Done returns a channel that is closed once all goroutines have ended.
func (m *Membership) Done() <-chan struct{} { return m.done }

// run sends announcements, relays and leaving notices until ctx is done.
func (m *Membership) run(ctx context.Context, ticks <-chan time.Time) {
	a := newAnnouncer(m)
	a.tick(m.common.Timer.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.announceNow:
			a.announceEarly(m.common.Timer.Now())
		case <-ticks:
			a.tick(m.common.Timer.Now())
		}
	}
}

// receive handles one datagram. It runs on the event loop's goroutine.
func (m *Membership) receive(from netip.AddrPort, data []byte) {
	m.counters.received(len(data))
	d, err := DecodeDatagram(m.opts.Secret, data)
	if err != nil {
		m.counters.rejected.Inc(1)
		m.common.Log.Debug("Datagram rejected.", zap.Stringer("from", from), zap.Error(err))
		return
	}
	if slices.Contains(d.GetWanted(), m.name) {
		m.residentsRequested.Store(true)
	}
	m.registry.RequestResidentRelay(d.GetWanted())
	// In a datagram that is not relayed, the first announcement is that of the
	// sender; its other parts have the same name.
	sender := ""
	if len(d.GetAnnouncements()) > 0 && !d.GetRelayed() {
		sender = d.GetAnnouncements()[0].GetName()
	}
	now := m.common.Timer.Now()
	var updated []string
	for _, a := range d.GetAnnouncements() {
		if a.GetName() == m.name {
			m.counters.ownName.Inc(1)
			continue
		}
		result := m.registry.Apply(now, a, a.GetName() == sender)
		m.counters.countResult(result)
		if result == ApplyResultNew {
			updated = append(updated, a.GetName())
		}
	}
	m.requestResidents(from, updated)
}

// requestResidents requests the residents of those of the named members whose
// current list is missing here.
func (m *Membership) requestResidents(to netip.AddrPort, names []string) {
	missing := m.registry.MissingResidents(names)
	if len(missing) == 0 {
		return
	}
	encoded, err := EncodeDatagram(m.opts.Secret, &aubwire.Datagram{Wanted: missing})
	if err != nil {
		return
	}
	m.outbox.sendNow(m.common.Timer.Now(), to, encoded)
}

// seedsWithout parses the seed addresses and leaves out the address of this process.
func seedsWithout(addresses []string, self netip.AddrPort) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, address := range addresses {
		// MembershipOpts.check has validated the addresses.
		if a := unmap(netip.MustParseAddrPort(address)); a != self {
			seeds = append(seeds, a)
		}
	}
	return seeds
}
