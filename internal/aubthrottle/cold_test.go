package aubthrottle_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubthrottle"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	ready = aubwire.BackendState_BACKEND_STATE_READY
	gone  = aubwire.BackendState_BACKEND_STATE_GONE
	// coldPerSecond is the rate of the service "s"; other services are never cold.
	coldPerSecond = 8
)

// coldInstance is a throttle whose peers the test sets.
type coldInstance struct {
	*aubthrottle.Throttle
	timer *aubtimer.Manual
	logs  *observer.ObservedLogs
	peers []string
}

// newColdInstance returns an instance that started long ago and hears its peers.
func newColdInstance(name string, peers ...string) *coldInstance {
	core, logs := observer.New(zapcore.InfoLevel)
	i := &coldInstance{timer: aubtimer.NewManual(time.Unix(100, 0)), logs: logs, peers: peers}
	i.Throttle = aubthrottle.New(aubcommon.NewCommon(i.timer).WithLog(zap.New(core)), aubthrottle.Opts{
		Instance: name,
		ColdRate: func(service string) (time.Duration, float64) {
			if service != "s" {
				return 0, 0
			}
			return coldTime, coldPerSecond
		},
		HeardPeers: func() int { return len(i.peers) },
		PeerNames:  func() []string { return i.peers },
	})
	i.SetInstances(len(peers) + 1)
	i.timer.Advance(time.Minute)
	return i
}

func (i *coldInstance) register(sequence int64, left time.Duration) {
	i.ObserveRegistration(coldRegistration("s", sequence, left))
}

func coldRegistration(service string, sequence int64, left time.Duration) *aubwire.BackendRecord {
	return &aubwire.BackendRecord{
		Id: modelBackend.Name, Service: service, Zone: "z", StartedMs: int64(modelBackend.Incarnation), Sequence: sequence, State: ready, ColdRemainingMs: left.Milliseconds(),
	}
}

// isCold reports whether the backend server is cold now. A warm one takes many requests.
func (i *coldInstance) isCold() bool {
	for range coldPerSecond {
		if !i.Take("", modelBackend) {
			return true
		}
	}
	return false
}

// TestColdBelief guards against a backend server that counts as warm while it is cold, or as
// cold when newer information says otherwise.
func TestColdBelief(t *testing.T) {
	for _, test := range []struct {
		name string
		// apply ends 1 s after the first registration, which stated 3 s.
		apply  func(i *coldInstance)
		isCold bool
	}{
		{"nothing more", func(*coldInstance) {}, true},
		{"registration that says warm", func(i *coldInstance) { i.register(2, 0) }, false},
		{"registration of an earlier sequence that says warm", func(i *coldInstance) { i.register(0, 0) }, true},
		{"cold again", func(i *coldInstance) {
			i.register(2, 0)
			i.register(3, time.Second)
		}, true},
		{"end of the time", func(i *coldInstance) { i.register(2, 200*time.Millisecond); i.timer.Advance(200 * time.Millisecond) }, false},
		{"answer that says warm", func(i *coldInstance) { i.ObserveCold("r", modelBackend, auboption.Some(time.Duration(0))) }, false},
		{"answer that says cold after a registration", func(i *coldInstance) {
			i.register(2, 0)
			i.ObserveCold("r", modelBackend, auboption.Some(time.Second))
		}, true},
		{"answer that says nothing", func(i *coldInstance) { i.ObserveCold("r", modelBackend, auboption.None[time.Duration]()) }, true},
		{"peer that knows a newer registration", func(i *coldInstance) {
			i.register(2, 0)
			i.Merge("peer", 1, []*aubwire.BackendLimit{{Id: modelBackend.Name, Incarnation: modelBackend.Incarnation, Cold: &aubwire.ColdBackend{Sequence: 3, LeftMs: 500}}})
		}, true},
		{"peer that knows an older registration", func(i *coldInstance) {
			i.register(2, 0)
			i.Merge("peer", 1, []*aubwire.BackendLimit{{Id: modelBackend.Name, Incarnation: modelBackend.Incarnation, Cold: &aubwire.ColdBackend{Sequence: 1, LeftMs: 500}}})
		}, false},
		{"service that is never cold", func(i *coldInstance) { i.ObserveRegistration(coldRegistration("other", 2, coldTime)) }, false},
		{"departure", func(i *coldInstance) {
			r := coldRegistration("s", 2, coldTime)
			r.State = gone
			i.ObserveRegistration(r)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			i := newColdInstance("a", "peer")
			i.register(1, coldTime)
			i.timer.Advance(time.Second)
			test.apply(i)
			qt.Assert(t, i.isCold(), qt.Equals, test.isCold)
		})
	}
}

