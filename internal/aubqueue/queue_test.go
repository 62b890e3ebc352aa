package aubqueue_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubqueue"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

func newQueue(opts aubqueue.Opts) (*aubqueue.Queue, *aubtimer.Manual) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	return aubqueue.New(aubcommon.NewCommon(timer), opts), timer
}

// admitAsync calls Admit in a goroutine and returns once the item waits or Admit has
// returned.
func admitAsync(ctx context.Context, q *aubqueue.Queue, item aubqueue.Item) <-chan error {
	before := q.Waiting(item.Group)
	done := make(chan error, 1)
	go func() {
		_, err := q.Admit(ctx, item)
		done <- err
	}()
	for q.Waiting(item.Group) == before && len(done) == 0 {
		time.Sleep(time.Millisecond)
	}
	return done
}

func TestAdmitImmediatelyRefusesRequestsThatCannotStartByTheirDeadline(t *testing.T) {
	q, timer := newQueue(aubqueue.Opts{DefaultCapacity: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, err := q.Admit(ctx, aubqueue.Item{Workspace: "a", Cost: 100, Group: "m"})
	qt.Assert(t, err, qt.IsNil)
	timer.Advance(time.Second)
	first.Release()
	_, err = q.Admit(ctx, aubqueue.Item{Workspace: "a", Cost: 100, Group: "m"})
	qt.Assert(t, err, qt.IsNil)
	admitAsync(ctx, q, aubqueue.Item{Workspace: "a", Cost: 300, Group: "m"})

	// The running request takes one second and the 300 waiting tokens three.
	_, err = q.Admit(ctx, aubqueue.Item{
		Workspace: "a", Cost: 100, Group: "m", Deadline: timer.Now().Add(2500 * time.Millisecond),
	})
	var refused *aubqueue.RefusedError
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Assert(t, refused.Reason, qt.Equals, aubqueue.ReasonDeadline)
	qt.Assert(t, refused.RetryAfter, qt.Equals, 1500*time.Millisecond)
}

func TestAdmitRefusesWaitingRequestsAtTheirDeadline(t *testing.T) {
	q, timer := newQueue(aubqueue.Opts{DefaultCapacity: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, err := q.Admit(ctx, aubqueue.Item{Group: "m"})
	qt.Assert(t, err, qt.IsNil)
	done := admitAsync(ctx, q, aubqueue.Item{Group: "m", Deadline: timer.Now().Add(time.Second)})
	for len(done) == 0 {
		timer.Advance(time.Second)
		time.Sleep(time.Millisecond)
	}
	var refused *aubqueue.RefusedError
	qt.Assert(t, errors.As(<-done, &refused), qt.IsTrue)
	qt.Assert(t, q.Waiting("m"), qt.Equals, 0)
}

func TestAdmitReturnsWhenTheContextIsCanceled(t *testing.T) {
	q, _ := newQueue(aubqueue.Opts{DefaultCapacity: 1})
	slot, err := q.Admit(context.Background(), aubqueue.Item{Group: "m"})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := admitAsync(ctx, q, aubqueue.Item{Group: "m"})
	cancel()
	var canceled *aubqueue.CanceledError
	qt.Assert(t, errors.As(<-done, &canceled), qt.IsTrue)
	qt.Assert(t, canceled, qt.ErrorIs, context.Canceled)

	slot.Release()
	slot.Release()
	_, err = q.Admit(context.Background(), aubqueue.Item{Group: "m"})
	qt.Assert(t, err, qt.IsNil)
}

func TestSetCapacityStartsWaitingRequests(t *testing.T) {
	q, _ := newQueue(aubqueue.Opts{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	q.SetCapacity("m", 0)
	first := admitAsync(ctx, q, aubqueue.Item{Workspace: "a", Group: "m"})
	second := admitAsync(ctx, q, aubqueue.Item{Workspace: "a", Group: "m"})
	q.SetCapacity("m", 1)
	qt.Assert(t, <-first, qt.IsNil)
	qt.Assert(t, q.Waiting("m"), qt.Equals, 1)
	q.SetCapacity("m", 2)
	qt.Assert(t, <-second, qt.IsNil)
}
