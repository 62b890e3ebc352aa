package aubregistry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDelayAfterFailures guards against relays that serve nothing for tenths of a second after
// the control processes are up, and against attempts without a pause.
func TestDelayAfterFailures(t *testing.T) {
	// A restarted relay should serve 0.4 s after its start, so that attempts within that time
	// are at most a quarter of it apart.
	for waited, failures := time.Duration(0), 1; waited < 400*time.Millisecond; failures++ {
		qt.Assert(t, delayAfter(failures) <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%d failures", failures))
		waited += delayAfter(failures)
	}
	qt.Assert(t, delayAfter(1), qt.Equals, quickReconnectDelay)
	qt.Assert(t, delayAfter(100), qt.Equals, reconnectDelay)
}
