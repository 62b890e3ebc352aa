// Package aubquery is the read side of the replicated configuration: an immutable
// snapshot of all objects after the accepted tickets.
package aubquery

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Config is one version of the configuration. It is immutable.
type Config struct {
	version    uint64
	workspaces map[string]aubapi.Workspace
	keys       map[string]aubapi.Key
	// lookups indexes the keys by their Lookup value.
	lookups  map[string][]aubapi.Key
	models   map[string]aubapi.Model
	adapters map[string]aubapi.Adapter
	// routes is in the order of sortRoutes.
	routes []aubapi.Route
	digest Digest
}

// ConfigObjects holds the objects of a configuration and their version.
type ConfigObjects struct {
	Version    uint64
	Workspaces []aubapi.Workspace
	Keys       []aubapi.Key
	Models     []aubapi.Model
	Adapters   []aubapi.Adapter
	Routes     []aubapi.Route
}

// NewConfig builds a configuration and its indexes.
func NewConfig(objects ConfigObjects) Config {
	c := Config{
		version:    objects.Version,
		workspaces: indexBy(objects.Workspaces, func(w aubapi.Workspace) string { return w.Name }),
		keys:       indexBy(objects.Keys, func(k aubapi.Key) string { return k.Name }),
		models:     indexBy(objects.Models, func(m aubapi.Model) string { return m.Name }),
		adapters:   indexBy(objects.Adapters, func(a aubapi.Adapter) string { return a.Name }),
		routes:     slices.Clone(objects.Routes),
	}
	c.lookups = indexLookups(c.keys)
	c.routes = sortRoutes(c.routes)
	c.digest = digestOf(objects)
	return c
}

// Objects returns all objects of the configuration, each kind in order of name.
func (c Config) Objects() ConfigObjects {
	routes := slices.Clone(c.routes)
	slices.SortFunc(routes, func(a, b aubapi.Route) int { return strings.Compare(a.Name, b.Name) })
	return ConfigObjects{
		Version:    c.version,
		Workspaces: c.Workspaces(),
		Keys:       c.AllKeys(),
		Models:     c.Models(),
		Adapters:   c.Adapters(),
		Routes:     routes,
	}
}

// Digest returns the digest of all objects; the version is not part of it.
func (c Config) Digest() Digest { return c.digest }

// Version returns the configuration version. Every accepted ticket increases it by 1.
func (c Config) Version() uint64 { return c.version }

// Workspace returns the workspace with the name.
func (c Config) Workspace(name string) (aubapi.Workspace, bool) {
	w, ok := c.workspaces[name]
	return w, ok
}

// Workspaces returns all workspaces in order of name.
func (c Config) Workspaces() []aubapi.Workspace { return sortedValues(c.workspaces) }

// Keys returns the keys with the lookup value.
func (c Config) Keys(lookup string) []aubapi.Key { return c.lookups[lookup] }

// Key returns the key with the name.
func (c Config) Key(name string) (aubapi.Key, bool) {
	k, ok := c.keys[name]
	return k, ok
}

// AllKeys returns all keys in order of name.
func (c Config) AllKeys() []aubapi.Key { return sortedValues(c.keys) }

// Model returns the model with the name.
func (c Config) Model(name string) (aubapi.Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Models returns all models in order of name.
func (c Config) Models() []aubapi.Model { return sortedValues(c.models) }

// Adapter returns the adapter with the name.
func (c Config) Adapter(name string) (aubapi.Adapter, bool) {
	a, ok := c.adapters[name]
	return a, ok
}

// Adapters returns all adapters in order of name.
func (c Config) Adapters() []aubapi.Adapter { return sortedValues(c.adapters) }

// Routes returns all routes, longest prefix first.
func (c Config) Routes() []aubapi.Route { return slices.Clone(c.routes) }

// Route returns the route with the longest prefix of path. A prefix matches
// whole path segments only.
func (c Config) Route(path string) (aubapi.Route, bool) {
	for _, r := range c.routes {
		if matchesPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return aubapi.Route{}, false
}

// Admits reports whether the list of workspaces contains name or AnyWorkspace.
func Admits(workspaces []string, name string) bool {
	return slices.Contains(workspaces, name) || slices.Contains(workspaces, aubapi.AnyWorkspace)
}

// ConfigSource provides the configuration that is active in this process.
type ConfigSource interface {
	// Config returns the newest configuration that this process knows.
	Config() Config
	// ConfirmedAt returns the local monotonic time at which the configuration was
	// last known to be the leader's newest; zero if never since the process started.
	ConfirmedAt() time.Time
	// Changed returns a channel that is closed once a configuration newer than
	// the given version is active.
	Changed(version uint64) <-chan struct{}
}

func matchesPrefix(path, prefix string) bool {
	remainder, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return remainder == "" || remainder[0] == '/' || strings.HasSuffix(prefix, "/")
}

func indexLookups(keys map[string]aubapi.Key) map[string][]aubapi.Key {
	index := make(map[string][]aubapi.Key, len(keys))
	for _, k := range keys {
		index[k.Lookup] = append(index[k.Lookup], k)
	}
	return index
}

// sortRoutes sorts the longest prefix first, so that the first match is the longest.
func sortRoutes(routes []aubapi.Route) []aubapi.Route {
	slices.SortFunc(routes, func(a, b aubapi.Route) int {
		if d := len(b.Prefix) - len(a.Prefix); d != 0 {
			return d
		}
		if d := strings.Compare(a.Prefix, b.Prefix); d != 0 {
			return d
		}
		return strings.Compare(a.Name, b.Name)
	})
	return routes
}

func indexBy[T any](values []T, name func(T) string) map[string]T {
	index := make(map[string]T, len(values))
	for _, v := range values {
		index[name(v)] = v
	}
	return index
}

func sortedValues[T any](index map[string]T) []T {
	values := make([]T, 0, len(index))
	for _, name := range slices.Sorted(maps.Keys(index)) {
		values = append(values, index[name])
	}
	return values
}
