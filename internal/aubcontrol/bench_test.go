package aubcontrol_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/auburndale/auburndale/internal/aubcontrol"
)

const benchBodyBytes = 200

// counterTable holds one counter; its results have a fixed size.
type counterTable struct{ count uint64 }

func (c *counterTable) Name() string { return "counter" }

func (c *counterTable) Apply(aubcontrol.Command) []byte {
	c.count++
	return []byte{1}
}

func (c *counterTable) Snapshot() ([]byte, error) { return fmt.Append(nil, c.count), nil }

func (c *counterTable) Restore(data []byte) error {
	_, err := fmt.Sscan(string(data), &c.count)
	return err
}

// BenchmarkApply commits commands at the leader. It reports the latency of one
// command, the commands per second of all clients, the file bytes per replica
// and the heap bytes that remain per command.
func BenchmarkApply(b *testing.B) {
	for _, replicas := range []int{1, 3} {
		for _, clients := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("replicas=%d/clients=%d", replicas, clients), func(b *testing.B) {
				benchmarkApply(b, replicas, clients)
			})
		}
	}
}

func benchmarkApply(b *testing.B, replicas, clients int) {
	names := []string{"a", "b", "c"}[:replicas]
	site := newSite(b, names...)
	ctx := newContext(b)
	body := bytes.Repeat([]byte("x"), benchBodyBytes)
	_, err := site.instances["a"].replica.Apply(ctx, "counter", body)
	qt.Assert(b, err, qt.IsNil)
	leader := site.instances[site.instances["a"].replica.Status().Leader].replica

	latency := hdrhistogram.New(1, int64(testTimeout/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	heap := heapBytes()
	b.ResetTimer()
	for range clients {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				start := time.Now()
				_, err := leader.Apply(ctx, "counter", body)
				elapsed := time.Since(start)
				qt.Check(b, err, qt.IsNil)
				mu.Lock()
				_ = latency.RecordValue(elapsed.Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	n := float64(b.N)
	b.ReportMetric(n/b.Elapsed().Seconds(), "commands/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50_us")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99_us")
	b.ReportMetric(float64(fileBytes(b, site))/float64(replicas), "file_B/replica")
	b.ReportMetric((heapBytes()-heap)/n/float64(replicas), "heap_B/command")
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func fileBytes(b *testing.B, s *testSite) int64 {
	var sum int64
	for _, p := range s.peers {
		info, err := os.Stat(filepath.Join(s.dir, p.Name, "replica.db"))
		qt.Assert(b, err, qt.IsNil)
		sum += info.Size()
	}
	return sum
}
