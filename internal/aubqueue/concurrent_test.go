package aubqueue_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubqueue"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// TestConcurrentAdmissionKeepsTheCapacity admits requests from many goroutines, some
// of which expire or are canceled. Running requests must stay within the capacity,
// and all slots must be free afterwards.
func TestConcurrentAdmissionKeepsTheCapacity(t *testing.T) {
	const capacity, callers, calls = 8, 32, 100
	for _, policy := range []aubqueue.Policy{aubqueue.PolicyFair, aubqueue.PolicyFCFS} {
		q := aubqueue.New(aubcommon.NewCommon(aubtimer.NewReal()), aubqueue.Opts{Policy: policy, DefaultCapacity: capacity})
		var running, maxRunning atomic.Int64
		var wg sync.WaitGroup
		for c := range callers {
			wg.Go(func() {
				for n := range calls {
					item := aubqueue.Item{Workspace: fmt.Sprint(c % 5), Cost: int64(n), Group: "m", Priority: n % 3}
					if n%4 == 0 {
						item.Deadline = time.Now().Add(time.Millisecond)
					}
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+n%5)*10*time.Millisecond)
					slot, err := q.Admit(ctx, item)
					if err != nil {
						var refused *aubqueue.RefusedError
						var canceled *aubqueue.CanceledError
						qt.Check(t, errors.As(err, &refused) || errors.As(err, &canceled), qt.IsTrue)
					} else {
						maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
						time.Sleep(time.Millisecond)
						running.Add(-1)
						slot.Release()
					}
					cancel()
				}
			})
		}
		wg.Wait()
		qt.Assert(t, maxRunning.Load() <= capacity, qt.IsTrue)
		qt.Assert(t, q.Waiting("m"), qt.Equals, 0)
		for range capacity {
			_, err := q.Admit(context.Background(), aubqueue.Item{Group: "m", Deadline: time.Now().Add(time.Minute)})
			qt.Assert(t, err, qt.IsNil)
		}
	}
}
