package aubregistry_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	compactBackends = 44
	compactSeed     = 11
)

// reportSource makes the reports of one relay from random work.
type reportSource struct {
	random  *rand.Rand
	loads   map[string]int32
	models  map[string]*aubwire.ModelUse
	usedAt  map[string]int
	streams map[string]*aubwire.EngineStreams
	tick    int
}

func newReportSource() *reportSource {
	return &reportSource{
		random: rand.New(rand.NewPCG(compactSeed, 0)), loads: map[string]int32{}, models: map[string]*aubwire.ModelUse{},
		usedAt: map[string]int{}, streams: map[string]*aubwire.EngineStreams{},
	}
}

// next returns the next report after some requests. Models and engines stay in the reports for
// two seconds, as those of a relay do.
func (s *reportSource) next(requests int) *aubwire.LoadReport {
	s.tick++
	for range requests {
		id, model := fmt.Sprintf("engine-%02d", s.random.IntN(compactBackends)), fmt.Sprintf("model-%02d", s.random.IntN(20))
		s.loads[id]++
		if s.models[model] == nil {
			s.models[model] = &aubwire.ModelUse{Model: model}
		}
		s.models[model].Requests++
		s.models[model].Tokens += 900
		s.usedAt[model] = s.tick
	}
	for id := range s.loads {
		if s.random.IntN(4) == 0 {
			delete(s.loads, id)
			e := s.streams[id]
			if e == nil {
				e = &aubwire.EngineStreams{Id: id, StartedMs: 1, Service: "engines"}
				s.streams[id] = e
			}
			e.Streams++
			e.Rates = append(e.GetRates(), s.random.Float32()*50)
			e.Rates = e.GetRates()[max(len(e.GetRates())-8, 0):]
			s.usedAt[id] = s.tick
		}
	}
	report := &aubwire.LoadReport{Instance: "relay-01", Incarnation: 1}
	for id, n := range s.loads {
		report.Loads = append(report.Loads, &aubwire.BackendLoad{Id: id, InFlight: n, PrefillTokens: 900})
	}
	for name, m := range s.models {
		if s.tick-s.usedAt[name] <= 8 {
			report.Models = append(report.Models, proto.CloneOf(m))
		}
	}
	for id, e := range s.streams {
		if s.tick-s.usedAt[id] <= 8 {
			report.EngineStreams = append(report.EngineStreams, proto.CloneOf(e))
		}
	}
	return report
}

// countedDemand returns the demand of the models that have any; a missing model counts as one
// without requests.
func countedDemand(loads *aubregistry.LoadAggregator) map[aubregistry.ModelKey]aubregistry.ModelCount {
	demand := loads.Demand()
	maps.DeleteFunc(demand, func(_ aubregistry.ModelKey, count aubregistry.ModelCount) bool {
		return count == aubregistry.ModelCount{}
	})
	return demand
}

// TestCompactReportsMeanTheSame guards against loads or demand that a control process misses or
// counts twice because a report lists only changes. It also logs the bytes.
func TestCompactReportsMeanTheSame(t *testing.T) {
	t.Logf("seed %d", compactSeed)
	timer := aubtimer.NewManual(time.Unix(1000, 0))
	complete, compact := aubregistry.NewLoadAggregator(aubcommon.NewCommon(timer)), aubregistry.NewLoadAggregator(aubcommon.NewCommon(timer))
	source, pair := newReportSource(), aubregistry.NewCompactPair()
	completeBytes, compactBytes := 0, 0
	for i := range 400 {
		if i == 200 {
			// The stream ends and another one begins.
			pair = aubregistry.NewCompactPair()
		}
		report := source.next(2)
		complete.AddReport(proto.CloneOf(report))
		req := &aubwire.RegistryRequest{Process: "relay-01", Relay: true, LoadAddress: "10.0.0.1:7100", SentMs: int64(250 * i), Compact: true, Report: report}
		completeBytes += proto.Size(req) - 2
		pair.Request(req, timer.Now())
		compactBytes += proto.Size(req)
		compact.AddReport(proto.CloneOf(req.GetReport()))
		qt.Assert(t, compact.InFlight(), qt.DeepEquals, complete.InFlight(), qt.Commentf("report %d", i))
		qt.Assert(t, countedDemand(compact), qt.DeepEquals, countedDemand(complete), qt.Commentf("report %d", i))
		timer.Advance(250 * time.Millisecond)
	}
	t.Logf("%d of %d B for each report: %.3f", compactBytes/400, completeBytes/400, float64(compactBytes)/float64(completeBytes))
	qt.Check(t, float64(compactBytes) < 0.4*float64(completeBytes), qt.IsTrue)
}

