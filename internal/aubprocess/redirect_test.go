package aubprocess

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRedirectsAreShared draws the targets of the calls of a large fleet's backend servers:
// each of five control processes must get its part of them, within a tenth.
func TestRedirectsAreShared(t *testing.T) {
	const calls = 10_000
	addresses := []string{"10.1.0.1:7600", "10.2.0.1:7600", "10.3.0.1:7600", "10.4.0.1:7600", "10.5.0.1:7600"}
	rnd := rand.New(rand.NewPCG(1, 1))
	counts := make(map[string]int)
	for range calls {
		target, ok := redirectTarget(addresses, "10.9.0.1:8229", rnd.IntN)
		qt.Assert(t, ok, qt.IsTrue)
		counts[target]++
	}
	qt.Assert(t, counts, qt.HasLen, len(addresses))
	for target, count := range counts {
		mean := calls / len(addresses)
		qt.Check(t, count > mean*9/10 && count < mean*11/10, qt.IsTrue, qt.Commentf("%s: %d", target, count))
	}
	qt.Assert(t, counts["10.3.0.1:8229"] > 0, qt.IsTrue)
}

func TestRedirectWithoutTarget(t *testing.T) {
	for name, addresses := range map[string][]string{"none connected": nil, "unreadable address": {"x"}} {
		t.Run(name, func(t *testing.T) {
			_, ok := redirectTarget(addresses, "10.9.0.1:8229", rand.IntN)
			qt.Assert(t, ok, qt.IsFalse)
		})
	}
}
