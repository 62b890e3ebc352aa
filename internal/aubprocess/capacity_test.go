package aubprocess

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

func entryMember(name string, rate float64) aubmembership.Member {
	return aubmembership.Member{Announcement: &aubwire.Announcement{
		Name: name, Role: aubwire.Role_ROLE_ENTRY, Demand: []*aubwire.ModelDemand{{Name: "m", Rate: rate}},
	}}
}

func agentMember(name string, leaving bool, models ...string) aubmembership.Member {
	b := &aubwire.BackendReport{Engine: true}
	for _, model := range models {
		b.Resident = append(b.Resident, &aubwire.Resident{Name: model, State: aubwire.Residency_RESIDENCY_READY})
	}
	return aubmembership.Member{Announcement: &aubwire.Announcement{
		Name: name, Role: aubwire.Role_ROLE_AGENT, Leaving: leaving, Backend: b,
	}}
}

func TestCapacities(t *testing.T) {
	entries := func(a, b float64) []aubmembership.Member {
		return []aubmembership.Member{entryMember("a", a), entryMember("b", b)}
	}
	tests := []struct {
		name    string
		members []aubmembership.Member
		rates   map[string]float64
		want    map[string]int
	}{
		{"one model, even demand", append(entries(5, 5), agentMember("w1", false, "m")), nil, map[string]int{"m": 20}},
		{"all demand at this entry", append(entries(10, 0), agentMember("w1", false, "m")), nil, map[string]int{"m": 35}},
		{"no demand at this entry", append(entries(0, 10), agentMember("w1", false, "m")), nil, map[string]int{"m": 5}},
		{"no demand at any entry", append(entries(0, 0), agentMember("w1", false, "m")), nil, map[string]int{"m": 20}},
		{"two copies", append(entries(5, 5), agentMember("w1", false, "m"), agentMember("w2", false, "m")), nil, map[string]int{"m": 40}},
		{"a draining backend server has no slots", append(entries(5, 5), agentMember("w1", true, "m")), nil, map[string]int{}},
		{
			"models on one backend server share its slots by demand",
			append(entries(5, 5), agentMember("w1", false, "m", "n")),
			map[string]float64{"m": 3.9, "n": 0.9},
			map[string]int{"m": 16, "n": 4},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view := aubmembership.NewView(time.Unix(0, 0), tt.members...)
			qt.Check(t, computeCapacities(view, "a", tt.rates, 40), qt.DeepEquals, tt.want)
		})
	}
}
