package aubstandin_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// TestWeightStoreSlowsAboveConcurrency checks how many steps of 10 ms pass until
// the last of several loads of 100 ms that start together has finished.
func TestWeightStoreSlowsAboveConcurrency(t *testing.T) {
	tests := []struct {
		name    string
		opts    aubstandin.WeightStoreOpts
		adapter bool
		loads   int
		steps   int
	}{
		{name: "unbounded", loads: 8, steps: 10},
		{name: "within the adapter concurrency", opts: aubstandin.WeightStoreOpts{AdapterConcurrency: 4}, adapter: true, loads: 4, steps: 10},
		{name: "twice the adapter concurrency", opts: aubstandin.WeightStoreOpts{AdapterConcurrency: 4}, adapter: true, loads: 8, steps: 20},
		{name: "twice the concurrency", opts: aubstandin.WeightStoreOpts{Concurrency: 4}, loads: 8, steps: 20},
		{name: "two model loads per second", opts: aubstandin.WeightStoreOpts{LoadsPerSecond: 2}, loads: 3, steps: 110},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			timer := aubtimer.NewManual(time.Unix(0, 0))
			store := aubstandin.NewWeightStore(aubcommon.NewCommon(timer), test.opts)
			done := make(chan error, test.loads)
			for range test.loads {
				go func() { done <- store.Fetch(context.Background(), test.adapter, 100*time.Millisecond) }()
			}
			finished, steps := 0, 0
			// settle returns once each load has finished or waits for the timer.
			settle := func() {
				for finished+timer.Waiting() < test.loads {
					select {
					case err := <-done:
						qt.Assert(t, err, qt.IsNil)
						finished++
					case <-time.After(time.Millisecond):
					}
				}
			}
			for settle(); finished < test.loads; settle() {
				timer.Advance(10 * time.Millisecond)
				steps++
			}
			qt.Assert(t, steps, qt.Equals, test.steps)
		})
	}
}

// TestRemoteStoreErrorIsNoLoad guards against a refused fetch that counts as a load.
func TestRemoteStoreErrorIsNoLoad(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, `{"error":{}}`)
	}))
	defer server.Close()
	err := aubstandin.NewRemoteWeightStore(server.URL).Fetch(t.Context(), false, time.Millisecond)
	var statusErr *aubstandin.StoreStatusError
	qt.Assert(t, errors.As(err, &statusErr), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, statusErr.Status, qt.Equals, http.StatusBadRequest)
}
