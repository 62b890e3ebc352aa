// Package aubsite is the whole configuration of a site as one numbered revision:
// routes by host and path prefix, services with their engines, and workspaces
// with keys and limits. A revision replaces the one before it as a whole.
package aubsite

import "time"

// RouteKind says what may be repeated on a route.
type RouteKind int

// Route kinds.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = iota + 1
	// KindNonIdempotent requests run once at most.
	KindNonIdempotent
	// KindStream answers are event streams; they run once unless the route is
	// resumable.
	KindStream
)

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest prefix of a host wins.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time to the final answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, meets its service level; PauseObjective bounds the pause between events.
	Objective      time.Duration
	PauseObjective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the largest number of backend servers that may run one request.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another backend server after an event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run again.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Model is a language model that engines can load.
type Model struct {
	Name string
	// Megabytes of accelerator memory that one copy takes.
	Megabytes float64
	// LoadTime is the time of a load from the weight store, DiskLoadTime that from a
	// copy on the backend server's disk.
	LoadTime     time.Duration
	DiskLoadTime time.Duration
	// Adapters is the number of adapters, named a1, a2 and so on.
	Adapters         int
	AdapterMegabytes float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Megabytes of accelerator memory for weights and adapters.
	Megabytes    float64
	AdapterSlots int
	// LoadsPerSecond bounds loads from the weight store over all engines.
	LoadsPerSecond float64
	Models         []Model
}

// Service is a set of backend servers with one name.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one backend server accepts from all callers.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is a tenant of the site.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's; nil leaves that in force.
	Priority *int
	// Rate per second and Burst bound the requests over all instances; a rate of
	// 0 sets no bound.
	Rate  int64
	Burst int64
	// CountsTokens makes the bounds count tokens; PlainCost is then the cost of a
	// request without declared tokens.
	CountsTokens bool
	PlainCost    int64
}

// Spec is the content of one revision before it is checked.
type Spec struct {
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
}
