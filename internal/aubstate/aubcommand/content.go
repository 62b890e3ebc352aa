// Package aubcommand is the write side of the replicated configuration: it checks
// tickets, decides on them and records their outcomes.
package aubcommand

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"slices"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// ContentDigest is the SHA-256 hash of a ticket's canonical content.
type ContentDigest [sha256.Size]byte

// DigestTicket returns the digest of the ticket's canonical content: objects in
// order of name and lists of workspaces sorted without duplicates. Defaults are not
// filled in, so a ticket that writes one out has a different digest.
func DigestTicket(t aubapi.Ticket) ContentDigest {
	data, err := json.Marshal(canonicalTicket(t))
	if err != nil {
		// Unreachable: a ticket contains only strings, booleans, integers and lists.
		panic(err)
	}
	return sha256.Sum256(data)
}

func canonicalTicket(t aubapi.Ticket) aubapi.Ticket {
	t.Workspaces = sortedBy(t.Workspaces, func(w aubapi.Workspace) string { return w.Name })
	t.Keys = sortedBy(t.Keys, func(k aubapi.Key) string { return k.Name })
	t.Models = sortedBy(t.Models, func(m aubapi.Model) string { return m.Name })
	t.Adapters = sortedBy(t.Adapters, func(a aubapi.Adapter) string { return a.Name })
	t.Routes = sortedBy(t.Routes, func(r aubapi.Route) string { return r.Name })
	t.Remove = sortedBy(t.Remove, func(id aubapi.ObjectID) string { return string(id.Kind) + "/" + id.Name })
	for i := range t.Models {
		t.Models[i].Workspaces = sortedSet(t.Models[i].Workspaces)
	}
	for i := range t.Adapters {
		t.Adapters[i].Workspaces = sortedSet(t.Adapters[i].Workspaces)
	}
	for i := range t.Routes {
		t.Routes[i].Workspaces = sortedSet(t.Routes[i].Workspaces)
	}
	return t
}

// sortedBy returns a copy sorted by name.
func sortedBy[T any](values []T, name func(T) string) []T {
	if len(values) == 0 {
		return nil
	}
	sorted := slices.Clone(values)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return sorted
}

func sortedSet(values []string) []string {
	if len(values) == 0 {
		return nil
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// TouchedIDs returns the identifiers of all objects that the ticket sets or removes.
func TouchedIDs(t aubapi.Ticket) []aubapi.ObjectID {
	var ids []aubapi.ObjectID
	add := func(kind aubapi.Kind, name string) { ids = append(ids, aubapi.ObjectID{Kind: kind, Name: name}) }
	for _, w := range t.Workspaces {
		add(aubapi.KindWorkspace, w.Name)
	}
	for _, k := range t.Keys {
		add(aubapi.KindKey, k.Name)
	}
	for _, m := range t.Models {
		add(aubapi.KindModel, m.Name)
	}
	for _, a := range t.Adapters {
		add(aubapi.KindAdapter, a.Name)
	}
	for _, r := range t.Routes {
		add(aubapi.KindRoute, r.Name)
	}
	return append(ids, t.Remove...)
}
