package aubagent_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubagent"
	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubstandin"
)

// cpuNanos returns the CPU time of this process so far, in nanoseconds.
func cpuNanos(b *testing.B) int64 {
	var usage syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// BenchmarkExecution measures the CPU time of executor, agent and stand-in engine
// together. The slope over the token counts is the time of one token.
func BenchmarkExecution(b *testing.B) {
	for _, tokens := range []int{1, 64, 256, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			f := newEngineFixture(b, aubstandin.EngineOpts{Items: []aubengine.Item{readyItem("m", gib)}}, fastOpts())
			f.ctx = context.Background()
			f.awaitReady(b, "m")
			cpuBefore := cpuNanos(b)
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprintf("r%d", i)
				req := chatRequest(id, "m", "hello", true)
				body := `{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`
				req.Body = strings.NewReader(fmt.Sprintf(body, tokens))
				_, _, err := f.call(req)
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(cpuNanos(b)-cpuBefore)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkEngineDirect measures the same requests without agent and executor.
func BenchmarkEngineDirect(b *testing.B) {
	for _, tokens := range []int{1, 64, 256, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			f := newEngineFixture(b, aubstandin.EngineOpts{Items: []aubengine.Item{readyItem("m", gib)}}, fastOpts())
			client := aubengine.NewClient(f.ctx, f.common, aubengine.ClientOpts{URL: f.opts.EngineURL})
			f.awaitReady(b, "m")
			cpuBefore := cpuNanos(b)
			b.ResetTimer()
			for range b.N {
				body := `{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`
				resp, err := client.Do(context.Background(), aubengine.Call{
					Method: "POST",
					Path:   "/v1/chat/completions",
					Body:   fmt.Appendf(nil, body, tokens),
				})
				qt.Assert(b, err, qt.IsNil)
				events := aubengine.NewEventReader(resp.Body)
				for err == nil {
					_, err = events.Next()
				}
				_ = resp.Body.Close()
			}
			b.ReportMetric(float64(cpuNanos(b)-cpuBefore)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkIdleAgent measures the heap of one idle agent whose engine has 16 items.
func BenchmarkIdleAgent(b *testing.B) {
	items := make([]aubengine.Item, 16)
	for i := range items {
		items[i] = readyItem(fmt.Sprintf("m%d", i), gib)
	}
	f := newEngineFixture(b, aubstandin.EngineOpts{Items: items}, fastOpts())
	heapBefore := heapBytes()
	agents := make([]*aubagent.Agent, 0, b.N)
	b.ResetTimer()
	for range b.N {
		agent, err := aubagent.NewAgent(f.ctx, f.common, f.opts)
		qt.Assert(b, err, qt.IsNil)
		agents = append(agents, agent)
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-heapBefore)/float64(b.N), "heap-B/agent")
	runtime.KeepAlive(agents)
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
