package aubmembership_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// datagramHeaderBytes is the size of the IPv4 and UDP headers.
const datagramHeaderBytes = 28

// TestBytesSentPerSecondStayWithinBudget queues more datagrams than the budget allows
// at random times and sums the bytes sent in every window of one second.
func TestBytesSentPerSecondStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type sentDatagram struct {
			at    time.Time
			bytes int
		}
		var datagrams []sentDatagram
		now := time.Unix(1000, 0)
		o := aubmembership.NewOutbox(aubmembership.DefaultBudget, func(_ netip.AddrPort, data []byte) error {
			datagrams = append(datagrams, sentDatagram{at: now, bytes: len(data) + datagramHeaderBytes})
			return nil
		})
		datagram := func() []byte {
			return make([]byte, rapid.IntRange(50, aubmembership.MaxDatagramBytes).Draw(t, "bytes"))
		}
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			o.Round(now, netip.AddrPort{}, [][]byte{datagram(), datagram()}, [][]byte{datagram(), datagram()})
			o.SendNow(now, netip.AddrPort{}, datagram())
		}
		for i := range datagrams {
			sum := 0
			for _, d := range datagrams[i:] {
				if d.at.Sub(datagrams[i].at) < time.Second {
					sum += d.bytes
				}
			}
			if sum > aubmembership.DefaultBudget {
				t.Fatalf("%d bytes sent in the second from %v", sum, datagrams[i].at)
			}
		}
	})
}

// BenchmarkFleet measures the bytes sent by one agent and one entry and the
// processor time of one member in steady state, with three entries and load reports
// that change in every round. Each run has a fixed duration, so ns/op is not reported.
func BenchmarkFleet(b *testing.B) {
	for _, agents := range []int{15, 45, 150} {
		for _, residents := range []int{4, 40} {
			b.Run(fmt.Sprintf("agents=%d/residents=%d", agents, residents), func(b *testing.B) {
				measureFleet(b, agents, residents)
			})
		}
	}
}

const (
	fleetWarmup  = 6 * time.Second
	fleetMeasure = 6 * time.Second
)

// measureFleet runs three entries and the given number of agents in this process and
// reports the metrics.
func measureFleet(b *testing.B, agents, residents int) {
	agentScope := tally.NewTestScope("", nil)
	entryScope := tally.NewTestScope("", nil)
	seeds := make([]string, 0, 3)
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", 39101+i))
	}
	var load atomic.Int32
	ctx, cancel := context.WithCancel(context.Background())
	var memberships []*aubmembership.Membership
	defer func() {
		cancel()
		for _, m := range memberships {
			<-m.Done()
		}
	}()
	join := func(scope tally.Scope, listen string, self *aubwire.Announcement) {
		m, err := aubmembership.NewMembership(ctx,
			aubcommon.NewCommon(aubtimer.NewReal()).WithMetrics(scope),
			aubmembership.MembershipOpts{
				Listen: listen, Seeds: seeds, Secret: []byte("secret"),
				Self: func() *aubwire.Announcement {
					if self.GetBackend() == nil {
						return self
					}
					a := aubmembership.HeadsOf(self)[0]
					a.Backend.Resident = self.GetBackend().GetResident()
					a.Backend.Running = load.Add(1) % 50
					a.Backend.QueuedTokens = int64(a.GetBackend().GetRunning()) * 900
					return a
				},
			})
		qt.Assert(b, err, qt.IsNil)
		memberships = append(memberships, m)
	}
	for i, seed := range seeds {
		join(entryScope, seed, entry(fmt.Sprintf("entry-%d", i)))
	}
	for i := range agents {
		a := agent(fmt.Sprintf("worker-%05d", i), residents)
		a.Backend.MemoryBytes, a.Backend.MemoryUsedBytes = 80<<30, 70<<30
		a.Backend.PrefillRate, a.Backend.DecodeRate = 5000, 900
		join(agentScope, "127.0.0.1:0", a)
	}
	time.Sleep(fleetWarmup)
	agentBefore, entryBefore, cpuBefore := sentBytes(agentScope), sentBytes(entryScope), cpuTime(b)
	time.Sleep(fleetMeasure)
	seconds := fleetMeasure.Seconds()
	b.ReportMetric(float64(sentBytes(agentScope)-agentBefore)/seconds/float64(agents), "agent-bytes/s")
	b.ReportMetric(float64(sentBytes(entryScope)-entryBefore)/seconds/3, "entry-bytes/s")
	b.ReportMetric((cpuTime(b)-cpuBefore).Seconds()/seconds/float64(agents+3)*100, "core-percent/member")
	b.ReportMetric(0, "ns/op")
}

// sentBytes returns the value of the membership's counter of sent bytes.
func sentBytes(scope tally.TestScope) int64 {
	return scope.Snapshot().Counters()["membership.sent_bytes+"].Value()
}

// cpuTime returns the processor time used by this process.
func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	qt.Assert(b, unix.Getrusage(unix.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
