package aubagent

import (
	"cmp"
	"context"
	"time"
)

const (
	defaultHeartbeat = time.Second
	// callerTimeoutHeartbeats is the default of CallerTimeout in heartbeats.
	callerTimeoutHeartbeats = 3
	// ticksPerHeartbeat is how often per heartbeat interval the agent checks its
	// executions and sessions.
	ticksPerHeartbeat          = 4
	defaultLinger              = 15 * time.Second
	defaultOrderLifetime       = 30 * time.Second
	defaultStallTimeout        = 3 * time.Second
	defaultPollInterval        = time.Second
	defaultLoadingPollInterval = 20 * time.Millisecond
	defaultMaxBodyBytes        = 8 << 20
	defaultMaxRunning          = 1024
)

// AgentOpts configures an agent.
type AgentOpts struct {
	// Name, Zone and Address (host:port of the agent's gRPC listener) are those that the
	// process announces; the agent itself doesn't use them.
	Name    string
	Zone    string
	Address string
	// EngineURL is the base address of a model engine; empty for a plain service.
	EngineURL string
	// ServiceURL is the base address of a plain service; empty for an engine.
	ServiceURL string
	// Services are the names under which a plain service is announced.
	Services []string
	// MemoryBytes is the accelerator's memory. A lower value reported by the
	// engine takes precedence.
	MemoryBytes int64
	// DataDir is the data folder with the order journal; empty for no journal.
	DataDir string
	// Incarnation overrides the one derived from the clock and the data folder.
	Incarnation uint64
	// FenceFloor returns the lowest fence that this incarnation may accept. The
	// replicated log must make it higher than every fence that an earlier
	// incarnation could accept. It is called until it succeeds; if it is nil, no
	// order is accepted.
	FenceFloor func(ctx context.Context, incarnation uint64) (uint64, error)
	// IsPoisoned reports whether a fingerprint is refused in the whole site; if it is
	// nil, only the agent's own list of poisoned fingerprints applies.
	IsPoisoned func(fingerprint string) bool
	// EngineChecksFence is set for engines that refuse orders with old fencing numbers.
	EngineChecksFence bool
	// OrderLifetime is the time after which a sent order is no longer executed by
	// an engine that ignores fencing numbers; 0 means 30 s.
	OrderLifetime time.Duration
	// Heartbeat is the interval of heartbeat frames; 0 means 1 s.
	Heartbeat time.Duration
	// CallerTimeout is how long no message may arrive from the caller before its
	// connection is closed; 0 means 3 heartbeats.
	CallerTimeout time.Duration
	// Linger is how long an execution runs without a caller connection and how
	// long a finished response is kept without an acknowledgement; 0 means 15 s.
	Linger time.Duration
	// BackendStallTimeout is how long a backend connection may make no progress before
	// the engine's status of the response is queried; 0 means 3 s.
	BackendStallTimeout time.Duration
	// PollInterval is the interval between queries of the engine's state; 0 means 1 s.
	PollInterval time.Duration
	// LoadingPollInterval is that interval while an item loads or unloads; 0 means 20 ms.
	LoadingPollInterval time.Duration
	// MaxBodyBytes bounds one request body; 0 means 8 MiB.
	MaxBodyBytes int
	// MaxRunning bounds the concurrent executions; 0 means 1024.
	MaxRunning int
}

func (o AgentOpts) withDefaults() AgentOpts {
	o.Heartbeat = cmp.Or(o.Heartbeat, defaultHeartbeat)
	o.CallerTimeout = cmp.Or(o.CallerTimeout, callerTimeoutHeartbeats*o.Heartbeat)
	o.Linger = cmp.Or(o.Linger, defaultLinger)
	o.OrderLifetime = cmp.Or(o.OrderLifetime, defaultOrderLifetime)
	o.BackendStallTimeout = cmp.Or(o.BackendStallTimeout, defaultStallTimeout)
	o.PollInterval = cmp.Or(o.PollInterval, defaultPollInterval)
	o.LoadingPollInterval = cmp.Or(o.LoadingPollInterval, defaultLoadingPollInterval)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, defaultMaxBodyBytes)
	o.MaxRunning = cmp.Or(o.MaxRunning, defaultMaxRunning)
	return o
}

// engine reports whether the backend server is a model engine.
func (o AgentOpts) engine() bool { return o.EngineURL != "" }

func (o AgentOpts) backendURL() string {
	if o.engine() {
		return o.EngineURL
	}
	return o.ServiceURL
}
