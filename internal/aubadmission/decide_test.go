package aubadmission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubadmission"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// TestDecide guards against refusals where a place is free or nothing is known, against late
// requests at full servers and against advice that no caller follows.
func TestDecide(t *testing.T) {
	first := aubadmission.Request{Objective: time.Second, TimeLeft: 6 * time.Second}
	with := func(change func(*aubadmission.Request)) aubadmission.Request {
		r := first
		change(&r)
		return r
	}
	busy := func(expected time.Duration) aubadmission.Server {
		return aubadmission.Server{InFlight: 8, Slots: 4, PendingTokens: 9000, Expected: expected, IsKnown: true}
	}
	deferrable := with(func(r *aubadmission.Request) { r.IsDeferrable = true })
	tests := map[string]struct {
		request aubadmission.Request
		server  aubadmission.Server
		want    aubadmission.Action
	}{
		"place is free":                 {first, aubadmission.Server{InFlight: 3, Slots: 4, Expected: time.Hour, IsKnown: true}, aubadmission.ActionSend},
		"nothing is known":              {first, aubadmission.Server{InFlight: 90, Slots: 4, PendingTokens: 9000}, aubadmission.ActionSend},
		"in time":                       {first, busy(790 * time.Millisecond), aubadmission.ActionSend},
		"late":                          {first, busy(time.Second), aubadmission.ActionRefuse},
		"less left after a first try":   {with(func(r *aubadmission.Request) { r.Elapsed = 400 * time.Millisecond }), busy(600 * time.Millisecond), aubadmission.ActionRefuse},
		"in time after a first try":     {with(func(r *aubadmission.Request) { r.Elapsed = 400 * time.Millisecond }), busy(450 * time.Millisecond), aubadmission.ActionSend},
		"held by an attempt":            {with(func(r *aubadmission.Request) { r.Held, r.WasSent = 200*time.Millisecond, true }), busy(time.Minute), aubadmission.ActionSend},
		"held without an attempt":       {with(func(r *aubadmission.Request) { r.Held = 200 * time.Millisecond }), busy(time.Minute), aubadmission.ActionRefuse},
		"urgent ones need the room":     {with(func(r *aubadmission.Request) { r.UrgentObjective = 200 * time.Millisecond }), busy(300 * time.Millisecond), aubadmission.ActionRefuse},
		"deferrable at a full server":   {deferrable, busy(10 * time.Millisecond), aubadmission.ActionWait},
		"deferrable with room":          {deferrable, aubadmission.Server{InFlight: 1, Slots: 4, PendingTokens: aubadmission.ChunkTokens}, aubadmission.ActionSend},
		"deferrable above one chunk":    {deferrable, aubadmission.Server{InFlight: 1, Slots: 4, PendingTokens: aubadmission.ChunkTokens + 1}, aubadmission.ActionWait},
		"deferrable after half its SLO": {with(func(r *aubadmission.Request) { r.IsDeferrable, r.Held = true, 500*time.Millisecond }), busy(time.Minute), aubadmission.ActionSend},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, draw := range []float64{0, 0.5, 0.99} {
				decision := aubadmission.Decide(test.request, test.server, draw)
				qt.Check(t, decision.Action, qt.Equals, test.want)
				if decision.Action == aubadmission.ActionRefuse {
					qt.Check(t, decision.RetryAfter > 0 && decision.RetryAfter <= test.request.TimeLeft/3, qt.IsTrue)
				}
			}
		})
	}
}

// TestQueueOrder guards against a waiting request that is overtaken by a less urgent one or by one
// that may start later, and against a queue without bounds.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(0, 0)
	queue := aubadmission.NewQueue(3, 100)
	enter := func(priority int, latest time.Duration, bytes int64) (*aubadmission.Ticket, bool) {
		return queue.Enter("model", aubadmission.Entry{Priority: priority, LatestStart: now.Add(latest), Bytes: bytes})
	}
	late, _ := enter(7, 2*time.Second, 10)
	early, _ := enter(7, time.Second, 10)
	urgent, _ := enter(5, 3*time.Second, 10)
	_, ok := enter(5, 0, 10)
	qt.Assert(t, ok, qt.IsFalse)
	for _, ticket := range []*aubadmission.Ticket{urgent, early, late} {
		qt.Assert(t, ticket.IsFirst(), qt.IsTrue)
		<-ticket.First()
		ticket.Leave()
		ticket.Leave()
	}
	all, _ := queue.Len(7)
	qt.Assert(t, all, qt.Equals, 0)
	_, ok = enter(5, 0, 101)
	qt.Assert(t, ok, qt.IsFalse)
}

// TestKinds guards against retries that count as first attempts, and against rules of an earlier
// configuration that are applied to a later one.
func TestKinds(t *testing.T) {
	kinds := aubadmission.NewKinds(aubtimer.NewManual(time.Unix(0, 0)))
	urgent := aubadmission.Kind{Revision: 1, Route: "u", Service: "s", Priority: 5, Objective: 800 * time.Millisecond, Timeout: 6 * time.Second}
	light := aubadmission.Kind{Revision: 1, Route: "l", Service: "s", Priority: 6, Objective: 1500 * time.Millisecond, Timeout: 8 * time.Second}
	elapsed, urgentObjective := kinds.Observe(urgent)
	qt.Assert(t, elapsed+urgentObjective, qt.Equals, time.Duration(0))
	elapsed, urgentObjective = kinds.Observe(light)
	qt.Assert(t, elapsed, qt.Equals, time.Duration(0))
	qt.Assert(t, urgentObjective, qt.Equals, urgent.Objective)
	urgent.Timeout = 5 * time.Second
	elapsed, _ = kinds.Observe(urgent)
	qt.Assert(t, elapsed, qt.Equals, time.Second)
	kinds.ObserveRefusal(urgent, false)
	qt.Assert(t, kinds.IsCrowded(urgent), qt.IsFalse)
	qt.Assert(t, kinds.IsCrowded(light), qt.IsTrue)
	light.Revision = 2
	_, urgentObjective = kinds.Observe(light)
	qt.Assert(t, urgentObjective, qt.Equals, time.Duration(0))
	qt.Assert(t, kinds.IsCrowded(light), qt.IsFalse)
}
