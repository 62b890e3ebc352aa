package aublimit_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

func manyWorkspaces(n int) *fakeSource {
	workspaces := make([]aubapi.Workspace, n)
	for i := range workspaces {
		workspaces[i] = aubapi.Workspace{Name: fmt.Sprintf("workspace-%03d", i), Rate: 1_000_000, Burst: 2_000_000}
	}
	return newFakeSource(workspaces...)
}

// BenchmarkReserveSettle measures the CPU time of one reservation.
func BenchmarkReserveSettle(b *testing.B) {
	source := newFakeSource(aubapi.Workspace{Name: workspace, Rate: 1e9, Burst: 1e9})
	startedAt := time.Now()
	log := newFakeLog(source, aublimit.LeaseParams{}, func() time.Duration { return time.Since(startedAt) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := aublimit.NewLimiter(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aublimit.LimiterOpts{
		Instance: "a", Zone: "z", Incarnation: 1, Proposer: log, Source: source,
	})
	b.ReportAllocs()
	refused := 0
	for b.Loop() {
		r, err := l.Reserve(ctx, workspace, 100)
		if err != nil {
			refused++
			continue
		}
		r.Settle(60)
	}
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
}

// BenchmarkSync measures the commits and bytes per second of virtual time, and the
// CPU time of the table and the limiters for one second of virtual time.
func BenchmarkSync(b *testing.B) {
	cases := []struct{ workspaces, instances, requests int }{
		{5, 3, 0}, {5, 3, 50}, {5, 3, 500}, {5, 10, 500}, {50, 3, 500}, {50, 10, 500}, {50, 30, 500}, {280, 10, 500}, {280, 10, 5000},
	}
	for _, c := range cases {
		b.Run(fmt.Sprintf("workspaces=%d/instances=%d/requests=%d", c.workspaces, c.instances, c.requests), func(b *testing.B) {
			source := manyWorkspaces(c.workspaces)
			fleet := newLeaseFleet(source, c.instances)
			sent := 0
			runSecond := func() {
				for step := range int(time.Second / fleetStep) {
					fleet.step()
					for sent*int(time.Second/fleetStep) < (step+1)*c.requests {
						r, _, err := fleet.holders[sent%c.instances].limiter.TryReserve(fmt.Sprintf("workspace-%03d", sent%c.workspaces), 500)
						if err == nil {
							fleet.running = append(fleet.running, runningRequest{end: fleet.now + time.Second, used: 300, reservation: r})
						}
						sent++
					}
				}
				sent = 0
			}
			for range 3 {
				runSecond()
			}
			fleet.syncs, fleet.log.bytes, fleet.log.replyBytes = 0, 0, 0
			seconds := 0
			for b.Loop() {
				runSecond()
				seconds++
			}
			b.ReportMetric(float64(fleet.syncs)/float64(seconds), "commits/s")
			b.ReportMetric(float64(fleet.log.bytes)/float64(seconds), "command_B/s")
			b.ReportMetric(float64(fleet.log.replyBytes)/float64(seconds), "reply_B/s")
			data, err := fleet.log.table.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "snapshot_B")
		})
	}
}

// BenchmarkMemory measures the heap of the table and the limiters for each pair of
// workspace and instance.
func BenchmarkMemory(b *testing.B) {
	for _, c := range []struct{ workspaces, instances int }{{50, 10}, {280, 10}, {280, 40}} {
		b.Run(fmt.Sprintf("workspaces=%d/instances=%d", c.workspaces, c.instances), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				fleet := newLeaseFleet(manyWorkspaces(c.workspaces), c.instances)
				for range 600 {
					fleet.step()
				}
				increase := heapBytes() - before
				b.ReportMetric(float64(increase)/float64(c.workspaces*c.instances), "B/pair")
				runtime.KeepAlive(fleet)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) //nolint:gosec // The heap of a test fits an int64.
}
