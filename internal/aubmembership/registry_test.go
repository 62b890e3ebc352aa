package aubmembership_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// timeout is the time without announcements after which a member is lost.
const timeout = 4 * time.Second

// simulatedMember simulates a process that announces itself.
type simulatedMember struct {
	// announcement is the current announcement.
	announcement *aubwire.Announcement
	// sent holds all heads and pages sent so far.
	sent []*aubwire.Announcement
	// lists holds all announced lists of residents, by incarnation.
	lists map[uint64][][]*aubwire.Resident
}

// newSimulatedMember returns a member that has sent its first announcement.
func newSimulatedMember(name string) *simulatedMember {
	s := &simulatedMember{announcement: agent(name, 1), lists: map[uint64][][]*aubwire.Resident{}}
	s.announce()
	return s
}

// announce sends the next announcement.
func (s *simulatedMember) announce() {
	s.announcement = proto.CloneOf(s.announcement)
	s.announcement.Sequence++
	s.sent = append(s.sent, aubmembership.HeadsOf(s.announcement)...)
	s.sent = append(s.sent, aubmembership.PagesOf(s.announcement)...)
	s.lists[s.announcement.GetIncarnation()] = append(s.lists[s.announcement.GetIncarnation()], s.announcement.GetBackend().GetResident())
}

// restart starts a new incarnation, which has not announced itself yet.
func (s *simulatedMember) restart() {
	s.announcement = proto.CloneOf(s.announcement)
	s.announcement.Incarnation++
	s.announcement.Sequence = 0
	s.announcement.Leaving = false
}

// setResidents sets the number of residents of the next announcement.
func (s *simulatedMember) setResidents(residents int) {
	s.announcement = proto.CloneOf(s.announcement)
	s.announcement.Backend.Resident = agent("", residents).GetBackend().GetResident()
}

func equalLists(a, b []*aubwire.Resident) bool {
	return slices.EqualFunc(a, b, func(x, y *aubwire.Resident) bool { return proto.Equal(x, y) })
}

// deliveredHead is the newest head of one member that was applied to the registry.
type deliveredHead struct {
	announcement *aubwire.Announcement
	deliveredAt  time.Time
}

// newer reports whether a has a higher incarnation or sequence than b; b may be nil.
func newer(a, b *aubwire.Announcement) bool {
	if b == nil || a.GetIncarnation() != b.GetIncarnation() {
		return b == nil || a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// TestRegistryUnderLossDuplicationAndReorder applies heads and pages in random
// order, some of them several times and others never. A view must show the newest
// head applied and only lists of residents that were announced.
func TestRegistryUnderLossDuplicationAndReorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := aubmembership.NewRegistry(timeout)
		now := time.Unix(1000, 0)
		simulated := []*simulatedMember{newSimulatedMember("w0"), newSimulatedMember("w1")}
		delivered := make([]deliveredHead, len(simulated))
		deliver := func(i int, a *aubwire.Announcement) {
			r.Apply(now, a, true)
			if a.GetResidentPages() == 0 && newer(a, delivered[i].announcement) {
				delivered[i] = deliveredHead{announcement: a, deliveredAt: now}
			}
		}
		memberIndex := rapid.IntRange(0, len(simulated)-1)
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) { simulated[memberIndex.Draw(t, "member")].announce() },
			"restart":  func(t *rapid.T) { simulated[memberIndex.Draw(t, "member")].restart() },
			"change": func(t *rapid.T) {
				simulated[memberIndex.Draw(t, "member")].setResidents(rapid.IntRange(0, 120).Draw(t, "residents"))
			},
			"leave": func(t *rapid.T) {
				s := simulated[memberIndex.Draw(t, "member")]
				s.announcement = proto.CloneOf(s.announcement)
				s.announcement.Leaving = true
			},
			"deliver": func(t *rapid.T) {
				i := memberIndex.Draw(t, "member")
				// One of the last 12 parts, so that older ones are delivered again.
				sent := simulated[i].sent
				back := min(rapid.IntRange(1, 12).Draw(t, "back"), len(sent))
				deliver(i, sent[len(sent)-back])
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				// Views lag behind load reports by at most 50 ms.
				now = now.Add(100 * time.Millisecond)
				v := r.View(now)
				for i, s := range simulated {
					checkMember(t, v, s, delivered[i], now)
				}
			},
		})
		for i, s := range simulated {
			s.announce()
			for _, a := range slices.Concat(aubmembership.HeadsOf(s.announcement), aubmembership.PagesOf(s.announcement)) {
				deliver(i, a)
			}
			now = now.Add(100 * time.Millisecond)
			m, ok := r.View(now).Member(s.announcement.GetName())
			if !ok || m.ResidentsOutdated || !proto.Equal(m.Announcement.GetBackend(), s.announcement.GetBackend()) {
				t.Fatalf("%s: complete announcement delivered, view has %v", s.announcement.GetName(), m)
			}
		}
	})
}

