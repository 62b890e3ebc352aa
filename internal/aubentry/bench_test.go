package aubentry_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubentry"
	"github.com/auburndale/auburndale/internal/aubstandin"
)

// BenchmarkStream sends streams of 64 tokens through entry, agent and stand-in engine
// in one process. The engine paces the tokens, so compare the processor time, which
// is that of all three, and not the duration.
func BenchmarkStream(b *testing.B) {
	f := newFixture(b, fixtureOpts{
		engine: aubstandin.EngineOpts{InterToken: 2 * time.Millisecond, MaxBatch: 256},
		bounds: aubentry.Bounds{MaxBodyBytes: 1 << 20},
	})
	f.awaitBackends(b)
	body := chatBody("small", `,"stream":true,"max_tokens":64`)
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := http.DefaultClient.Do(newRequest(b, f, http.MethodPost, chatPath, keyAlpha, body))
			qt.Assert(b, err, qt.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			qt.Assert(b, err, qt.IsNil)
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)*64/b.Elapsed().Seconds(), "tokens/s")
}
