package aubroute

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHomeIsTheSameEverywhere covers instances of other zones, and a copy that goes.
func TestHomeIsTheSameEverywhere(t *testing.T) {
	near := &holders{near: []string{"a", "b"}, far: []string{"c", "d"}}
	far := &holders{near: []string{"d", "c"}, far: []string{"b", "a"}}
	without := &holders{near: []string{"a", "b"}, far: []string{"c"}}
	homes := make(map[string]int)
	for i := range uint64(400) {
		request := Request{Shared: i, SharedTokens: 6300}
		home := homeOf(near, request)
		homes[home]++
		qt.Assert(t, homeOf(far, request), qt.Equals, home)
		if home != "d" {
			qt.Assert(t, homeOf(without, request), qt.Equals, home)
		}
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		qt.Check(t, homes[name] > 60, qt.IsTrue, qt.Commentf("%s is home of %d of 400", name, homes[name]))
	}
	qt.Assert(t, homeOf(near, Request{Shared: 1}), qt.Equals, "")
}

// TestInstancesSendASharedPromptToOneCopy plays instances that know nothing of each
// other, with and without load on the home.
func TestInstancesSendASharedPromptToOneCopy(t *testing.T) {
	for _, test := range []struct {
		name  string
		loads map[string]int
		other bool
	}{
		{name: "idle"},
		{name: "home above the bound", loads: map[string]int{"home": 40}, other: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := &holders{near: []string{"a", "b", "c"}}
			request := Request{Shared: 7, SharedTokens: 6300, PromptTokens: 9190}
			home := homeOf(h, request)
			candidates := make([]Candidate, 0, h.len())
			index := -1
			for i := range h.len() {
				c := Candidate{PrefillRate: 40000}
				if h.at(i) == home {
					c.CachedTokens, c.InFlight, index = request.SharedTokens, test.loads["home"], i
				}
				candidates = append(candidates, c)
			}
			for draw := range 10 {
				q := Query{PromptTokens: request.PromptTokens, Tie: float64(draw) / 10}
				chosen := ExpectedFirstToken{}.Choose(q, candidates)
				qt.Assert(t, chosen == index, qt.Equals, !test.other, qt.Commentf("candidate %d", chosen))
			}
		})
	}
}
