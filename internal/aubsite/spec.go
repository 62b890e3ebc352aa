// Package aubsite holds the complete configuration of a site as one numbered
// revision: routes by host and path prefix, services with their engines, and
// workspaces with keys and limits. A revision replaces the previous one completely.
package aubsite

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// RouteKind determines whether the requests of a route may run more than once.
type RouteKind int

// Route kinds.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = iota + 1
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindStream requests are answered by event streams; they run at most once unless
	// the route is resumable.
	KindStream
)

// Target is one service of a route with its weight. Requests are split between
// targets in proportion to the weights.
type Target struct {
	Service string
	Weight  int
}

// Route directs the requests of a host with a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest prefix of a host wins.
	Prefix string
	Kind   RouteKind
	// Timeout is the maximum time to the end of the response.
	Timeout time.Duration
	// Objective is the service-level objective for the time to the response, or to the
	// first event of a stream; PauseObjective is the one for the time between events.
	Objective      time.Duration
	PauseObjective time.Duration
	// Priority of the route; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of backend servers that may run one request.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may continue on another backend server after an event.
	Resumable bool
	// Regions are those in which requests may run; none means any.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// adapterPrefix begins the names of adapters.
const adapterPrefix = "a"

// Model is a language model that engines can load.
type Model struct {
	Name string
	// Megabytes of accelerator memory that one copy needs.
	Megabytes float64
	// LoadTime is the duration of a load from the weight store, DiskLoadTime that of a
	// load from a copy on the backend server's disk.
	LoadTime     time.Duration
	DiskLoadTime time.Duration
	// Adapters is the number of adapters, named a1, a2 and so on.
	Adapters         int
	AdapterMegabytes float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Megabytes of accelerator memory for weights and adapters.
	Megabytes float64
	// AdapterSlots is the number of adapters that one engine can hold.
	AdapterSlots int
	// LoadsPerSecond limits the loads from the weight store over all engines.
	LoadsPerSecond float64
	Models         []Model
}

// Service is a named set of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts
	// from all callers.
	MaxConnections int
	// ColdTime is how long a backend server is cold after a start, ColdRate the number of
	// requests per second that it tolerates then from all callers together. Without both,
	// backend servers are never cold.
	ColdTime time.Duration
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Lists reports whether the configuration lists the model, and the adapter if one is named, for the
// service's engines.
func (s Service) Lists(model, adapter string) bool {
	if s.Engine == nil {
		return false
	}
	i := slices.IndexFunc(s.Engine.Models, func(m Model) bool { return m.Name == model })
	return i >= 0 && (adapter == "" || s.Engine.Models[i].hasAdapter(adapter))
}

// hasAdapter reports whether the model has the adapter.
func (m Model) hasAdapter(name string) bool {
	text, _ := strings.CutPrefix(name, adapterPrefix)
	n, err := strconv.Atoi(text)
	return err == nil && n >= 1 && n <= m.Adapters && name == adapterPrefix+strconv.Itoa(n)
}

// HasColdRate reports whether the backend servers are cold after a start.
func (s Service) HasColdRate() bool { return s.ColdTime > 0 && s.ColdRate > 0 }

// Workspace is a tenant with its keys and limits.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
	// Rate per second and Burst limit the requests over all instances; a rate of 0
	// means no limit.
	Rate  int64
	Burst int64
	// CountsTokens makes the limits count tokens instead of requests; DefaultCost is then
	// the cost of a request that declares no tokens.
	CountsTokens bool
	DefaultCost  int64
	// Regions are those in which requests may run; none means any.
	Regions []string
}

// Spec is the content of one revision, not yet checked.
type Spec struct {
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     CallerLimits
}

// CallerLimits are what callers may send and how long they may take. Zero values mean that the configuration has no
// such limit.
type CallerLimits struct {
	MaxHeadBytes int
	MaxBodyBytes int64
	// HeadTimeout is the time for a head, IdleTimeout the time between two requests of a connection.
	HeadTimeout, IdleTimeout time.Duration
}
