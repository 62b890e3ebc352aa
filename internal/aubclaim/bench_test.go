package aubclaim_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/auburndale/auburndale/internal/aubclaim"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// BenchmarkClaim measures the CPU time, the bytes in the log and the heap of one
// claim from Begin to Finish, with a response body of 1 KiB.
func BenchmarkClaim(b *testing.B) {
	log := newFakeLog(aubclaim.TableOpts{MaxClaims: 1 << 30, MaxTotalBytes: 1 << 40})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := aubclaim.NewClaims(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubclaim.ClaimsOpts{
		Instance: "a", Incarnation: 1, Proposer: log, RetryInterval: time.Hour,
	})
	body := make([]byte, 1024)
	before := heapBytes()
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		r, err := c.Begin(ctx, claim("workspace", fmt.Sprintf("00000000-0000-0000-0000-%012d", n), "01234567890123456789012345678901"))
		if err != nil {
			b.Fatal(err)
		}
		begun, ok := r.(aubclaim.Begun)
		if !ok {
			b.Fatalf("%T", r)
		}
		if err := c.Finish(ctx, begun.Ticket, aubclaim.Outcome{Status: 200, Body: body}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap_B/claim")
	b.ReportMetric(float64(log.bytes)/float64(n), "log_B/claim")
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) //nolint:gosec // A test's heap is small.
}