// checkMember compares a member of the view with the delivered and announced state.
func checkMember(t *rapid.T, v aubmembership.View, s *simulatedMember, delivered deliveredHead, now time.Time) {
	name := s.announcement.GetName()
	m, isMember := v.Member(name)
	timedOut := delivered.announcement == nil || now.Sub(delivered.deliveredAt) >= timeout
	switch {
	case !isMember:
		return
	case timedOut:
		t.Fatalf("%s is in the view but its last head was delivered at %v", name, delivered.deliveredAt)
	case m.Announcement.GetIncarnation() != delivered.announcement.GetIncarnation() ||
		m.Announcement.GetSequence() != delivered.announcement.GetSequence():
		t.Fatalf("%s: newest head delivered %v, view has %v", name, delivered.announcement, m.Announcement)
	}
	residents := m.Announcement.GetBackend().GetResident()
	wasAnnounced := slices.ContainsFunc(s.lists[m.Announcement.GetIncarnation()], func(list []*aubwire.Resident) bool {
		return equalLists(list, residents)
	})
	if !wasAnnounced {
		t.Fatalf("%s: this incarnation never announced the list of residents %v", name, residents)
	}
}

func TestDelayedDatagramDoesNotRestoreLostMember(t *testing.T) {
	r := aubmembership.NewRegistry(timeout)
	s := newSimulatedMember("w0")
	now := time.Unix(1000, 0)
	for _, a := range s.sent {
		r.Apply(now, a, true)
	}
	_, ok := r.View(now).Member("w0")
	qt.Assert(t, ok, qt.IsTrue)
	now = now.Add(2 * timeout)
	qt.Assert(t, r.View(now).Lost(), qt.HasLen, 1)
	for _, a := range s.sent {
		qt.Assert(t, r.Apply(now, a, true), qt.Equals, aubmembership.ApplyResultStale)
	}
	qt.Assert(t, r.View(now).Members(), qt.HasLen, 0)
}

func TestTopologyVersionUnchangedByLoadReports(t *testing.T) {
	r := aubmembership.NewRegistry(timeout)
	s := newSimulatedMember("w0")
	now := time.Unix(1000, 0)
	applyAndView := func() aubmembership.View {
		for _, a := range s.sent {
			r.Apply(now, a, true)
		}
		now = now.Add(time.Second)
		return r.View(now)
	}
	before := applyAndView()
	s.announcement.Backend.Running = 7
	s.announce()
	load := applyAndView()
	qt.Assert(t, load.TopologyVersion(), qt.Equals, before.TopologyVersion())
	m, _ := load.Member("w0")
	qt.Assert(t, m.Announcement.GetBackend().GetRunning(), qt.Equals, int32(7))
	s.setResidents(3)
	s.announce()
	qt.Assert(t, applyAndView().TopologyVersion(), qt.Not(qt.Equals), before.TopologyVersion())
}

