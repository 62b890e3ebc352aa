package aubstore_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// BenchmarkSave saves batches of entries, each batch in one synced write.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		for _, size := range []int{200, 2000} {
			b.Run(fmt.Sprintf("batch=%d/bytes=%d", batch, size), func(b *testing.B) {
				dir := b.TempDir()
				s := open(b, dir, 0)
				defer s.Close()
				qt.Assert(b, s.Save(aubstore.Update{Snapshot: snapshot(0)}), qt.IsNil)
				index := uint64(0)
				b.ResetTimer()
				for b.Loop() {
					var u aubstore.Update
					for range batch {
						index++
						u.Entries = append(u.Entries, entry(index, 1, size))
					}
					qt.Assert(b, s.Save(u), qt.IsNil)
				}
				b.StopTimer()
				info, err := os.Stat(filepath.Join(dir, "replica.db"))
				qt.Assert(b, err, qt.IsNil)
				b.ReportMetric(float64(info.Size())/float64(index), "file_B/entry")
				b.ReportMetric(float64(proto.Size(&aubwire.LogEntry{Index: index, Term: 1, Data: make([]byte, size)})), "wire_B/entry")
			})
		}
	}
}

// BenchmarkSnapshot replaces a snapshot of the given size and reports how long it
// takes to open a store that holds it.
func BenchmarkSnapshot(b *testing.B) {
	for _, megabytes := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("state_MB=%d", megabytes), func(b *testing.B) {
			dir := b.TempDir()
			s := open(b, dir, 0)
			snap := snapshot(1)
			snap.Data = make([]byte, megabytes<<20)
			for b.Loop() {
				qt.Assert(b, s.Save(aubstore.Update{Snapshot: snap}), qt.IsNil)
			}
			qt.Assert(b, s.Close(), qt.IsNil)
			start := time.Now()
			s = open(b, dir, 0)
			b.ReportMetric(float64(time.Since(start).Milliseconds()), "start_ms")
			qt.Assert(b, s.Close(), qt.IsNil)
		})
	}
}
