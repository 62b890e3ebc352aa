package aubrelay

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestAwaitCopyRetriesForSlotFreeSoon requests an adapter while all slots are in use. The
// request must wait if a slot becomes free soon, but not longer than the objective allows.
func TestAwaitCopyRetriesForSlotFreeSoon(t *testing.T) {
	for _, test := range []struct {
		name         string
		refusals     int
		retryAfter   time.Duration
		objective    time.Duration
		wantCopy     bool
		wantRequests int
	}{
		{name: "free immediately", objective: time.Second, wantCopy: true, wantRequests: 1},
		{name: "free after two requests", refusals: 2, retryAfter: 200 * time.Millisecond, objective: 2 * time.Second, wantCopy: true, wantRequests: 3},
		{name: "retry time is too long", refusals: 1, retryAfter: 4 * time.Second, objective: 2 * time.Second, wantRequests: 1},
		{name: "the objective is short", refusals: 1, retryAfter: 200 * time.Millisecond, objective: 200 * time.Millisecond, wantRequests: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			common := aubcommon.NewCommon(aubtimer.NewReal())
			registry := aubregistry.NewRegistry(common, time.Minute)
			requests := 0
			place := func(context.Context, *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
				requests++
				if requests <= test.refusals {
					return &aubwire.PlaceResponse{RetryAfterMs: test.retryAfter.Milliseconds()}, nil
				}
				return &aubwire.PlaceResponse{Backend: "b"}, nil
			}
			h := NewHandler(t.Context(), common, HandlerOpts{CopyRequester: NewCopyRequester(common, registry, place)})
			ex := &exchange{service: "s", call: Call{Model: "m", Adapter: "a1"}, route: aubsite.Route{Objective: test.objective}}
			startedAt := time.Now()
			err := h.awaitCopy(context.Background(), ex)
			qt.Assert(t, err == nil, qt.Equals, test.wantCopy)
			qt.Assert(t, requests, qt.Equals, test.wantRequests)
			qt.Assert(t, time.Since(startedAt) < test.objective, qt.IsTrue)
		})
	}
}

// TestPrefixHashesAreLimited guards against a caller that declares a prompt of so many tokens that its
// hashes fill the memory.
func TestPrefixHashesAreLimited(t *testing.T) {
	call := Call{Prompt: []PromptPart{{ID: "a", Tokens: 1024}, {ID: "b", Tokens: 12_000_000_000}, {ID: "c", Tokens: 512}}}
	qt.Assert(t, prefixHashes(call), qt.HasLen, maxPrefixBlocks)
	call.Prompt[1].Tokens = 512
	qt.Assert(t, prefixHashes(call), qt.HasLen, 4)
}

// TestDemandIsReportedForConfiguredModels guards against callers whose names of models fill the memory of
// a relay and the report that carries the demand for all others.
func TestDemandIsReportedForConfiguredModels(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	site, err := aubsite.New(aubsite.Spec{Number: 1, Services: []aubsite.Service{
		{Name: "s", Engine: &aubsite.Engine{Models: []aubsite.Model{{Name: "m", Adapters: 2}}}}, {Name: "plain"},
	}})
	qt.Assert(t, err, qt.IsNil)
	demand := NewDemandCounter(common)
	h := NewHandler(t.Context(), common, HandlerOpts{Demand: demand})
	for _, call := range []Call{
		{Model: "m"},
		{Model: "m", Adapter: "a2"},
		{Model: ""},
		{Model: "caf\xe9"},
		{Model: strings.Repeat("x", 16000)},
		{Model: "m", Adapter: "a3"},
		{Model: "m", Adapter: "a0"},
		{Model: "m", Adapter: "a02"},
		{Model: "m", Adapter: "2"},
		{Model: "m", Adapter: "a"},
	} {
		for _, service := range []string{"s", "plain"} {
			h.recordDemand(&exchange{service: service, site: site, call: call})
		}
	}
	uses := make(map[string]bool)
	for _, use := range demand.Report() {
		uses[use.GetModel()+" "+use.GetAdapter()] = true
	}
	name := aubregistry.ModelName("s", "m")
	qt.Assert(t, uses, qt.DeepEquals, map[string]bool{name + " ": true, name + " a2": true})
}
