package aubstate_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubstate"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// filledTable returns a table with one workspace and the given number of keys.
func filledTable(b *testing.B, objects int) *aubstate.ConfigTable {
	b.Helper()
	table := newTable()
	ticket := aubapi.Ticket{Number: 1, Workspaces: []aubapi.Workspace{{Name: "w", Rate: 1, Burst: 1}}}
	for i := range objects {
		ticket.Keys = append(ticket.Keys, benchKey(i))
	}
	apply(b, table, ticket)
	return table
}

func benchKey(i int) aubapi.Key {
	return aubapi.Key{
		Name: fmt.Sprintf("key-%06d", i), Workspace: "w", Lookup: fmt.Sprintf("%08x", i),
		Salt: fmt.Sprintf("%032x", i), Hash: fmt.Sprintf("%064x", i),
	}
}

// BenchmarkApply measures an accepted ticket that changes one key, by the number of
// stored objects.
func BenchmarkApply(b *testing.B) {
	for _, objects := range []int{100, 1_000, 10_000 - 1} {
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			table := filledTable(b, objects)
			number := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				number++
				key := benchKey(int(number) % objects)
				key.Withdrawn = number%2 == 0
				apply(b, table, aubapi.Ticket{Number: number, Keys: []aubapi.Key{key}})
			}
		})
	}
}

// BenchmarkState measures encoding a snapshot and reports the sizes of the state, by
// the number of objects and of decided tickets.
func BenchmarkState(b *testing.B) {
	for _, size := range []struct{ objects, tickets int }{
		{100, 0}, {1_000, 0}, {9_999, 0}, {100, 1_000}, {100, 10_000}, {100, 65_536},
	} {
		b.Run(fmt.Sprintf("objects=%d/tickets=%d", size.objects, size.tickets), func(b *testing.B) {
			before := heapBytes()
			table := filledTable(b, size.objects)
			for n := range size.tickets {
				apply(b, table, aubapi.Ticket{Number: uint64(n + 2), Keys: []aubapi.Key{benchKey(n % 100)}})
			}
			heapGrowth := heapBytes() - before
			var data []byte
			for b.Loop() {
				var err error
				data, err = table.Snapshot()
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
			b.ReportMetric(float64(heapGrowth), "heap-bytes")
			runtime.KeepAlive(table)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
