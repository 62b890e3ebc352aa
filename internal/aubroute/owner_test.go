package aubroute

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOwnerIsTheSameOnAllInstances checks that instances of different zones compute the
// same owner, that the removal of a holder changes no other holder's prompts, and that
// the prompts are spread over the holders.
func TestOwnerIsTheSameOnAllInstances(t *testing.T) {
	inFirstZone := &holders{local: []string{"a", "b"}, remote: []string{"c", "d"}}
	inSecondZone := &holders{local: []string{"d", "c"}, remote: []string{"b", "a"}}
	withoutD := &holders{local: []string{"a", "b"}, remote: []string{"c"}}
	ownedBy := make(map[string]int)
	for i := range uint64(400) {
		request := Request{SharedHash: i, SharedTokens: 6300}
		owner := ownerOf(inFirstZone, request)
		ownedBy[owner]++
		qt.Assert(t, ownerOf(inSecondZone, request), qt.Equals, owner)
		if owner != "d" {
			qt.Assert(t, ownerOf(withoutD, request), qt.Equals, owner)
		}
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		qt.Check(t, ownedBy[name] > 60, qt.IsTrue, qt.Commentf("%s owns %d of 400 prefixes", name, ownedBy[name]))
	}
	qt.Assert(t, ownerOf(inFirstZone, Request{SharedHash: 1}), qt.Equals, "")
}

// TestInstancesSendASharedPromptToItsOwner simulates instances that don't communicate.
// All must choose the owner of the shared prefix, unless its load is above the bound.
func TestInstancesSendASharedPromptToItsOwner(t *testing.T) {
	for _, test := range []struct {
		name      string
		loads     map[string]int
		wantOther bool
	}{
		{name: "idle"},
		{name: "owner above the load bound", loads: map[string]int{"owner": 40}, wantOther: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			targetHolders := &holders{local: []string{"a", "b", "c"}}
			request := Request{SharedHash: 7, SharedTokens: 6300, PromptTokens: 9190}
			owner := ownerOf(targetHolders, request)
			candidates := make([]Candidate, 0, targetHolders.len())
			ownerIndex := -1
			for i := range targetHolders.len() {
				c := Candidate{PrefillRate: 40000}
				if targetHolders.at(i) == owner {
					c.CachedTokens, c.InFlight, ownerIndex = request.SharedTokens, test.loads["owner"], i
				}
				candidates = append(candidates, c)
			}
			for draw := range 10 {
				q := Query{PromptTokens: request.PromptTokens, TieBreak: float64(draw) / 10}
				chosen := ExpectedFirstToken{}.Choose(q, candidates)
				qt.Assert(t, chosen == ownerIndex, qt.Equals, !test.wantOther, qt.Commentf("candidate %d", chosen))
			}
		})
	}
}