// TestWithdrawnZoneDrainMakesCold guards against requests to a zone whose backend servers have
// become cold just before its drain ended, which their newest registrations don't yet say.
func TestWithdrawnZoneDrainMakesCold(t *testing.T) {
	for _, test := range []struct {
		name string
		zone string
		// registeredAfter is when a registration says warm; 0 for none. The backend server is
		// asked for after the time after.
		registeredAfter, after time.Duration
		isCold                 bool
	}{
		{"at once", "z", 0, 0, true},
		{"another zone", "y", 0, 0, false},
		{"end of the cold time", "z", 0, coldTime, false},
		{"registration before it settled", "z", 500 * time.Millisecond, time.Second, true},
		{"registration that may have waited at a control process", "z", 800 * time.Millisecond, time.Second, true},
		{"registration after it settled", "z", 850 * time.Millisecond, time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			i := newColdInstance("a", "peer")
			i.register(1, 0)
			since := i.timer.Now()
			i.ColdZone(test.zone, since)
			if test.registeredAfter > 0 {
				i.timer.Advance(test.registeredAfter)
				i.register(2, 0)
			}
			i.timer.Advance(test.after - i.timer.Now().Sub(since))
			i.ColdZone(test.zone, since)
			qt.Assert(t, i.isCold(), qt.Equals, test.isCold)
		})
	}
}

// TestColdBucket guards against instances that don't count what the others send, and against
// requests of one that has just started or is none of the senders.
func TestColdBucket(t *testing.T) {
	i := newColdInstance("a", "peer")
	i.register(1, coldTime)
	qt.Assert(t, i.Take("", modelBackend), qt.IsFalse)
	i.timer.Advance(500 * time.Millisecond)
	// At most one request is saved up.
	qt.Assert(t, i.Take("", modelBackend), qt.IsTrue)
	qt.Assert(t, i.Take("", modelBackend), qt.IsFalse)
	reported := i.Report(false)
	qt.Assert(t, reported, qt.HasLen, 1)
	qt.Assert(t, reported[0].GetCold().GetSent(), qt.Equals, uint64(1))
	qt.Assert(t, reported[0].GetStated(), qt.IsFalse)
	reported[0].Cold.Sent = 4
	i.Merge("peer", 1, reported)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, 5*time.Second/coldPerSecond)

	peers := make([]string, 28)
	for k := range peers {
		peers[k] = fmt.Sprint("peer-", k)
	}
	senders := 0
	for k, name := range peers {
		others := append([]string{"a"}, peers[:k]...)
		other := newColdInstance(name, append(others, peers[k+1:]...)...)
		other.register(1, coldTime)
		other.timer.Advance(coldTime - 100*time.Millisecond)
		if other.Take("", modelBackend) {
			senders++
		} else {
			qt.Assert(t, other.Wait(modelBackend), qt.Equals, 100*time.Millisecond)
		}
	}
	qt.Assert(t, senders <= coldFactor*coldPerSecond && senders > coldPerSecond, qt.IsTrue, qt.Commentf("%d senders", senders))

	started := newColdInstance("a", "peer")
	started.Throttle = aubthrottle.New(aubcommon.NewCommon(started.timer), aubthrottle.Opts{
		Instance: "a", ColdRate: func(string) (time.Duration, float64) { return coldTime, coldPerSecond },
		HeardPeers: func() int { return 1 }, PeerNames: func() []string { return []string{"peer"} },
	})
	started.register(1, coldTime)
	started.timer.Advance(time.Second)
	qt.Assert(t, started.Take("", modelBackend), qt.IsFalse)
	started.SetInstances(2)
	qt.Assert(t, started.Take("", modelBackend), qt.IsFalse)
	started.timer.Advance(time.Second)
	qt.Assert(t, started.Take("", modelBackend), qt.IsTrue)
}

// TestColdAdvice guards against callers that come back all at once, or later than the end of
// the cold.
func TestColdAdvice(t *testing.T) {
	i := newColdInstance("a", "peer")
	i.register(1, time.Second)
	previous := time.Duration(0)
	for range 2 * coldPerSecond {
		advised := i.AdviseRetry(modelBackend)
		qt.Assert(t, advised >= i.Wait(modelBackend) && advised <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", advised))
		qt.Assert(t, advised != previous, qt.IsTrue)
		previous = advised
	}
}

// TestColdLogs guards against a state that an operator can't see.
func TestColdLogs(t *testing.T) {
	i := newColdInstance("a", "peer")
	i.register(1, coldTime)
	i.register(2, 2*time.Second)
	i.timer.Advance(2 * time.Second)
	i.Report(true)
	i.Report(true)
	begun := i.logs.FilterMessage("Backend server is cold.").All()
	qt.Assert(t, begun, qt.HasLen, 1)
	qt.Assert(t, begun[0].ContextMap()["source"], qt.Equals, "registration")
	qt.Assert(t, begun[0].ContextMap()["left_ms"], qt.Equals, coldTime.Milliseconds())
	qt.Assert(t, i.logs.FilterMessage("Backend server is no longer cold.").All(), qt.HasLen, 1)
}