// FuzzDatagram decodes random data with and without the authentication tag and applies
// it to a registry.
func FuzzDatagram(f *testing.F) {
	secret := []byte("secret")
	for _, residents := range []int{0, 1, 120} {
		parts := slices.Concat(aubmembership.HeadsOf(agent("w0", residents)), aubmembership.PagesOf(agent("w0", residents)))
		for _, d := range aubmembership.Pack(parts) {
			encoded, err := aubmembership.EncodeDatagram(secret, d)
			qt.Assert(f, err, qt.IsNil)
			f.Add(encoded)
			payload, err := proto.Marshal(d)
			qt.Assert(f, err, qt.IsNil)
			f.Add(payload)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := aubmembership.DecodeDatagram(secret, data); err == nil {
			// Data with a valid tag decodes to a datagram that can be encoded again.
			d, _ := aubmembership.DecodeDatagram(secret, data)
			if _, err := aubmembership.EncodeDatagram(secret, d); err != nil {
				t.Fatalf("decoded datagram can't be encoded: %v", err)
			}
		}
		// No content of an authenticated datagram may break the registry.
		d := &aubwire.Datagram{}
		if proto.Unmarshal(data, d) != nil {
			return
		}
		r := aubmembership.NewRegistry(timeout)
		now := time.Unix(1000, 0)
		for range 2 {
			for _, a := range d.GetAnnouncements() {
				r.Apply(now, a, true)
			}
			now = now.Add(time.Second)
			for _, m := range r.View(now).Members() {
				if m.Announcement.GetName() == "" {
					t.Fatal("view has a member without name")
				}
			}
		}
	})
}

// BenchmarkView measures View after new announcements of all members.
func BenchmarkView(b *testing.B) {
	for _, members := range []int{15, 100, 1000, 6500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			r := aubmembership.NewRegistry(timeout)
			now := time.Unix(1000, 0)
			heads := fillRegistry(r, now, members, 6)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				now = now.Add(time.Second)
				for _, head := range heads {
					head.Sequence++
					r.Apply(now, head, true)
				}
				b.StartTimer()
				r.View(now)
			}
		})
	}
}

// BenchmarkApply measures encoding, decoding and applying one load report in a
// registry of the given size.
func BenchmarkApply(b *testing.B) {
	for _, members := range []int{15, 1000, 6500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			r := aubmembership.NewRegistry(timeout)
			now := time.Unix(1000, 0)
			heads := fillRegistry(r, now, members, 6)
			secret := []byte("secret")
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				head := heads[i%members]
				i++
				head.Sequence++
				encoded, _ := aubmembership.EncodeDatagram(secret, &aubwire.Datagram{Announcements: []*aubwire.Announcement{head}})
				d, _ := aubmembership.DecodeDatagram(secret, encoded)
				r.Apply(now, d.GetAnnouncements()[0], true)
			}
		})
	}
}

// BenchmarkMemory measures the heap used by the registry and one view per member.
func BenchmarkMemory(b *testing.B) {
	for _, members := range []int{15, 1000, 6500} {
		for _, residents := range []int{6, 40} {
			b.Run(fmt.Sprintf("members=%d/residents=%d", members, residents), func(b *testing.B) {
				before := heapBytes()
				r := aubmembership.NewRegistry(timeout)
				now := time.Unix(1000, 0)
				fillRegistry(r, now, members, residents)
				v := r.View(now)
				b.ReportMetric(float64(heapBytes()-before)/float64(members), "B/member")
				b.ReportMetric(0, "ns/op")
				runtime.KeepAlive(v)
				runtime.KeepAlive(r)
			})
		}
	}
}

// heapBytes returns the size of the allocated heap objects after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// fillRegistry applies announcements of new members and returns their heads.
func fillRegistry(r *aubmembership.Registry, now time.Time, members, residents int) []*aubwire.Announcement {
	heads := make([]*aubwire.Announcement, 0, members)
	for i := range members {
		a := agent(fmt.Sprintf("worker-%05d", i), residents)
		a.Sequence = 1
		head := aubmembership.HeadsOf(a)[0]
		r.Apply(now, head, true)
		for _, page := range aubmembership.PagesOf(a) {
			r.Apply(now, page, true)
		}
		heads = append(heads, head)
	}
	return heads
}
