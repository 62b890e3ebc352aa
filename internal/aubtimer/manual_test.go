package aubtimer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubtimer"
)

func TestManualWakesSubscribers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := aubtimer.NewManual(time.Unix(0, 0))
	ticks := m.Subscribe(ctx, time.Second)
	once := m.After(ctx, 3*time.Second)

	m.Advance(999 * time.Millisecond)
	qt.Assert(t, ticks, qt.HasLen, 0)

	m.Advance(time.Millisecond)
	qt.Assert(t, ticks, qt.HasLen, 1)
	<-ticks

	m.Advance(5 * time.Second)
	qt.Assert(t, ticks, qt.HasLen, 1)
	qt.Assert(t, once, qt.HasLen, 1)
}

func TestManualSubscriptionEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	m := aubtimer.NewManual(time.Unix(0, 0))
	ticks := m.Subscribe(ctx, time.Second)
	cancel()

	m.Advance(time.Minute)
	qt.Assert(t, ticks, qt.HasLen, 0)
}