// TestCompactAnswersMeanTheSame guards against a relay that knows another registration than the
// control process sent because the answer was only a renewal. It also logs the bytes.
func TestCompactAnswersMeanTheSame(t *testing.T) {
	t.Logf("seed %d", compactSeed)
	random := rand.New(rand.NewPCG(compactSeed, 1))
	now := time.Unix(1000, 0)
	records := make([]*aubwire.BackendRecord, 0, compactBackends)
	for i := range compactBackends {
		record := &aubwire.BackendRecord{
			Id: fmt.Sprintf("engine-%02d", i), Service: "engines", Address: fmt.Sprintf("10.0.1.%d:8000", i), Zone: "zone-1", StartedMs: 1,
			State: aubwire.BackendState_BACKEND_STATE_READY, Slots: 6, Software: "v1.2.3",
		}
		for m := range 4 {
			record.Models = append(record.Models, &aubwire.ModelCopy{Name: fmt.Sprintf("model-%02d", m), Version: 1, Adapters: []string{"adapter-01"}})
		}
		records = append(records, record)
	}
	peers := &aubwire.Peers{Instances: 23, KnownInstances: 24}
	for i := range 23 {
		peers.LoadAddresses = append(peers.LoadAddresses, fmt.Sprintf("10.0.0.%d:7100", i))
	}
	pair, completeBytes, compactBytes := aubregistry.NewCompactPair(), 0, 0
	for i := range 400 {
		if i == 200 {
			pair = aubregistry.NewCompactPair()
		}
		resp := &aubwire.RegistryResponse{Update: uint64(i), Zone: "zone-0", ControlAddresses: []string{"10.0.0.5:7100", "10.0.0.1:7100", "10.0.0.2:7100"}, Peers: proto.CloneOf(peers)}
		for b, record := range records {
			// A control process receives a fifth of the registrations, one each 1.2 s.
			if (i+b)%25 != 0 {
				continue
			}
			next := proto.CloneOf(record)
			next.Sequence++
			switch random.IntN(20) {
			case 0:
				next.Models = next.GetModels()[:random.IntN(len(next.GetModels())+1)]
				next.Models = append(next.GetModels(), &aubwire.ModelCopy{Name: "other", Version: int64(i)})
			case 1:
				next.StartedMs++
			case 2:
				next.ColdRemainingMs = 5000
			case 3:
				next.ColdRemainingMs = 0
			}
			records[b] = next
			resp.Records = append(resp.Records, next)
		}
		want := slices.Clone(resp.GetRecords())
		completeBytes += proto.Size(resp)
		got := pair.Answer(resp, now)
		compactBytes += proto.Size(resp)
		slices.SortFunc(got, func(a, b *aubwire.BackendRecord) int { return cmp.Compare(a.GetId(), b.GetId()) })
		slices.SortFunc(want, func(a, b *aubwire.BackendRecord) int { return cmp.Compare(a.GetId(), b.GetId()) })
		qt.Assert(t, got, qt.HasLen, len(want))
		for j := range want {
			qt.Assert(t, proto.Equal(got[j], want[j]), qt.IsTrue, qt.Commentf("answer %d: %v, want %v", i, got[j], want[j]))
		}
		now = now.Add(250 * time.Millisecond)
	}
	t.Logf("%d of %d B for each answer: %.3f", compactBytes/400, completeBytes/400, float64(compactBytes)/float64(completeBytes))
	qt.Check(t, float64(compactBytes) < 0.4*float64(completeBytes), qt.IsTrue)
}

// TestCompactStream guards against a relay or a control process that loses the other one, a
// registration or a load while a stream carries only changes, also when that begins and ends.
func TestCompactStream(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	control := newControlProcess(t, common)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	registry := aubregistry.NewRegistry(common, time.Minute)
	var isCompact atomic.Bool
	var requests atomic.Int32
	var peers atomic.Int64
	aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
		Process: "r1", Relay: true, LoadAddress: "10.0.0.1:1", Seeds: func() []string { return []string{"c1"} },
		Dial: control.dial, Registry: registry, IsCompact: isCompact.Load,
		Report: func() *aubwire.LoadReport {
			return &aubwire.LoadReport{Instance: "r1", Incarnation: 1, Loads: []*aubwire.BackendLoad{{Id: "i1", InFlight: requests.Load()}, {Id: "i2", InFlight: 1}}}
		},
		OnPeers: func(p *aubwire.Peers) { peers.Store(int64(p.GetInstances())) },
	})
	sequence := int64(0)
	for round := range int32(4) {
		isCompact.Store(round%2 == 0)
		for range 4 {
			sequence++
			control.registry.Register(record("i1", "a:1", 1, sequence, ready))
			time.Sleep(60 * time.Millisecond)
		}
		requests.Store(round + 3)
		control.loads.AddReport(&aubwire.LoadReport{Instance: fmt.Sprintf("other-%d", round), Incarnation: 1})
		await(t, "the relay receives the newest registration", func() bool {
			return len(registry.Records()) == 1 && registry.Records()[0].GetSequence() == sequence
		})
		await(t, "the control process receives the loads", func() bool {
			inFlight := control.loads.InFlight()
			return inFlight["i1"] == int(round+3) && inFlight["i2"] == 1
		})
		await(t, "the relay receives the number of its peers", func() bool { return peers.Load() >= 1 })
	}
}
