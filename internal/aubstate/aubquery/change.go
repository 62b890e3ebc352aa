package aubquery

import (
	"maps"
	"slices"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Change is the difference between a configuration and a later one. It is immutable.
type Change struct {
	// Objects holds the new state of every changed object and the version after the change.
	Objects ConfigObjects
	// Remove identifies the removed objects.
	Remove []aubapi.ObjectID
}

// WithChange returns the configuration after the change. Removals are applied
// before new states are set.
func (c Config) WithChange(change Change) Config {
	c.version = change.Objects.Version
	for _, kind := range []aubapi.Kind{
		aubapi.KindWorkspace, aubapi.KindKey, aubapi.KindModel, aubapi.KindAdapter, aubapi.KindRoute,
	} {
		c = c.withKind(kind, change)
	}
	return c
}

func (c Config) withKind(kind aubapi.Kind, change Change) Config {
	removed := namesOfKind(kind, change.Remove)
	switch kind {
	case aubapi.KindWorkspace:
		name := func(w aubapi.Workspace) string { return w.Name }
		c.workspaces, c.digest = replaceObjects(c.workspaces, c.digest, kind, change.Objects.Workspaces, removed, name)
	case aubapi.KindKey:
		name := func(k aubapi.Key) string { return k.Name }
		before := c.keys
		c.keys, c.digest = replaceObjects(c.keys, c.digest, kind, change.Objects.Keys, removed, name)
		c.lookups = updateLookups(c.lookups, before, c.keys, change.Objects.Keys, removed)
	case aubapi.KindModel:
		name := func(m aubapi.Model) string { return m.Name }
		c.models, c.digest = replaceObjects(c.models, c.digest, kind, change.Objects.Models, removed, name)
	case aubapi.KindAdapter:
		name := func(a aubapi.Adapter) string { return a.Name }
		c.adapters, c.digest = replaceObjects(c.adapters, c.digest, kind, change.Objects.Adapters, removed, name)
	case aubapi.KindRoute:
		if len(change.Objects.Routes) == 0 && len(removed) == 0 {
			return c
		}
		name := func(r aubapi.Route) string { return r.Name }
		var routes map[string]aubapi.Route
		routes, c.digest = replaceObjects(indexBy(c.routes, name), c.digest, kind, change.Objects.Routes, removed, name)
		c.routes = sortRoutes(slices.Collect(maps.Values(routes)))
	}
	return c
}

// replaceObjects returns a copy of the objects with the named ones removed and the
// updated ones added or replaced, and the digest updated accordingly.
func replaceObjects[T any](
	objects map[string]T, digest Digest, kind aubapi.Kind, updated []T, removed []string, name func(T) string,
) (map[string]T, Digest) {
	if len(updated) == 0 && len(removed) == 0 {
		return objects, digest
	}
	next := maps.Clone(objects)
	if next == nil {
		next = make(map[string]T, len(updated))
	}
	for _, n := range removed {
		if old, ok := next[n]; ok {
			digest = digest.minus(objectDigest(kind, old))
			delete(next, n)
		}
	}
	for _, o := range updated {
		if old, ok := next[name(o)]; ok {
			digest = digest.minus(objectDigest(kind, old))
		}
		digest = digest.plus(objectDigest(kind, o))
		next[name(o)] = o
	}
	return next, digest
}

// updateLookups returns the lookup index after the updated keys were added or
// replaced and the named ones removed. Lists of other lookup values are shared
// with the old index.
func updateLookups(
	lookups map[string][]aubapi.Key, before, after map[string]aubapi.Key, updated []aubapi.Key, removed []string,
) map[string][]aubapi.Key {
	if len(updated) == 0 && len(removed) == 0 {
		return lookups
	}
	next := maps.Clone(lookups)
	removeKey := func(name string) {
		old, ok := before[name]
		if !ok {
			return
		}
		remaining := slices.DeleteFunc(slices.Clone(next[old.Lookup]), func(k aubapi.Key) bool { return k.Name == name })
		next[old.Lookup] = remaining
		if len(remaining) == 0 {
			delete(next, old.Lookup)
		}
	}
	for _, name := range removed {
		removeKey(name)
	}
	for _, k := range updated {
		removeKey(k.Name)
	}
	for _, k := range updated {
		next[k.Lookup] = append(slices.Clone(next[k.Lookup]), after[k.Name])
	}
	return next
}

func namesOfKind(kind aubapi.Kind, ids []aubapi.ObjectID) []string {
	var names []string
	for _, id := range ids {
		if id.Kind == kind {
			names = append(names, id.Name)
		}
	}
	return names
}
