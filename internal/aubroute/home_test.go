package aubroute

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOwnerIsTheSameOnAllInstances checks that instances of different zones compute the
// same owner, that the removal of a holder changes no other holder's prompts, and that
// the prompts are spread over the holders.
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
		qt.Check(t, homes[name] > 60, qt.IsTrue, qt.Commentf("%s owns %d of 400 prefixes", name, homes[name]))
	}
	qt.Assert(t, homeOf(near, Request{Shared: 1}), qt.Equals, "")
}

// TestInstancesSendASharedPromptToItsOwner simulates instances that don't communicate.
// All must choose the owner of the shared prefix, unless its load is above the bound.
func TestInstancesSendASharedPromptToOneCopy(t *testing.T) {
	for _, test := range []struct {
		name  string
		loads map[string]int
		other bool
	}{
		{name: "idle"},
		{name: "owner above the load bound", loads: map[string]int{"owner": 40}, other: true},
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
					c.CachedTokens, c.InFlight, index = request.SharedTokens, test.loads["owner"], i
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
