package aubqueue_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubqueue"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// BenchmarkAdmit measures one admission and release, without and with waiting
// requests.
func BenchmarkAdmit(b *testing.B) {
	for _, workspaces := range []int{5, 50, 280} {
		b.Run(fmt.Sprintf("free/workspaces=%d", workspaces), func(b *testing.B) {
			q := aubqueue.New(aubcommon.NewCommon(aubtimer.NewReal()), aubqueue.Opts{})
			names := workspaceNames(workspaces)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				slot, err := q.Admit(context.Background(), aubqueue.Item{Workspace: names[n%workspaces], Cost: 500, Group: "m"})
				if err != nil {
					b.Fatal(err)
				}
				slot.Release()
			}
		})
		b.Run(fmt.Sprintf("busy/workspaces=%d", workspaces), func(b *testing.B) { benchmarkBusy(b, workspaces) })
	}
}

// benchmarkBusy keeps 1000 requests in the queue: each iteration adds one and
// releases one.
func benchmarkBusy(b *testing.B, workspaces int) {
	const waiting = 1000
	q := aubqueue.New(aubcommon.NewCommon(aubtimer.NewReal()), aubqueue.Opts{})
	names := workspaceNames(workspaces)
	var queued []aubqueue.QueuedItem
	n := 0
	enqueue := func() {
		n++
		item, err := q.Enqueue(aubqueue.Item{Workspace: names[n%workspaces], Cost: 500, Group: "m"})
		if err != nil {
			b.Fatal(err)
		}
		queued = append(queued, item)
	}
	for range waiting {
		enqueue()
	}
	b.ReportAllocs()
	for b.Loop() {
		enqueue()
		for i := range queued {
			if slot, ok := queued[i].Slot(); ok {
				slot.Release()
				queued = append(queued[:i], queued[i+1:]...)
				break
			}
		}
	}
}

func workspaceNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%03d", i)
	}
	return names
}
